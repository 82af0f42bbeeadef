"""Check a JSON value against the settings types and collect every problem."""

from difflib import get_close_matches

import msgspec

from cowslipshelf_host.internal.settings.addresses import (
    AddressError,
    parse_address,
)
from cowslipshelf_host.internal.settings.field_formats import FieldFormat
from cowslipshelf_host.internal.settings.field_types import (
    FieldType,
    allowed_text,
    field_types_of,
)
from cowslipshelf_host.internal.settings.masking import is_secret
from cowslipshelf_host.internal.settings.placeholders import (
    placeholder,
    placeholder_document,
)
from cowslipshelf_host.internal.settings.problems import (
    WHOLE_FILE,
    SettingsProblem,
    format_value,
)

ADDRESS_FORMATS = (FieldFormat.LISTEN_ADDRESS, FieldFormat.PEER_ADDRESS)
HIDDEN_VALUE_TEXT = "a value that is not shown, as it is secret"
MIN_SIMILARITY = 0.5


class DocumentChecker:
    """Check the JSON of one file against the settings types.

    Each method returns a value that the types allow: the given one, with placeholders
    for faulty parts. So the rules that compare fields can be checked in the same run,
    and one run reports every problem.
    """

    def __init__(self, file: str) -> None:
        self.file = file
        self.problems: list[SettingsProblem] = []

    def add_problem(self, field: str, found: str, allowed: str) -> None:
        """Record a problem."""
        self.problems.append(SettingsProblem(self.file, field, found, allowed))

    def check_document(
        self, value: object, document: type[msgspec.Struct], path: str = ""
    ) -> dict[str, object]:
        """Check an object and everything in it."""
        if not isinstance(value, dict):
            self.add_problem(path or WHOLE_FILE, format_value(value), "an object")
            return placeholder_document(document)
        fields = field_types_of(document)
        for name in value:
            if name not in fields:
                self.add_unknown_field(name, list(fields), path)
        usable: dict[str, object] = {}
        for info in msgspec.structs.fields(document):
            field, subpath = fields[info.name], join_path(path, info.name)
            if info.name in value:
                usable[info.name] = self.check_field(value[info.name], field, subpath)
            elif info.required:
                self.add_problem(subpath, "nothing", allowed_text(field))
                usable[info.name] = placeholder(field)
        return usable

    def check_field(self, value: object, field: FieldType, path: str) -> object:
        """Check the value of one field."""
        if value is None and field.optional:
            return None
        if field.is_document:
            return self.check_document(value, field.base, path)
        if field.item is not None and isinstance(value, list):
            return self.check_items(value, field, path)
        return self.check_scalar(value, field, path)

    def check_items(self, value: list[object], field: FieldType, path: str) -> object:
        """Check a list and its items."""
        if len(value) < (field.min_length or 0):
            self.add_problem(path, format_value(value), allowed_text(field))
            return placeholder(field)
        return [
            self.check_field(item, field.item, f"{path}[{index}]")
            for index, item in enumerate(value)
        ]

    def check_scalar(self, value: object, field: FieldType, path: str) -> object:
        """Check a text, number or boolean."""
        found = HIDDEN_VALUE_TEXT if is_secret(field) else format_value(value)
        try:
            msgspec.convert(value, field.annotation)
            if field.format in ADDRESS_FORMATS:
                check_address(value, field.format)
        except msgspec.ValidationError:
            self.add_problem(path, found, allowed_text(field))
        except AddressError as error:
            self.add_problem(path, f"{found}, {error}", allowed_text(field))
        else:
            return value
        return placeholder(field)

    def add_unknown_field(self, name: str, known: list[str], path: str) -> None:
        """Record an unknown field and suggest a known name similar to it."""
        matches = get_close_matches(name, known, n=1, cutoff=MIN_SIMILARITY)
        suggested = f'did you mean "{matches[0]}"? ' if matches else ""
        allowed = f"{suggested}known: {', '.join(known)}"
        self.add_problem(
            join_path(path, format_value(name)), "an unknown field", allowed
        )


def check_address(text: str, field_format: FieldFormat) -> None:
    """Raise `AddressError` if a text is not an address of the given format."""
    address = parse_address(text)
    if field_format is FieldFormat.PEER_ADDRESS and address.ip.is_unspecified:
        raise AddressError("the address of all interfaces")


def join_path(path: str, name: str) -> str:
    """Append a field name to a JSON path."""
    return f"{path}.{name}" if path else name
