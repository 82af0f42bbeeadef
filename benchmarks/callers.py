"""Measure the callers' server: processor time per request and piece, memory per stream.

The server runs in this process with a handler that only writes; the callers run in a
second process, whose processor time is not counted. Threads that wake without writing
are measured too, as a stream's thread wakes for each piece.

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
PIECE_INTERVAL_SECONDS = 0.04
PIECES = 100
MIN_REQUESTS = 40
MAX_REQUESTS = 400
TOTAL_REQUESTS = 2000
MICROSECONDS = 1e6
TIMEOUT_SECONDS = 120.0


@dataclass
class PacedHandler:
    """Wait until all streams are open, then write pieces at a constant rate."""

    streams: int
    pieces: int
    writes: bool
    opened: threading.Semaphore = field(default_factory=lambda: threading.Semaphore(0))
    begin: threading.Event = field(default_factory=threading.Event)

    def answer(self, _call, writer) -> None:
        """Answer one call with a stream of pieces."""
        writer.head(200, (("Content-Type", "text/event-stream"),))
        self.opened.release()
        self.begin.wait()
        for _ in range(self.pieces):
            time.sleep(PIECE_INTERVAL_SECONDS)
            if self.writes:
                writer.chunk(PIECE)
        writer.end()

    def models(self, _customer_key: str) -> tuple:
        """Return no models."""
        return ()


class StreamCosts(NamedTuple):
    """Hold the costs of one run of open streams."""

    cpu_microseconds_per_piece: float
    kilobytes_per_stream: float


def cpu_seconds() -> float:
    """Return this process's user and system time, of all threads."""
    return time.process_time()


def resident_kilobytes() -> int:
    """Return the resident memory of this process."""
    with open("/proc/self/statm", encoding="ascii") as file:
        pages = int(file.read().split()[1])
    return pages * resource.getpagesize() // 1024


def start_callers(server: CallersServer, connections: int, requests: int):
    """Start the process that runs the callers."""
    command = [sys.executable, __file__, "--be-callers", server.address]
    command += [str(connections), str(requests)]
    return subprocess.Popen(command)


def measure_streams(streams: int, writes: bool) -> StreamCosts:
    """Measure the pieces of a number of concurrent streams."""
    handler = PacedHandler(streams, PIECES, writes)
    config = CallersServerConfig("127.0.0.1:0", max_open_calls=streams + 8)
    server = CallersServer.from_config(config, handler)
    server.start()
    before = resident_kilobytes()
    callers = start_callers(server, streams, 1)
    for _ in range(streams):
        handler.opened.acquire(timeout=TIMEOUT_SECONDS)
    memory_growth = resident_kilobytes() - before
    cpu = cpu_seconds()
    handler.begin.set()
    callers.wait(TIMEOUT_SECONDS)
    cpu = cpu_seconds() - cpu
    server.stop(1.0)
    per_piece = cpu / (streams * PIECES) * MICROSECONDS
    return StreamCosts(per_piece, memory_growth / streams)


def measure_requests(connections: int) -> float:
    """Return the processor time of a request on persistent connections, in us."""
    handler = PacedHandler(connections, 0, writes=False)
    handler.begin.set()
    config = CallersServerConfig("127.0.0.1:0", max_open_calls=connections + 8)
    server = CallersServer.from_config(config, handler)
    server.start()
    cpu = cpu_seconds()
    requests_per_connection = min(
        max(TOTAL_REQUESTS // connections, MIN_REQUESTS), MAX_REQUESTS
    )
    start_callers(server, connections, requests_per_connection).wait(TIMEOUT_SECONDS)
    cpu = cpu_seconds() - cpu
    server.stop(1.0)
    return cpu / (connections * requests_per_connection) * MICROSECONDS


def run_callers(address: str, connections: int, requests: int) -> None:
    """Send requests on all connections concurrently, and read every answer."""
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


def summarize(values: list[float]) -> dict[str, float]:
    """Return the median, minimum and maximum."""
    return {
        "median": round(statistics.median(values), 1),
        "least": round(min(values), 1),
        "most": round(max(values), 1),
    }


def measure(streams: int, rounds: int) -> dict:
    """Measure one number of open streams."""
    writing_runs = [measure_streams(streams, True) for _ in range(rounds)]
    waking_runs = [measure_streams(streams, False) for _ in range(rounds)]
    requests = [measure_requests(streams) for _ in range(rounds)]
    return {
        "open_streams": streams,
        "cpu_us_per_piece": summarize(
            [run.cpu_microseconds_per_piece for run in writing_runs]
        ),
        "cpu_us_per_wake_alone": summarize(
            [run.cpu_microseconds_per_piece for run in waking_runs]
        ),
        "cpu_us_per_request": summarize(requests),
        "kb_per_open_stream": summarize(
            [run.kilobytes_per_stream for run in writing_runs]
        ),
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
        run_callers(address, int(connections), int(requests))
        return
    rows = [measure(streams, arguments.rounds) for streams in arguments.streams]
    print(json.dumps({"piece_bytes": len(PIECE), "rows": rows}, indent=2))


if __name__ == "__main__":
    main()
