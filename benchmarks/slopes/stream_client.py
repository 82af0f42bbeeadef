"""Read many streamed answers in one thread, and note when each event came.

One thread and plain sockets: a thread for each stream would measure the client.
"""

import json
import selectors
import socket
import threading
import time
from collections.abc import Sequence
from dataclasses import dataclass, field

RECEIVE_BYTES = 65_536
EVENT_MARK = b"data: "
DONE_MARK = b"[DONE]"
CONNECT_SECONDS = 10.0
SELECT_SECONDS = 0.1
LATENESS_SECONDS = 60.0


@dataclass
class Stream:
    """Be one open answer."""

    connection: socket.socket
    sent_at: float
    arrivals: list[float] = field(default_factory=list)
    done: bool = False
    head: bytes = b""
    tail: bytes = b""


def request_bytes(host: str, model: str, key: str, tokens: int, number: int) -> bytes:
    """Write one streamed completion request; a fresh prompt each time."""
    prompt = f"{number} " + "tare note " * 20
    body = json.dumps(
        {"model": model, "prompt": prompt, "max_tokens": tokens, "stream": True}
    ).encode()
    head = (
        "POST /v1/completions HTTP/1.1",
        f"Host: {host}",
        f"Authorization: Bearer {key}",
        "Content-Type: application/json",
        f"Content-Length: {len(body)}",
        "Connection: close",
    )
    return "\r\n".join(head).encode() + b"\r\n\r\n" + body


class StreamClient:
    """Open streams one after the other, and read all of them until they end."""

    def __init__(self, addresses: Sequence[str], model: str, key: str) -> None:
        self.addresses = addresses
        self.model = model
        self.key = key
        self.streams: list[Stream] = []
        self.selector = selectors.DefaultSelector()
        self.ended = threading.Event()
        self.thread = threading.Thread(target=self.read_all, daemon=True)
        self.to_open = 0

    def start(self, count: int, tokens: int, spacing_seconds: float) -> None:
        """Begin to read, and open the streams at an even pace."""
        self.to_open = count
        self.thread.start()
        for number in range(count):
            self.open(number, tokens)
            time.sleep(spacing_seconds)

    def open(self, number: int, tokens: int) -> None:
        """Send one request."""
        address = self.addresses[number % len(self.addresses)]
        host, port = address.split(":")
        connection = socket.create_connection((host, int(port)), CONNECT_SECONDS)
        request = request_bytes(address, self.model, self.key, tokens, number)
        stream = Stream(connection, time.monotonic())
        connection.sendall(request)
        connection.setblocking(False)
        self.streams.append(stream)
        self.selector.register(connection, selectors.EVENT_READ, stream)

    def read_all(self) -> None:
        """Read until every stream has ended, or nothing has come for long."""
        last_heard = time.monotonic()
        while time.monotonic() - last_heard < LATENESS_SECONDS:
            all_open = len(self.streams) == self.to_open
            if all_open and all(stream.done for stream in self.streams):
                break
            for key, _ in self.selector.select(SELECT_SECONDS):
                last_heard = time.monotonic()
                self.read(key.data, last_heard)
        self.ended.set()

    def read(self, stream: Stream, now: float) -> None:
        """Take what has come on one stream."""
        data = stream.connection.recv(RECEIVE_BYTES)
        if not data:
            self.close(stream)
            return
        if not stream.arrivals:
            stream.head = stream.head[:200] + data[:200]
        # A mark may lie across two pieces; the tail kept is shorter than a mark.
        joined = stream.tail + data
        stream.arrivals += [now] * joined.count(EVENT_MARK)
        stream.tail = joined[-len(EVENT_MARK) + 1 :]
        if DONE_MARK in joined:
            self.close(stream)

    def close(self, stream: Stream) -> None:
        """End one stream."""
        self.selector.unregister(stream.connection)
        stream.connection.close()
        stream.done = True

    def events(self) -> int:
        """Count the events that have come so far."""
        return sum(len(stream.arrivals) for stream in self.streams)

    def wait(self) -> None:
        """Wait for the end of all streams; raise where one brought no event."""
        self.ended.wait()
        silent = [stream for stream in self.streams if not stream.arrivals]
        if silent:
            head = silent[0].head[:200]
            raise RuntimeError(f"{len(silent)} streams brought nothing: {head!r}")

    def first_seconds(self) -> list[float]:
        """Return every stream's time to its first event."""
        return [stream.arrivals[0] - stream.sent_at for stream in self.streams]

    def gaps(self) -> list[float]:
        """Return the times between events of one stream, of all streams."""
        return [
            later - earlier
            for stream in self.streams
            for earlier, later in zip(
                stream.arrivals, stream.arrivals[1:], strict=False
            )
        ]
