"""Stand in for the rate-limited weight store, over HTTP.

`GET /weights/{model}/{version}` with an `X-Load-Grant` header gives zeroes, or 429 with
`Retry-After`; `GET /_served` counts what was given; `POST /_faults` switches faults.
"""

from cowslipshelf_standins.internal.weight_store_http import (
    WeightStoreConfig,
    WeightStoreServer,
)

__all__ = ["WeightStoreConfig", "WeightStoreServer"]
