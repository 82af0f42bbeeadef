"""Describe what engines answer besides completions."""

from typing import Literal

import msgspec

from cowslipshelf_core.control import OrderKind
from cowslipshelf_core.identifiers import AttemptId, FencingNumber


class HeldAttempt(msgspec.Struct, frozen=True):
    """Be an attempt that the engine knows, with the memory it holds."""

    attempt_id: AttemptId
    tokens: int
    state: str = ""


class EngineInventory(msgspec.Struct, frozen=True):
    """List what the engine knows, ended attempts included."""

    held: tuple[HeldAttempt, ...]


class EngineLoad(msgspec.Struct, frozen=True):
    """Be the engine's own, late, word on how full it is."""

    running: int
    decoding: int
    queued: int
    prefill_tokens: int
    reserved_tokens: int
    memory_tokens: int


class CacheEvent(msgspec.Struct, frozen=True):
    """Be one change of an engine's prefix cache."""

    sequence: int
    kind: Literal["stored", "removed"]
    block_hashes: tuple[int, ...]
    attempt_id: str = ""


class CacheEvents(msgspec.Struct, frozen=True):
    """Be the cache events after a sequence number; late, and with gaps."""

    newest_sequence: int
    events: tuple[CacheEvent, ...]


class EngineOrder(msgspec.Struct, frozen=True):
    """Order an engine to load something or to change role."""

    order_id: str
    kind: OrderKind
    argument: str
    """`name@version` for loads, a role for `change_role`."""
    fencing: FencingNumber


class OrderResult(msgspec.Struct, frozen=True):
    """Answer an order; a refused one carries an old fencing number."""

    accepted: bool
    newest_fencing: FencingNumber


class EngineOrders(msgspec.Struct, frozen=True):
    """Tell which orders an engine has taken and carried out since its start."""

    newest_fencing: FencingNumber
    """Of the newest order that it took; it may still be at it."""
    orders_run: tuple[EngineOrder, ...] = ()


class KvPart(msgspec.Struct, frozen=True):
    """Refer to the KV cache of some tokens of one prompt."""

    handle: str
    prompt_seed: int
    from_token: int
    to_token: int


class KvExport(msgspec.Struct, frozen=True):
    """Ask for a reference to a part that an attempt holds."""

    attempt_id: AttemptId
    from_token: int
    to_token: int


class KvImport(msgspec.Struct, frozen=True):
    """Tell an engine of parts that other engines hold."""

    parts: tuple[KvPart, ...]


class PromptPart(msgspec.Struct, frozen=True):
    """Say which part of a prompt an engine prefills, and what others hold of it."""

    from_token: int = 0
    to_token: int | None = None
    """None for the engine that also generates the answer."""
    kv_handles: tuple[str, ...] = ()
