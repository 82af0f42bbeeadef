"""Answer the HTTP requests of entries to this sidecar."""

from queue import Empty, SimpleQueue
from typing import NamedTuple

from pykka import ActorDeadError, ActorRef

from cowslipshelf_core.errors import Refusal, RefusalCode, RefusalReason
from cowslipshelf_core.identifiers import AttemptId, Epoch
from cowslipshelf_core.messages import AttemptRefused, MayHaveRun, NeverRan
from cowslipshelf_core.prompt_parts import KvReference
from cowslipshelf_core.sidecar import CancelArrived, PartsArrived, RevokeArrived
from cowslipshelf_core.upstream import HandOver, LoadReport
from cowslipshelf_daemon.internal.sidecar.frame_buffers import FrameBufferTable
from cowslipshelf_fleet.attempts import FrameBuffer

ACTOR_TIMEOUT_SECONDS = 5.0


class HandOverRequest(NamedTuple):
    """Ask the actor to accept or refuse a hand-over."""

    hand_over: HandOver
    reply: "SimpleQueue[AttemptRefused | FrameBuffer]"


class RevokeRequest(NamedTuple):
    """Ask the actor to promise that an attempt will never run."""

    event: RevokeArrived
    reply: "SimpleQueue[NeverRan | MayHaveRun]"


class SidecarAttemptsHandler:
    """Pass requests to the sidecar's actor and wait for its answers."""

    def __init__(self, sidecar: ActorRef, buffers: FrameBufferTable) -> None:
        self.sidecar = sidecar
        self.buffers = buffers

    def hand_over(self, hand_over: HandOver) -> AttemptRefused | FrameBuffer:
        """Accept an attempt and return its frames, or refuse it."""
        reply: SimpleQueue[AttemptRefused | FrameBuffer] = SimpleQueue()
        try:
            self.sidecar.tell(HandOverRequest(hand_over, reply))
            return reply.get(timeout=ACTOR_TIMEOUT_SECONDS)
        except (ActorDeadError, Empty):
            return self.outcome_unknown(hand_over)

    def outcome_unknown(self, hand_over: HandOver) -> AttemptRefused:
        """Refuse with an unknown outcome: the actor may still accept the attempt."""
        refusal = Refusal(
            RefusalCode.OUTCOME_UNKNOWN,
            RefusalReason.NOT_READY,
            "hand_over",
            hand_over.upstream_id,
            "the sidecar did not decide in time",
        )
        return AttemptRefused(refusal, LoadReport())

    def frames(self, attempt_id: AttemptId) -> FrameBuffer | None:
        """Return an attempt's frames, or None if they were dropped."""
        return self.buffers.find(attempt_id)

    def revoke(
        self, attempt_id: AttemptId, epoch: Epoch, load_sequence: int
    ) -> NeverRan | MayHaveRun:
        """Ask for the promise that an attempt never runs; a timeout gives none."""
        reply: SimpleQueue[NeverRan | MayHaveRun] = SimpleQueue()
        try:
            event = RevokeArrived(attempt_id, epoch, load_sequence)
            self.sidecar.tell(RevokeRequest(event, reply))
            return reply.get(timeout=ACTOR_TIMEOUT_SECONDS)
        except (ActorDeadError, Empty):
            return MayHaveRun(attempt_id, known=False)

    def begin(self, attempt_id: AttemptId, parts: tuple[KvReference, ...]) -> None:
        """Start a reserved attempt, given the KV cache of its prompt's other parts."""
        self.sidecar.tell(PartsArrived(attempt_id, parts))

    def cancel(self, attempt_id: AttemptId) -> None:
        """Cancel an attempt whose result is no longer needed."""
        self.sidecar.tell(CancelArrived(attempt_id))
