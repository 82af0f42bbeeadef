"""Reject HTTP answers that are truncated within their head or a line of chunks."""

from http.client import HTTPException, HTTPResponse
from io import BufferedReader
from typing import Any

from urllib3.connection import HTTPConnection

HEAD_TERMINATORS = (b"\r\n", b"\n")


class HeadCutError(HTTPException):
    """Report a truncated head."""


class ChunkCutError(HTTPException):
    """Report a truncated line between chunks."""


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


class WholeLinesFile:
    """Wrap a file and reject a line that the end of the file truncates.

    A truncated size of a chunk may read as zero, which ends the answer.
    """

    def __init__(self, file: BufferedReader) -> None:
        self.file = file

    def readline(self, limit: int = -1) -> bytes:
        """Read a line, or nothing at the end; raise `ChunkCutError` within a line."""
        line = self.file.readline(limit)
        if line and len(line) != limit and not line.endswith(b"\n"):
            raise ChunkCutError("the connection closed within a line of chunks")
        return line

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
            self.fp = WholeLinesFile(recorder.file)
        if recorder.last_line not in HEAD_TERMINATORS:
            raise HeadCutError("the connection closed within the head")


class CompleteHeadConnection(HTTPConnection):
    """Accept only answers with a complete head."""

    response_class = CompleteHeadResponse
