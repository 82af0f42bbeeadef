"""Write the answer to one call to the caller's socket."""

import socket
import struct
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
"""A header value that contains one could inject other headers."""
LAST_CHUNK = b"0\r\n\r\n"
LINGER_BYTES = struct.calcsize("ii")


@dataclass(slots=True)
class AnswerWriter:
    """Write the head, chunks and end of an answer without queueing them.

    A caller that stops reading blocks only its own thread: the kernel's buffer fills
    up, then the time limit for one chunk passes.
    """

    socket: socket.socket
    peer: str
    request_id: RequestId
    write_seconds: float
    """Time limit for the caller to take one chunk."""
    method: str
    allows_chunked: bool
    """False for HTTP/1.0, where closing the connection ends the body."""
    keep_alive: bool
    head_sent: bool = False
    ended: bool = False
    is_event_stream: bool = False
    has_body: bool = True
    pending_head: bytes = b""
    """The encoded head, until it is sent together with the first data."""
    is_nonblocking: bool = False
    """Whether the timeout of the socket is zero."""

    def head(self, status: int, headers: tuple[tuple[str, str], ...]) -> None:
        """Start the answer; its head is sent together with the data that follows."""
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
            set_reset_on_close(self.socket, True)
        self.pending_head = self.head_bytes(status, kept)

    def chunk(self, data: bytes) -> None:
        """Send one chunk of the body."""
        if not data or not self.has_body:
            return
        if self.allows_chunked:
            data = b"%x\r\n%b\r\n" % (len(data), data)
        self.send("answer", data)

    def end(self) -> None:
        """End a complete answer."""
        self.ended = True
        last = LAST_CHUNK if self.has_body and self.allows_chunked else b""
        if last or self.pending_head:
            self.send("end", last)
        if self.has_body and not self.allows_chunked:
            set_reset_on_close(self.socket, False)

    def refusal(self, refusal: Refusal, head_sent: bool) -> None:
        """Send a refusal in place of the answer, or within one that has started.

        An event stream ends with an error event. Other bodies have no place for an
        error: they are truncated, which every HTTP client reports as an error. Where
        the end of the connection would complete them, it is reset.
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
        """Send a refusal as the whole answer; `status` overrides that of its reason."""
        response = error_response(refusal, self.request_id, status)
        headers = [*response.headers, ("Content-Length", str(len(response.body)))]
        body = b"" if self.method == "HEAD" else response.body
        self.ended = True
        head = self.head_bytes(response.status, headers)
        self.send("refusal", head + body)

    def head_bytes(self, status: int, headers: list[tuple[str, str]]) -> bytes:
        """Encode the status line and the headers, and record the head as sent."""
        self.head_sent = True
        lines = [f"HTTP/1.1 {status} {_phrase(status)}"]
        lines.extend(f"{name}: {value}" for name, value in headers)
        lines.append(f"X-Request-Id: {self.request_id}")
        if not self.keep_alive:
            lines.append("Connection: close")
        text = "\r\n".join(lines) + "\r\n\r\n"
        return text.encode("latin-1", "replace")

    def caller_gone(self) -> bool:
        """Tell, without waiting, whether the caller has closed its connection.

        A socket with a timeout waits for that long in `recv`, even with a flag not to
        wait, and then raises: a caller that sends nothing would count as gone. So the
        timeout is set to zero first.
        """
        try:
            self.make_nonblocking()
            return self.socket.recv(1, socket.MSG_PEEK) == b""
        except BlockingIOError:
            return False
        except OSError:
            return True

    def send(self, step: str, data: bytes) -> None:
        """Send the pending head and the data within the time limit for one chunk."""
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
        """Set the timeout to zero; any other costs two more system calls."""
        if not self.is_nonblocking:
            self.socket.settimeout(0.0)
            self.is_nonblocking = True

    def send_nonblocking(self, data: bytes) -> int:
        """Send what fits in the kernel's buffer, which is nearly always all."""
        try:
            return self.socket.send(data)
        except BlockingIOError:
            return 0

    def send_blocking(self, data: bytes) -> None:
        """Wait for a slow caller, up to the time limit for one chunk."""
        self.is_nonblocking = False
        self.socket.settimeout(self.write_seconds)
        self.socket.sendall(data)


def set_reset_on_close(sock: socket.socket, enabled: bool) -> None:
    """Set whether closing a socket, or the end of the process, resets its connection.

    The other side takes a plain end of the connection for the end of an answer that has
    neither a length nor chunks. A reset discards what was not received.
    """
    linger = struct.pack("ii", enabled, 0)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)


def resets_on_close(sock: socket.socket) -> bool:
    """Return whether closing a socket resets its connection."""
    linger = sock.getsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_BYTES)
    return struct.unpack("ii", linger)[0] != 0


def _phrase(status: int) -> str:
    try:
        return HTTPStatus(status).phrase
    except ValueError:
        return "Unknown"
