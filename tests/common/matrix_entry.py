"""Simulate an entry that drives callers' requests as the daemon does."""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from common.matrix_fleet import Control, Sidecar
from common.matrix_scheduler import EventScheduler, Process
from cowslipshelf_core.errors import Refusal, RefusalCode, RefusalReason
from cowslipshelf_core.messages import (
    ClaimAbsent,
    ClaimGranted,
    ClaimHeld,
    ClaimRefused,
    Frame,
    StreamChunk,
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
    CallerRequest,
    Cancel,
    ChoosePlacement,
    ChosenUpstream,
    ClaimAnswered,
    ClaimUnavailable,
    DeadlinePassed,
    FinishClaim,
    FrameArrived,
    HandOverAnswered,
    HandOverLost,
    LookUpClaim,
    MoveClaim,
    Placed,
    PlacementRefused,
    RequestConfig,
    RequestMachine,
    Resume,
    ResumeAnswered,
    RetryAnswered,
    Revoke,
    RevokeAnswered,
    SendHandOver,
    Started,
    StreamLost,
    Wait,
    WaitElapsed,
)
from cowslipshelf_core.sidecar import CancelArrived, OwnerSeen

CALL_SECONDS = 2.0
"""Seconds of silence after which a call or a stream is abandoned."""
MAX_CLAIM_SECONDS = 10.0
LEASE_SECONDS = 3.0
NO_UPSTREAM = Refusal(RefusalCode.NOT_RUN, RefusalReason.NO_UPSTREAM, "place")


@dataclass
class Connection:
    """Deliver an attempt's frames in order; a silent one stays open and silent."""

    run: "RequestRun"
    attempt_id: str
    silent: bool = False
    closed: bool = False
    ended: bool = False
    sent: int = 0
    delivered: int = 0
    out_of_order: dict[int, Frame] = field(default_factory=dict)

    def send(self, frame: Frame) -> None:
        if self.silent or self.closed or self.ended:
            return
        self.ended = isinstance(frame, StreamEnd)
        self.sent += 1
        run, number = self.run, self.sent
        run.entry.deliver(run.start, lambda: self.arrive(number, frame))

    def arrive(self, number: int, frame: Frame) -> None:
        """Restore the order; pass duplicates on, as the machine must drop them."""
        if number <= self.delivered:
            self.run.receive(self, frame)
            return
        self.out_of_order[number] = frame
        self.run.receive_in_order(self)

    def disconnect(self) -> None:
        run = self.run
        run.entry.deliver(run.start, lambda: run.lose_stream(self))


@dataclass
class Entry:
    """Simulate one entry instance and its view of the upstreams."""

    scheduler: EventScheduler
    process: Process
    sidecars: dict[str, Sidecar]
    control: Control
    is_alive: Callable[[str], bool]
    """Return whether an entry is known to be alive."""
    known: dict[str, tuple[float, str, int, bool]] = field(default_factory=dict)
    """Time, epoch, load sequence and leaving flag of each last announcement."""
    attempts: int = 0

    def boot(self) -> None:
        self.process.alive = True
        self.known.clear()
        self.tick()

    def record_announcement(
        self, name: str, epoch: str, sequence: int, leaving: bool
    ) -> None:
        self.known[name] = (self.scheduler.now, epoch, sequence, leaving)

    def tick(self) -> None:
        owner = OwnerSeen(self.process.name)
        for sidecar in self.sidecars.values():
            self.scheduler.send(
                sidecar.process, lambda sidecar=sidecar: sidecar.handle(owner)
            )
        self.scheduler.set_timer(self.process, 1.0, self.tick)

    def deliver(self, start: int, action: Callable) -> None:
        """Send an action to the process, dropped if it has restarted meanwhile."""

        def arrive() -> None:
            if self.process.start == start:
                action()

        self.scheduler.send(self.process, arrive)

    def choose(self, excluded: frozenset[str]) -> Placed | PlacementRefused:
        for name, (received_at, epoch, sequence, leaving) in sorted(self.known.items()):
            fresh = self.scheduler.now - received_at < LEASE_SECONDS
            if fresh and not leaving and name not in excluded:
                self.attempts += 1
                attempt_id = f"{self.process.name}-{self.process.start}-{self.attempts}"
                chosen = ChosenUpstream(attempt_id, name, epoch, name, 0, sequence)
                return Placed(chosen)
        return PlacementRefused(NO_UPSTREAM)


class RequestRun:
    """Drive one request: its state machine, its connection and its answer."""

    def __init__(
        self, entry: Entry, request: CallerRequest, step_reached: Callable
    ) -> None:
        self.entry = entry
        self.scheduler = entry.scheduler
        self.start = entry.process.start
        self.request = request
        self.machine = RequestMachine.from_config(request, RequestConfig())
        self.step_reached = step_reached
        self.effects: deque = deque()
        self.received_frames: deque = deque()
        self.connection: Connection | None = None
        self.received_at = 0.0
        self.calls = 0
        self.waiting = False
        self.crossed_run: RequestRun | None = None
        """Request that also gets this one's events while messages are reordered."""
        self.events: list = []
        self.answer: list[bytes] = []
        self.finals: list[tuple[float, object]] = []
        """Time and effect of each final answer; there must be exactly one."""
        self.deadline = self.scheduler.now + request.deadline_seconds

    def begin(self) -> None:
        self.handle(Started())
        self.step_reached("admitted", self.request)
        self.scheduler.set_timer(
            self.entry.process, self.request.deadline_seconds, self.check_deadline
        )
        self.check_silence()
        self.advance()

    def handle(self, event) -> None:
        self.events.append(event)
        self.effects.extend(self.machine.handle(event, self.scheduler.now))
        if self.crossed_run is not None and self.scheduler.misdelivers_answers():
            self.crossed_run.receive_misdelivered(event)

    def receive_misdelivered(self, event) -> None:
        """Handle an event that belongs to another request's attempt."""
        if getattr(event, "attempt_id", None) is not None:
            self.effects.extend(self.machine.handle(event, self.scheduler.now))
            self.advance()

    def advance(self) -> None:
        while not self.waiting:
            if self.effects:
                self.perform(self.effects.popleft())
            elif self.machine.has_ended():
                self.close()
                return
            elif self.connection is not None and self.received_frames:
                self.read(self.received_frames.popleft())
            else:
                return

    def check_deadline(self) -> None:
        if not self.waiting and not self.machine.has_ended():
            self.handle(DeadlinePassed())
            self.advance()

    def wait_for_answer(
        self, seconds: float, lost, send_request: Callable, local: bool = False
    ) -> None:
        """Wait for one answer, or for the call's timeout.

        Late and duplicate answers still reach the machine. That is stricter than
        the daemon, whose connections would drop them.
        """
        self.calls += 1
        call = self.calls
        self.waiting = True

        def answer(event, connection: Connection | None = None) -> None:
            current = self.waiting and call == self.calls
            if current:
                self.waiting = False
                if connection is not None:
                    self.connection = connection
                    self.received_at = self.scheduler.now
            elif event is lost:
                return
            if event is not None:
                self.handle(event)
            if connection is not None:
                self.receive_in_order(connection)
            self.advance()

        def deliver(*args) -> None:
            if local:
                self.scheduler.set_timer(self.entry.process, 0.0, lambda: answer(*args))
            else:
                self.entry.deliver(self.start, lambda: answer(*args))

        send_request(deliver)
        self.scheduler.set_timer(self.entry.process, seconds, lambda: answer(lost))

    def call_sidecar(self, upstream: str, lost, refused, request: Callable) -> None:
        """Call a sidecar and wait for its answer."""
        sidecar = self.entry.sidecars[upstream]

        def send_request(answer: Callable) -> None:
            self.scheduler.send(
                sidecar.process,
                lambda: request(sidecar, answer),
                lambda: answer(refused),
            )

        self.wait_for_answer(CALL_SECONDS, lost, send_request)

    def perform(self, effect) -> None:
        match effect:
            case ChoosePlacement(excluded=excluded):
                self.wait_for_answer(
                    CALL_SECONDS,
                    PlacementRefused(NO_UPSTREAM),
                    lambda answer: answer(self.entry.choose(excluded)),
                    local=True,
                )
            case AskClaim(claim) | MoveClaim(claim) | LookUpClaim(claim):
                left = self.deadline - self.scheduler.now
                self.submit_claim(claim, max(0.0, min(MAX_CLAIM_SECONDS, left)))
            case FinishClaim(claim, wait_seconds):
                self.submit_claim(claim, wait_seconds)
            case SendHandOver(upstream, hand_over):
                self.close()
                self.send_hand_over(upstream, hand_over)
            case Resume(_, attempt_id, after, upstream):
                self.close()
                self.resume(upstream, attempt_id, after)
            case Revoke(_, attempt_id, epoch, upstream, sequence):
                lost = RevokeAnswered(None, attempt_id)
                self.call_sidecar(
                    upstream,
                    lost,
                    lost,
                    lambda sidecar, answer: answer(
                        RevokeAnswered(
                            sidecar.revoke(attempt_id, epoch, sequence), attempt_id
                        )
                    ),
                )
            case Cancel(upstream, attempt_id):
                sidecar = self.entry.sidecars[upstream]
                cancel = CancelArrived(attempt_id)
                self.scheduler.send(sidecar.process, lambda: sidecar.handle(cancel))
            case AskRetryBudget():
                self.handle(RetryAnswered(True, 0.5))
            case Wait(seconds):
                self.wait_for_answer(max(0.001, seconds), WaitElapsed(), lambda _: None)
            case AnswerHead():
                assert not self.answer
            case AnswerChunk(data):
                self.answer.append(data)
            case AnswerEnd() | AnswerRefusal():
                self.finals.append((self.scheduler.now, effect))

    def submit_claim(self, claim, timeout_seconds: float) -> None:
        """Submit a claim command; a finishing request expects no event in return."""

        def to_event(outcome):
            if isinstance(claim, FinishClaim) or self.machine.has_ended():
                return None
            match outcome:
                case ClaimHeld(owner=owner):
                    return ClaimAnswered(outcome, not self.entry.is_alive(owner))
                case ClaimGranted() | ClaimRefused() | ClaimAbsent():
                    return ClaimAnswered(outcome)
                case Refusal():
                    return ClaimUnavailable(outcome)

        unknown = Refusal(
            RefusalCode.OUTCOME_UNKNOWN, RefusalReason.NO_QUORUM, "control"
        )
        self.wait_for_answer(
            timeout_seconds + 1.0,
            to_event(unknown),
            lambda answer: self.entry.control.submit(
                claim, timeout_seconds, lambda outcome: answer(to_event(outcome))
            ),
        )

    def send_hand_over(self, upstream: str, hand_over) -> None:
        attempt_id = hand_over.attempt_id

        def accept(sidecar: Sidecar, answer: Callable) -> None:
            refused = sidecar.hand_over(hand_over)
            connection = Connection(self, attempt_id) if refused is None else None
            answer(HandOverAnswered(refused, attempt_id), connection)
            if connection is not None:
                sidecar.open_stream(connection, 0)

        self.call_sidecar(
            upstream,
            HandOverLost(True, attempt_id),
            HandOverLost(False, attempt_id),
            accept,
        )

    def resume(self, upstream: str, attempt_id: str, after: int) -> None:
        lost = ResumeAnswered(False, attempt_id)

        def accept(sidecar: Sidecar, answer: Callable) -> None:
            if attempt_id not in sidecar.frames:
                answer(lost)
                return
            connection = Connection(self, attempt_id)
            answer(ResumeAnswered(True, attempt_id), connection)
            sidecar.open_stream(connection, after)

        self.call_sidecar(upstream, lost, lost, accept)

    def receive_in_order(self, connection: Connection) -> None:
        """Handle the frames that are next in order, on the current connection only.

        Until the hand-over or resume is answered there is no such connection.
        """
        if connection is not self.connection:
            return
        while connection.delivered + 1 in connection.out_of_order:
            connection.delivered += 1
            self.receive(connection, connection.out_of_order.pop(connection.delivered))

    def receive(self, connection: Connection, frame: Frame) -> None:
        if connection is not self.connection:
            return
        self.received_at = self.scheduler.now
        self.received_frames.append(frame)
        self.advance()

    def read(self, frame: Frame) -> None:
        attempt_id = self.connection.attempt_id
        if self.scheduler.now >= self.deadline:
            self.handle(DeadlinePassed())
            return
        if isinstance(frame, StreamHeartbeat):
            return
        if isinstance(frame, StreamEnd):
            self.close()
        self.handle(FrameArrived(frame, attempt_id))
        if isinstance(frame, StreamChunk) and frame.tokens:
            step = "first token" if frame.sequence <= 2 else "mid-stream"
            self.step_reached(step, self.request)

    def check_silence(self) -> None:
        """Treat a stream without frames or heartbeats as lost."""
        silent = self.scheduler.now - self.received_at >= CALL_SECONDS
        if silent and self.connection is not None and not self.waiting:
            self.lose_stream(self.connection)
        if not self.machine.has_ended():
            self.scheduler.set_timer(self.entry.process, 0.25, self.check_silence)

    def lose_stream(self, connection: Connection) -> None:
        if connection is self.connection and not self.machine.has_ended():
            attempt_id = connection.attempt_id
            self.close()
            self.handle(StreamLost(attempt_id))
            self.advance()

    def close(self) -> None:
        if self.connection is not None:
            self.connection.closed = True
        self.connection = None
        self.received_frames.clear()
