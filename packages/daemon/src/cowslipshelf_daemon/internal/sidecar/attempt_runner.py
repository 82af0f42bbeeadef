"""Run one attempt at the upstream and keep its frames."""

import threading
from time import monotonic
from typing import NamedTuple

from pykka import ActorRef

from cowslipshelf_core.errors import Refusal, RefusalCode, RefusalReason
from cowslipshelf_core.identifiers import AttemptId
from cowslipshelf_core.messages import StreamChunk, StreamHead
from cowslipshelf_core.prompt_parts import KvReference
from cowslipshelf_core.sidecar import (
    FirstTokenArrived,
    UpstreamAccepted,
    UpstreamFinished,
    UpstreamUnreachable,
)
from cowslipshelf_core.upstream import HandOver
from cowslipshelf_daemon.internal.sidecar.kv_transfer import start_at_engine
from cowslipshelf_fleet.attempts import FrameBuffer, FrameOrderError
from cowslipshelf_upstreams import (
    EngineClient,
    PlainClient,
    UpstreamLostError,
    UpstreamStream,
)

STEP = "run_at_upstream"
MILLISECONDS_PER_SECOND = 1000
MAX_RESUMES = 3
HTTP_OK = 200
HTTP_CONFLICT = 409
HTTP_SERVER_ERROR = 500


class AttemptContext(NamedTuple):
    """Be what every attempt of one sidecar uses."""

    client: EngineClient | PlainClient
    sidecar: ActorRef
    peer: str


class AttemptRunner:
    """Own the upstream's stream of one attempt, on a thread of its own."""

    def __init__(
        self,
        hand_over: HandOver,
        buffer: FrameBuffer,
        context: AttemptContext,
        parts: tuple[KvReference, ...] = (),
    ) -> None:
        self.hand_over = hand_over
        self.buffer = buffer
        self.context = context
        self.parts = parts
        """What other engines hold of the prompt before this attempt's part."""
        self.cancelled = threading.Event()
        self.last_sequence = 0
        self.output_tokens = 0
        self.first_token_seen = False
        self.overflowed = False
        self.connection_lost = False
        """Whether the answer broke off with its connection."""

    def start(self) -> None:
        """Begin to run the attempt."""
        name = f"attempt-{self.hand_over.attempt_id}"
        threading.Thread(target=self.run, name=name, daemon=True).start()

    def cancel(self) -> None:
        """Stop taking pieces; the engine is told by the sidecar's actor."""
        self.cancelled.set()

    def run(self) -> None:
        """Run the attempt to its end and write the final frame, whatever happens."""
        try:
            refusal = self.run_with_resumes()
        except FrameOrderError as error:
            # An engine that breaks its own numbering must not leave the caller
            # waiting for an end that nobody writes.
            refusal = self.failure_refusal(str(error))
        self.buffer.end(refusal, self.upstream_exited())
        whole = refusal is None
        finished = UpstreamFinished(self.attempt_id, whole, self.output_tokens)
        self.context.sidecar.tell(finished)

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
            self.connection_lost = error.may_have_arrived
            return self.start_refusal(error)
        if stream.status >= HTTP_SERVER_ERROR and self.is_engine():
            return self.failure_refusal(
                f"the engine answered with status {stream.status}"
            )
        if self.parts and stream.status == HTTP_CONFLICT:
            return self.failure_refusal(
                "the engine does not know the parts before its own"
            )
        self.buffer.append(StreamHead(stream.status, tuple(stream.headers)))
        for _ in range(MAX_RESUMES + 1):
            try:
                self.copy(stream)
                return self.copy_refusal()
            except UpstreamLostError as error:
                detail = str(error)
            if self.cancelled.is_set():
                return self.cancelled_refusal()
            # A cut connection says nothing of the attempt at the engine, which keeps
            # running it: asking for the rest costs no second run.
            resumed = self.resume_stream()
            if resumed is None:
                break
            stream = resumed
        self.connection_lost = True
        return self.failure_refusal(detail)

    def upstream_exited(self) -> bool:
        """Tell whether the upstream's process ended under the attempt."""
        if not self.connection_lost or self.cancelled.is_set():
            return False
        gone = self.context.client.is_gone()
        if gone:
            self.context.sidecar.tell(UpstreamUnreachable())
        return gone

    def open_stream(self) -> UpstreamStream:
        """Hand the request to the upstream, once."""
        match self.context.client:
            case EngineClient() as engine:
                prioritized = with_engine_priority(self.hand_over, monotonic())
                stream = start_at_engine(engine, prioritized, self.parts)
            case PlainClient() as plain:
                stream = plain.call(self.hand_over)
        self.context.sidecar.tell(UpstreamAccepted(self.attempt_id))
        return stream

    def is_engine(self) -> bool:
        """Tell whether the upstream is a model engine."""
        return isinstance(self.context.client, EngineClient)

    def resume_stream(self) -> UpstreamStream | None:
        """Ask the engine for what comes after the last piece."""
        match self.context.client:
            case EngineClient() as engine:
                return self.resume_at(engine)
            case PlainClient():
                return None

    def resume_at(self, engine: EngineClient) -> UpstreamStream | None:
        """Resume at an engine; None where it cannot be had."""
        try:
            stream = engine.resume(self.attempt_id, self.last_sequence)
        except UpstreamLostError as error:
            self.report_if_unreachable(error)
            return None
        return stream if stream.status == HTTP_OK else None

    def copy(self, stream: UpstreamStream) -> None:
        """Copy pieces into frames until the stream's end marker."""
        for piece in stream:
            if self.cancelled.is_set():
                return
            if not self.first_token_seen:
                self.first_token_seen = True
                self.context.sidecar.tell(FirstTokenArrived(self.attempt_id))
            chunk = StreamChunk(piece.sequence, piece.data, piece.tokens)
            if not self.buffer.append(chunk):
                self.overflowed = True
                return
            self.last_sequence = piece.sequence
            self.output_tokens += piece.tokens

    def copy_refusal(self) -> Refusal | None:
        """Return why the answer ended before its end marker, if it did."""
        if self.cancelled.is_set():
            return self.cancelled_refusal()
        if self.overflowed:
            return self.failure_refusal("the answer is too large to keep for a resume")
        return None

    def start_refusal(self, error: UpstreamLostError) -> Refusal:
        """Describe an attempt whose start got no answer.

        Where no byte can have reached the upstream the attempt never ran, and since
        this is its only start it never will: only then is "not run" true.
        """
        self.report_if_unreachable(error)
        refusal = self.failure_refusal(str(error))
        if error.may_have_arrived:
            return refusal
        return refusal._replace(code=RefusalCode.NOT_RUN)

    def report_if_unreachable(self, error: UpstreamLostError) -> None:
        """Tell the sidecar's actor where no connection could be made."""
        if not error.may_have_arrived:
            self.context.sidecar.tell(UpstreamUnreachable())

    def failure_refusal(self, detail: str) -> Refusal:
        """Describe an attempt that was handed over and did not finish."""
        return Refusal(
            RefusalCode.FAILED,
            RefusalReason.UPSTREAM_FAILED,
            STEP,
            self.context.peer,
            detail,
        )

    def cancelled_refusal(self) -> Refusal:
        """Describe an attempt that was cancelled after it was handed over."""
        return Refusal(
            RefusalCode.FAILED, RefusalReason.CANCELLED, STEP, self.context.peer
        )


def with_engine_priority(hand_over: HandOver, now: float) -> HandOver:
    """Turn the slack that an entry gave into a moment on this machine's clock.

    Slack alone would serve each new short prompt before every long one that waits,
    for ever. Counted from its own arrival, a long prompt's moment comes nearer while
    it waits, and what arrives later stands behind it. `now` is in monotonic seconds.
    """
    return hand_over._replace(
        priority=int(now * MILLISECONDS_PER_SECOND) + hand_over.priority
    )
