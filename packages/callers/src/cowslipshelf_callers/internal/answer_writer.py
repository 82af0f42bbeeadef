"""Write one answer to one caller, as it comes."""

import socket
from dataclasses import dataclass
from http import HTTPStatus

from cowslipshelf_callers.errors import CallerGoneError
from cowslipshelf_callers.internal.refusal_response import error_event, error_response
from cowslipshelf_core.errors import Refusal
from cowslipshelf_core.identifiers import RequestId

HOP_BY_HOP = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "x-request-id",
    }
)
STATUSES_WITHOUT_BODY = frozenset({204, 304})
EVENT_STREAM = "text/event-stream"
LINE_BREAKS = frozenset("\r\n")
"""A header that holds one could forge others."""
LAST_CHUNK = b"0\r\n\r\n"


@dataclass(slots=True)
class AnswerWriter:
    """Send head, chunks and end over a caller's socket, each at once.

    Nothing is queued: a caller that stops reading holds up its own thread, until the
    kernel's buffer is full and the time for one piece has passed.
    """

    socket: socket.socket
    peer: str
    request_id: RequestId
    write_seconds: float
    method: str
    allows_chunked: bool
    """False for HTTP/1.0, where the end of the connection ends the body."""
    keep_alive: bool
    head_sent: bool = False
    ended: bool = False
    is_event_stream: bool = False
    has_body: bool = True
    pending_head: bytes = b""
    """The head, until there is something to send it with."""
    is_nonblocking: bool = False

    def head(self, status: int, headers: tuple[tuple[str, str], ...]) -> None:
        """Begin the answer; the head goes out together with what follows it."""
        kept = [
            (name, value)
            for name, value in headers
            if name.lower() not in HOP_BY_HOP and not LINE_BREAKS.intersection(value)
        ]
        self.is_event_stream = any(
            name.lower() == "content-type" and value.startswith(EVENT_STREAM)
            for name, value in kept
        )
        self.has_body = self.method != "HEAD" and status not in STATUSES_WITHOUT_BODY
        if self.has_body and self.allows_chunked:
            kept.append(("Transfer-Encoding", "chunked"))
        if self.has_body and not self.allows_chunked:
            self.keep_alive = False
        self.pending_head = self.head_bytes(status, kept)

    def chunk(self, data: bytes) -> None:
        """Send a piece of the body."""
        if not data or not self.has_body:
            return
        if self.allows_chunked:
            data = b"%x\r\n%b\r\n" % (len(data), data)
        self.send("answer", data)

    def end(self) -> None:
        """End a whole answer."""
        self.ended = True
        last = LAST_CHUNK if self.has_body and self.allows_chunked else b""
        if last or self.pending_head:
            self.send("end", last)

    def refusal(self, refusal: Refusal, head_sent: bool) -> None:
        """Send a refusal, in place of the answer or inside the one that began.

        A body of events ends with an event that says what happened. Other bodies have
        no place for that: they are cut, which every HTTP client reports as an error.
        """
        self.ended = True
        if not head_sent and not self.head_sent:
            self.send_refusal(refusal)
            return
        self.keep_alive = False
        if self.is_event_stream:
            self.chunk(error_event(refusal, self.request_id))
            self.end()
        elif self.pending_head:
            self.send("answer", b"")

    def send_refusal(self, refusal: Refusal, status: int | None = None) -> None:
        """Send a refusal that is the whole answer; its reason gives the status."""
        response = error_response(refusal, self.request_id, status)
        headers = [*response.headers, ("Content-Length", str(len(response.body)))]
        body = b"" if self.method == "HEAD" else response.body
        self.ended = True
        head = self.head_bytes(response.status, headers)
        self.send("refusal", head + body)

    def head_bytes(self, status: int, headers: list[tuple[str, str]]) -> bytes:
        """Write the status line and the headers."""
        self.head_sent = True
        lines = [f"HTTP/1.1 {status} {_phrase(status)}"]
        lines.extend(f"{name}: {value}" for name, value in headers)
        lines.append(f"X-Request-Id: {self.request_id}")
        if not self.keep_alive:
            lines.append("Connection: close")
        text = "\r\n".join(lines) + "\r\n\r\n"
        return text.encode("latin-1", "replace")

    def caller_gone(self) -> bool:
        """Look, without waiting, whether the caller has closed its connection.

        A socket with a timeout waits for it even where a flag asks it not to, and
        then reports a quiet caller as gone. So the timeout is put to zero first.
        """
        try:
            self.make_nonblocking()
            return self.socket.recv(1, socket.MSG_PEEK) == b""
        except BlockingIOError:
            return False
        except OSError:
            return True

    def send(self, step: str, data: bytes) -> None:
        """Send bytes, after what was held back, within the time for one piece."""
        if self.pending_head:
            data = self.pending_head + data
            self.pending_head = b""
        try:
            self.make_nonblocking()
            sent = self.send_nonblocking(data)
            if sent < len(data):
                self.send_blocking(data[sent:])
        except OSError as error:
            self.keep_alive = False
            raise CallerGoneError(step, self.peer, str(error)) from error

    def make_nonblocking(self) -> None:
        """Let the socket return at once; a timed one costs two more system calls."""
        if not self.is_nonblocking:
            self.socket.settimeout(0.0)
            self.is_nonblocking = True

    def send_nonblocking(self, data: bytes) -> int:
        """Send what the kernel's buffer takes now; nearly always that is all."""
        try:
            return self.socket.send(data)
        except BlockingIOError:
            return 0

    def send_blocking(self, data: bytes) -> None:
        """Wait for a caller that reads slowly, but for one piece's time at most."""
        self.is_nonblocking = False
        self.socket.settimeout(self.write_seconds)
        self.socket.sendall(data)


def _phrase(status: int) -> str:
    try:
        return HTTPStatus(status).phrase
    except ValueError:
        return "Unknown"
