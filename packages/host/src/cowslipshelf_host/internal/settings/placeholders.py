"""Give values that stand in for faulty ones while the rest is checked."""

from typing import get_args, get_origin

import msgspec

from cowslipshelf_host.internal.settings.field_formats import FieldForm
from cowslipshelf_host.internal.settings.field_types import FieldType, fields_of

FORM_PLACEHOLDERS = {
    FieldForm.NAME: "placeholder",
    FieldForm.LISTEN_ADDRESS: "192.0.2.1:1",
    FieldForm.PEER_ADDRESS: "192.0.2.1:1",
    FieldForm.KEY_HASH: "0" * 64,
    FieldForm.FOLDER: "placeholder",
}


def placeholder(field: FieldType) -> object:
    """Give a value that the field allows."""
    if field.optional:
        return None
    if field.item is not None:
        return [placeholder(field.item)] * (field.shortest or 0)
    if field.is_document:
        return placeholder_document(field.base)
    if get_origin(field.base) is not None:
        return get_args(field.base)[0]
    if field.form in FORM_PLACEHOLDERS:
        return FORM_PLACEHOLDERS[field.form]
    if field.base is str:
        return "-" * (field.shortest or 0)
    return field.base(field.low or 0)


def placeholder_document(document: type[msgspec.Struct]) -> dict[str, object]:
    """Give an object with nothing but its required fields."""
    fields = fields_of(document)
    described = msgspec.structs.fields(document)
    return {
        info.name: placeholder(fields[info.name]) for info in described if info.required
    }
