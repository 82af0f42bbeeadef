"""Mask secrets in log entries."""

import dataclasses
import re
from collections.abc import Mapping
from typing import Any

import msgspec
from structlog.typing import EventDict, WrappedLogger

MASK = "***"
MAX_DEPTH = 8
TRUNCATED_VALUE = "..."

SECRET_NAMES = frozenset({"authorization", "proxy_authorization"})
SECRET_SUFFIXES = (
    "_cookie",
    "_key",
    "_keys",
    "_key_hash",
    "_key_hashes",
    "_password",
    "_secret",
    "_token",
)
BEARER_PATTERN = re.compile(r"(?i)\b(bearer\s+)[^\s'\",;]+")


def mask_secrets(_logger: WrappedLogger, _method: str, event: EventDict) -> EventDict:
    """Mask values whose field names mark them as secret, at any depth."""
    return {name: mask_field(name, value, 0) for name, value in event.items()}


def mask_field(name: object, value: Any, depth: int) -> Any:
    """Mask a value whose name marks it as secret, or else the secrets inside it."""
    if is_secret_name(name):
        return MASK
    return mask_value(value, depth)


def is_secret_name(name: object) -> bool:
    """Return whether the values of a field must not be logged."""
    if not isinstance(name, str):
        return False
    normalized = name.lower().replace("-", "_")
    return normalized in SECRET_NAMES or f"_{normalized}".endswith(SECRET_SUFFIXES)


def mask_value(value: Any, depth: int) -> Any:
    """Mask the secrets inside a value and convert it to plain data."""
    # Without a bound, a value that contains itself would recurse without end.
    if depth > MAX_DEPTH:
        return TRUNCATED_VALUE
    if isinstance(value, str):
        return mask_bearer(value)
    if isinstance(value, bytes | bytearray | memoryview):
        # Bodies hold callers' private data, so only their length is logged.
        return f"{len(value)} bytes"
    fields = named_fields(value)
    if fields is not None:
        return {
            field_name(name): mask_field(name, inner, depth + 1)
            for name, inner in fields.items()
        }
    if isinstance(value, list | tuple | set | frozenset):
        return [mask_item(item, depth + 1) for item in value]
    if value is None or isinstance(value, bool | int | float):
        return value
    return mask_bearer(safe_repr(value))


def named_fields(value: Any) -> Mapping[Any, Any] | None:
    """Return the fields of a mapping, named tuple, struct or data class, or None."""
    if isinstance(value, Mapping):
        return value
    if isinstance(value, tuple) and hasattr(value, "_asdict"):
        return value._asdict()
    if isinstance(value, msgspec.Struct):
        return msgspec.structs.asdict(value)
    if dataclasses.is_dataclass(value) and not isinstance(value, type):
        names = [field.name for field in dataclasses.fields(value)]
        return {name: getattr(value, name) for name in names}
    return None


def mask_item(item: Any, depth: int) -> Any:
    """Mask a list item; headers are pairs of a name and a value."""
    match item:
        case (str() as name, value):
            return [name, mask_field(name, value, depth)]
    return mask_value(item, depth)


def mask_bearer(text: str) -> str:
    """Mask the key after the word "bearer" in a text."""
    return BEARER_PATTERN.sub(rf"\g<1>{MASK}", text)


def field_name(name: object) -> str:
    """Return a field name as text, which every log format can write."""
    return name if isinstance(name, str) else safe_repr(name)


def safe_repr(value: object) -> str:
    """Return the repr of a value, or a note if its `__repr__` fails."""
    try:
        return repr(value)
    except Exception as error:
        return f"<unprintable {type(value).__name__}: {type(error).__name__}>"
