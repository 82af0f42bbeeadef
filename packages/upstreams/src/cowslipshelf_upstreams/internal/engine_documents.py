"""Define the documents of an engine's control requests."""

from typing import Literal

import msgspec

from cowslipshelf_core.control import OrderKind
from cowslipshelf_core.identifiers import AttemptId, FencingNumber


class HeldAttempt(msgspec.Struct, frozen=True):
    """Describe an attempt that the engine knows."""

    attempt_id: AttemptId
    tokens: int
    """Memory that the attempt holds, in tokens."""
    state: str = ""


class EngineInventory(msgspec.Struct, frozen=True):
    """List the attempts that the engine knows, including ended ones."""

    held: tuple[HeldAttempt, ...]


class EngineLoad(msgspec.Struct, frozen=True):
    """Hold the load that the engine reports, which lags behind."""

    running: int
    decoding: int
    queued: int
    prefill_tokens: int
    reserved_tokens: int
    memory_tokens: int


class CacheEvent(msgspec.Struct, frozen=True):
    """Describe one change of an engine's prefix cache."""

    sequence: int
    kind: Literal["stored", "removed"]
    block_hashes: tuple[int, ...]
    attempt_id: str = ""


class CacheEvents(msgspec.Struct, frozen=True):
    """Hold the cache events after a sequence number; they are late and have gaps."""

    newest_sequence: int
    events: tuple[CacheEvent, ...]


class EngineOrder(msgspec.Struct, frozen=True):
    """Order an engine to load a model or an adapter, or to change its role."""

    order_id: str
    kind: OrderKind
    argument: str
    """`name@version` for loads, a role for `change_role`."""
    fencing: FencingNumber


class OrderResult(msgspec.Struct, frozen=True):
    """Answer an order, which is refused if its fencing number is old."""

    accepted: bool
    newest_fencing: FencingNumber


class EngineOrders(msgspec.Struct, frozen=True):
    """Report the orders that an engine accepted and ran since its start."""

    newest_fencing: FencingNumber
    """Fencing number of the newest accepted order, which may still be running."""
    orders_run: tuple[EngineOrder, ...] = ()


class KvPart(msgspec.Struct, frozen=True):
    """Refer to the KV cache of a token range of one prompt."""

    handle: str
    prompt_seed: int
    from_token: int
    to_token: int


class KvExport(msgspec.Struct, frozen=True):
    """Request a reference to KV cache that an attempt holds."""

    attempt_id: AttemptId
    from_token: int
    to_token: int


class KvImport(msgspec.Struct, frozen=True):
    """Send an engine references to KV cache that other engines hold."""

    parts: tuple[KvPart, ...]


class PromptPart(msgspec.Struct, frozen=True):
    """Define the token range that an engine prefills, and the imported KV cache."""

    from_token: int = 0
    to_token: int | None = None
    """None at the engine that also decodes the answer."""
    kv_handles: tuple[str, ...] = ()
