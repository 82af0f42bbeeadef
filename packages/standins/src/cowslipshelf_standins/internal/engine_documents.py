"""Define the documents of an engine, other than completions."""

import msgspec


class HeldAttempt(msgspec.Struct, frozen=True):
    """Describe an attempt and the memory it holds, in tokens."""

    attempt_id: str
    tokens: int
    state: str


class Inventory(msgspec.Struct, frozen=True):
    """List the attempts that an engine knows, including ended ones."""

    held: tuple[HeldAttempt, ...]


class StartOptions(msgspec.Struct, frozen=True):
    """Hold the headers of a request that starts an attempt."""

    attempt_id: str
    completion_id: str
    priority: int
    resume_from: int
    range_start: int
    range_end: int | None
    kv_handles: tuple[str, ...]


class ModelEntry(msgspec.Struct, frozen=True):
    """Describe a model in the OpenAI format."""

    id: str
    object: str = "model"
    owned_by: str = "stand-in"


class ModelList(msgspec.Struct, frozen=True):
    """List models in the OpenAI format."""

    data: tuple[ModelEntry, ...]
    object: str = "list"


class Cancelled(msgspec.Struct, frozen=True):
    """Answer a cancel request."""

    cancelled: bool
