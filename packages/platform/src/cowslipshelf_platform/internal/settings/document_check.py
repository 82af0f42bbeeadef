"""Compare a JSON value with the settings types and collect every problem."""

from collections.abc import Iterator
from difflib import get_close_matches

import msgspec

from cowslipshelf_platform.internal.settings.addresses import (
    AddressError,
    parse_address,
)
from cowslipshelf_platform.internal.settings.field_types import (
    FieldType,
    allowed_text,
    fields_of,
)
from cowslipshelf_platform.internal.settings.forms import FieldForm
from cowslipshelf_platform.internal.settings.masking import is_secret
from cowslipshelf_platform.internal.settings.problems import (
    WHOLE_FILE,
    SettingsProblem,
    shown,
)

ADDRESS_FORMS = (FieldForm.LISTEN_ADDRESS, FieldForm.PEER_ADDRESS)
SECRET_FOUND = "a value that is not shown, as it is secret"
LEAST_LIKENESS = 0.5


class DocumentCheck:
    """Walk one file's JSON beside the types."""

    def __init__(self, file: str) -> None:
        self.file = file

    def document_problems(
        self, value: object, document: type[msgspec.Struct], path: str
    ) -> Iterator[SettingsProblem]:
        """Yield what is wrong with an object and everything in it."""
        if not isinstance(value, dict):
            yield self.problem(path or WHOLE_FILE, shown(value), "an object")
            return
        fields = fields_of(document)
        for name in value:
            if name not in fields:
                yield self.unknown_field(name, list(fields), path)
        for description in msgspec.structs.fields(document):
            name = description.name
            if name in value:
                yield from self.field_problems(
                    value[name], fields[name], joined(path, name)
                )
            elif description.required:
                allowed = allowed_text(fields[name])
                yield self.problem(joined(path, name), "nothing", allowed)

    def field_problems(
        self, value: object, field: FieldType, path: str
    ) -> Iterator[SettingsProblem]:
        """Yield what is wrong with the value of one field."""
        if value is None and field.optional:
            return
        if field.is_document:
            yield from self.document_problems(value, field.base, path)
        elif field.item is not None and isinstance(value, list):
            yield from self.list_problems(value, field, path)
        else:
            yield from self.value_problems(value, field, path)

    def list_problems(
        self, value: list[object], field: FieldType, path: str
    ) -> Iterator[SettingsProblem]:
        """Yield what is wrong with a list and its items."""
        if len(value) < (field.shortest or 0):
            yield self.problem(path, shown(value), allowed_text(field))
        for index, item in enumerate(value):
            yield from self.field_problems(item, field.item, f"{path}[{index}]")

    def value_problems(
        self, value: object, field: FieldType, path: str
    ) -> Iterator[SettingsProblem]:
        """Yield what is wrong with a text, number or truth value."""
        found = SECRET_FOUND if is_secret(field) else shown(value)
        try:
            msgspec.convert(value, field.whole)
        except msgspec.ValidationError:
            yield self.problem(path, found, allowed_text(field))
            return
        if field.form in ADDRESS_FORMS:
            yield from self.address_problems(value, field, path)

    def address_problems(
        self, value: str, field: FieldType, path: str
    ) -> Iterator[SettingsProblem]:
        """Yield what is wrong with an address."""
        try:
            address = parse_address(value)
        except AddressError as error:
            yield self.problem(path, f"{shown(value)} {error}", allowed_text(field))
            return
        if field.form is FieldForm.PEER_ADDRESS and address.ip.is_unspecified:
            found = f"{shown(value)}, the address of all interfaces"
            yield self.problem(path, found, allowed_text(field))

    def unknown_field(self, name: str, known: list[str], path: str) -> SettingsProblem:
        """Describe an unknown field and suggest the name that was meant."""
        near = get_close_matches(name, known, n=1, cutoff=LEAST_LIKENESS)
        listed = ", ".join(known)
        allowed = f'did you mean "{near[0]}"? ' if near else ""
        return self.problem(
            joined(path, shown(name)), "an unknown field", f"{allowed}known: {listed}"
        )

    def problem(self, field: str, found: str, allowed: str) -> SettingsProblem:
        """Describe a problem of this file."""
        return SettingsProblem(self.file, field, found, allowed)


def joined(path: str, name: str) -> str:
    """Add a field name to a path in the JSON."""
    return f"{path}.{name}" if path else name
