"""Provide a real attempts server with scripted attempts, and its client."""

from collections.abc import Iterator
from contextlib import contextmanager
from threading import Thread

from cowslipshelf_core.errors import Refusal, RefusalCode, RefusalReason
from cowslipshelf_core.identifiers import AttemptId, Epoch
from cowslipshelf_core.messages import (
    AttemptRefused,
    Frame,
    MayHaveRun,
    NeverRan,
    StreamChunk,
    StreamEnd,
    StreamHead,
    StreamHeartbeat,
)
from cowslipshelf_core.upstream import HandOver, LoadReport
from cowslipshelf_fleet.attempts import (
    AttemptsClient,
    AttemptsClientConfig,
    AttemptsServer,
    AttemptsServerConfig,
    AttemptStream,
    FrameBuffer,
    StreamLostError,
)

CLUSTER_KEY = b"cluster key"
EPOCH = Epoch("epoch of the sidecar")
LOWEST_PRIORITY = 9
HEARTBEAT_SECONDS = 0.05
SILENCE_SECONDS = 2.0
"""Read timeout of clients in tests that silence a connection."""
LONG_TIMEOUT_SECONDS = 20.0


def hand_over_of(attempt: str, body: bytes = b"body", priority: int = 0) -> HandOver:
    """Return a hand-over; only the parameters and the epoch matter in these tests."""
    return HandOver(
        request_id="request",
        attempt_id=attempt,
        owner="entry",
        upstream_id="upstream",
        sidecar_epoch=EPOCH,
        configuration_version=1,
        customer="customer",
        service="service",
        model="model",
        non_idempotent=False,
        deadline_seconds=60.0,
        prompt_tokens=1,
        max_output_tokens=1,
        priority=priority,
        prefix_hash=0,
        method="POST",
        path="/",
        headers=(),
        body=body,
    )


def frames_of(pieces: list[bytes]) -> list[Frame]:
    """Return the frames of a whole stream, with one chunk per piece."""
    chunks = [StreamChunk(n, piece) for n, piece in enumerate(pieces, start=1)]
    return [StreamHead(200, ()), *chunks, StreamEnd(len(pieces))]


class ScriptedHandler:
    """Answer every attempt with the same frames, written concurrently with reads."""

    def __init__(self) -> None:
        self.script: list[Frame] = []
        self.handed_over: list[HandOver] = []
        self.cancelled: list[AttemptId] = []
        self.revoked_sequences: list[int] = []
        self.buffers: dict[AttemptId, FrameBuffer] = {}

    def hand_over(self, hand_over: HandOver) -> AttemptRefused | FrameBuffer:
        """Accept the attempt, unless it has the lowest priority."""
        self.handed_over.append(hand_over)
        if hand_over.priority == LOWEST_PRIORITY:
            refusal = Refusal(RefusalCode.NOT_RUN, RefusalReason.BUSY, "hand over")
            return AttemptRefused(refusal, LoadReport(running=3))
        buffer = self.buffers[hand_over.attempt_id] = FrameBuffer()
        Thread(target=self.write, args=(buffer, self.script), daemon=True).start()
        return buffer

    def write(self, buffer: FrameBuffer, script: list[Frame]) -> None:
        """Append the script to the buffer, as a runner does on its own thread."""
        for frame in script:
            buffer.append(frame)

    def frames(self, attempt_id: AttemptId) -> FrameBuffer | None:
        """Return the frames of a known attempt."""
        return self.buffers.get(attempt_id)

    def revoke(
        self, attempt_id: AttemptId, epoch: Epoch, load_sequence: int
    ) -> NeverRan | MayHaveRun:
        """Report that known attempts, and those of other epochs, may have run."""
        self.revoked_sequences.append(load_sequence)
        if attempt_id in self.buffers or epoch != EPOCH:
            return MayHaveRun(attempt_id, known=epoch == EPOCH)
        return NeverRan(attempt_id)

    def cancel(self, attempt_id: AttemptId) -> None:
        """Record the attempt."""
        self.cancelled.append(attempt_id)


@contextmanager
def serving(
    handler: ScriptedHandler, stalled_seconds: float = LONG_TIMEOUT_SECONDS
) -> Iterator[AttemptsServer]:
    """Run a server for the handler's attempts."""
    config = AttemptsServerConfig(
        "127.0.0.1:0", CLUSTER_KEY, HEARTBEAT_SECONDS, stalled_seconds
    )
    server = AttemptsServer.from_config(config, handler)
    server.start()
    try:
        yield server
    finally:
        server.stop()


def client(
    silence_seconds: float = LONG_TIMEOUT_SECONDS, cluster_key: bytes = CLUSTER_KEY
) -> AttemptsClient:
    """Return a client for any server."""
    return AttemptsClient.from_config(
        AttemptsClientConfig(LONG_TIMEOUT_SECONDS, silence_seconds, cluster_key)
    )


def read_until_lost(stream: AttemptStream, frames: list[Frame]) -> bool:
    """Collect frames without heartbeats; return whether the stream was lost."""
    try:
        for frame in stream:
            if not isinstance(frame, StreamHeartbeat):
                frames.append(frame)
    except StreamLostError:
        return True
    return False


def whole_answer(outcome: object) -> list[Frame]:
    """Return the frames of a stream, and assert that it was not lost."""
    assert isinstance(outcome, AttemptStream)
    frames: list[Frame] = []
    assert not read_until_lost(outcome, frames)
    return frames


def chunks(frames: list[Frame]) -> list[StreamChunk]:
    """Return the frames with data of the answer."""
    return [frame for frame in frames if isinstance(frame, StreamChunk)]
