"""Provide HTTP clients for model engines and plain services."""

from cowslipshelf_upstreams.errors import (
    UpstreamError,
    UpstreamFailedError,
    UpstreamLostError,
    UpstreamRefusedError,
)
from cowslipshelf_upstreams.internal.engine_client import (
    EngineClient,
    EngineClientConfig,
)
from cowslipshelf_upstreams.internal.engine_documents import (
    CacheEvent,
    CacheEvents,
    EngineInventory,
    EngineLoad,
    EngineOrder,
    EngineOrders,
    HeldAttempt,
    KvPart,
    OrderResult,
    PromptPart,
)
from cowslipshelf_upstreams.internal.plain_client import PlainClient, PlainClientConfig
from cowslipshelf_upstreams.internal.stream import UpstreamPiece, UpstreamStream

__all__ = [
    "CacheEvent",
    "CacheEvents",
    "EngineClient",
    "EngineClientConfig",
    "EngineInventory",
    "EngineLoad",
    "EngineOrder",
    "EngineOrders",
    "HeldAttempt",
    "KvPart",
    "OrderResult",
    "PlainClient",
    "PlainClientConfig",
    "PromptPart",
    "UpstreamError",
    "UpstreamFailedError",
    "UpstreamLostError",
    "UpstreamPiece",
    "UpstreamRefusedError",
    "UpstreamStream",
]
