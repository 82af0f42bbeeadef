"""Stand in for a model engine over HTTP.

Requests in the OpenAI format:

- `POST /v1/completions` and `POST /v1/chat/completions`, streamed or not. A stream is
  server-sent events: `id:` counts from 1, `data:` is a chunk in the OpenAI format whose
  `usage.completion_tokens` counts the output so far; the last is `data: [DONE]`. A
  stream without tokens carries keep-alive comments, to tell a busy engine from a dead
  one.
- `GET /v1/models`.

Request headers:

- `X-Request-Id`: makes up the answer's `id`, which is the same for all attempts.
- `X-Attempt-Id`: identifies the attempt; a known one is refused with 409.
- `X-Priority`: lower values are prefilled first.
- `X-Resume-From`: output tokens that an earlier attempt delivered; the answer continues
  after them. The text depends only on the prompt and the model, so an engine can
  continue the answer of any other.
- `X-Token-Range: FROM-TO`: prefill only this part of the prompt and keep its KV cache
  until the attempt is deleted; the answer has no output.
- `X-Kv-Handles: A,B`: treat these imported parts as prefilled by other engines.

Control requests:

- `GET /v1/attempts/{id}/events` with `Last-Event-ID` resumes a stream.
- `DELETE /v1/attempts/{id}` cancels an attempt, or deletes its answer, and frees its
  memory.
- `GET /v1/inventory`: the known attempts, each with the tokens it holds.
- `GET /v1/load`: the load as it was `load_lag_seconds` ago.
- `GET /v1/cache/events?after=N`: prefix cache changes, late and with gaps.
- `POST /v1/orders`: an order with a fencing number; `GET /v1/orders`: the orders run.
- `POST /v1/kv/export`, `POST /v1/kv/import`: references to KV cache by token range.
- `GET` and `POST /_faults`: the active faults.

An attempt whose connection is lost continues and holds its memory. A finished one keeps
its answer until it is deleted or `retention_seconds` have passed.
"""

from cowslipshelf_standins.internal.configuration import EngineConfig
from cowslipshelf_standins.internal.engine_http import EngineServer
from cowslipshelf_standins.internal.faults import Faults

__all__ = ["EngineConfig", "EngineServer", "Faults"]
