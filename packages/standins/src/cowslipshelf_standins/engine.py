"""Stand in for a model engine, over HTTP.

Requests, in the published OpenAI shape:

- `POST /v1/completions` and `POST /v1/chat/completions`, whole or streamed. A stream
  is server-sent events: `id:` counts from 1, `data:` is a chunk in the published shape
  whose `usage.completion_tokens` counts the output so far; the last is `data: [DONE]`.
  A quiet stream carries comments, so that a busy engine differs from a dead one.
- `GET /v1/models`.

Request headers:

- `X-Request-Id`: goes into the answer's `id`, so that it is the same for all attempts.
- `X-Attempt-Id`: names the attempt; one that is known already is refused with 409.
- `X-Priority`: lower is prefilled first.
- `X-Resume-From`: output tokens that an earlier attempt delivered; the answer goes on
  after them. The text hangs on the prompt alone, so any engine continues any other's.
- `X-Token-Range: FROM-TO`: prefill only this part of the prompt and keep its KV cache
  until the attempt is deleted; the answer has no output.
- `X-Kv-Handles: A,B`: count these imported parts as held elsewhere.

Besides:

- `GET /v1/attempts/{id}/events` with `Last-Event-ID` goes on with a stream.
- `DELETE /v1/attempts/{id}` cancels it, or forgets its answer, and frees its memory.
- `GET /v1/inventory`: the attempts known, each with the tokens it holds.
- `GET /v1/load`: how full it was a while ago.
- `GET /v1/cache/events?after=N`: prefix cache changes, late and with gaps.
- `POST /v1/orders`: an order with a fencing number; `GET /v1/orders`: what was run.
- `POST /v1/kv/export`, `POST /v1/kv/import`: references to KV cache by token range.
- `GET` and `POST /_faults`: the faults in play.

An attempt whose connection is lost goes on and holds its memory. A finished one keeps
its answer until it is deleted or the retention time is over.
"""

from cowslipshelf_standins.internal.configuration import EngineConfig
from cowslipshelf_standins.internal.engine_http import EngineServer
from cowslipshelf_standins.internal.faults import Faults

__all__ = ["EngineConfig", "EngineServer", "Faults"]
