"""Parse a streamed answer and decide whether it is complete."""

import json
from typing import Any

from cowslipshelf_cli.internal.load.outcome import Ending

DATA = b"data:"
DONE = b"[DONE]"
HTTP_OK = 200
MAX_NAME_CHARACTERS = 80
MAX_ERROR_BYTES = 64 * 1024
UNNAMED = "unnamed"


class AnswerReader:
    """Parse the bytes of one answer as they arrive."""

    def __init__(self, status: int) -> None:
        self.status = status
        self.buffer = b""
        self.tokens_seen = False
        """Whether an event other than an error has arrived."""
        self.done = False
        self.has_trailing_data = False
        """Whether data arrived after the final marker."""
        self.error = ""

    def feed(self, data: bytes) -> None:
        """Parse the next bytes."""
        if self.status != HTTP_OK:
            self.buffer = (self.buffer + data)[:MAX_ERROR_BYTES]
            return
        *lines, self.buffer = (self.buffer + data).split(b"\n")
        for line in lines:
            self.handle_line(line.strip())

    def handle_line(self, line: bytes) -> None:
        """Parse one line of an event; ignore lines without data."""
        if not line.startswith(DATA):
            return
        payload = line.removeprefix(DATA).strip()
        self.has_trailing_data = self.has_trailing_data or self.done
        if payload == DONE:
            self.done = True
            return
        error = error_name(payload)
        if error:
            self.error = error
        else:
            self.tokens_seen = True

    def end(self) -> tuple[Ending, str]:
        """Classify the answer after its last bytes."""
        if self.status != HTTP_OK:
            return Ending.REFUSED, error_name(self.buffer) or f"status {self.status}"
        if self.buffer.strip():
            return Ending.CUT, "within a line"
        if self.error:
            return Ending.REFUSED, self.error
        if self.has_trailing_data:
            return Ending.CUT, "bytes after the final marker"
        if not self.done:
            return Ending.CUT, "no final marker"
        return Ending.WHOLE, ""


def error_name(payload: bytes) -> str:
    """Return the code and reason of a JSON error, or an empty string."""
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
    return "/".join(parts)[:MAX_NAME_CHARACTERS] or UNNAMED
