"""Derive what a settings field allows from its type."""

from functools import cache
from types import NoneType, UnionType
from typing import Annotated, Any, Literal, NamedTuple, Union, get_args, get_origin
from typing import get_type_hints as resolved_hints

import msgspec

from cowslipshelf_host.internal.settings.field_formats import (
    FORMAT_KEY,
    SECRET_KEY,
    FieldFormat,
)

TYPE_TEXTS = {
    str: "text",
    int: "a whole number",
    float: "a number",
    bool: "true or false",
}
FORMAT_TEXTS = {
    FieldFormat.NAME: "a name of 1 to 63 letters, digits, '.', '_' or '-'",
    FieldFormat.LISTEN_ADDRESS: "IP:PORT, such as 0.0.0.0:8080 or [::1]:8080",
    FieldFormat.PEER_ADDRESS: "IP:PORT that peers can reach, such as 10.0.0.7:8080",
    FieldFormat.KEY_HASH: "a SHA-256 as 64 hexadecimal digits in lower case",
    FieldFormat.FOLDER: "the path of a folder",
}


class FieldType(NamedTuple):
    """Hold the parts of a field's type."""

    annotation: Any
    """Type as declared, against which msgspec validates a value."""
    base: Any
    """Type without constraints and without None."""
    optional: bool
    format: FieldFormat
    secret: bool
    min_value: float | None
    max_value: float | None
    min_length: int | None
    max_length: int | None
    item: "FieldType | None"
    """Type of the items if the field is a list."""

    @classmethod
    def from_hint(cls, hint: Any) -> "FieldType":
        """Build from a type hint."""
        inner, optional = split_optional(hint)
        base, metas = split_annotated(inner)
        base = getattr(base, "__supertype__", base)
        extra = {
            key: value for meta in metas for key, value in (meta.extra or {}).items()
        }
        item = None
        if get_origin(base) is tuple:
            item = cls.from_hint(get_args(base)[0])
        return cls(
            annotation=hint,
            base=base,
            optional=optional,
            format=extra.get(FORMAT_KEY, FieldFormat.OTHER),
            secret=bool(extra.get(SECRET_KEY, False)),
            min_value=first_not_none(meta.ge for meta in metas),
            max_value=first_not_none(meta.le for meta in metas),
            min_length=first_not_none(meta.min_length for meta in metas),
            max_length=first_not_none(meta.max_length for meta in metas),
            item=item,
        )

    @property
    def is_document(self) -> bool:
        """Return whether the field holds a nested object."""
        return isinstance(self.base, type) and issubclass(self.base, msgspec.Struct)


def split_optional(hint: Any) -> tuple[Any, bool]:
    """Split `T | None` into T and whether None is allowed."""
    if get_origin(hint) not in (Union, UnionType):
        return hint, False
    kept = [argument for argument in get_args(hint) if argument is not NoneType]
    return kept[0], True


def split_annotated(hint: Any) -> tuple[Any, list[msgspec.Meta]]:
    """Split an annotated type into the plain type and its constraints."""
    if get_origin(hint) is not Annotated:
        return hint, []
    base, *metadata = get_args(hint)
    return base, [each for each in metadata if isinstance(each, msgspec.Meta)]


def first_not_none(values: Any) -> Any:
    """Return the first value that is not None, or None."""
    return next((value for value in values if value is not None), None)


@cache
def field_types_of(document: type[msgspec.Struct]) -> dict[str, FieldType]:
    """Return the types of a document's fields, in order."""
    hints = resolved_hints(document, include_extras=True)
    names = document.__struct_fields__
    return {name: FieldType.from_hint(hints[name]) for name in names}


def allowed_text(field: FieldType) -> str:
    """Describe what a field allows."""
    if field.item is not None:
        return list_text(field)
    if field.is_document:
        return "an object"
    if get_origin(field.base) is Literal:
        return "one of " + ", ".join(f'"{value}"' for value in get_args(field.base))
    if field.format in FORMAT_TEXTS:
        return FORMAT_TEXTS[field.format]
    return TYPE_TEXTS[field.base] + range_text(field)


def list_text(field: FieldType) -> str:
    """Describe what a list allows."""
    least = f" with at least {field.min_length} of" if field.min_length else " of"
    return f"a list{least}: {allowed_text(field.item)}"


def range_text(field: FieldType) -> str:
    """Describe the allowed range or length of a value."""
    if field.min_value is not None:
        return f" from {field.min_value:,} to {field.max_value:,}".replace(",", " ")
    if field.min_length is not None and field.max_length is not None:
        return f" of {field.min_length} to {field.max_length} characters"
    return ""
