"""Decode JSON strictly."""

import json

from cowslipshelf_host.internal.settings.problems import format_value

MAX_FILE_BYTES = 4 * 1024 * 1024


class JsonTextError(ValueError):
    """Report where a text is not acceptable JSON."""

    def __init__(self, location: str, found: str, allowed: str) -> None:
        super().__init__(f"{location}: {found}")
        self.location = location
        self.found = found
        self.allowed = allowed


def read_json(data: bytes) -> object:
    """Decode JSON, or raise `JsonTextError` with the line and column."""
    try:
        text = data.decode("utf-8")
    except UnicodeDecodeError as error:
        location = location_after(data[: error.start].decode("utf-8"))
        raise JsonTextError(location, "bytes that are not UTF-8", "UTF-8") from None
    try:
        return json.loads(
            text, object_pairs_hook=build_object, parse_constant=reject_constant
        )
    except json.JSONDecodeError as error:
        location = f"line {error.lineno}, column {error.colno}"
        raise JsonTextError(location, f"malformed JSON ({error.msg})", "JSON") from None
    except RecursionError:
        raise JsonTextError("(file)", "nesting without end", "JSON") from None
    except JsonTextError:
        raise
    except ValueError:
        # Python refuses to convert numbers of thousands of digits.
        raise JsonTextError("(file)", "a number that is too long", "JSON") from None


def build_object(pairs: list[tuple[str, object]]) -> dict[str, object]:
    """Build an object; refuse duplicate fields.

    JSON decoders silently keep the last duplicate, so an edit of the first one would
    have no effect.
    """
    fields: dict[str, object] = {}
    for name, value in pairs:
        if name in fields:
            raise JsonTextError(
                format_value(name), "the field twice", "each field once"
            )
        fields[name] = value
    return fields


def reject_constant(text: str) -> object:
    """Refuse NaN and the infinities, which are not JSON."""
    raise JsonTextError("(file)", text, "JSON numbers")


def location_after(text: str) -> str:
    """Return the line and column after a text, counted from 1."""
    line = text.count("\n") + 1
    column = len(text) - (text.rfind("\n") + 1) + 1
    return f"line {line}, column {column}"
