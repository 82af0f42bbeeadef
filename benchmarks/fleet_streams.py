"""Measure streamed frames: processor time per frame on both sides."""

from threading import Thread
from time import monotonic, process_time, sleep

from helper_process import helper_process, resident_kilobytes, serve_queries

from cowslipshelf_core.messages import AttemptRefused, StreamChunk, StreamEnd
from cowslipshelf_core.upstream import HandOver
from cowslipshelf_fleet.attempts import (
    AttemptsClient,
    AttemptsClientConfig,
    AttemptsServer,
    AttemptsServerConfig,
    AttemptStream,
    FrameBuffer,
)

KEY = b"benchmark"
TOKEN_SECONDS = 0.044
CHUNK = b"data: " + b"x" * 180 + b"\n\n"
SETTLE_SECONDS = 1.0
MICROSECONDS = 1e6


class SteadyHandler:
    """Write a frame to every stream in each token interval."""

    def __init__(self) -> None:
        self.buffers: list[FrameBuffer] = []
        self.written = 0
        self.stopping = False
        self.thread = Thread(target=self.write_all, daemon=True)
        self.thread.start()

    def hand_over(self, _: HandOver) -> AttemptRefused | FrameBuffer:
        """Start a stream."""
        buffer = FrameBuffer()
        self.buffers.append(buffer)
        return buffer

    def write_all(self) -> None:
        """Write frames, spaced evenly over the streams within an interval."""
        while not self.stopping:
            began = monotonic()
            streams = list(self.buffers)
            for number, buffer in enumerate(streams, start=1):
                buffer.append(StreamChunk(buffer.last_sequence + 1, CHUNK, 1))
                self.written += 1
                due = began + TOKEN_SECONDS * number / len(streams)
                sleep(max(due - monotonic(), 0.0))
            sleep(0.0 if streams else TOKEN_SECONDS)

    def end_all(self) -> dict[str, object]:
        """Stop writing and end every stream."""
        self.stopping = True
        self.thread.join()
        for buffer in self.buffers:
            buffer.append(StreamEnd(buffer.last_sequence))
        return {}

    def state(self) -> dict[str, object]:
        """Return the frames written, processor time and memory."""
        return {
            "written": self.written,
            "cpu": process_time(),
            "memory": resident_kilobytes(),
        }


class CountingReader:
    """Read one stream and count its chunks."""

    def __init__(self, stream: AttemptStream) -> None:
        self.stream = stream
        self.chunks = 0
        self.thread = Thread(target=self.read, daemon=True)
        self.thread.start()

    def read(self) -> None:
        """Count chunks until the stream ends."""
        for frame in self.stream:
            self.chunks += isinstance(frame, StreamChunk)


def measure_streams(count: int, seconds: float) -> dict[str, object]:
    """Read a number of streams at the rate of token generation."""
    client = AttemptsClient.from_config(AttemptsClientConfig(5.0, 30.0, KEY))
    with helper_process(__file__) as helper:
        address = helper.query("address")["address"]
        own_memory, memory = resident_kilobytes(), helper.query("state")["memory"]
        readers = [
            CountingReader(client.hand_over(address, hand_over(number)))
            for number in range(count)
        ]
        sleep(SETTLE_SECONDS)
        own_memory = resident_kilobytes() - own_memory
        before, read, cpu = helper.query("state"), total_chunks(readers), process_time()
        sleep(seconds)
        read, cpu = total_chunks(readers) - read, process_time() - cpu
        after = helper.query("state")
        helper.query("end")
        for reader in readers:
            reader.thread.join()
    written = after["written"] - before["written"]
    return {
        "streams": count,
        "client_kilobytes_per_stream": round(own_memory / count, 1),
        "server_kilobytes_per_stream": round((before["memory"] - memory) / count, 1),
        "frames_per_second": round(read / seconds),
        "client_cpu_microseconds_per_frame": round(cpu / read * MICROSECONDS, 1),
        "server_cpu_microseconds_per_frame": round(
            (after["cpu"] - before["cpu"]) / written * MICROSECONDS, 1
        ),
    }


def total_chunks(readers: list[CountingReader]) -> int:
    """Return the number of chunks read."""
    return sum(reader.chunks for reader in readers)


def hand_over(number: int) -> HandOver:
    """Build a small request."""
    return HandOver(
        request_id=f"request {number}",
        attempt_id=f"attempt {number}",
        owner="entry",
        upstream_id="upstream",
        sidecar_epoch="epoch",
        configuration_version=1,
        customer="customer",
        service="service",
        model="model",
        non_idempotent=False,
        deadline_seconds=60.0,
        prompt_tokens=1,
        max_output_tokens=1,
        priority=0,
        prefix_hash=0,
        method="POST",
        path="/",
        headers=(),
        body=b"{}",
    )


def main() -> None:
    """Run the helper process: a server of steady streams."""
    handler = SteadyHandler()
    config = AttemptsServerConfig("127.0.0.1:0", KEY, heartbeat_seconds=1.0)
    server = AttemptsServer.from_config(config, handler)
    server.start()
    serve_queries(
        {
            "address": lambda: {"address": server.address},
            "state": handler.state,
            "end": handler.end_all,
        }
    )
    server.stop()


if __name__ == "__main__":
    main()
