"""Inject one or two faults at a step of a request, and check the guarantees."""

from dataclasses import dataclass, field

from common.matrix_entry import CALL_SECONDS, Entry, RequestRun
from common.matrix_fleet import Control, Engine, Sidecar, whole_answer
from common.matrix_scheduler import EventScheduler, Process
from common.requests_world import caller_request
from common.sidecars import MEMORY_TOKENS
from cowslipshelf_core.errors import RefusalCode
from cowslipshelf_core.requests import AnswerEnd, AnswerRefusal
from cowslipshelf_core.sidecar import SidecarConfig

UPSTREAMS = ("runner-1", "runner-2", "runner-3")
ENTRIES = ("entry-1", "entry-2")
DEADLINE_SECONDS = 20.0
SETTLING_SECONDS = 3.0
RESTART_SECONDS = 1.0
FREEZE_SECONDS = 18.0
FAILOVER_SECONDS = 1.0
ISOLATION_SECONDS = 15.0
RESEND_SECONDS = (0.5, 3.0, 60.0)
MARGIN_SECONDS = CALL_SECONDS + 1.0
"""A call in progress at the deadline may still run to its own timeout."""
KINDS = ("keyed", "repeatable", "whole", "once")
LEAVING_FAULTS = {"drain while busy", "shutdown while busy"}
KEYED_STEPS = ("claimed", "answer stored")
STEP_OF_COMMAND = {"ClaimAsked": "claimed", "ClaimFinished": "answer stored"}


@dataclass
class RequestSimulation:
    """Run a request and a concurrent one of another caller, and inject faults."""

    kind: str
    step: str
    faults: tuple[str, ...]
    scheduler: EventScheduler = field(default_factory=EventScheduler)
    runs: list[RequestRun] = field(default_factory=list)
    injected: bool = False
    disconnected: set[str] = field(default_factory=set)
    """Ids of requests whose entry died, so that their callers lost the connection."""

    def __post_init__(self) -> None:
        scheduler = self.scheduler
        self.control = Control(scheduler, self.step_reached)
        self.sidecars = {}
        self.entries = {}
        for name in UPSTREAMS:
            engine = Engine(scheduler, Process(f"engine of {name}"), self.step_reached)
            self.sidecars[name] = Sidecar(
                scheduler, Process(name), engine, self.step_reached
            )
        for name in ENTRIES:
            self.entries[name] = Entry(
                scheduler, Process(name), self.sidecars, self.control, self.is_alive
            )
        for sidecar in self.sidecars.values():
            sidecar.listeners = list(self.entries.values())
            sidecar.boot()
        for entry in self.entries.values():
            entry.boot()
        scheduler.run(scheduler.now + SETTLING_SECONDS)

    def is_alive(self, entry: str) -> bool:
        process = self.entries[entry].process
        return process.alive and not process.frozen

    # The request and its steps.

    def begin(self, request_id: str, entry: str, body: bytes) -> RequestRun:
        request = caller_request(
            request_id=request_id,
            owner=entry,
            customer="gate",
            service="assist-llm",
            model="small",
            idempotency_key="key" if self.kind == "keyed" else None,
            service_is_idempotent=self.kind != "once",
            streamed=self.kind in ("repeatable", "keyed"),
            deadline_seconds=DEADLINE_SECONDS,
            prompt_tokens=MEMORY_TOKENS // 4,
            body=body,
            body_digest=body.decode(),
        )
        if not request_id.startswith("main"):
            request = request._replace(idempotency_key=None)
        run = RequestRun(self.entries[entry], request, self.step_reached)
        self.runs.append(run)
        run.begin()
        return run

    def step_reached(self, step: str, subject) -> None:
        """Inject the faults when the main request first reaches the step."""
        step = STEP_OF_COMMAND.get(step, step)
        if (
            self.injected
            or step != self.step
            or not subject.request_id.startswith("main")
        ):
            return
        self.injected = True
        for fault in self.faults:
            self.scheduler.call_later(0.0, lambda fault=fault: self.inject(fault))

    def run(self) -> None:
        """Run the request, its caller's resends, and every late effect."""
        self.begin("other-1", "entry-1", b"other")
        first = self.begin("main-0", "entry-1", b"main")
        start = self.scheduler.now
        for number, seconds in enumerate(RESEND_SECONDS, start=1):
            self.scheduler.run(start + seconds)
            entry = ENTRIES[number % len(ENTRIES)]
            unanswered = not first.finals or "main-0" in self.disconnected
            sent_again = self.kind == "keyed" or (
                self.kind != "once" and unanswered and number == len(RESEND_SECONDS)
            )
            if sent_again and self.is_alive(entry):
                self.begin(f"main-{number}", entry, b"main")
        bound = SidecarConfig("", "").max_reservation_seconds(DEADLINE_SECONDS)
        grace = SidecarConfig("", "").unclaimed_grace_seconds + 4.0
        self.scheduler.run(start + RESEND_SECONDS[-1] + DEADLINE_SECONDS)
        self.scheduler.run(self.scheduler.now + bound + grace)

    # Faults.

    @property
    def target(self) -> Sidecar:
        """The sidecar that got the request, or else the one that would."""
        for sidecar in self.sidecars.values():
            for _, hand_over in sidecar.engine.started:
                if hand_over.request_id == "main-0":
                    return sidecar
        return self.sidecars[UPSTREAMS[0]]

    def inject(self, fault: str) -> None:
        later = self.scheduler.call_later
        sidecar, engine = self.target, self.target.engine
        entry = self.entries[ENTRIES[0]]
        match fault:
            case "engine killed":
                engine.process.kill()
                engine.held.clear()
                for runner in sidecar.runners.values():
                    sidecar.from_engine(runner.resume_stream)
                later(RESTART_SECONDS, engine.restart)
            case "sidecar killed":
                sidecar.process.kill()
                self.scheduler.lose_messages()
                for connection in sidecar.readers:
                    connection.disconnect()
                later(RESTART_SECONDS, sidecar.boot)
            case "entry killed":
                self.disconnected |= {
                    run.request.request_id
                    for run in self.runs
                    if run.entry is entry and not run.finals
                }
                entry.process.kill()
                later(RESTART_SECONDS, entry.boot)
            case "leader killed":
                self.control.fail(FAILOVER_SECONDS)
            case "leader isolated and later back":
                self.control.fail(ISOLATION_SECONDS)
            case "engine frozen and resumed":
                self.freeze(engine.process)
            case "sidecar frozen and resumed":
                self.freeze(sidecar.process)
            case "entry frozen and resumed":
                self.freeze(entry.process)
            case "connection silent":
                self.scheduler.lose_messages()
                for connection in sidecar.readers:
                    connection.silent = True
            case "engine connection silent":
                for runner in sidecar.runners.values():
                    runner.connection += 1
            case "message late":
                self.scheduler.start_message_fault("late")
            case "message doubled":
                self.scheduler.start_message_fault("doubled")
            case "message crossed":
                self.scheduler.start_message_fault("crossed")
                self.misdeliver_answers()
            case "drain while busy":
                # A dead sidecar gets the configuration when it restarts.
                alive = sidecar.process.alive
                sidecar.process.deliver(sidecar.drain) if alive else sidecar.drain()
            case "shutdown while busy":
                sidecar.process.deliver(sidecar.leave)
            case _:
                raise ValueError(fault)

    def freeze(self, process: Process) -> None:
        process.frozen = process.alive
        self.scheduler.call_later(FREEZE_SECONDS, process.resume)

    def misdeliver_answers(self) -> None:
        """Send each machine the events of the other request's attempts."""
        first, second = self.runs[:2]
        for run, other in ((first, second), (second, first)):
            for event in other.events:
                run.receive_misdelivered(event)
            other.crossed_run = run

    # Guarantees.

    def started_attempts(self) -> list[tuple[str, str]]:
        """List the request and attempt ids of everything that any engine ran."""
        return [
            (hand_over.request_id, hand_over.attempt_id)
            for sidecar in self.sidecars.values()
            for _, hand_over in sidecar.engine.started
        ]

    def check(self) -> None:
        assert self.injected, "the step was never reached"
        self.check_answers()
        self.check_runs()
        self.check_memory()
        self.check_leaving()

    def check_answers(self) -> None:
        for run in self.runs:
            if run.request.request_id not in self.disconnected:
                self.check_answer(run)

    def check_answer(self, run: RequestRun) -> None:
        request = run.request
        name = request.request_id
        assert len(run.finals) == 1, f"{name} got {len(run.finals)} final answers"
        at, final = run.finals[0]
        late = at - run.deadline
        frozen = "entry frozen and resumed" in self.faults
        limit = MARGIN_SECONDS + (FREEZE_SECONDS if frozen else 0.0)
        assert late <= limit, f"{name} was answered {late:.1f} s late"
        whole = whole_answer(request.body)
        answer = b"".join(run.answer)
        assert whole.startswith(answer), f"{name} got {answer!r}"
        match final:
            case AnswerEnd():
                assert answer == whole, f"{name} got {answer!r} as whole"
            case AnswerRefusal(refusal) if refusal.code is RefusalCode.NOT_RUN:
                ran = self.ran_before(at, request)
                assert not ran, f"{name} was told not run, but {ran} ran"

    def ran_before(self, at: float, request) -> list[str]:
        """List attempts of a request, and earlier ones under the same key."""
        return [
            hand_over.attempt_id
            for sidecar in self.sidecars.values()
            for started_at, hand_over in sidecar.engine.started
            if hand_over.request_id == request.request_id
            or (
                request.has_key()
                and started_at <= at
                and hand_over.request_id.startswith("main")
            )
        ]

    def check_runs(self) -> None:
        ran = [item for item in self.started_attempts() if item[0].startswith("main")]
        attempts = [attempt for _, attempt in self.started_attempts()]
        assert len(set(attempts)) == len(attempts), f"doubled attempt in {attempts}"
        if self.kind in ("keyed", "once"):
            assert len(ran) <= 1, f"ran more than once: {ran}"

    def check_leaving(self) -> None:
        """Check that a leaving upstream accepts nothing new.

        The time of acceptance counts, as a frozen engine may start work later.
        """
        for sidecar in self.sidecars.values():
            accepted = {attempt for _, attempt in sidecar.accepted_attempts}
            ran = {hand_over.attempt_id for _, hand_over in sidecar.engine.started}
            assert ran <= accepted, f"{ran - accepted} ran without being taken"
            if sidecar.left_at is not None:
                late = [
                    a for at, a in sidecar.accepted_attempts if at > sidecar.left_at
                ]
                assert not late, f"a leaving upstream took {late}"
        if LEAVING_FAULTS.issuperset(self.faults):
            finals = {run.request.request_id: run.finals[-1][1] for run in self.runs}
            for name in ("main-0", "other-1"):
                assert isinstance(finals[name], AnswerEnd), f"{name} was cut"

    def check_memory(self) -> None:
        for name, sidecar in self.sidecars.items():
            held = sidecar.engine.held
            assert not held, f"the engine of {name} still holds {held}"
            reserved = sidecar.state.load_report().reserved_tokens
            assert reserved == 0, f"{name} still reserves {reserved}"
