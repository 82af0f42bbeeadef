"""Simulate what surrounds a request: sidecars, the claim store and the callers.

The simulation knows what the machine under test can't see: which attempts reached an
upstream, and what a complete answer is.
"""

from dataclasses import dataclass, field
from itertools import count
from typing import Protocol

from cowslipshelf_core.errors import Refusal, RefusalCode, RefusalReason
from cowslipshelf_core.identifiers import (
    AttemptId,
    ConfigurationVersion,
    CustomerName,
    Epoch,
    InstanceId,
    ModelName,
    RequestId,
    ServiceName,
    UpstreamId,
)
from cowslipshelf_core.messages import (
    AttemptRefused,
    ClaimAbsent,
    ClaimAsked,
    ClaimFinished,
    ClaimGranted,
    ClaimHeld,
    ClaimLookedUp,
    ClaimMoved,
    Frame,
    MayHaveRun,
    NeverRan,
    StreamChunk,
    StreamEnd,
    StreamHead,
)
from cowslipshelf_core.requests import CallerRequest, ChosenUpstream
from cowslipshelf_core.upstream import HandOver, LoadReport

HEAD = StreamHead(200, (("Content-Type", "text/event-stream"),))
OPENING = b"<open>"
CLOSING = b"<close>"
TOKENS = tuple(b"t%d " % number for number in range(5))
COMPLETE_ANSWER = OPENING + b"".join(TOKENS) + CLOSING


def caller_request(**changes) -> CallerRequest:
    """Make a request for an engine, with the given fields changed."""
    request = CallerRequest(
        request_id=RequestId("r"),
        owner=InstanceId("entry"),
        configuration_version=ConfigurationVersion(1),
        customer=CustomerName("c"),
        service=ServiceName("s"),
        kind="model",
        model=ModelName("m"),
        idempotency_key=None,
        service_is_idempotent=True,
        streamed=True,
        deadline_seconds=10.0,
        prompt_tokens=4,
        max_output_tokens=len(TOKENS),
        prefix_hash=0,
        method="POST",
        path="/v1/completions",
        headers=(),
        body=b"{}",
        body_digest="d",
    )
    return request._replace(**changes)


def frames_of(hand_over: HandOver, tokens_per_chunk: int) -> list[Frame]:
    """Return an attempt's frames; engines may chunk the same tokens differently."""
    done = hand_over.delivered_tokens
    frames: list[Frame] = [HEAD]
    pieces = [] if done else [(OPENING, 0)]
    for start in range(done, len(TOKENS), tokens_per_chunk):
        tokens = TOKENS[start : start + tokens_per_chunk]
        pieces.append((b"".join(tokens), len(tokens)))
    pieces.append((CLOSING, 0))
    for sequence, (data, tokens) in enumerate(pieces, start=1):
        frames.append(StreamChunk(sequence, data, tokens))
    frames.append(StreamEnd(len(pieces)))
    return frames


@dataclass
class FakeSidecar:
    """Simulate a sidecar, which loses all state when it restarts."""

    upstream_id: UpstreamId
    epoch: Epoch = Epoch("e0")
    tombstones: set[AttemptId] = field(default_factory=set)
    frames: dict[AttemptId, list[Frame]] = field(default_factory=dict)

    def refusal(self, reason: RefusalReason) -> AttemptRefused:
        """Refuse with the guarantee that the attempt never runs."""
        refusal = Refusal(RefusalCode.NOT_RUN, reason, "admit", self.upstream_id)
        return AttemptRefused(refusal, LoadReport())

    def accept(
        self, hand_over: HandOver, busy: bool, tokens_per_chunk: int
    ) -> AttemptRefused | None:
        """Run an attempt or refuse it."""
        attempt = hand_over.attempt_id
        if hand_over.sidecar_epoch != self.epoch:
            return self.refusal(RefusalReason.WRONG_EPOCH)
        if attempt in self.tombstones:
            return self.refusal(RefusalReason.TOMBSTONED)
        if attempt in self.frames:
            return self.refusal(RefusalReason.DUPLICATE_ATTEMPT)
        if busy:
            self.tombstones.add(attempt)
            return self.refusal(RefusalReason.BUSY)
        self.frames[attempt] = frames_of(hand_over, tokens_per_chunk)
        return None

    def revoke(self, attempt: AttemptId, epoch: Epoch) -> NeverRan | MayHaveRun:
        """Guarantee that an attempt never runs, if that is known."""
        if epoch != self.epoch:
            return MayHaveRun(attempt, known=False)
        if attempt in self.frames:
            return MayHaveRun(attempt, known=True)
        self.tombstones.add(attempt)
        return NeverRan(attempt)

    def restart(self) -> None:
        """Lose all state and change the epoch."""
        self.epoch = Epoch(f"{self.epoch}+")
        self.tombstones.clear()
        self.frames.clear()


class ClaimStore(Protocol):
    """Define the part of the replicated state that requests use."""

    def acquire(self, asked: ClaimAsked, at: float):
        """Grant the key to the first request, and return its claim to the others."""

    def look_up(self, asked: ClaimLookedUp, at: float):
        """Return who holds the key, without claiming it."""

    def move(self, moved: ClaimMoved, at: float):
        """Replace the attempt by compare-and-set."""

    def finish(self, finished: ClaimFinished, at: float):
        """Store how the open attempt ended."""


@dataclass
class PermissiveClaimStore:
    """Store one key that any request may take over; only a stored answer is final."""

    holder: ClaimAsked | None = None
    asked_at: float = 0.0
    finished: ClaimFinished | None = None

    def acquire(self, asked: ClaimAsked, at: float):
        """Grant the key to the first request, and return its claim to the others."""
        if self.holder is None:
            self.holder = asked
            self.asked_at = at
        if self.holder.attempt_id == asked.attempt_id and self.finished is None:
            return ClaimGranted(asked.attempt_id)
        return self.held(at)

    def look_up(self, _asked: ClaimLookedUp, at: float):
        """Return who holds the key, without claiming it."""
        return ClaimAbsent() if self.holder is None else self.held(at)

    def held(self, now: float) -> ClaimHeld:
        """Describe the holder of the key."""
        holder = self.holder
        return ClaimHeld(
            request_id=holder.request_id,
            attempt_id=holder.attempt_id,
            upstream_id=holder.upstream_id,
            sidecar_epoch=holder.sidecar_epoch,
            owner=holder.owner,
            deadline_passed=now >= self.asked_at + holder.deadline_seconds,
            answer=self.finished.answer if self.finished else None,
            refusal=self.finished.refusal if self.finished else None,
        )

    def move(self, moved: ClaimMoved, at: float):
        """Replace the attempt by compare-and-set, for any request."""
        holder = self.holder
        if holder is None or holder.attempt_id != moved.from_attempt:
            return self.held(at)
        if self.finished and self.finished.answer:
            return self.held(at)
        self.finished = None
        self.asked_at = at
        self.holder = ClaimAsked(
            customer=moved.customer,
            key=moved.key,
            request_id=moved.request_id,
            attempt_id=moved.to_attempt,
            upstream_id=moved.upstream_id,
            sidecar_epoch=moved.sidecar_epoch,
            owner=moved.owner,
            body_digest=holder.body_digest,
            deadline_seconds=holder.deadline_seconds,
        )
        return ClaimGranted(moved.to_attempt)

    def finish(self, finished: ClaimFinished, _at: float) -> None:
        """Store how the open attempt ended, once."""
        holder = self.holder
        if holder and holder.attempt_id == finished.attempt_id and not self.finished:
            self.finished = finished


@dataclass
class World:
    """Hold the true state of everything outside the machines."""

    sidecars: dict[UpstreamId, FakeSidecar]
    claims: ClaimStore = field(default_factory=PermissiveClaimStore)
    ran: list[HandOver] = field(default_factory=list)
    """Every attempt that reached an upstream."""
    in_flight: list[HandOver] = field(default_factory=list)
    """Hand-overs that the network has delayed."""
    attempt_numbers: count = field(default_factory=count)

    @classmethod
    def with_upstreams(cls, number: int) -> "World":
        """Create the given number of upstreams."""
        ids = [UpstreamId(f"u{index}") for index in range(number)]
        return cls({name: FakeSidecar(name) for name in ids})

    def choose(
        self, excluded: frozenset[UpstreamId], which: int
    ) -> ChosenUpstream | None:
        """Choose one of the upstreams that are not excluded."""
        left = sorted(set(self.sidecars) - excluded)
        if not left:
            return None
        name = left[which % len(left)]
        attempt = AttemptId(f"a{next(self.attempt_numbers)}")
        return ChosenUpstream(attempt, name, self.sidecars[name].epoch, name, 0)

    def deliver(self, hand_over: HandOver, busy: bool, tokens_per_chunk: int):
        """Deliver a hand-over to its sidecar."""
        refused = self.sidecars[hand_over.upstream_id].accept(
            hand_over, busy, tokens_per_chunk
        )
        if refused is None:
            self.ran.append(hand_over)
        return refused

    def ran_of(self, request_id: RequestId) -> list[HandOver]:
        """List the request's attempts that reached an upstream."""
        return [entry for entry in self.ran if entry.request_id == request_id]
