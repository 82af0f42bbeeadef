"""Drive one caller's request: carry out what its decider says, one step at a time."""

import random
import threading
import time
from collections import deque
from collections.abc import Callable, Iterator
from typing import NamedTuple

from cowslipshelf_callers import AnswerWriter, CallerGoneError
from cowslipshelf_core.chosen_upstream import ChosenUpstream
from cowslipshelf_core.errors import Refusal, RefusalCode, RefusalReason
from cowslipshelf_core.gateway import AllowedAlone, HeldBack, request_digest
from cowslipshelf_core.identifiers import AttemptId, InstanceId, UpstreamId
from cowslipshelf_core.messages import (
    AttemptRefused,
    ClaimAbsent,
    ClaimGranted,
    ClaimHeld,
    ClaimRefused,
    Frame,
    Message,
    StreamEnd,
    StreamHeartbeat,
)
from cowslipshelf_core.requests import (
    AnswerChunk,
    AnswerEnd,
    AnswerHead,
    AnswerRefusal,
    AskClaim,
    AskRetryBudget,
    CallerGone,
    CallerRequest,
    Cancel,
    ChoosePlacement,
    ClaimAnswered,
    ClaimUnavailable,
    DeadlinePassed,
    FinishClaim,
    FrameArrived,
    HandOverAnswered,
    HandOverLost,
    LookUpClaim,
    MoveClaim,
    Note,
    Placed,
    PlacementRefused,
    Report,
    RequestEffect,
    RequestEvent,
    RequestMachine,
    Resume,
    ResumeAnswered,
    RetryAnswered,
    RetryBudget,
    Revoke,
    RevokeAnswered,
    SendHandOver,
    Started,
    StreamLost,
    Wait,
    WaitElapsed,
)
from cowslipshelf_core.upstream import HandOver
from cowslipshelf_daemon.internal.control_state_client import ControlStateClient
from cowslipshelf_daemon.internal.entry.attempt_sender import AttemptSender
from cowslipshelf_daemon.internal.entry.cancel_sender import CancelSender
from cowslipshelf_daemon.internal.entry.entry_metrics import EntryMetrics
from cowslipshelf_daemon.internal.entry.explanations import RequestRecord
from cowslipshelf_daemon.internal.entry.part_stream import PartStream
from cowslipshelf_daemon.internal.entry.routing_actor import RoutingClient
from cowslipshelf_daemon.internal.entry.spread_hand_over import (
    STEP,
    SpreadServices,
)
from cowslipshelf_daemon.internal.suspect_requests import (
    RequestIdentity,
    SuspectRequests,
)
from cowslipshelf_fleet.attempts import (
    AttemptsClient,
    AttemptStream,
    HandOverFailed,
    StreamLostError,
)

SHORTEST_WAIT_SECONDS = 0.001


class SharedRetryBudget:
    """Guard the process's one retry budget, which every request's thread asks."""

    def __init__(self, budget: RetryBudget) -> None:
        self.budget = budget
        self.lock = threading.Lock()

    def request_started(self, now: float) -> None:
        """Count a first attempt."""
        with self.lock:
            self.budget.count_first_attempt(now)

    def allows(self, now: float) -> bool:
        """Spend a retry where there is one to spend."""
        with self.lock:
            return self.budget.try_retry(now)


class DriverServices(NamedTuple):
    """Be what every request of one entry uses."""

    instance: InstanceId
    routing: RoutingClient
    control: ControlStateClient
    attempts: AttemptsClient
    cancels: CancelSender
    retry_budget: SharedRetryBudget
    new_attempt_id: Callable[[], AttemptId]
    metrics: EntryMetrics
    suspects: SuspectRequests


class RequestDriver:
    """Own the sockets of one request, on the thread of its caller's connection."""

    def __init__(
        self,
        request: CallerRequest,
        machine: RequestMachine,
        writer: AnswerWriter,
        services: DriverServices,
        record: RequestRecord,
    ) -> None:
        self.request = request
        self.machine = machine
        self.writer = writer
        self.services = services
        self.record = record
        self.effects: deque[RequestEffect] = deque()
        self.gone = False
        self.stream: AttemptStream | PartStream | None = None
        self.frames: Iterator[Frame] = iter(())
        self.streaming: AttemptId | None = None
        self.chosen: ChosenUpstream | None = None
        self.read_from: UpstreamId | None = None
        """The upstream whose answer is read."""
        self.identity = request_identity(request)
        self.on_trial = False
        self.spreads = AttemptSender(
            SpreadServices(
                services.attempts, services.cancels, record.note, self.still_wanted
            )
        )
        self.deadline_at = time.monotonic() + request.deadline_seconds

    def run(self) -> None:
        """Drive the request to its one final answer."""
        self.services.retry_budget.request_started(time.monotonic())
        self.handle(Started())
        try:
            # What follows the final answer, such as a cancel, is carried out as well.
            while self.effects or not self.machine.has_ended():
                self.step()
        finally:
            self.close_stream()
            self.spreads.release()
            self.end_trial()

    def step(self) -> None:
        """Carry out the next effect, or else read the open stream."""
        if self.effects:
            self.perform(self.effects.popleft())
        elif self.stream is not None:
            self.read_stream()
        else:
            # Without an effect and a stream only the deadline is left to come.
            time.sleep(max(SHORTEST_WAIT_SECONDS, self.seconds_left()))
            self.handle(DeadlinePassed())

    def handle(self, event: RequestEvent) -> None:
        """Give the decider an event and queue what it wants done."""
        self.effects.extend(self.machine.handle(event, time.monotonic()))

    def seconds_left(self) -> float:
        """Return the time left of the caller's deadline, in seconds."""
        return self.deadline_at - time.monotonic()

    def perform(self, effect: RequestEffect) -> None:
        """Carry out one effect."""
        match effect:
            case ChoosePlacement():
                self.choose_placement(effect)
            case AskClaim(claim) | MoveClaim(claim) | LookUpClaim(claim):
                self.ask_claim(claim)
            case FinishClaim(claim, wait_seconds):
                self.services.control.commit(claim, wait_seconds)
            case SendHandOver(hand_over=hand_over):
                self.send_hand_over(hand_over)
            case Resume():
                self.resume(effect)
            case Revoke():
                self.revoke(effect)
            case Cancel(address, attempt_id):
                self.services.cancels.send(address, attempt_id)
            case AskRetryBudget():
                self.ask_retry_budget()
            case Wait(seconds):
                time.sleep(max(0.0, min(seconds, self.seconds_left())))
                self.handle(WaitElapsed())
            case Report(event):
                self.services.routing.report(event)
            case Note(text):
                self.record.note(text)
            case AnswerHead() | AnswerChunk() | AnswerEnd() | AnswerRefusal():
                self.answer(effect)

    def choose_placement(self, effect: ChoosePlacement) -> None:
        """Ask the router and wait for its one answer."""
        self.spreads.release()
        self.end_trial()
        verdict = self.services.suspects.claim(self.identity)
        if isinstance(verdict, HeldBack):
            self.handle(PlacementRefused(refusal_of(verdict)))
            return
        self.on_trial = isinstance(verdict, AllowedAlone)
        attempt_id = self.services.new_attempt_id()
        answer = self.services.routing.place(
            self.request, attempt_id, effect.excluded, self.seconds_left()
        )
        if answer is None:
            self.handle(DeadlinePassed())
            return
        self.record.placed(answer.explanation)
        match answer.answer:
            case ChosenUpstream() as chosen:
                self.chosen = chosen
                self.handle(Placed(chosen))
            case Refusal() as refusal:
                self.handle(PlacementRefused(refusal))

    def end_trial(self) -> None:
        """Let the request be tried elsewhere, if it was tried here."""
        if self.on_trial:
            self.on_trial = False
            self.services.suspects.end_trial(self.identity)

    def learn_from_end(self, end: StreamEnd) -> None:
        """Note whether the upstream ended under the request, or answered it."""
        if end.upstream_ended and self.read_from is not None:
            self.services.suspects.record_exit(self.identity, self.read_from)
        elif end.refusal is None:
            self.services.suspects.record_answer(self.identity)

    def ask_claim(self, claim: Message) -> None:
        """Put a claim to the replicated state."""
        match self.services.control.commit(claim, self.seconds_left()):
            case ClaimHeld(owner=owner) as held:
                gone = not self.services.routing.entry_is_alive(owner)
                self.handle(ClaimAnswered(held, gone))
            case (ClaimGranted() | ClaimRefused() | ClaimAbsent()) as answer:
                self.handle(ClaimAnswered(answer))
            case Refusal() as refusal:
                self.handle(ClaimUnavailable(refusal))

    def send_hand_over(self, hand_over: HandOver) -> None:
        """Hand an attempt over; this is its only sending."""
        self.close_stream()
        attempt_id = hand_over.attempt_id
        self.read_from = hand_over.upstream_id
        answer = self.spreads.hand_over(self.chosen, hand_over)
        match answer:
            case AttemptRefused():
                self.handle(HandOverAnswered(answer, attempt_id))
            case HandOverFailed(may_have_arrived=may_have_arrived):
                self.record.note(f"hand-over failed: {answer.detail}")
                self.handle(HandOverLost(may_have_arrived, attempt_id))
            case _:
                self.open_stream(answer, attempt_id)
                self.handle(HandOverAnswered(None, attempt_id))

    def still_wanted(self) -> bool:
        """Tell whether a spread prompt that has not run yet is still waited for."""
        self.look_for_caller()
        return self.seconds_left() > 0 and not self.machine.has_ended()

    def end_without_part(self, lost: str) -> None:
        """End an attempt whose engine can't read the whole prompt any more."""
        refusal = Refusal(
            RefusalCode.FAILED, RefusalReason.UPSTREAM_FAILED, STEP, detail=lost
        )
        self.close_stream()
        self.handle(FrameArrived(StreamEnd(0, refusal), self.streaming))

    def lost_part(self) -> str:
        """Name a lost part of an answer that may be begun again; empty for none.

        What must run at most once goes on: its engine alone can tell what it still
        needs of the part, and an end here would leave the outcome unknown for sure.
        """
        if self.request.is_non_idempotent():
            return ""
        return self.spreads.lost_part()

    def resume(self, asked: Resume) -> None:
        """Read an attempt's frames from where they were cut."""
        self.close_stream()
        self.read_from = asked.upstream_id
        where = self.address_of(asked)
        stream = None
        if where:
            stream = self.services.attempts.resume(
                where, asked.attempt_id, asked.after_sequence
            )
        if stream is not None:
            self.open_stream(stream, asked.attempt_id)
        self.handle(ResumeAnswered(stream is not None, asked.attempt_id))

    def address_of(self, asked: Resume | Revoke) -> str | None:
        """Find the sidecar of an attempt that another entry may have placed."""
        routing = self.services.routing
        return asked.address or routing.attempts_address(asked.upstream_id)

    def revoke(self, asked: Revoke) -> None:
        """Ask a sidecar for the promise that an attempt never runs."""
        where = self.address_of(asked)
        answer = None
        if where:
            answer = self.services.attempts.revoke(
                where, asked.attempt_id, asked.epoch, asked.load_sequence
            )
        self.handle(RevokeAnswered(answer, asked.attempt_id))

    def ask_retry_budget(self) -> None:
        """Ask whether this process may spend a retry."""
        allowed = self.services.retry_budget.allows(time.monotonic())
        self.services.metrics.retry(allowed)
        self.handle(RetryAnswered(allowed, random.random()))

    def open_stream(
        self, stream: AttemptStream | PartStream, attempt_id: AttemptId
    ) -> None:
        """Begin to read an attempt's frames."""
        self.stream = stream
        self.frames = iter(stream)
        self.streaming = attempt_id

    def close_stream(self) -> None:
        """Give up the connection of the present stream."""
        if self.stream is not None:
            self.stream.close()
        self.stream = None

    def read_stream(self) -> None:
        """Take the next frame; heartbeats bound the wait, and show the deadline."""
        try:
            frame = next(self.frames)
        except StreamLostError as error:
            self.record.note(str(error))
            self.close_stream()
            self.handle(StreamLost(self.streaming))
            return
        match frame:
            case _ if self.seconds_left() <= 0:
                self.handle(DeadlinePassed())
            case StreamEnd():
                self.close_stream()
                self.learn_from_end(frame)
                self.handle(FrameArrived(frame, self.streaming))
            case _ if lost := self.lost_part():
                self.end_without_part(lost)
            case StreamHeartbeat():
                self.look_for_caller()
            case _:
                self.handle(FrameArrived(frame, self.streaming))

    def look_for_caller(self) -> None:
        """Notice a caller that went away while there was nothing to write."""
        if not self.gone and self.writer.caller_gone():
            self.caller_has_gone("closed its connection")

    def caller_has_gone(self, detail: str) -> None:
        """Tell the decider, once; work that must run once goes on without a caller."""
        self.record.note(f"caller gone: {detail}")
        if not self.gone:
            self.gone = True
            self.handle(CallerGone())

    def answer(
        self, effect: AnswerHead | AnswerChunk | AnswerEnd | AnswerRefusal
    ) -> None:
        """Write to the caller; one that has gone does not end the request."""
        if self.gone and not isinstance(effect, AnswerEnd | AnswerRefusal):
            return
        try:
            self.write(effect)
        except CallerGoneError as error:
            self.caller_has_gone(str(error))

    def write(
        self, effect: AnswerHead | AnswerChunk | AnswerEnd | AnswerRefusal
    ) -> None:
        """Write one piece of the answer."""
        match effect:
            case AnswerHead(status, headers):
                self.writer.head(status, headers)
            case AnswerChunk(data):
                self.record.chunk_written()
                self.writer.chunk(data)
            case AnswerEnd():
                self.record.end("whole")
                self.writer.end()
            case AnswerRefusal(refusal, head_sent):
                self.record.end(f"{refusal.code}_{refusal.reason}")
                self.writer.refusal(refusal, head_sent)


def request_identity(request: CallerRequest) -> RequestIdentity:
    """Return what the ends of upstreams are noted by.

    The body's digest takes in method, service, path and body.
    """
    digest = request_digest(
        request.customer,
        request.method,
        request.service,
        request.path,
        request.body_digest.encode(),
    )
    return RequestIdentity(request.request_id, digest, request.customer)


def refusal_of(verdict: HeldBack) -> Refusal:
    """Refuse a request under which upstreams ended; it did not run again.

    Without a time to come back the reason is one whose status invites no retry.
    """
    again = verdict.retry_after_seconds
    reason = RefusalReason.UPSTREAM_FAILED if again is None else RefusalReason.BUSY
    detail = f"upstreams ended under this request: {', '.join(verdict.upstreams)}"
    return Refusal(
        RefusalCode.NOT_RUN,
        reason,
        "place",
        detail=detail,
        retry_after_seconds=again,
    )
