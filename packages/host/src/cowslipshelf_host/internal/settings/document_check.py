"""Compare a JSON value with the settings types and collect every problem."""

from difflib import get_close_matches

import msgspec

from cowslipshelf_host.internal.settings.addresses import (
    AddressError,
    parse_address,
)
from cowslipshelf_host.internal.settings.field_formats import FieldForm
from cowslipshelf_host.internal.settings.field_types import (
    FieldType,
    allowed_text,
    fields_of,
)
from cowslipshelf_host.internal.settings.masking import is_secret
from cowslipshelf_host.internal.settings.placeholders import (
    placeholder,
    placeholder_document,
)
from cowslipshelf_host.internal.settings.problems import (
    WHOLE_FILE,
    SettingsProblem,
    shown,
)

ADDRESS_FORMS = (FieldForm.LISTEN_ADDRESS, FieldForm.PEER_ADDRESS)
SECRET_FOUND = "a value that is not shown, as it is secret"
LEAST_LIKENESS = 0.5


class DocumentCheck:
    """Walk one file's JSON beside the types and note what is wrong.

    Each method returns a value that the types allow: the given one, with
    placeholders where it was faulty. So the rules on what fields mean together
    can be tried in the same run, and one run names everything.
    """

    def __init__(self, file: str) -> None:
        self.file = file
        self.problems: list[SettingsProblem] = []

    def note(self, field: str, found: str, allowed: str) -> None:
        """Note a problem."""
        self.problems.append(SettingsProblem(self.file, field, found, allowed))

    def document(
        self, value: object, document: type[msgspec.Struct], path: str = ""
    ) -> dict[str, object]:
        """Check an object and everything in it."""
        if not isinstance(value, dict):
            self.note(path or WHOLE_FILE, shown(value), "an object")
            return placeholder_document(document)
        fields = fields_of(document)
        for name in value:
            if name not in fields:
                self.note_unknown_field(name, list(fields), path)
        usable: dict[str, object] = {}
        for info in msgspec.structs.fields(document):
            field, inner = fields[info.name], joined(path, info.name)
            if info.name in value:
                usable[info.name] = self.field(value[info.name], field, inner)
            elif info.required:
                self.note(inner, "nothing", allowed_text(field))
                usable[info.name] = placeholder(field)
        return usable

    def field(self, value: object, field: FieldType, path: str) -> object:
        """Check the value of one field."""
        if value is None and field.optional:
            return None
        if field.is_document:
            return self.document(value, field.base, path)
        if field.item is not None and isinstance(value, list):
            return self.items(value, field, path)
        return self.single_value(value, field, path)

    def items(self, value: list[object], field: FieldType, path: str) -> object:
        """Check a list and its items."""
        if len(value) < (field.shortest or 0):
            self.note(path, shown(value), allowed_text(field))
            return placeholder(field)
        return [
            self.field(item, field.item, f"{path}[{index}]")
            for index, item in enumerate(value)
        ]

    def single_value(self, value: object, field: FieldType, path: str) -> object:
        """Check a text, number or truth value."""
        found = SECRET_FOUND if is_secret(field) else shown(value)
        try:
            msgspec.convert(value, field.whole)
            if field.form in ADDRESS_FORMS:
                check_address(value, field.form)
        except msgspec.ValidationError:
            self.note(path, found, allowed_text(field))
        except AddressError as error:
            self.note(path, f"{found}, {error}", allowed_text(field))
        else:
            return value
        return placeholder(field)

    def note_unknown_field(self, name: str, known: list[str], path: str) -> None:
        """Note an unknown field and suggest the name that was meant."""
        near = get_close_matches(name, known, n=1, cutoff=LEAST_LIKENESS)
        suggested = f'did you mean "{near[0]}"? ' if near else ""
        allowed = f"{suggested}known: {', '.join(known)}"
        self.note(joined(path, shown(name)), "an unknown field", allowed)


def check_address(text: str, form: FieldForm) -> None:
    """Raise `AddressError` where a text is no address of its form."""
    address = parse_address(text)
    if form is FieldForm.PEER_ADDRESS and address.ip.is_unspecified:
        raise AddressError("the address of all interfaces")


def joined(path: str, name: str) -> str:
    """Add a field name to a path in the JSON."""
    return f"{path}.{name}" if path else name
