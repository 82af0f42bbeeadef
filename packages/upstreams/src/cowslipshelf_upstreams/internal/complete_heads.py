"""Refuse answers whose head was cut before its end."""

from http.client import HTTPException, HTTPResponse
from io import BufferedReader
from typing import Any

from urllib3.connection import HTTPConnection

HEAD_TERMINATORS = (b"\r\n", b"\n")


class HeadCutError(HTTPException):
    """Report an answer whose head has no end."""


class LastLineRecorder:
    """Remember the last line that was read from a file."""

    def __init__(self, file: BufferedReader) -> None:
        self.file = file
        self.last_line = b""

    def readline(self, limit: int = -1) -> bytes:
        """Read a line and remember it."""
        self.last_line = self.file.readline(limit)
        return self.last_line

    def __getattr__(self, name: str) -> Any:
        return getattr(self.file, name)


class CompleteHeadResponse(HTTPResponse):
    """Be an answer whose head has come to its end.

    The standard library takes a connection that closes within the head for the
    head's end, and then reads a length cut short, or an answer without a body, as if
    all were well. A head that is whole ends with an empty line.
    """

    def begin(self) -> None:
        """Read the head, and raise if the connection closed within it."""
        recorder = LastLineRecorder(self.fp)
        self.fp = recorder
        super().begin()
        if self.fp is recorder:
            self.fp = recorder.file
        if recorder.last_line not in HEAD_TERMINATORS:
            raise HeadCutError("the connection closed within the head")


class CompleteHeadConnection(HTTPConnection):
    """Be a connection that takes only answers with a whole head."""

    response_class = CompleteHeadResponse
