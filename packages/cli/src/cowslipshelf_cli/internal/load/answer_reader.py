"""Read a streamed answer and judge whether it is whole."""

import json
from typing import Any

from cowslipshelf_cli.internal.load.outcome import Ending

DATA = b"data:"
DONE = b"[DONE]"
HTTP_OK = 200
SHOWN_CHARACTERS = 80
LARGEST_ERROR_BYTES = 64 * 1024
UNNAMED = "unnamed"


class AnswerReader:
    """Take the bytes of one answer as they come."""

    def __init__(self, status: int) -> None:
        self.status = status
        self.rest = b""
        self.tokens_seen = False
        """Whether an event of the answer itself has come, not an error."""
        self.done = False
        self.trailing = False
        """Whether something came after the final marker."""
        self.error = ""

    def feed(self, data: bytes) -> None:
        """Take the next bytes."""
        if self.status != HTTP_OK:
            self.rest = (self.rest + data)[:LARGEST_ERROR_BYTES]
            return
        *lines, self.rest = (self.rest + data).split(b"\n")
        for line in lines:
            self.take_line(line.strip())

    def take_line(self, line: bytes) -> None:
        """Take one line of an event; those without data say nothing of the answer."""
        if not line.startswith(DATA):
            return
        payload = line.removeprefix(DATA).strip()
        self.trailing = self.trailing or self.done
        if payload == DONE:
            self.done = True
            return
        error = error_name(payload)
        if error:
            self.error = error
        else:
            self.tokens_seen = True

    def end(self) -> tuple[Ending, str]:
        """Judge the answer once no more bytes come."""
        if self.status != HTTP_OK:
            return Ending.REFUSED, error_name(self.rest) or f"status {self.status}"
        if self.rest.strip():
            return Ending.CUT, "within a line"
        if self.error:
            return Ending.REFUSED, self.error
        if self.trailing:
            return Ending.CUT, "bytes after the final marker"
        if not self.done:
            return Ending.CUT, "no final marker"
        return Ending.WHOLE, ""


def error_name(payload: bytes) -> str:
    """Name the error that a JSON document holds, or nothing where it holds none."""
    try:
        document: Any = json.loads(payload)
    except (ValueError, RecursionError):
        return ""
    if not isinstance(document, dict) or "error" not in document:
        return ""
    error = document["error"]
    if not isinstance(error, dict):
        return UNNAMED
    parts = [str(error[name]) for name in ("code", "reason") if error.get(name)]
    return "/".join(parts)[:SHOWN_CHARACTERS] or UNNAMED
