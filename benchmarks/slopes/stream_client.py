"""Read many streamed answers in one thread, and record when each event arrived.

One thread reads plain sockets, as the cost of a thread per stream would dominate the
measurement.
"""

import json
import selectors
import socket
import threading
import time
from collections.abc import Sequence
from dataclasses import dataclass, field

RECEIVE_BYTES = 65_536
EVENT_MARKER = b"data: "
DONE_MARKER = b"[DONE]"
CONNECT_TIMEOUT_SECONDS = 10.0
SELECT_TIMEOUT_SECONDS = 0.1
IDLE_TIMEOUT_SECONDS = 60.0


@dataclass
class Stream:
    """Track one streamed answer."""

    connection: socket.socket
    sent_at: float
    arrivals: list[float] = field(default_factory=list)
    done: bool = False
    head: bytes = b""
    tail: bytes = b""


def request_bytes(host: str, model: str, key: str, tokens: int, number: int) -> bytes:
    """Build a streamed completion request, with a different prompt each time."""
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
    """Open streams at a constant rate, and read all of them until they end."""

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
        """Start reading, and open the streams at a constant rate."""
        self.to_open = count
        self.thread.start()
        for number in range(count):
            self.open(number, tokens)
            time.sleep(spacing_seconds)

    def open(self, number: int, tokens: int) -> None:
        """Send one request."""
        address = self.addresses[number % len(self.addresses)]
        host, port = address.split(":")
        connection = socket.create_connection(
            (host, int(port)), CONNECT_TIMEOUT_SECONDS
        )
        request = request_bytes(address, self.model, self.key, tokens, number)
        stream = Stream(connection, time.monotonic())
        connection.sendall(request)
        connection.setblocking(False)
        self.streams.append(stream)
        self.selector.register(connection, selectors.EVENT_READ, stream)

    def read_all(self) -> None:
        """Read until every stream has ended or the idle timeout has passed."""
        last_received = time.monotonic()
        while time.monotonic() - last_received < IDLE_TIMEOUT_SECONDS:
            all_open = len(self.streams) == self.to_open
            if all_open and all(stream.done for stream in self.streams):
                break
            for key, _ in self.selector.select(SELECT_TIMEOUT_SECONDS):
                last_received = time.monotonic()
                self.read(key.data, last_received)
        self.ended.set()

    def read(self, stream: Stream, now: float) -> None:
        """Receive data of one stream and count its events."""
        data = stream.connection.recv(RECEIVE_BYTES)
        if not data:
            self.close(stream)
            return
        if not stream.arrivals:
            stream.head = stream.head[:200] + data[:200]
        # A marker may be split across two reads. The kept tail is shorter than a
        # marker, so that none is counted twice.
        data_with_tail = stream.tail + data
        stream.arrivals += [now] * data_with_tail.count(EVENT_MARKER)
        stream.tail = data_with_tail[-len(EVENT_MARKER) + 1 :]
        if DONE_MARKER in data_with_tail:
            self.close(stream)

    def close(self, stream: Stream) -> None:
        """Close one stream."""
        self.selector.unregister(stream.connection)
        stream.connection.close()
        stream.done = True

    def events(self) -> int:
        """Return the number of events received so far."""
        return sum(len(stream.arrivals) for stream in self.streams)

    def wait(self) -> None:
        """Wait for the end of all streams; raise if one had no event."""
        self.ended.wait()
        empty = [stream for stream in self.streams if not stream.arrivals]
        if empty:
            head = empty[0].head[:200]
            raise RuntimeError(f"{len(empty)} streams brought nothing: {head!r}")

    def first_seconds(self) -> list[float]:
        """Return the time to the first event of each stream."""
        return [stream.arrivals[0] - stream.sent_at for stream in self.streams]

    def gaps(self) -> list[float]:
        """Return the times between consecutive events of all streams."""
        return [
            later - earlier
            for stream in self.streams
            for earlier, later in zip(
                stream.arrivals, stream.arrivals[1:], strict=False
            )
        ]
