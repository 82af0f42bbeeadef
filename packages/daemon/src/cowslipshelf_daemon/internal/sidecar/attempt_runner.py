"""Run one attempt at the upstream and keep its frames."""

import threading
from typing import NamedTuple

from cowslipshelf_core.sidecar import (
    FirstTokenArrived,
    UpstreamAccepted,
    UpstreamFinished,
)
from pykka import ActorRef

from cowslipshelf_core.errors import Refusal, RefusalCode, RefusalReason
from cowslipshelf_core.identifiers import AttemptId
from cowslipshelf_core.messages import StreamChunk, StreamEnd, StreamHead
from cowslipshelf_core.upstream import HandOver
from cowslipshelf_fleet import FrameBuffer
from cowslipshelf_upstreams import (
    EngineClient,
    PlainClient,
    UpstreamLostError,
    UpstreamStream,
)

STEP = "run_at_upstream"
MOST_RESUMES = 3
MAXIMUM_WRITE_WAIT_SECONDS = 30.0


class AttemptServices(NamedTuple):
    """Be what every attempt of one sidecar uses."""

    client: EngineClient | PlainClient
    sidecar: ActorRef
    peer: str


class AttemptRunner:
    """Own the upstream's stream of one attempt, on a thread of its own."""

    def __init__(
        self, hand_over: HandOver, buffer: FrameBuffer, services: AttemptServices
    ) -> None:
        self.hand_over = hand_over
        self.buffer = buffer
        self.services = services
        self.cancelled = threading.Event()
        self.last_sequence = 0
        self.first_token_seen = False

    def start(self) -> None:
        """Begin to run the attempt."""
        name = f"attempt-{self.hand_over.attempt_id}"
        threading.Thread(target=self.run, name=name, daemon=True).start()

    def cancel(self) -> None:
        """Stop taking pieces; the engine is told by the sidecar's actor."""
        self.cancelled.set()

    def run(self) -> None:
        """Run the attempt to its end and write the final frame, whatever happens."""
        refusal = self.run_with_resumes()
        self.buffer.append(StreamEnd(self.last_sequence, refusal))
        whole = refusal is None
        self.services.sidecar.tell(UpstreamFinished(self.attempt_id, whole))

    @property
    def attempt_id(self) -> AttemptId:
        """Return the attempt that this runs."""
        return self.hand_over.attempt_id

    def run_with_resumes(self) -> Refusal | None:
        """Take the whole stream, resuming it at the engine where it was cut."""
        detail = ""
        try:
            stream = self.open_stream()
        except UpstreamLostError as error:
            return self.failure(str(error))
        for _ in range(MOST_RESUMES + 1):
            try:
                self.copy(stream)
                return self.cancellation() if self.cancelled.is_set() else None
            except UpstreamLostError as error:
                detail = str(error)
            if self.cancelled.is_set():
                return self.cancellation()
            # A cut connection says nothing of the attempt at the engine, which keeps
            # running it: asking for the rest costs no second run.
            resumed = self.resume_stream()
            if resumed is None:
                break
            stream = resumed
        return self.failure(detail)

    def open_stream(self) -> UpstreamStream:
        """Hand the request to the upstream, once."""
        match self.services.client:
            case EngineClient() as engine:
                stream = engine.start(self.hand_over)
            case PlainClient() as plain:
                stream = plain.call(self.hand_over)
        self.services.sidecar.tell(UpstreamAccepted(self.attempt_id))
        self.buffer.append(StreamHead(stream.status, tuple(stream.headers)))
        return stream

    def resume_stream(self) -> UpstreamStream | None:
        """Ask the engine for what comes after the last piece."""
        match self.services.client:
            case EngineClient() as engine:
                try:
                    return engine.resume(self.attempt_id, self.last_sequence)
                except UpstreamLostError:
                    return None
            case PlainClient():
                return None

    def copy(self, stream: UpstreamStream) -> None:
        """Copy pieces into frames until the stream's end marker."""
        for piece in stream:
            if self.cancelled.is_set():
                return
            if not self.first_token_seen:
                self.first_token_seen = True
                self.services.sidecar.tell(FirstTokenArrived(self.attempt_id))
            self.last_sequence = piece.sequence
            self.buffer.append(StreamChunk(piece.sequence, piece.data, piece.tokens))

    def failure(self, detail: str) -> Refusal:
        """Describe an attempt that was handed over and did not finish."""
        return Refusal(
            RefusalCode.FAILED,
            RefusalReason.UPSTREAM_FAILED,
            STEP,
            self.services.peer,
            detail,
        )

    def cancellation(self) -> Refusal:
        """Describe an attempt that was cancelled after it was handed over."""
        return Refusal(
            RefusalCode.FAILED, RefusalReason.CANCELLED, STEP, self.services.peer
        )
