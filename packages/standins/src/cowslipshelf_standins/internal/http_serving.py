"""Serve HTTP for stand-ins, with one thread per connection."""

import os
import sys
from abc import ABC, abstractmethod
from contextlib import suppress
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from math import ceil
from socket import create_connection
from threading import Thread
from typing import Any, Self
from urllib.parse import urlsplit

import msgspec

from cowslipshelf_standins.internal.faults import FaultInjector, Faults

FAULTS_PATH = "/_faults"
WRITE_BUFFER_BYTES = 65_536
SEGFAULT_EXIT_CODE = 139
"""Exit code that a shell reports for a process ended by SIGSEGV."""
SHUTDOWN_POLL_SECONDS = 1.0
"""Long, so that idle stand-ins use hardly any CPU time."""
MAX_BODY_BYTES = 64 * 1024 * 1024


class ErrorBody(msgspec.Struct, frozen=True):
    """Hold the details of an error in the OpenAI format."""

    message: str
    type: str
    code: str


class ErrorAnswer(msgspec.Struct, frozen=True):
    """Hold an error in the OpenAI format."""

    error: ErrorBody


class BadRequestError(Exception):
    """Report a refused request with the HTTP status of the answer."""

    def __init__(
        self, status: int, code: str, message: str, retry_after: float = 1.0
    ) -> None:
        super().__init__(message)
        self.status = status
        self.code = code
        self.retry_after = retry_after


class StandInHandler(BaseHTTPRequestHandler, ABC):
    """Read a connection's requests and pass each to `respond`."""

    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True
    wbufsize = WRITE_BUFFER_BYTES
    server: "StandInServer"

    def log_message(self, format: str, *args: Any) -> None:  # noqa: A002
        """Log nothing; tests read answers, not logs."""

    def __getattr__(self, name: str) -> Any:
        """Serve all HTTP methods with `serve_request`."""
        if name.startswith("do_"):
            return self.serve_request
        raise AttributeError(name)

    def serve_request(self) -> None:
        """Answer one request under the active faults."""
        injector = self.server.injector
        try:
            body = self.read_body()
            if self.path_only == FAULTS_PATH:
                self.answer_faults(body)
                return
            injector.wait_while_frozen()
            if injector.faults.refuse:
                raise BadRequestError(503, "overloaded", "the stand-in refuses")
            self.crash_if_matched(body)
            self.respond(body)
        except BadRequestError as error:
            self.answer_error(error)
        except (msgspec.MsgspecError, ValueError) as error:
            self.answer_error(BadRequestError(400, "bad_request", str(error)))
        except OSError:
            # The connection is lost; the work that was requested continues.
            self.close_connection = True

    def crash_if_matched(self, body: bytes) -> None:
        """Exit as after a crash if the body contains the text of the fault `end_on`."""
        text = self.server.injector.faults.end_on
        if text is not None and text.encode() in body:
            os._exit(SEGFAULT_EXIT_CODE)

    @property
    def path_only(self) -> str:
        """Return the path without its query."""
        return urlsplit(self.path).path

    @property
    def query(self) -> str:
        """Return the query text without its question mark."""
        return urlsplit(self.path).query

    @abstractmethod
    def respond(self, body: bytes) -> None:
        """Answer a request."""

    def read_body(self) -> bytes:
        """Return the whole body of the request."""
        if self.headers.get("Transfer-Encoding"):
            raise self.body_error(411, "length_required", "send a Content-Length")
        text = self.headers.get("Content-Length", "0")
        if not text.isdecimal():
            raise self.body_error(400, "bad_request", "Content-Length is no number")
        length = int(text)
        if length > MAX_BODY_BYTES:
            raise self.body_error(413, "too_large", "the body is too large")
        body = self.rfile.read(length)
        if len(body) < length:
            raise ConnectionResetError("the request body is truncated")
        return body

    def body_error(self, status: int, code: str, message: str) -> BadRequestError:
        """Return the error for an unread body; its connection can't be reused."""
        self.close_connection = True
        return BadRequestError(status, code, message)

    def answer_faults(self, body: bytes) -> None:
        """Set the active faults if there is a body, and return them."""
        if body:
            self.server.injector.set(msgspec.json.decode(body, type=Faults))
        self.answer_json(200, self.server.injector.faults)

    def answer_error(self, error: BadRequestError) -> None:
        """Answer with an error in the OpenAI format."""
        kind = "server_error" if error.status >= 500 else "invalid_request_error"
        answer = ErrorAnswer(ErrorBody(str(error), kind, error.code))
        retry_after = str(ceil(error.retry_after))
        headers = (("Retry-After", retry_after),) if error.status in (429, 503) else ()
        self.answer_json(error.status, answer, headers)

    def answer_json(
        self, status: int, value: Any, headers: tuple[tuple[str, str], ...] = ()
    ) -> None:
        """Answer with a value as JSON."""
        self.answer_bytes(
            status,
            msgspec.json.encode(value),
            (("Content-Type", "application/json"), *headers),
        )

    def answer_bytes(
        self, status: int, body: bytes, headers: tuple[tuple[str, str], ...] = ()
    ) -> None:
        """Answer with a body of known length."""
        self.server.injector.wait_while_frozen_unless(self.path_only == FAULTS_PATH)
        self.send_response(status)
        for name, value in headers:
            self.send_header(name, value)
        self.send_header("Content-Length", str(len(body)))
        if self.close_connection:
            # Otherwise a client may send its next request on the closing connection.
            self.send_header("Connection", "close")
        self.end_headers()
        if self.command != "HEAD":
            self.wfile.write(body)
        self.wfile.flush()

    def begin_stream(self, headers: tuple[tuple[str, str], ...]) -> None:
        """Send the head of a chunked answer."""
        self.send_response(200)
        for name, value in headers:
            self.send_header(name, value)
        self.send_header("Transfer-Encoding", "chunked")
        self.end_headers()
        self.wfile.flush()


class StandInServer(ThreadingHTTPServer):
    """Serve one stand-in within this process."""

    daemon_threads = True
    block_on_close = False
    request_queue_size = 1024
    allow_reuse_address = True

    def __init__(
        self,
        listen_address: str,
        handler: type[StandInHandler],
        injector: FaultInjector,
    ) -> None:
        host, _, port = listen_address.rpartition(":")
        super().__init__((host, int(port)), handler)
        self.injector = injector

    @property
    def address(self) -> str:
        """Return the listen address as IP:port."""
        host, port = self.server_address[:2]
        return f"{host}:{port}"

    def start(self) -> Self:
        """Serve on a daemon thread."""
        arguments = (SHUTDOWN_POLL_SECONDS,)
        Thread(target=self.serve_forever, args=arguments, daemon=True).start()
        return self

    def stop(self) -> None:
        """Stop listening, and wake the threads that the fault `freeze` blocks."""
        self.injector.set(Faults())
        ending = Thread(target=self.shutdown, daemon=True)
        ending.start()
        # A connection wakes the listener, which would otherwise wait for its next poll.
        with suppress(OSError):
            create_connection(self.server_address[:2]).close()
        ending.join()
        self.server_close()

    def handle_error(self, request: Any, client_address: Any) -> None:
        """Ignore errors of lost connections; print all others."""
        if not isinstance(sys.exc_info()[1], OSError):
            super().handle_error(request, client_address)
