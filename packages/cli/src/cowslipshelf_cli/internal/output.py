"""Write the results of commands, as text for people or as JSON for scripts."""

from collections.abc import Iterable, Sequence
from typing import Any, TextIO

import msgspec

from cowslipshelf_cli.internal.failures import CommandFailure

Row = Sequence[str]


class Writer:
    """Write results and failures as text or as JSON."""

    def __init__(self, output: TextIO, errors: TextIO, as_json: bool) -> None:
        self.output = output
        self.errors = errors
        self.as_json = as_json

    def show(self, document: Any, lines: Iterable[str]) -> None:
        """Write the document as JSON, or the lines as text."""
        if self.as_json:
            self.output.write(json_text(document) + "\n")
            return
        for line in lines:
            self.output.write(one_line(line) + "\n")

    def fail(self, failure: CommandFailure) -> None:
        """Write why a command failed and the next step."""
        if self.as_json:
            document = {"error": failure._asdict()}
            self.errors.write(json_text(document) + "\n")
            return
        self.errors.write(f"cowslipshelf: {one_line(failure.message)}\n")
        self.errors.write(f"next: {one_line(failure.next_step)}\n")


def json_text(document: Any) -> str:
    """Encode a document as indented JSON."""
    return msgspec.json.format(msgspec.json.encode(document), indent=2).decode()


def one_line(text: str) -> str:
    """Escape line breaks and control characters, as names come from other hosts."""
    return "".join(
        character if character.isprintable() else repr(character)[1:-1]
        for character in text
    )


def table(head: Row, rows: Iterable[Row]) -> list[str]:
    """Align rows in columns under a head; return no lines without rows."""
    all_rows = [head, *rows]
    if len(all_rows) == 1:
        return []
    widths = [max(map(len, column)) for column in zip(*all_rows, strict=True)]
    return [
        "  ".join(
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        ).rstrip()
        for row in all_rows
    ]
