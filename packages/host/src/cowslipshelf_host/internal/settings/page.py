"""Generate the settings page from the types, so that it stays up to date."""

import ast
import inspect
from collections.abc import Iterator
from typing import get_origin

import msgspec

from cowslipshelf_host.internal.settings import documents
from cowslipshelf_host.internal.settings.documents import DaemonSettings
from cowslipshelf_host.internal.settings.field_types import (
    FieldType,
    allowed_text,
    field_types_of,
)
from cowslipshelf_host.internal.settings.masking import is_secret
from cowslipshelf_host.internal.settings.rules import (
    INTERVAL_PAIRS,
    MIN_INTERVALS,
)

INTRODUCTION = """\
# Settings

One JSON file holds the settings of one daemon. `cowslipshelf check FILE...` checks
files without starting anything and prints every problem in one line: the file, the
field, what was found and what is allowed. A daemon with wrong settings does not start.
Examples: [an entry](../examples/settings/entry.json),
[a sidecar](../examples/settings/sidecar.json).

Unknown fields, a field given twice and hostnames are refused: addresses are IP:PORT.
Secret values are never printed, logged or shown in problems. Besides the ranges below,
fields must agree with each other: an address serves one purpose of one instance, each
data centre has an instance, and these minimum ratios between times apply:

{proportions}

This page is generated from the types by `make settings-page`; tests compare it.
"""
TABLE_HEAD = ("| field | allowed | default | meaning |", "| --- | --- | --- | --- |")


def render_settings_page() -> str:
    """Return the page as Markdown."""
    docstrings = field_docstrings(inspect.getsource(documents))
    proportions = "\n".join(
        f"- `{longer}` is at least {MIN_INTERVALS} x `{shorter}`"
        for longer, shorter in INTERVAL_PAIRS
    )
    sections = [INTRODUCTION.format(proportions=proportions).rstrip()]
    for document in documents_under(DaemonSettings):
        sections.append("\n".join(section_lines(document, docstrings)))
    return "\n\n".join(sections) + "\n"


def documents_under(document: type[msgspec.Struct]) -> list[type[msgspec.Struct]]:
    """List a document and those nested in it, each once, outer ones first."""
    found = [document]
    for field in field_types_of(document).values():
        nested = nested_document(field)
        if nested is not None:
            found += [each for each in documents_under(nested) if each not in found]
    return found


def nested_document(field: FieldType) -> type[msgspec.Struct] | None:
    """Return the document type of a field or of its items, or None."""
    inner = field.item or field
    return inner.base if inner.is_document else None


def section_lines(
    document: type[msgspec.Struct], docstrings: dict[tuple[str, str], str]
) -> Iterator[str]:
    """Yield the lines of one document's section."""
    yield f"## {document.__name__}"
    yield ""
    yield inspect.getdoc(document) or ""
    yield ""
    yield from TABLE_HEAD
    fields = field_types_of(document)
    for info in msgspec.structs.fields(document):
        field = fields[info.name]
        cells = (
            f"`{info.name}`",
            allowed_cell(field),
            default_cell(info),
            docstrings[document.__name__, info.name] + secret_note(field),
        )
        yield "| " + " | ".join(cells) + " |"


def allowed_cell(field: FieldType) -> str:
    """Describe what a field allows, with a link if it holds a document."""
    nested = nested_document(field)
    if nested is None:
        return allowed_text(field)
    link = f"[{nested.__name__}](#{nested.__name__.lower()})"
    return f"a list of {link}" if field.item else link


def default_cell(info: msgspec.structs.FieldInfo) -> str:
    """Describe the default of a field."""
    if info.required:
        return "required"
    value = info.default
    if value is None:
        return "not set"
    if isinstance(value, msgspec.Struct):
        return "its defaults"
    if get_origin(info.type) is tuple or value == ():
        return "empty"
    return f"`{msgspec.json.encode(value).decode()}`"


def secret_note(field: FieldType) -> str:
    """Return the note for a secret field, or an empty text."""
    return " Secret." if is_secret(field) else ""


def field_docstrings(source: str) -> dict[tuple[str, str], str]:
    """Return the docstring after each field, by class and field name."""
    found: dict[tuple[str, str], str] = {}
    for statement in ast.parse(source).body:
        if not isinstance(statement, ast.ClassDef):
            continue
        body = statement.body
        for field, after in zip(body, body[1:], strict=False):
            match field, after:
                case (
                    ast.AnnAssign(target=ast.Name(id=name)),
                    ast.Expr(value=ast.Constant(value=str(text))),
                ):
                    found[statement.name, name] = inspect.cleandoc(text)
    return found
