"""Stand in for the rate-limited weight store over HTTP.

`GET /weights/{model}/{version}` with an `X-Load-Grant` header returns a body of zeros,
or 429 with `Retry-After`; `GET /_served` returns counters; `POST /_faults` sets the
active faults.
"""

from cowslipshelf_standins.internal.weight_store_http import (
    WeightStoreConfig,
    WeightStoreServer,
)

__all__ = ["WeightStoreConfig", "WeightStoreServer"]
