"""Measure what callers cost: processor time per request and piece, memory per stream.

The server runs in this process with a handler that does nothing but write; a second
process is the callers. Processor time is this process's own. Threads that only wake
and write nothing are measured too, since a stream's thread wakes for each piece.

    python benchmarks/callers.py --streams 1 50 300 --rounds 3 > callers.json
"""

import argparse
import json
import resource
import selectors
import socket
import statistics
import subprocess
import sys
import threading
import time
from dataclasses import dataclass, field
from typing import NamedTuple

from cowslipshelf_callers import CallersServer, CallersServerConfig

PIECE = b'data: {"choices":[{"delta":{"content":"' + b"x" * 120 + b'"}}]}\n\n'
BODY = json.dumps(
    {
        "model": "m",
        "stream": True,
        "messages": [{"role": "user", "content": "x" * 4000}],
    }
).encode()
REQUEST = (
    b"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer k\r\n"
    b"Content-Type: application/json\r\nContent-Length: %d\r\n\r\n%b"
) % (len(BODY), BODY)
END = b"0\r\n\r\n"
PACE_SECONDS = 0.04
PIECES = 100
LEAST_REQUESTS = 40
MOST_REQUESTS = 400
ALL_REQUESTS = 2000
MICROSECONDS = 1e6
PATIENCE_SECONDS = 120.0


@dataclass
class PacedHandler:
    """Hold all streams until they are open, then write pieces at a pace."""

    streams: int
    pieces: int
    writes: bool
    opened: threading.Semaphore = field(default_factory=lambda: threading.Semaphore(0))
    begin: threading.Event = field(default_factory=threading.Event)

    def answer(self, _call, writer) -> None:
        """Write one stream."""
        writer.head(200, (("Content-Type", "text/event-stream"),))
        self.opened.release()
        self.begin.wait()
        for _ in range(self.pieces):
            time.sleep(PACE_SECONDS)
            if self.writes:
                writer.chunk(PIECE)
        writer.end()

    def models(self, _customer_key: str) -> tuple:
        """List nothing."""
        return ()


class StreamsMeasured(NamedTuple):
    """Hold one run of open streams."""

    cpu_microseconds_per_piece: float
    kilobytes_per_stream: float


def cpu_seconds() -> float:
    """Read this process's processor time, in user and system mode, of all threads."""
    return time.process_time()


def resident_kilobytes() -> int:
    """Read how much memory this process holds."""
    with open("/proc/self/statm", encoding="ascii") as file:
        pages = int(file.read().split()[1])
    return pages * resource.getpagesize() // 1024


def start_callers(server: CallersServer, connections: int, requests: int):
    """Start the process that calls."""
    command = [sys.executable, __file__, "--be-callers", server.address]
    command += [str(connections), str(requests)]
    return subprocess.Popen(command)


def measure_streams(streams: int, writes: bool) -> StreamsMeasured:
    """Measure pieces on streams that are open together."""
    handler = PacedHandler(streams, PIECES, writes)
    config = CallersServerConfig("127.0.0.1:0", max_open_calls=streams + 8)
    server = CallersServer.from_config(config, handler)
    server.start()
    before = resident_kilobytes()
    callers = start_callers(server, streams, 1)
    for _ in range(streams):
        handler.opened.acquire(timeout=PATIENCE_SECONDS)
    grown = resident_kilobytes() - before
    cpu = cpu_seconds()
    handler.begin.set()
    callers.wait(PATIENCE_SECONDS)
    cpu = cpu_seconds() - cpu
    server.stop(1.0)
    per_piece = cpu / (streams * PIECES) * MICROSECONDS
    return StreamsMeasured(per_piece, grown / streams)


def measure_requests(connections: int) -> float:
    """Measure whole requests on kept connections, in microseconds of processor."""
    handler = PacedHandler(connections, 0, writes=False)
    handler.begin.set()
    config = CallersServerConfig("127.0.0.1:0", max_open_calls=connections + 8)
    server = CallersServer.from_config(config, handler)
    server.start()
    cpu = cpu_seconds()
    each = min(max(ALL_REQUESTS // connections, LEAST_REQUESTS), MOST_REQUESTS)
    start_callers(server, connections, each).wait(PATIENCE_SECONDS)
    cpu = cpu_seconds() - cpu
    server.stop(1.0)
    return cpu / (connections * each) * MICROSECONDS


def be_callers(address: str, connections: int, requests: int) -> None:
    """Send requests on all connections at once and read every answer to its end."""
    host, port = address.split(":")
    selector = selectors.DefaultSelector()
    left: dict[socket.socket, int] = {}
    tails: dict[socket.socket, bytes] = {}
    for _ in range(connections):
        connection = socket.create_connection((host, int(port)))
        connection.sendall(REQUEST)
        selector.register(connection, selectors.EVENT_READ)
        left[connection] = requests
        tails[connection] = b""
    while left:
        for key, _ in selector.select():
            connection = key.fileobj
            data = connection.recv(65_536)
            tails[connection] = (tails[connection] + data)[-len(END) :]
            if tails[connection] == END or not data:
                left[connection] -= 1
                tails[connection] = b""
                if not data or not left[connection]:
                    del left[connection]
                    selector.unregister(connection)
                    connection.close()
                else:
                    connection.sendall(REQUEST)


def spread(values: list[float]) -> dict[str, float]:
    """Give the middle, the least and the most."""
    return {
        "median": round(statistics.median(values), 1),
        "least": round(min(values), 1),
        "most": round(max(values), 1),
    }


def measure(streams: int, rounds: int) -> dict:
    """Measure one number of open streams."""
    writing = [measure_streams(streams, True) for _ in range(rounds)]
    waking = [measure_streams(streams, False) for _ in range(rounds)]
    requests = [measure_requests(streams) for _ in range(rounds)]
    return {
        "open_streams": streams,
        "cpu_us_per_piece": spread([run.cpu_microseconds_per_piece for run in writing]),
        "cpu_us_per_wake_alone": spread(
            [run.cpu_microseconds_per_piece for run in waking]
        ),
        "cpu_us_per_request": spread(requests),
        "kb_per_open_stream": spread([run.kilobytes_per_stream for run in writing]),
    }


def main() -> None:
    """Print the measurements as JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--streams", type=int, nargs="+", default=[1, 50, 300])
    parser.add_argument("--rounds", type=int, default=3)
    parser.add_argument("--be-callers", nargs=3)
    arguments = parser.parse_args()
    if arguments.be_callers:
        address, connections, requests = arguments.be_callers
        be_callers(address, int(connections), int(requests))
        return
    rows = [measure(streams, arguments.rounds) for streams in arguments.streams]
    print(json.dumps({"piece_bytes": len(PIECE), "rows": rows}, indent=2))


if __name__ == "__main__":
    main()
