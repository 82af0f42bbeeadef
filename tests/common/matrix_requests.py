"""Let one fault, or two, meet a caller's request at a step, and check the promises."""

from dataclasses import dataclass, field

from common.matrix_entry import CALL_SECONDS, Entry, Run
from common.matrix_fleet import Control, Engine, Sidecar, whole_answer
from common.matrix_timeline import Process, Timeline
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
"""A call under way at the deadline is bounded by its own limit."""
KINDS = ("keyed", "repeatable", "whole", "once")
LEAVING = {"drain while busy", "shutdown while busy"}
STEPS_OF_KEYED = ("claimed", "answer stored")
STEPS = {"ClaimAsked": "claimed", "ClaimFinished": "answer stored"}


@dataclass
class RequestWorld:
    """Run a caller's request beside a neighbour's, and bring about the faults."""

    kind: str
    step: str
    faults: tuple[str, ...]
    timeline: Timeline = field(default_factory=Timeline)
    runs: list[Run] = field(default_factory=list)
    fired: bool = False
    cut_runs: set[str] = field(default_factory=set)
    """Requests whose entry died: their callers see their connection cut."""

    def __post_init__(self) -> None:
        timeline = self.timeline
        self.control = Control(timeline, self.reached)
        self.sidecars = {}
        self.entries = {}
        for name in UPSTREAMS:
            engine = Engine(timeline, Process(f"engine of {name}"), self.reached)
            self.sidecars[name] = Sidecar(timeline, Process(name), engine, self.reached)
        for name in ENTRIES:
            self.entries[name] = Entry(
                timeline, Process(name), self.sidecars, self.control, self.is_alive
            )
        for sidecar in self.sidecars.values():
            sidecar.listeners = list(self.entries.values())
            sidecar.boot()
        for entry in self.entries.values():
            entry.boot()
        timeline.run(timeline.now + SETTLING_SECONDS)

    def is_alive(self, entry: str) -> bool:
        process = self.entries[entry].process
        return process.alive and not process.frozen

    # The request and its steps.

    def begin(self, request_id: str, entry: str, body: bytes) -> Run:
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
        run = Run(self.entries[entry], request, self.reached)
        self.runs.append(run)
        run.begin()
        return run

    def reached(self, step: str, what) -> None:
        """Bring the faults about as soon as the request comes to the step."""
        step = STEPS.get(step, step)
        if self.fired or step != self.step or not what.request_id.startswith("main"):
            return
        self.fired = True
        for fault in self.faults:
            self.timeline.after(0.0, lambda fault=fault: self.bring(fault))

    def run(self) -> None:
        """Go through the request, its caller's resends, and all that comes late."""
        self.begin("other-1", "entry-1", b"other")
        first = self.begin("main-0", "entry-1", b"main")
        start = self.timeline.now
        for number, seconds in enumerate(RESEND_SECONDS, start=1):
            self.timeline.run(start + seconds)
            entry = ENTRIES[number % len(ENTRIES)]
            unanswered = not first.finals or "main-0" in self.cut_runs
            sent_again = self.kind == "keyed" or (
                self.kind != "once" and unanswered and number == len(RESEND_SECONDS)
            )
            if sent_again and self.is_alive(entry):
                self.begin(f"main-{number}", entry, b"main")
        bound = SidecarConfig("", "").max_reservation_seconds(DEADLINE_SECONDS)
        grace = SidecarConfig("", "").unclaimed_grace_seconds + 4.0
        self.timeline.run(start + RESEND_SECONDS[-1] + DEADLINE_SECONDS)
        self.timeline.run(self.timeline.now + bound + grace)

    # Faults.

    @property
    def target(self) -> Sidecar:
        """The sidecar that the request went to, or would go to."""
        for sidecar in self.sidecars.values():
            for _, hand_over in sidecar.engine.started:
                if hand_over.request_id == "main-0":
                    return sidecar
        return self.sidecars[UPSTREAMS[0]]

    def bring(self, fault: str) -> None:
        later = self.timeline.after
        sidecar, engine = self.target, self.target.engine
        entry = self.entries[ENTRIES[0]]
        match fault:
            case "engine killed":
                engine.process.kill()
                engine.held.clear()
                for runner in sidecar.runners.values():
                    sidecar.from_engine(runner.lost)
                later(RESTART_SECONDS, engine.restart)
            case "sidecar killed":
                sidecar.process.kill()
                self.timeline.lose_messages()
                for connection in sidecar.readers:
                    connection.cut()
                later(RESTART_SECONDS, sidecar.boot)
            case "entry killed":
                self.cut_runs |= {
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
                self.timeline.lose_messages()
                for connection in sidecar.readers:
                    connection.silent = True
            case "engine connection silent":
                for runner in sidecar.runners.values():
                    runner.connection += 1
            case "message late":
                self.timeline.begin_trouble("late")
            case "message doubled":
                self.timeline.begin_trouble("doubled")
            case "message crossed":
                self.timeline.begin_trouble("crossed")
                self.cross_answers()
            case "drain while busy":
                # A dead sidecar learns of it when it starts again.
                alive = sidecar.process.alive
                sidecar.process.enter(sidecar.drain) if alive else sidecar.drain()
            case "shutdown while busy":
                sidecar.process.enter(sidecar.leave)
            case _:
                raise ValueError(fault)

    def freeze(self, process: Process) -> None:
        process.frozen = process.alive
        self.timeline.after(FREEZE_SECONDS, process.resume)

    def cross_answers(self) -> None:
        """Give each machine what the other one was told of its attempts."""
        first, second = self.runs[:2]
        for run, other in ((first, second), (second, first)):
            for event in other.events:
                run.take_crossed(event)
            other.twin = run

    # Promises.

    def started(self) -> list[tuple[str, str]]:
        """List request and attempt of everything that any engine ran."""
        return [
            (hand_over.request_id, hand_over.attempt_id)
            for sidecar in self.sidecars.values()
            for _, hand_over in sidecar.engine.started
        ]

    def check(self) -> None:
        assert self.fired, "the step was never reached"
        self.check_answers()
        self.check_runs()
        self.check_memory()
        self.check_leaving()

    def check_answers(self) -> None:
        for run in self.runs:
            if run.request.request_id not in self.cut_runs:
                self.check_answer(run)

    def check_answer(self, run: Run) -> None:
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
        """List what ran for a request, ever, or before it under the same key."""
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
        ran = [item for item in self.started() if item[0].startswith("main")]
        attempts = [attempt for _, attempt in self.started()]
        assert len(set(attempts)) == len(attempts), f"doubled attempt in {attempts}"
        if self.kind in ("keyed", "once"):
            assert len(ran) <= 1, f"ran more than once: {ran}"

    def check_leaving(self) -> None:
        """Check by what the sidecar took; a frozen engine may begin it later."""
        for sidecar in self.sidecars.values():
            taken = {attempt for _, attempt in sidecar.taken}
            ran = {hand_over.attempt_id for _, hand_over in sidecar.engine.started}
            assert ran <= taken, f"{ran - taken} ran without being taken"
            if sidecar.left_at is not None:
                late = [a for at, a in sidecar.taken if at > sidecar.left_at]
                assert not late, f"a leaving upstream took {late}"
        if LEAVING.issuperset(self.faults):
            finals = {run.request.request_id: run.finals[-1][1] for run in self.runs}
            for name in ("main-0", "other-1"):
                assert isinstance(finals[name], AnswerEnd), f"{name} was cut"

    def check_memory(self) -> None:
        for name, sidecar in self.sidecars.items():
            held = sidecar.engine.held
            assert not held, f"the engine of {name} still holds {held}"
            reserved = sidecar.state.load_report().reserved_tokens
            assert reserved == 0, f"{name} still reserves {reserved}"
