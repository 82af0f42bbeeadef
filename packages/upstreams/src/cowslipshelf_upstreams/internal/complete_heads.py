"""Reject HTTP answers whose head is truncated."""

from http.client import HTTPException, HTTPResponse
from io import BufferedReader
from typing import Any

from urllib3.connection import HTTPConnection

HEAD_TERMINATORS = (b"\r\n", b"\n")


class HeadCutError(HTTPException):
    """Report a truncated head."""


class LastLineRecorder:
    """Wrap a file and record the last line read from it."""

    def __init__(self, file: BufferedReader) -> None:
        self.file = file
        self.last_line = b""

    def readline(self, limit: int = -1) -> bytes:
        """Read a line and record it."""
        self.last_line = self.file.readline(limit)
        return self.last_line

    def __getattr__(self, name: str) -> Any:
        return getattr(self.file, name)


class CompleteHeadResponse(HTTPResponse):
    """Parse an answer and reject a truncated head.

    The standard library treats a connection that closes within the head as the end of
    the head, and then accepts a truncated length or an answer without a body. A
    complete head ends with an empty line.
    """

    def begin(self) -> None:
        """Read the head; raise `HeadCutError` if the connection closed within it."""
        recorder = LastLineRecorder(self.fp)
        self.fp = recorder
        super().begin()
        if self.fp is recorder:
            self.fp = recorder.file
        if recorder.last_line not in HEAD_TERMINATORS:
            raise HeadCutError("the connection closed within the head")


class CompleteHeadConnection(HTTPConnection):
    """Accept only answers with a complete head."""

    response_class = CompleteHeadResponse
