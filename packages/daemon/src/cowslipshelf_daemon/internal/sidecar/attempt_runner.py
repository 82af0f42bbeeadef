"""Run one attempt at the upstream and buffer its frames."""

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
    """Hold what all attempts of one sidecar share."""

    client: EngineClient | PlainClient
    sidecar: ActorRef
    """The sidecar's actor, which is told of the attempt's progress."""
    peer: str
    """The upstream's id, as the peer in refusals."""


class AttemptRunner:
    """Read the upstream's stream of one attempt on a thread of its own."""

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
        """KV cache of the prompt before this attempt's part, held by other engines."""
        self.cancelled = threading.Event()
        self.last_sequence = 0
        self.output_tokens = 0
        self.first_token_seen = False
        self.overflowed = False
        self.connection_lost = False
        """Whether the connection was lost before the end of the answer."""

    def start(self) -> None:
        """Start the attempt's thread."""
        name = f"attempt-{self.hand_over.attempt_id}"
        threading.Thread(target=self.run, name=name, daemon=True).start()

    def cancel(self) -> None:
        """Stop copying the stream; the sidecar's actor cancels at the engine."""
        self.cancelled.set()

    def run(self) -> None:
        """Run the attempt to its end and always write the final frame."""
        try:
            refusal = self.run_with_resumes()
        except FrameOrderError as error:
            # If an engine numbers its pieces wrongly, the final frame must still be
            # written, or the caller would wait for it in vain.
            refusal = self.failure_refusal(str(error))
        self.buffer.end(refusal, self.upstream_exited())
        whole = refusal is None
        finished = UpstreamFinished(self.attempt_id, whole, self.output_tokens)
        self.context.sidecar.tell(finished)

    @property
    def attempt_id(self) -> AttemptId:
        """Return the id of the attempt."""
        return self.hand_over.attempt_id

    def run_with_resumes(self) -> Refusal | None:
        """Copy the whole stream; resume it at the engine after a lost connection."""
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
            # The engine keeps running an attempt whose connection is lost, so asking
            # for the rest of the stream does not run it twice.
            resumed = self.resume_stream()
            if resumed is None:
                break
            stream = resumed
        self.connection_lost = True
        return self.failure_refusal(detail)

    def upstream_exited(self) -> bool:
        """Tell whether the upstream's process exited during the attempt."""
        if not self.connection_lost or self.cancelled.is_set():
            return False
        gone = self.context.client.refuses_connections()
        if gone:
            self.context.sidecar.tell(UpstreamUnreachable())
        return gone

    def open_stream(self) -> UpstreamStream:
        """Send the request to the upstream, once."""
        match self.context.client:
            case EngineClient() as engine:
                prioritized = with_engine_priority(self.hand_over, monotonic())
                stream = start_at_engine(engine, prioritized, self.parts)
            case PlainClient() as plain:
                stream = plain.call(self.hand_over)
        self.context.sidecar.tell(UpstreamAccepted(self.attempt_id))
        return stream

    def is_engine(self) -> bool:
        """Tell whether the upstream is a model engine and not a plain service."""
        return isinstance(self.context.client, EngineClient)

    def resume_stream(self) -> UpstreamStream | None:
        """Ask the engine for the stream after the last piece; None if that fails."""
        match self.context.client:
            case EngineClient() as engine:
                return self.resume_at(engine)
            case PlainClient():
                return None

    def resume_at(self, engine: EngineClient) -> UpstreamStream | None:
        """Resume the stream at an engine; return None if that fails."""
        try:
            stream = engine.resume(self.attempt_id, self.last_sequence)
        except UpstreamLostError as error:
            self.report_if_unreachable(error)
            return None
        return stream if stream.status == HTTP_OK else None

    def copy(self, stream: UpstreamStream) -> None:
        """Copy the stream's pieces into frames up to its end marker."""
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
        """Return why copying stopped before the end marker; None at the end marker."""
        if self.cancelled.is_set():
            return self.cancelled_refusal()
        if self.overflowed:
            return self.failure_refusal("the answer is too large to keep for a resume")
        return None

    def start_refusal(self, error: UpstreamLostError) -> Refusal:
        """Return the refusal of an attempt whose start got no answer.

        The code is NOT_RUN only if no byte can have reached the upstream: the attempt
        has not run then, and as it is started only once, it never will.
        """
        self.report_if_unreachable(error)
        refusal = self.failure_refusal(str(error))
        if error.may_have_arrived:
            return refusal
        return refusal._replace(code=RefusalCode.NOT_RUN)

    def report_if_unreachable(self, error: UpstreamLostError) -> None:
        """Tell the sidecar's actor if no connection could be made."""
        if not error.may_have_arrived:
            self.context.sidecar.tell(UpstreamUnreachable())

    def failure_refusal(self, detail: str) -> Refusal:
        """Return the refusal of an attempt that was handed over and did not finish."""
        return Refusal(
            RefusalCode.FAILED,
            RefusalReason.UPSTREAM_FAILED,
            STEP,
            self.context.peer,
            detail,
        )

    def cancelled_refusal(self) -> Refusal:
        """Return the refusal of an attempt that was cancelled after its hand-over."""
        return Refusal(
            RefusalCode.FAILED, RefusalReason.CANCELLED, STEP, self.context.peer
        )


def with_engine_priority(hand_over: HandOver, now: float) -> HandOver:
    """Turn the slack that an entry gave into a point in time on this machine's clock.

    If the engine ordered prompts by slack, each new short prompt would go ahead of
    every waiting long one, and long prompts would starve. The point in time counts
    from the arrival, so that later arrivals end up behind a prompt that waits. `now`
    is in monotonic seconds.
    """
    return hand_over._replace(
        priority=int(now * MILLISECONDS_PER_SECOND) + hand_over.priority
    )
