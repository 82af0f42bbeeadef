"""Run one caller's request: perform the effects of its `RequestMachine`."""

import random
import threading
import time
from collections import deque
from collections.abc import Callable, Iterator
from http import HTTPStatus
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
    StreamHead,
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

MIN_WAIT_SECONDS = 0.001


class SharedRetryBudget:
    """Share the process's retry budget among the threads of its requests."""

    def __init__(self, budget: RetryBudget) -> None:
        self.budget = budget
        self.lock = threading.Lock()

    def request_started(self, now: float) -> None:
        """Count the first attempt of a request."""
        with self.lock:
            self.budget.count_first_attempt(now)

    def allows(self, now: float) -> bool:
        """Spend a retry if the budget allows one; return whether it did."""
        with self.lock:
            return self.budget.try_retry(now)


class DriverServices(NamedTuple):
    """Hold the services that all requests of one entry share."""

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
    """Run one request, and its sockets, on the thread of its caller's connection."""

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
        self.caller_left = False
        self.stream: AttemptStream | PartStream | None = None
        self.frames: Iterator[Frame] = iter(())
        self.streaming_attempt: AttemptId | None = None
        self.chosen: ChosenUpstream | None = None
        self.reading_upstream: UpstreamId | None = None
        """The upstream whose answer is being read."""
        self.answer_status = HTTPStatus.OK.value
        """The status of that answer."""
        self.attempt_began_at = time.monotonic()
        """The time at which its attempt was handed over."""
        self.identity = request_identity(request)
        self.on_trial = False
        self.sender = AttemptSender(
            SpreadServices(
                services.attempts, services.cancels, record.note, self.still_wanted
            )
        )
        self.deadline_at = time.monotonic() + request.deadline_seconds

    def run(self) -> None:
        """Run the request to its one final answer."""
        self.services.retry_budget.request_started(time.monotonic())
        self.handle(Started())
        try:
            # Effects after the final answer, such as a cancel, are performed too.
            while self.effects or not self.machine.has_ended():
                self.step()
        finally:
            self.close_stream()
            self.sender.cancel_helpers()
            self.end_trial()

    def step(self) -> None:
        """Perform the next effect, or else read the open stream."""
        if self.effects:
            self.perform(self.effects.popleft())
        elif self.stream is not None:
            self.read_stream()
        else:
            # Without an effect or a stream, only the deadline can follow.
            time.sleep(max(MIN_WAIT_SECONDS, self.seconds_left()))
            self.handle(DeadlinePassed())

    def handle(self, event: RequestEvent) -> None:
        """Pass an event to the state machine and queue its effects."""
        self.effects.extend(self.machine.handle(event, time.monotonic()))

    def seconds_left(self) -> float:
        """Return the time left until the caller's deadline, in seconds."""
        return self.deadline_at - time.monotonic()

    def perform(self, effect: RequestEffect) -> None:
        """Perform one effect."""
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
        """Ask the router for a placement and wait for its answer."""
        self.sender.cancel_helpers()
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
        self.record.add_placement(answer.explanation)
        match answer.answer:
            case ChosenUpstream() as chosen:
                self.chosen = chosen
                self.handle(Placed(chosen))
            case Refusal() as refusal:
                self.handle(PlacementRefused(refusal))

    def end_trial(self) -> None:
        """End the trial of a suspect request, so that it may be tried elsewhere."""
        if self.on_trial:
            self.on_trial = False
            self.services.suspects.end_trial(self.identity)

    def report_stream_end(self, end: StreamEnd) -> None:
        """Record whether the upstream exited under the request or answered it."""
        if end.upstream_ended and self.reading_upstream is not None:
            self.services.suspects.record_exit(
                self.identity, self.reading_upstream, self.attempt_began_at
            )
        elif end.refusal is None:
            succeeded = self.answer_status < HTTPStatus.MULTIPLE_CHOICES
            self.services.suspects.record_answer(self.identity, succeeded)

    def ask_claim(self, claim: Message) -> None:
        """Submit a claim command to the replicated state."""
        match self.services.control.commit(claim, self.seconds_left()):
            case ClaimHeld(owner=owner) as held:
                owner_gone = not self.services.routing.entry_is_alive(owner)
                self.handle(ClaimAnswered(held, owner_gone))
            case (ClaimGranted() | ClaimRefused() | ClaimAbsent()) as answer:
                self.handle(ClaimAnswered(answer))
            case Refusal() as refusal:
                self.handle(ClaimUnavailable(refusal))

    def send_hand_over(self, hand_over: HandOver) -> None:
        """Hand over an attempt to its sidecar; it is never sent again."""
        self.close_stream()
        attempt_id = hand_over.attempt_id
        self.reading_upstream = hand_over.upstream_id
        self.attempt_began_at = time.monotonic()
        answer = self.sender.hand_over(self.chosen, hand_over)
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
        """Tell whether the caller still waits for a prompt that is being spread."""
        self.check_caller()
        return self.seconds_left() > 0 and not self.machine.has_ended()

    def fail_without_part(self, lost: str) -> None:
        """Fail an attempt whose engine can no longer read the whole prompt."""
        refusal = Refusal(
            RefusalCode.FAILED, RefusalReason.UPSTREAM_FAILED, STEP, detail=lost
        )
        self.close_stream()
        self.handle(FrameArrived(StreamEnd(0, refusal), self.streaming_attempt))

    def lost_part(self) -> str:
        """Return why a part was lost, if the request may be retried; else empty.

        A request that must run at most once continues: only its engine can tell whether
        it still needs the part, and a failure here would leave the outcome unknown.
        """
        if self.request.is_non_idempotent():
            return ""
        return self.sender.lost_part()

    def resume(self, effect: Resume) -> None:
        """Resume an attempt's stream after the last frame that was received."""
        self.close_stream()
        self.reading_upstream = effect.upstream_id
        address = self.address_of(effect)
        stream = None
        if address:
            stream = self.services.attempts.resume(
                address, effect.attempt_id, effect.after_sequence
            )
        if stream is not None:
            self.open_stream(stream, effect.attempt_id)
        self.handle(ResumeAnswered(stream is not None, effect.attempt_id))

    def address_of(self, effect: Resume | Revoke) -> str | None:
        """Return the sidecar's address, also for attempts placed by other entries."""
        routing = self.services.routing
        return effect.address or routing.attempts_address(effect.upstream_id)

    def revoke(self, effect: Revoke) -> None:
        """Ask a sidecar to promise that an attempt never runs."""
        address = self.address_of(effect)
        answer = None
        if address:
            answer = self.services.attempts.revoke(
                address, effect.attempt_id, effect.epoch, effect.load_sequence
            )
        self.handle(RevokeAnswered(answer, effect.attempt_id))

    def ask_retry_budget(self) -> None:
        """Ask the retry budget of this process for a retry."""
        allowed = self.services.retry_budget.allows(time.monotonic())
        self.services.metrics.retry(allowed)
        self.handle(RetryAnswered(allowed, random.random()))

    def open_stream(
        self, stream: AttemptStream | PartStream, attempt_id: AttemptId
    ) -> None:
        """Start reading an attempt's frames."""
        self.stream = stream
        self.frames = iter(stream)
        self.streaming_attempt = attempt_id

    def close_stream(self) -> None:
        """Close the connection of the current stream."""
        if self.stream is not None:
            self.stream.close()
        self.stream = None

    def read_stream(self) -> None:
        """Read the next frame; heartbeats bound the wait, so deadlines are noticed."""
        try:
            frame = next(self.frames)
        except StreamLostError as error:
            self.record.note(str(error))
            self.close_stream()
            self.handle(StreamLost(self.streaming_attempt))
            return
        if isinstance(frame, StreamHead):
            self.answer_status = frame.status
        match frame:
            case _ if self.seconds_left() <= 0:
                self.handle(DeadlinePassed())
            case StreamEnd():
                self.close_stream()
                self.report_stream_end(frame)
                self.handle(FrameArrived(frame, self.streaming_attempt))
            case _ if lost := self.lost_part():
                self.fail_without_part(lost)
            case StreamHeartbeat():
                self.check_caller()
            case _:
                self.handle(FrameArrived(frame, self.streaming_attempt))

    def check_caller(self) -> None:
        """Notice a caller that left while there was nothing to write."""
        if not self.caller_left and self.writer.caller_gone():
            self.note_caller_left("closed its connection")

    def note_caller_left(self, detail: str) -> None:
        """Tell the state machine, once, that the caller has gone.

        Work that must run at most once goes on without a caller.
        """
        self.record.note(f"caller gone: {detail}")
        if not self.caller_left:
            self.caller_left = True
            self.handle(CallerGone())

    def answer(
        self, effect: AnswerHead | AnswerChunk | AnswerEnd | AnswerRefusal
    ) -> None:
        """Write to the caller; a caller that has gone does not end the request."""
        if self.caller_left and not isinstance(effect, AnswerEnd | AnswerRefusal):
            return
        try:
            self.write(effect)
        except CallerGoneError as error:
            self.note_caller_left(str(error))

    def write(
        self, effect: AnswerHead | AnswerChunk | AnswerEnd | AnswerRefusal
    ) -> None:
        """Write one part of the answer."""
        match effect:
            case AnswerHead(status, headers):
                self.writer.head(status, headers)
            case AnswerChunk(data):
                self.record.count_chunk()
                self.writer.chunk(data)
            case AnswerEnd():
                self.record.end("whole")
                self.writer.end()
            case AnswerRefusal(refusal, head_sent):
                self.record.end(f"{refusal.code}_{refusal.reason}")
                self.writer.refusal(refusal, head_sent)


def request_identity(request: CallerRequest) -> RequestIdentity:
    """Return the identity under which exits of upstreams are recorded.

    The request's `body_digest` covers method, service, path and body.
    """
    digest = request_digest(
        request.customer,
        request.method,
        request.service,
        request.path,
        request.body_digest.encode(),
    )
    return RequestIdentity(
        request.request_id, digest, request.customer, request.shared_parts
    )


def refusal_of(verdict: HeldBack) -> Refusal:
    """Refuse a request that upstreams exited under; it did not run again.

    Without a time to retry after, its reason has a status that invites no retry.
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
