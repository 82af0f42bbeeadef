"""Run upstreams that crash under a fatal request and restart soon after."""

import socket
import struct
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import NamedTuple

from common.gateway_fleet import Fleet
from common.scripted_upstream import Exchange, ScriptedUpstream

FATAL = b"fatal"
"""Body that crashes each upstream that runs it."""
RESTART_SECONDS = 1.5
RUN_SECONDS = 0.05
"""Time for which a request runs before its upstream crashes or answers."""
RESET = struct.pack("ii", 1, 0)


class Arrival(NamedTuple):
    """Hold a fatal request that reached an upstream."""

    at: float
    upstream_id: str
    request: str


@dataclass
class CrashingUpstream(ScriptedUpstream):
    """Run one start of an upstream, whose connections end with it."""

    connections: list[socket.socket] = field(default_factory=list)

    def serve(self, connection: socket.socket) -> None:
        """Serve a connection, and remember it to end it in a crash."""
        self.connections.append(connection)
        super().serve(connection)

    def end(self) -> None:
        """Crash as a process does: stop listening, and reset every connection."""
        self.stop()
        for connection in self.connections:
            try:
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                continue


class CrashingUpstreams:
    """Run the upstreams of a service, and record the fatal requests they get."""

    def __init__(
        self, fleet: Fleet, count: int, is_fatal: Callable[[Exchange], bool]
    ) -> None:
        self.fleet = fleet
        self.is_fatal = is_fatal
        self.lock = threading.Lock()
        self.arrivals: list[Arrival] = []
        self.ended_at: list[float] = []
        self.running: list[CrashingUpstream] = []
        self.stopping = threading.Event()
        self.starts = 0
        for _ in range(count):
            self.start()

    def start(self) -> None:
        """Start an upstream with a new id, and send its heartbeat."""
        with self.lock:
            self.starts += 1
            name = f"u-{self.starts}"
        upstream = CrashingUpstream(name, "plain", self.serve)
        with self.lock:
            self.running.append(upstream)
        self.send_heartbeats(upstream)

    def send_heartbeats(self, *upstreams: CrashingUpstream) -> None:
        """Send heartbeats of the given upstreams, or of all, to each gateway."""
        for upstream in upstreams or tuple(self.running):
            for gateway in self.fleet.gateways:
                upstream.send_heartbeat(gateway.control)

    def serve(self, exchange: Exchange) -> None:
        """Answer, or crash under a fatal request."""
        request, upstream = exchange.request, exchange.upstream
        stream = request.target.startswith("/stream/")
        fatal = self.is_fatal(exchange)
        if fatal:
            with self.lock:
                self.arrivals.append(
                    Arrival(
                        time.monotonic(),
                        upstream.upstream_id,
                        request.headers["x-attempt-id"],
                    )
                )
        if stream:
            exchange.begin_stream()
            exchange.chunk(b"id: 1\ndata: one\n\n")
        time.sleep(RUN_SECONDS)
        if fatal:
            self.end(upstream)
        elif stream:
            exchange.end_stream()
        else:
            exchange.answer(200, b"hello")

    def end(self, upstream: CrashingUpstream) -> None:
        """Crash an upstream once, and restart one after a while."""
        with self.lock:
            if upstream.stopped.is_set():
                return
            self.ended_at.append(time.monotonic())
            self.running.remove(upstream)
            upstream.end()
        if not self.stopping.is_set():
            threading.Timer(RESTART_SECONDS, self.start_again).start()

    def start_again(self) -> None:
        """Start another upstream, unless the test is over."""
        if not self.stopping.is_set():
            self.start()

    def stop(self) -> None:
        """Start no more upstreams."""
        self.stopping.set()

    def arrived_after(self, moment: float) -> int:
        """Count the fatal requests that reached an upstream after a given time."""
        with self.lock:
            return sum(arrival.at > moment for arrival in self.arrivals)
