"""Mask the secret fields of documents."""

import msgspec

from cowslipshelf_host.internal.settings.field_types import FieldType, field_types_of

MASK = "'***'"


def masked_repr(document: msgspec.Struct) -> str:
    """Return the repr of a document with its secret fields masked."""
    fields = field_types_of(type(document))
    shown = (
        f"{name}={shown_value(getattr(document, name), field)}"
        for name, field in fields.items()
    )
    return f"{type(document).__name__}({', '.join(shown)})"


def shown_value(value: object, field: FieldType) -> str:
    """Return the repr of one field, or the mask if it or its items are secret."""
    if is_secret(field):
        return MASK
    return repr(value)


def is_secret(field: FieldType) -> bool:
    """Return whether a field must never be printed."""
    return field.secret or (field.item is not None and field.item.secret)
