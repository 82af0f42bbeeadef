"""Describe what an engine is asked and answers, besides completions."""

import msgspec


class HeldAttempt(msgspec.Struct, frozen=True):
    """Say what memory one attempt holds."""

    attempt_id: str
    tokens: int
    state: str


class Inventory(msgspec.Struct, frozen=True):
    """List the attempts that an engine knows, ended ones included."""

    held: tuple[HeldAttempt, ...]


class StartOptions(msgspec.Struct, frozen=True):
    """Be what the headers of a start say."""

    attempt_id: str
    completion_id: str
    priority: int
    resume_from: int
    range_start: int
    range_end: int | None
    kv_handles: tuple[str, ...]


class ModelEntry(msgspec.Struct, frozen=True):
    """Name one model in the published shape."""

    id: str
    object: str = "model"
    owned_by: str = "stand-in"


class ModelList(msgspec.Struct, frozen=True):
    """List models in the published shape."""

    data: tuple[ModelEntry, ...]
    object: str = "list"


class Cancelled(msgspec.Struct, frozen=True):
    """Answer a cancellation."""

    cancelled: bool
