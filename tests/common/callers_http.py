"""Call a callers' server over plain sockets, so that tests can send invalid data."""

import json
import socket
from contextlib import contextmanager
from dataclasses import dataclass, field

from cowslipshelf_callers import CallersServer, CallersServerConfig, ServedModel
from cowslipshelf_core.errors import Refusal

TIMEOUT_SECONDS = 20.0
CHAT = "/v1/chat/completions"
CHAT_BODY = (
    b'{"model":"m","stream":true,"messages":[{"role":"user","content":"hello"}]}'
)
SSE = (("Content-Type", "text/event-stream"),)


@dataclass
class RecordingHandler:
    """Answer each call with the same chunks, and record the calls."""

    chunks: tuple[bytes, ...] = (b"data: 1\n\n", b"data: [DONE]\n\n")
    headers: tuple[tuple[str, str], ...] = SSE
    refusal: Refusal | None = None
    calls: list = field(default_factory=list)

    def answer(self, call, writer) -> None:
        """Write the chunks, then the end or the refusal of the answer."""
        self.calls.append(call)
        if self.chunks or self.refusal is None:
            writer.head(200, self.headers)
        for chunk in self.chunks:
            writer.chunk(chunk)
        if self.refusal is None:
            writer.end()
        else:
            writer.refusal(self.refusal, bool(self.chunks))

    def models(self, customer_key: str) -> tuple[ServedModel, ...]:
        """List one model."""
        return (ServedModel(f"model-of-{customer_key}", "scribe"),)


@contextmanager
def running_server(handler, **limits):
    """Serve on a free port until the block ends."""
    config = CallersServerConfig("127.0.0.1:0")._replace(**limits)
    server = CallersServer.from_config(config, handler)
    server.start()
    try:
        yield server
    finally:
        server.stop(grace_seconds=2.0)


@dataclass
class Reply:
    """Hold a reply that was read to its end."""

    status: int
    headers: dict[str, str]
    raw_body: bytes

    @property
    def error(self) -> dict:
        """Return the error object of a refusal."""
        return json.loads(self.raw_body)["error"]


def connect(server: CallersServer) -> socket.socket:
    """Open a connection with a long timeout."""
    host, port = server.address.split(":")
    return socket.create_connection((host, int(port)), timeout=TIMEOUT_SECONDS)


def request_bytes(
    method: str, path: str, body: bytes = b"", version: str = "1.1", **headers: str
) -> bytes:
    """Return the bytes of a request that closes its connection after the reply."""
    lines = [f"{method} {path} HTTP/{version}", "Host: x", "Connection: close"]
    named = {"authorization": "Bearer key", **headers}
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in named.items()]
    if body:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def read_reply(connection: socket.socket) -> Reply:
    """Read a reply until the server closes the connection."""
    data = b""
    while received := connection.recv(65_536):
        data += received
    head, _, body = data.partition(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = dict(line.lower().split(": ", 1) for line in lines[1:])
    return Reply(int(lines[0].split()[1]), headers, body)


def ask(server: CallersServer, data: bytes) -> Reply:
    """Send bytes on a new connection and return the reply."""
    with connect(server) as connection:
        connection.sendall(data)
        return read_reply(connection)
