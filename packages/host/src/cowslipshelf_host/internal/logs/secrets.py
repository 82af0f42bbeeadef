"""Keep secrets out of log lines."""

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
    """Mask secrets by the names they stand under, however deep they are nested."""
    return {name: mask_field(name, value, 0) for name, value in event.items()}


def mask_field(name: object, value: Any, depth: int) -> Any:
    """Mask a value if its name says that it is secret, else what is inside it."""
    if is_secret_name(name):
        return MASK
    return mask_value(value, depth)


def is_secret_name(name: object) -> bool:
    """Tell whether values under a name must not be logged."""
    if not isinstance(name, str):
        return False
    plain = name.lower().replace("-", "_")
    return plain in SECRET_NAMES or f"_{plain}".endswith(SECRET_SUFFIXES)


def mask_value(value: Any, depth: int) -> Any:
    """Mask what is secret inside a value."""
    # A value that contains itself would else recurse until the thread dies.
    if depth > MAX_DEPTH:
        return TRUNCATED_VALUE
    if isinstance(value, str):
        return mask_bearer(value)
    if isinstance(value, bytes | bytearray | memoryview):
        # Bodies hold callers' own matters; how long they are is all that is told.
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
    """Return the fields of a mapping, record, document or data class."""
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
    """Mask an item of a list; headers come as pairs of a name and a value."""
    match item:
        case (str() as name, value):
            return [name, mask_field(name, value, depth)]
    return mask_value(item, depth)


def mask_bearer(text: str) -> str:
    """Mask a key that follows the word bearer within a text."""
    return BEARER_PATTERN.sub(rf"\g<1>{MASK}", text)


def field_name(name: object) -> str:
    """Give a field name that every format can write."""
    return name if isinstance(name, str) else safe_repr(name)


def safe_repr(value: object) -> str:
    """Show any value, also one that cannot show itself."""
    try:
        return repr(value)
    except Exception as error:
        return f"<unprintable {type(value).__name__}: {type(error).__name__}>"
