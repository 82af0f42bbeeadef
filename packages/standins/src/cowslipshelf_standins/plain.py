"""Stand in for a plain service over HTTP.

A request with any method and path runs a call and is answered with the method, the path
and the body's digest. `GET /_calls` lists the calls that ran, in order, with their
`X-Attempt-Id` and `Idempotency-Key`; `POST /_faults` sets the active faults.
"""

from cowslipshelf_standins.internal.plain_http import Call, PlainConfig, PlainServer

__all__ = ["Call", "PlainConfig", "PlainServer"]
