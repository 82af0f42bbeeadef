"""Measure the processor time per event of an engine's streams, at both ends.

Run `python benchmarks/upstream_streams.py [STREAMS ...]`; the streams are distributed
over ten engine stand-ins in one process.
"""

import os
import subprocess
import sys
from threading import Event, Thread
from time import process_time, sleep
from typing import NamedTuple

import msgspec

from cowslipshelf_core.upstream import HandOver
from cowslipshelf_upstreams import EngineClient, EngineClientConfig, UpstreamLostError

ENGINES = 10
TOKEN_SECONDS = 0.044
MEMORY_TOKENS = 10**12
MAX_OUTPUT_TOKENS = 10**7
SETTLE_SECONDS = 2.0
MEASURED_SECONDS = 5.0
MICROSECONDS = 1e6
STREAM_COUNTS = (1, 50, 300)
PROCESS_TIME_FIELDS = slice(11, 13)
"""User and system time among the fields after the name in `/proc/PID/stat`."""


class StreamCosts(NamedTuple):
    """Hold the costs of a number of streams."""

    streams: int
    events_per_second: float
    engine_microseconds_per_event: float
    client_microseconds_per_event: float


class Reader:
    """Read one stream and count its events."""

    def __init__(self, client: EngineClient, number: int) -> None:
        self.stream = client.start(hand_over(number))
        self.events = 0
        self.ended = Event()
        Thread(target=self.read, daemon=True).start()

    def read(self) -> None:
        """Count events until the stream is closed."""
        try:
            for _ in self.stream:
                self.events += 1
        except UpstreamLostError:
            self.ended.set()


def hand_over(number: int) -> HandOver:
    """Build a request whose answer takes longer than the measurement."""
    body = {"model": "m", "prompt": f"{number}", "stream": True}
    return HandOver(
        request_id=f"request-{number}",
        attempt_id=f"attempt-{number}",
        owner="entry",
        upstream_id="engine",
        sidecar_epoch="epoch",
        configuration_version=1,
        customer="customer",
        service="service",
        model="m",
        non_idempotent=False,
        deadline_seconds=600.0,
        prompt_tokens=1,
        max_output_tokens=MAX_OUTPUT_TOKENS,
        priority=0,
        prefix_hash=0,
        method="POST",
        path="/v1/completions",
        headers=(),
        body=msgspec.json.encode(body | {"max_tokens": MAX_OUTPUT_TOKENS}),
    )


def start_engines() -> tuple[subprocess.Popen[bytes], tuple[str, ...]]:
    """Start the stand-ins at the rate of token generation."""
    options = {
        "--count": ENGINES,
        "--memory-tokens": MEMORY_TOKENS,
        "--decode-seconds-per-token": TOKEN_SECONDS,
        "--batch-slow-down": 0.0,
    }
    arguments = [str(part) for pair in options.items() for part in pair]
    process = subprocess.Popen(
        [sys.executable, "-m", "cowslipshelf_standins", "engine", *arguments],
        stdout=subprocess.PIPE,
        env=os.environ | {"PYTHONPATH": os.pathsep.join(sys.path)},
    )
    return process, msgspec.json.decode(process.stdout.readline())["addresses"]


def processor_seconds(pid: int) -> float:
    """Return the processor time that a process has used."""
    with open(f"/proc/{pid}/stat") as file:
        fields = file.read().rsplit(")", 1)[1].split()
    ticks = sum(map(int, fields[PROCESS_TIME_FIELDS]))
    return ticks / os.sysconf("SC_CLK_TCK")


def measure(streams: int) -> StreamCosts:
    """Measure a number of streams."""
    process, addresses = start_engines()
    clients = [
        EngineClient.from_config(EngineClientConfig(f"http://{address}"))
        for address in addresses
    ]
    readers = [Reader(clients[n % ENGINES], n) for n in range(streams)]
    sleep(SETTLE_SECONDS)
    before = sum(reader.events for reader in readers)
    engine, client = processor_seconds(process.pid), process_time()
    sleep(MEASURED_SECONDS)
    events = sum(reader.events for reader in readers) - before
    engine = processor_seconds(process.pid) - engine
    client = process_time() - client
    for reader in readers:
        reader.stream.close()
        reader.ended.wait()
    process.terminate()
    process.wait()
    return StreamCosts(
        streams,
        round(events / MEASURED_SECONDS, 1),
        round(engine / events * MICROSECONDS, 1),
        round(client / events * MICROSECONDS, 1),
    )


def main() -> None:
    """Print the costs of each number of streams as a JSON line."""
    for streams in map(int, sys.argv[1:] or STREAM_COUNTS):
        print(msgspec.json.encode(measure(streams)._asdict()).decode())


if __name__ == "__main__":
    main()
