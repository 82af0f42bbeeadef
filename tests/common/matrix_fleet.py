"""Simulate engines, sidecars and the control state, wired as in the daemon."""

from collections.abc import Callable
from dataclasses import dataclass, field

from common.matrix_scheduler import LATENCY_SECONDS, EventScheduler, Process
from common.sidecars import configuration, description
from cowslipshelf_core.configuration import FleetConfiguration
from cowslipshelf_core.control import ControlState, decode_command, encode_command
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
from cowslipshelf_core.sidecar import (
    AnswerRevoke,
    CancelAtUpstream,
    ConfigurationApplied,
    DropFrames,
    EndAttempt,
    FirstTokenArrived,
    HandOverArrived,
    HeldMemory,
    InventoryRead,
    LeavingStarted,
    OwnerSeen,
    RefuseAttempt,
    ReleaseAtUpstream,
    RevokeArrived,
    SidecarConfig,
    SidecarState,
    StartAttempt,
    TickElapsed,
    UpstreamAccepted,
    UpstreamFinished,
)
from cowslipshelf_core.upstream import HandOver

CHUNK_SECONDS = 0.1
TICK_SECONDS = 0.25
ENGINE_SILENCE_SECONDS = 4.0
MAX_ENGINE_RESUMES = 3
TOKENS = 5
HEAD = StreamHead(200, ())
CLAIM_RETRY_SECONDS = 0.2


def answer_chunks(body: bytes, delivered: int = 0) -> list[tuple[bytes, int]]:
    """Return the answer's chunks; no two request bodies have the same answer."""
    tokens = [(b"%s-%d " % (body, number), 1) for number in range(TOKENS)]
    opening = [] if delivered else [(b"<open>", 0)]
    return [*opening, *tokens[delivered:], (b"<close>", 0)]


def whole_answer(body: bytes) -> bytes:
    return b"".join(data for data, _ in answer_chunks(body))


@dataclass
class Engine:
    """Simulate an engine that holds memory until the end is read or cancelled.

    It ignores the first cancel of every attempt, as if the call were lost.
    """

    scheduler: EventScheduler
    process: Process
    step_reached: Callable[[str, HandOver], None]
    started: list[tuple[float, HandOver]] = field(default_factory=list)
    """Every attempt that ran here; kept across restarts for the checks."""
    held: dict[AttemptId, int] = field(default_factory=dict)
    produced: dict[AttemptId, list[tuple[bytes, int]]] = field(default_factory=dict)
    readers: dict[AttemptId, Callable] = field(default_factory=dict)
    finished: set[AttemptId] = field(default_factory=set)
    cancelled_once: set[AttemptId] = field(default_factory=set)

    def run(self, hand_over: HandOver, reader: Callable) -> None:
        attempt_id = hand_over.attempt_id
        self.started.append((self.scheduler.now, hand_over))
        self.held[attempt_id] = hand_over.prompt_tokens + hand_over.max_output_tokens
        self.produced[attempt_id] = []
        self.readers[attempt_id] = reader
        self.step_reached("accepted by the engine", hand_over)
        self.scheduler.set_timer(
            self.process, CHUNK_SECONDS, lambda: self.produce(hand_over)
        )

    def produce(self, hand_over: HandOver) -> None:
        attempt_id = hand_over.attempt_id
        if attempt_id not in self.held:
            return
        chunks = answer_chunks(hand_over.body, hand_over.delivered_tokens)
        produced = self.produced[attempt_id]
        produced.append(chunks[len(produced)])
        last = len(produced) == len(chunks)
        self.readers[attempt_id](len(produced), *produced[-1], last)
        if last:
            self.finished.add(attempt_id)
        else:
            self.scheduler.set_timer(
                self.process, CHUNK_SECONDS, lambda: self.produce(hand_over)
            )

    def resume(self, attempt_id: AttemptId, after: int, reader: Callable) -> bool:
        if attempt_id not in self.produced:
            return False
        self.readers[attempt_id] = reader
        produced = self.produced[attempt_id]
        for sequence in range(after + 1, len(produced) + 1):
            last = sequence == len(produced) and attempt_id in self.finished
            reader(sequence, *produced[sequence - 1], last)
        return True

    def cancel(self, attempt_id: AttemptId) -> None:
        if attempt_id in self.cancelled_once:
            self.held.pop(attempt_id, None)
        self.cancelled_once.add(attempt_id)

    def acknowledge_end(self, attempt_id: AttemptId) -> None:
        self.held.pop(attempt_id, None)

    def restart(self) -> None:
        self.held.clear()
        self.produced.clear()
        self.process.alive = True


@dataclass
class AttemptRunner:
    """Follow one attempt at the engine, as its thread in the sidecar does."""

    sidecar: "Sidecar"
    hand_over: HandOver
    sequence: int = 0
    output_tokens: int = 0
    resumes: int = 0
    received_at: float = 0.0
    cancelled: bool = False
    ended: bool = False
    connection: int = 0

    def begin(self) -> None:
        self.received_at = self.sidecar.scheduler.now
        reader = self.new_reader()
        engine = self.sidecar.engine
        self.sidecar.call_engine(
            lambda: self.accepted(engine.run(self.hand_over, reader)),
            lambda: self.end(self.failure(RefusalCode.NOT_RUN)),
        )
        self.check_silence()

    def accepted(self, _: None) -> None:
        attempt_id = self.hand_over.attempt_id
        self.sidecar.from_engine(lambda: self.started(attempt_id))

    def started(self, attempt_id: AttemptId) -> None:
        self.sidecar.handle(UpstreamAccepted(attempt_id))
        if not self.ended:
            self.sidecar.append(attempt_id, HEAD)

    def new_reader(self) -> Callable:
        self.connection += 1
        connection = self.connection

        def read(sequence: int, data: bytes, tokens: int, last: bool) -> None:
            self.sidecar.from_engine(
                lambda: self.receive(connection, sequence, data, tokens, last)
            )

        return read

    def receive(self, connection, sequence, data, tokens, last) -> None:
        if self.ended or connection != self.connection:
            return
        self.received_at = self.sidecar.scheduler.now
        attempt_id = self.hand_over.attempt_id
        if self.cancelled:
            self.end(self.failure(RefusalCode.FAILED))
            return
        if self.sequence == 0:
            self.sidecar.handle(FirstTokenArrived(attempt_id))
        self.sequence = sequence
        self.output_tokens += tokens
        self.sidecar.append(attempt_id, StreamChunk(sequence, data, tokens))
        if last:
            engine = self.sidecar.engine
            self.sidecar.call_engine(
                lambda: engine.acknowledge_end(attempt_id), lambda: None
            )
            self.end(None)

    def check_silence(self) -> None:
        if self.ended:
            return
        scheduler = self.sidecar.scheduler
        if scheduler.now - self.received_at >= ENGINE_SILENCE_SECONDS:
            self.resume_stream()
        scheduler.set_timer(self.sidecar.process, TICK_SECONDS, self.check_silence)

    def resume_stream(self) -> None:
        """Ask the engine for the rest, up to `MAX_ENGINE_RESUMES` times."""
        self.received_at = self.sidecar.scheduler.now
        self.resumes += 1
        if self.cancelled or self.resumes > MAX_ENGINE_RESUMES:
            self.end(self.failure(RefusalCode.FAILED))
            return
        reader = self.new_reader()
        engine, attempt_id = self.sidecar.engine, self.hand_over.attempt_id

        def ask() -> None:
            if not engine.resume(attempt_id, self.sequence, reader):
                self.sidecar.from_engine(self.fail)

        self.sidecar.call_engine(ask, self.fail)

    def fail(self) -> None:
        self.end(self.failure(RefusalCode.FAILED))

    def failure(self, code: RefusalCode) -> Refusal:
        return Refusal(code, RefusalReason.UPSTREAM_FAILED, "run", "engine")

    def end(self, refusal: Refusal | None) -> None:
        if self.ended:
            return
        self.ended = True
        attempt_id = self.hand_over.attempt_id
        self.sidecar.append(attempt_id, StreamEnd(self.sequence, refusal))
        if refusal is None:
            self.sidecar.step_reached("last token", self.hand_over)
        whole = refusal is None
        self.sidecar.handle(UpstreamFinished(attempt_id, whole, self.output_tokens))


@dataclass
class Sidecar:
    """Perform the effects of `SidecarState` in the order of the daemon's actor."""

    scheduler: EventScheduler
    process: Process
    engine: Engine
    step_reached: Callable[[str, HandOver], None]
    listeners: list = field(default_factory=list)
    """Entries that receive its announcements."""
    accepted_attempts: list[tuple[float, AttemptId]] = field(default_factory=list)
    configuration: FleetConfiguration = field(default_factory=configuration)
    left_at: float | None = None

    def boot(self) -> None:
        self.process.alive = True
        if not self.configuration.draining:
            self.left_at = None
        config = SidecarConfig(description(self.process.name), self.epoch)
        self.state = SidecarState.from_config(config)
        self.frames: dict[AttemptId, list[Frame]] = {}
        self.readers: list = []
        self.runners: dict[AttemptId, AttemptRunner] = {}
        self.ticks = 0
        self.handle(ConfigurationApplied(self.configuration))
        self.tick()

    @property
    def epoch(self) -> Epoch:
        return Epoch(f"{self.process.name}-start-{self.process.start}")

    def leave(self) -> None:
        self.left_at = self.scheduler.now
        self.handle(LeavingStarted())

    def drain(self) -> None:
        """Apply a configuration that drains this upstream permanently."""
        self.left_at = self.scheduler.now
        self.configuration = configuration(2, draining=(self.process.name,))
        if self.process.alive:
            self.handle(ConfigurationApplied(self.configuration))

    def tick(self) -> None:
        self.ticks += 1
        self.handle(TickElapsed())
        if self.ticks % 4 == 0:
            self.call_engine(self.read_inventory, lambda: None)
            for connection in self.readers:
                connection.send(StreamHeartbeat())
        if self.ticks % 2 == 1:
            sequence = self.state.load_report().sequence
            announcement = (
                self.process.name,
                self.epoch,
                sequence,
                self.left_at is not None,
            )
            for entry in self.listeners:
                self.scheduler.send(
                    entry.process,
                    lambda entry=entry: entry.record_announcement(*announcement),
                )
        self.scheduler.set_timer(self.process, TICK_SECONDS, self.tick)

    def read_inventory(self) -> None:
        held = tuple(HeldMemory(*item) for item in self.engine.held.items())
        self.from_engine(lambda: self.handle(InventoryRead(held)))

    def call_engine(self, action: Callable, refused: Callable) -> None:
        """Call over a new connection, exempt from message faults."""
        start = self.process.start

        def arrive() -> None:
            if self.engine.process.alive:
                self.engine.process.deliver(action)
            elif self.process.start == start:
                self.process.deliver(refused)

        self.scheduler.call_later(LATENCY_SECONDS, arrive)

    def from_engine(self, action: Callable) -> None:
        self.scheduler.set_timer(self.process, LATENCY_SECONDS, action)

    def handle(self, event) -> None:
        for effect in self.state.handle(event, self.scheduler.now):
            self.perform(effect)

    def hand_over(self, hand_over: HandOver) -> AttemptRefused | None:
        self.handle(OwnerSeen(hand_over.owner))
        effects = self.state.handle(HandOverArrived(hand_over), self.scheduler.now)
        refused = None
        for effect in effects:
            if isinstance(effect, RefuseAttempt):
                refused = effect.refused
        if refused is None:
            self.frames[hand_over.attempt_id] = []
            self.accepted_attempts.append((self.scheduler.now, hand_over.attempt_id))
        for effect in effects:
            self.perform(effect)
        return refused

    def revoke(
        self, attempt_id: AttemptId, epoch: Epoch, sequence: int
    ) -> NeverRan | MayHaveRun:
        answer = MayHaveRun(attempt_id, known=False)
        event = RevokeArrived(attempt_id, epoch, sequence)
        for effect in self.state.handle(event, self.scheduler.now):
            match effect:
                case AnswerRevoke():
                    answer = effect.answer
                case _:
                    self.perform(effect)
        return answer

    def perform(self, effect) -> None:
        match effect:
            case StartAttempt(hand_over):
                runner = AttemptRunner(self, hand_over)
                self.runners[hand_over.attempt_id] = runner
                self.step_reached("handed over", hand_over)
                runner.begin()
            case EndAttempt(attempt_id, refusal):
                self.append(attempt_id, StreamEnd(0, refusal))
            case CancelAtUpstream(attempt_id) | ReleaseAtUpstream(attempt_id):
                runner = self.runners.get(attempt_id)
                if runner is not None:
                    runner.cancelled = True
                cancel = self.engine.cancel
                self.call_engine(lambda: cancel(attempt_id), lambda: None)
            case DropFrames(attempt_id):
                self.frames.pop(attempt_id, None)

    def append(self, attempt_id: AttemptId, frame: Frame) -> None:
        frames = self.frames.get(attempt_id)
        if frames is None or (frames and isinstance(frames[-1], StreamEnd)):
            return
        frames.append(frame)
        for connection in self.readers:
            if connection.attempt_id == attempt_id:
                connection.send(frame)

    def open_stream(self, connection, after: int) -> None:
        self.readers.append(connection)
        for frame in self.frames[connection.attempt_id]:
            if not isinstance(frame, StreamChunk) or frame.sequence > after:
                connection.send(frame)


@dataclass
class Control:
    """Simulate the replicated state, including times without a leader."""

    scheduler: EventScheduler
    step_reached: Callable[[str, object], None]
    state: ControlState = field(default_factory=ControlState)
    down_until: float = 0.0
    answers_lost_at: float = -1.0
    index: int = 0

    def fail(self, seconds: float) -> None:
        """Lose the leader, and with it the answers it has just sent."""
        self.down_until = self.scheduler.now + seconds
        self.answers_lost_at = self.scheduler.now

    def submit(self, command, timeout_seconds: float, answer: Callable) -> None:
        """Commit a command, and again when its answer is lost, until the timeout."""
        data = encode_command(command)
        give_up_at = self.scheduler.now + timeout_seconds

        def attempt() -> None:
            if self.scheduler.now >= give_up_at:
                unknown = RefusalCode.OUTCOME_UNKNOWN
                answer(Refusal(unknown, RefusalReason.NO_QUORUM, "control"))
            elif self.scheduler.now < self.down_until:
                self.scheduler.call_later(CLAIM_RETRY_SECONDS, attempt)
            else:
                self.commit(decode_command(data), answer, attempt)

        self.scheduler.call_later(LATENCY_SECONDS, attempt, message=True)

    def commit(self, command, answer: Callable, retry: Callable) -> None:
        self.index += 1
        applied_at = self.scheduler.now
        outcome = self.state.apply(command, self.index, applied_at)
        self.step_reached(type(command).__name__, command)

        def deliver() -> None:
            lost = self.answers_lost_at >= applied_at
            retry() if lost else answer(outcome)

        self.scheduler.call_later(LATENCY_SECONDS, deliver, message=True)
