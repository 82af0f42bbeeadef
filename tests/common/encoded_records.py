"""Encode one example of each record that the packages write or read."""

from collections.abc import Iterator
from enum import Enum
from itertools import count
from types import NoneType
from typing import (
    Annotated,
    Any,
    Literal,
    NewType,
    TypeVar,
    get_args,
    get_origin,
    get_type_hints,
)

import msgspec

PACKAGES_PREFIX = "cowslipshelf_"


def record_types(base: type[msgspec.Struct] = msgspec.Struct) -> set[type]:
    """Return the records of our packages, as far as their modules are loaded."""
    found = {base} if base.__module__.startswith(PACKAGES_PREFIX) else set()
    for derived in base.__subclasses__():
        found |= record_types(derived)
    return found


def encoded_examples() -> list[str]:
    """Return an example of each record in JSON, sorted.

    Values count up field by field, so the text shows the tag, the order of fields and
    the names of fields that are written, and no name that stays in the process.
    """
    return sorted(encoded_example(each) for each in record_types())


def encoded_example(record: type) -> str:
    """Return an example of one record in JSON."""
    return msgspec.json.encode(record_example(record, count(1), ())).decode()


def record_example(record: type, numbers: Iterator[int], above: tuple) -> Any:
    """Return what is written for a record: a list or a mapping, with its tag."""
    if record in above:
        return "the record again"
    fields = msgspec.structs.fields(record)
    values = [example_of(each.type, numbers, (*above, record)) for each in fields]
    settings = record.__struct_config__
    if settings.array_like:
        return values if settings.tag is None else [settings.tag, *values]
    names = [each.encode_name for each in fields]
    tag = {} if settings.tag is None else {settings.tag_field: settings.tag}
    return tag | dict(zip(names, values, strict=True))


def example_of(kind: Any, numbers: Iterator[int], above: tuple) -> Any:
    """Return a value of a type in which each number is used once."""
    if isinstance(kind, NewType):
        return example_of(kind.__supertype__, numbers, above)
    if get_origin(kind) is not None:
        return generic_example(kind, numbers, above)
    if not isinstance(kind, type):
        return plain_example(kind, numbers)
    if issubclass(kind, msgspec.Struct):
        return record_example(kind, numbers, above)
    if issubclass(kind, Enum):
        return [each.value for each in kind]
    if issubclass(kind, tuple) and hasattr(kind, "_fields"):
        hints = get_type_hints(kind, include_extras=True).values()
        return [example_of(each, numbers, above) for each in hints]
    return plain_example(kind, numbers)


def generic_example(kind: Any, numbers: Iterator[int], above: tuple) -> Any:
    """Return a value of a type with arguments."""
    arguments = [each for each in get_args(kind) if each is not Ellipsis]
    match get_origin(kind):
        case origin if origin is Annotated:
            return example_of(arguments[0], numbers, above)
        case origin if origin is Literal:
            return arguments
        case origin if origin is dict:
            return {"key": example_of(arguments[1], numbers, above)}
        case origin if isinstance(origin, type) and issubclass(origin, msgspec.Struct):
            return record_example(origin, numbers, above)
        case _:
            return [example_of(each, numbers, above) for each in arguments]


def plain_example(kind: Any, numbers: Iterator[int]) -> Any:
    """Return a value of a type without arguments."""
    absent = (Any, None, NoneType, msgspec.Raw, msgspec.UnsetType)
    if kind in absent or isinstance(kind, TypeVar):
        return None
    number = next(numbers)
    examples = {
        bool: number % 2 == 0,
        bytes: f"bytes {number}".encode(),
        float: number + 0.5,
        int: number,
        str: f"text {number}",
    }
    return examples[kind]
