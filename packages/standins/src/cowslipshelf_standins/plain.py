"""Stand in for a plain service, over HTTP.

Any method and path runs a call and answers with its method, path and body digest.
`GET /_calls` lists the calls that ran, in order, with their `X-Attempt-Id` and
`Idempotency-Key`; `POST /_faults` switches faults.
"""

from cowslipshelf_standins.internal.plain_http import Call, PlainConfig, PlainServer

__all__ = ["Call", "PlainConfig", "PlainServer"]
