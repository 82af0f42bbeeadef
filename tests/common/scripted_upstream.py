"""Run an upstream on a real socket that answers as a test's script says."""

import json
import re
import socket
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from http.client import HTTPConnection
from typing import NamedTuple

ACCEPT_SECONDS = 0.1
FRAMINGS = ("length", "chunks", "connection")
"""What may tell where a stream ends."""


class SeenRequest(NamedTuple):
    """Hold a request as the upstream received it."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


class Exchange:
    """Hold one request and the connection on which it arrived."""

    def __init__(self, upstream: "ScriptedUpstream", connection: socket.socket) -> None:
        self.upstream = upstream
        self.connection = connection
        self.reader = connection.makefile("rb")
        self.request: SeenRequest | None = None

    def answer(self, status: int, body: bytes = b"", **headers: str) -> None:
        """Send a complete answer with the upstream's signature headers."""
        fields = {"Content-Length": str(len(body))} | self.signature() | headers
        self.connection.sendall(head(status, fields) + body)

    def begin_stream(self, **headers: str) -> None:
        """Send the head of a streamed answer."""
        fields = {
            "Content-Type": "text/event-stream",
            "Transfer-Encoding": "chunked",
        }
        fields |= self.signature() | headers
        self.connection.sendall(head(200, fields))

    def chunk(self, data: bytes) -> None:
        """Send one chunk of a stream."""
        self.connection.sendall(b"%x\r\n%b\r\n" % (len(data), data))

    def end_stream(self) -> None:
        """Complete a stream."""
        self.connection.sendall(b"0\r\n\r\n")

    def answer_stream(
        self,
        body: bytes,
        framing: str,
        missing: int = 0,
        pause_seconds: float = 0.0,
        **headers: str,
    ) -> None:
        """Send a stream that is complete by its framing, or lacks bytes of its length.

        Framed by the connection, it is complete when that closes. There is a pause
        after each event.
        """
        fields = {"Content-Type": "text/event-stream"} | self.signature() | headers
        match framing:
            case "length":
                fields["Content-Length"] = str(len(body) + missing)
            case "chunks":
                fields["Transfer-Encoding"] = "chunked"
        self.connection.sendall(head(200, fields))
        for piece in re.findall(rb"(?s).+?(?:\n\n|\Z)", body):
            if framing == "chunks":
                self.chunk(piece)
            else:
                self.connection.sendall(piece)
            time.sleep(pause_seconds)
        if framing == "chunks":
            self.end_stream()
        if framing == "connection":
            self.close()

    def close(self) -> None:
        """Close the connection as a process that exits does, without a reset."""
        self.reader.close()
        self.connection.close()

    def cut(self) -> None:
        """Reset the connection."""
        reset = b"\x01\x00\x00\x00\x00\x00\x00\x00"
        self.connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, reset)
        self.reader.close()
        self.connection.close()

    def wait_until_caller_left(self, seconds: float) -> bool:
        """Return whether the other side closes the connection in time."""
        self.connection.settimeout(seconds)
        try:
            return self.connection.recv(1) == b""
        except TimeoutError:
            return False
        except OSError:
            return True

    def signature(self) -> dict[str, str]:
        """Return the headers that every answer carries."""
        return {
            "X-Attempt-Id": self.request.headers.get("x-attempt-id", ""),
            "X-Response-Stamp": f"by-{self.upstream.upstream_id}",
        }


def head(status: int, headers: dict[str, str]) -> bytes:
    """Return the encoded head of an answer."""
    lines = [f"HTTP/1.1 {status} Said"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


@dataclass
class ScriptedUpstream:
    """Listen on a socket, with a thread for each connection."""

    upstream_id: str
    service: str
    script: Callable[[Exchange], None]
    seen: list[SeenRequest] = field(default_factory=list)
    sequence: int = 0
    born: int | None = None
    """Reported start time, as Unix time in milliseconds, or None."""
    zone: str = "here"

    def __post_init__(self) -> None:
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        self.stopped = threading.Event()
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self) -> None:
        self.listener.settimeout(ACCEPT_SECONDS)
        while not self.stopped.is_set():
            try:
                connection, _ = self.listener.accept()
            except TimeoutError:
                continue
            except OSError:
                return
            threading.Thread(target=self.serve, args=(connection,), daemon=True).start()

    def serve(self, connection: socket.socket) -> None:
        """Answer the requests of one connection in order."""
        exchange = Exchange(self, connection)
        try:
            while (request := read_request(exchange.reader)) is not None:
                self.seen.append(request)
                exchange.request = request
                self.script(exchange)
        except (OSError, ValueError):
            return

    def stop(self) -> None:
        """Stop listening."""
        self.stopped.set()
        self.listener.close()

    def send_heartbeat(self, control: str, state: str = "ready") -> int:
        """Send a heartbeat to a gateway; return the answer's status."""
        self.sequence += 1
        return self.put_heartbeat(control, self.heartbeat(state))

    def put_heartbeat(self, control: str, body: object) -> int:
        """Send any body as a heartbeat; return the answer's status."""
        return call(control, "PUT", f"/api/runners/{self.upstream_id}", body)[0]

    def heartbeat(self, state: str = "ready") -> dict:
        """Return the fields of a heartbeat."""
        started = {} if self.born is None else {"born": self.born}
        return started | {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 4,
            "state": state,
            "cold_left_ms": 0,
            "seq": self.sequence,
        }


def read_request(reader) -> SeenRequest | None:
    """Read one request; return None at the end of the connection."""
    line = reader.readline().decode().split()
    if len(line) != 3:
        return None
    headers = {}
    while (text := reader.readline().decode().strip()) != "":
        name, _, value = text.partition(":")
        headers[name.lower()] = value.strip()
    body = reader.read(int(headers.get("content-length", 0)))
    return SeenRequest(line[0], line[1], headers, body)


def call(address: str, method: str, path: str, body=None) -> tuple[int, bytes]:
    """Send a request with a JSON body; return the status and body of the answer."""
    host, _, port = address.partition(":")
    connection = HTTPConnection(host, int(port), timeout=10)
    try:
        data = body if isinstance(body, bytes | None) else json.dumps(body).encode()
        connection.request(method, path, data)
        answer = connection.getresponse()
        return answer.status, answer.read()
    except OSError:
        return 0, b""
    finally:
        connection.close()
