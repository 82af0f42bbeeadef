"""Provide a client for the rate-limited weight store."""

from cowslipshelf_weightstore.errors import WeightStoreLostError
from cowslipshelf_weightstore.internal.client import (
    LoadLimited,
    LoadRefused,
    LoadResult,
    WeightsLoaded,
    WeightStoreClient,
    WeightStoreClientConfig,
)

__all__ = [
    "LoadLimited",
    "LoadRefused",
    "LoadResult",
    "WeightStoreClient",
    "WeightStoreClientConfig",
    "WeightStoreLostError",
    "WeightsLoaded",
]
