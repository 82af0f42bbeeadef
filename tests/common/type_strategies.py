"""Build strategies for all types that messages consist of."""

from enum import Enum
from types import NoneType, UnionType
from typing import Any, Literal, Union, get_args, get_origin, get_type_hints

import msgspec
from hypothesis import strategies as st

from cowslipshelf_core import messages
from cowslipshelf_core.messages import Message

BASIC_TYPES = {
    str: st.text(max_size=12),
    int: st.integers(-(2**63), 2**63 - 1),
    float: st.floats(allow_nan=False),
    bytes: st.binary(max_size=40),
    bool: st.booleans(),
    NoneType: st.none(),
}

MESSAGE_TYPES = tuple(
    value
    for value in vars(messages).values()
    if isinstance(value, type) and issubclass(value, Message) and value is not Message
)
ANY_MESSAGE = Union[MESSAGE_TYPES]  # noqa: UP007


def values_of(kind: Any) -> st.SearchStrategy:
    """Return a strategy for all values of a type."""
    kind = getattr(kind, "__supertype__", kind)
    if kind in BASIC_TYPES:
        return BASIC_TYPES[kind]
    if get_origin(kind) is Literal:
        return st.sampled_from(get_args(kind))
    if get_origin(kind) in (Union, UnionType):
        return st.one_of([values_of(part) for part in get_args(kind)])
    if get_origin(kind) is tuple:
        return tuples_of(get_args(kind))
    if issubclass(kind, Enum):
        return st.sampled_from(list(kind))
    return records_of(kind)


def tuples_of(parts: tuple[Any, ...]) -> st.SearchStrategy:
    """Return a strategy for tuples of a fixed or a variable length."""
    if parts[-1] is Ellipsis:
        return st.lists(values_of(parts[0]), max_size=3).map(tuple)
    return st.tuples(*map(values_of, parts))


def records_of(kind: Any) -> st.SearchStrategy:
    """Return a strategy for structs and named tuples that draws every field."""
    if issubclass(kind, msgspec.Struct):
        hints = {field.name: field.type for field in msgspec.structs.fields(kind)}
    else:
        hints = get_type_hints(kind)
    return st.builds(kind, **{name: values_of(hint) for name, hint in hints.items()})
