"""Replace faulty values by placeholders while the rest is checked."""

from typing import get_args, get_origin

import msgspec

from cowslipshelf_host.internal.settings.field_formats import FieldFormat
from cowslipshelf_host.internal.settings.field_types import FieldType, field_types_of

FORMAT_PLACEHOLDERS = {
    FieldFormat.NAME: "placeholder",
    FieldFormat.LISTEN_ADDRESS: "192.0.2.1:1",
    FieldFormat.PEER_ADDRESS: "192.0.2.1:1",
    FieldFormat.KEY_HASH: "0" * 64,
    FieldFormat.FOLDER: "placeholder",
}


def placeholder(field: FieldType) -> object:
    """Return a value that the field allows."""
    if field.optional:
        return None
    if field.item is not None:
        return [placeholder(field.item)] * (field.min_length or 0)
    if field.is_document:
        return placeholder_document(field.base)
    if get_origin(field.base) is not None:
        return get_args(field.base)[0]
    if field.format in FORMAT_PLACEHOLDERS:
        return FORMAT_PLACEHOLDERS[field.format]
    if field.base is str:
        return "-" * (field.min_length or 0)
    return field.base(field.min_value or 0)


def placeholder_document(document: type[msgspec.Struct]) -> dict[str, object]:
    """Return an object with only its required fields."""
    fields = field_types_of(document)
    described = msgspec.structs.fields(document)
    return {
        info.name: placeholder(fields[info.name]) for info in described if info.required
    }
