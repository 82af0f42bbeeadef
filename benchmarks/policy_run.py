"""Run one policy on one workload: an event loop over engines and entries."""

from dataclasses import dataclass, field
from heapq import heappop, heappush
from itertools import count
from random import Random
from typing import Any, NamedTuple

from policy_baselines import LeastOutstanding, LeastReported, RoundRobin
from policy_engine import MEMORY_TOKENS, FakeEngine, Job
from policy_workload import (
    CUSTOMERS,
    MOST_OUTPUT_TOKENS,
    FleetShape,
    Request,
    draw_requests,
    fits,
)

from cowslipshelf_core.configuration import Customer, FleetConfiguration, Model, Service
from cowslipshelf_core.routing import (
    AttemptEnded,
    AttemptOutcome,
    ChosenUpstream,
    ConfigurationApplied,
    FirstTokenSeen,
    HandOverRefused,
    LoadUpdated,
    PlacementAsked,
    PlacementFacts,
    PlacementWithdrawn,
    Router,
    RouterConfig,
    TickElapsed,
    UpstreamAvailable,
    UpstreamUnavailable,
)
from cowslipshelf_core.upstream import LoadReport, UpstreamDescription

ENTRIES = 3
REPORT_EVERY_SECONDS = 0.25
REPORT_LAG_SECONDS = (0.02, 0.12)
TICK_SECONDS = 0.1
NOTICE_LOSS_SECONDS = 3.0
BASELINE_WAIT_SECONDS = 0.5
MODEL = "model"
DAY_START = 1_000.0
"""Time at which a run begins; clocks don't start at zero."""


class Fault(NamedTuple):
    """Be what fails in mid-run, at shares of the run."""

    lost_share: float = 0.0
    slow_factor: float = 1.0
    begins: float = 0.45
    ends: float = 0.75


class Scenario(NamedTuple):
    """Be one run."""

    shape: FleetShape
    policy: str
    load: float
    seed: int
    seconds: float
    with_long: bool = True
    fault: Fault | None = None
    config: RouterConfig = RouterConfig()


@dataclass
class Progress:
    """Be how far one request has come."""

    request: Request
    tries: int = 0
    attempt: str = ""
    ask: str = ""
    engine: str = ""
    excluded: set[str] = field(default_factory=set)
    placed_at: float = 0.0
    first_token_at: float | None = None
    finished_at: float | None = None
    refusal: str = ""
    done: bool = False


def build_policy(scenario: Scenario, entry: int) -> Any:
    """Build the chooser of one entry."""
    match scenario.policy:
        case "round_robin":
            return RoundRobin()
        case "least_outstanding":
            return LeastOutstanding()
        case "first_version":
            return LeastReported()
    own = scenario.shape.data_centres[entry % len(scenario.shape.data_centres)]
    return Router.from_config(scenario.config._replace(data_centre=own))


class Run:
    """Hold the state of one run."""

    def __init__(self, scenario: Scenario) -> None:
        """Draw the workload and start engines and entries."""
        self.scenario = scenario
        shape = scenario.shape
        self.random = Random(f"run:{scenario.seed}")
        self.events: list[tuple[float, int, Any, tuple]] = []
        self.order = count()
        self.now = DAY_START
        self.engines = {f"upstream-{n}": FakeEngine() for n in range(shape.upstreams)}
        self.alive = dict.fromkeys(self.engines, True)
        self.generation = dict.fromkeys(self.engines, 0)
        self.epochs = dict.fromkeys(self.engines, 0)
        self.entries = [build_policy(scenario, n) for n in range(ENTRIES)]
        self.randoms = [Random(f"{scenario.seed}:{n}") for n in range(ENTRIES)]
        drawn = draw_requests(
            shape, scenario.load, scenario.seconds, ENTRIES, scenario.seed
        )
        self.progress = [
            Progress(r)
            for r in drawn
            if fits(r.prompt_tokens) and (scenario.with_long or not r.is_long)
        ]
        self.by_attempt: dict[str, Progress] = {}
        self.by_ask: dict[str, Progress] = {}

    def later(self, seconds: float, action: Any, *arguments: Any) -> None:
        """Schedule an action."""
        entry = (self.now + seconds, next(self.order), action, arguments)
        heappush(self.events, entry)

    def play(self) -> list[Progress]:
        """Run to the end and return what came of each request."""
        self.start()
        end = DAY_START + self.scenario.seconds
        while self.events:
            at, _, action, arguments = heappop(self.events)
            if at > end + 200.0:
                break
            self.now = at
            action(*arguments)
        return self.progress

    def start(self) -> None:
        """Put the configuration in force and schedule what happens by itself."""
        shape = self.scenario.shape
        configuration = FleetConfiguration(
            version=1,
            customers=tuple(
                Customer(c, "", (shape.service,), most_concurrent=4_096)
                for c in CUSTOMERS
            ),
            services=(
                Service(
                    shape.service,
                    "model",
                    (MODEL,),
                    long_prompt_weight=shape.long_prompt_weight,
                ),
            ),
            models=(Model(MODEL, "1"),),
        )
        for entry in range(ENTRIES):
            self.tell(entry, ConfigurationApplied(configuration))
            self.later(self.random.random() * TICK_SECONDS, self.tick, entry)
        for name in self.engines:
            self.announce(name)
            self.later(self.random.random() * REPORT_EVERY_SECONDS, self.report, name)
        for progress in self.progress:
            self.later(progress.request.at, self.arrive, progress)
        fault = self.scenario.fault
        if fault is not None:
            self.later(fault.begins * self.scenario.seconds, self.begin_fault, fault)
            self.later(fault.ends * self.scenario.seconds, self.end_fault)

    def tell(self, entry: int, event: Any) -> None:
        """Give an entry an event and act on its answers."""
        answers = self.entries[entry].handle(event, self.now, self.randoms[entry])
        for answered in answers:
            progress = self.by_ask.pop(answered.placement_id)
            self.act_on(progress, answered.answer)

    def tell_all(self, event: Any) -> None:
        """Give every entry an event."""
        for entry in range(ENTRIES):
            self.tell(entry, event)

    def tick(self, entry: int) -> None:
        """Let time pass at an entry."""
        self.tell(entry, TickElapsed())
        if self.now < DAY_START + self.scenario.seconds + 150.0:
            self.later(TICK_SECONDS, self.tick, entry)

    # Upstreams.

    def announce(self, name: str) -> None:
        """Make an upstream available to all entries."""
        shape = self.scenario.shape
        number = int(name.rsplit("-", 1)[1])
        description = UpstreamDescription(
            name,
            shape.data_centres[number % len(shape.data_centres)],
            shape.service,
            "model",
            (MODEL,),
            MEMORY_TOKENS,
            True,
            f"10.0.0.{number}:7000",
        )
        load = self.engines[name].report()
        self.tell_all(UpstreamAvailable(description, f"{self.epochs[name]}", load))

    def report(self, name: str) -> None:
        """Send a load report that arrives late."""
        if self.alive[name]:
            load = self.engines[name].report()
            for entry in range(ENTRIES):
                lag = self.random.uniform(*REPORT_LAG_SECONDS)
                self.later(lag, self.reported, entry, name, self.epochs[name], load)
        if self.now < DAY_START + self.scenario.seconds + 150.0:
            self.later(REPORT_EVERY_SECONDS, self.report, name)

    def reported(self, entry: int, name: str, epoch: int, load: LoadReport) -> None:
        """Deliver a load report."""
        self.tell(entry, LoadUpdated(name, f"{epoch}", load))

    def wake(self, name: str) -> None:
        """Begin a step where the engine is idle, or end a run of steps early."""
        engine = self.engines[name]
        if engine.steps == 0:
            self.next_step(name)
            return
        sooner = engine.cut_short(self.now)
        if sooner is not None:
            self.schedule_step(name, sooner)

    def schedule_step(self, name: str, at: float) -> None:
        """Schedule the end of the running step, in place of what was scheduled."""
        self.generation[name] += 1
        self.later(at - self.now, self.step, name, self.generation[name])

    def next_step(self, name: str) -> None:
        """Begin the next step where there is work."""
        engine = self.engines[name]
        ends = engine.begin(self.now)
        if ends is None:
            engine.steps = 0
            return
        self.schedule_step(name, ends)

    def step(self, name: str, generation: int) -> None:
        """End a step and tell the entries what it brought."""
        if generation != self.generation[name]:
            return
        outcome = self.engines[name].end_step()
        latency = self.scenario.shape.latency_seconds
        for attempt in outcome.first_tokens:
            self.later(latency, self.first_token, attempt)
        for attempt in outcome.finished:
            self.later(latency, self.finished, attempt)
        self.next_step(name)

    def begin_fault(self, fault: Fault) -> None:
        """Lose a share of the upstreams at once, or slow one down."""
        names = sorted(self.engines)
        if fault.slow_factor != 1.0:
            self.engines[names[0]].slowness = fault.slow_factor
        for name in names[: int(len(names) * fault.lost_share)]:
            self.alive[name] = False
            self.generation[name] += 1
            lost = list(self.engines[name].jobs)
            self.engines[name] = FakeEngine(sequence=self.engines[name].sequence)
            for attempt in lost:
                self.later(0.05, self.attempt_lost, attempt)
            self.later(NOTICE_LOSS_SECONDS, self.notice_loss, name)

    def notice_loss(self, name: str) -> None:
        """Let the entries see that an upstream is gone."""
        self.tell_all(UpstreamUnavailable(name, "lease expired"))

    def end_fault(self) -> None:
        """Bring back what was lost, empty."""
        for name, alive in self.alive.items():
            self.engines[name].slowness = 1.0
            if not alive:
                self.alive[name] = True
                self.epochs[name] += 1
                self.announce(name)

    # Requests.

    def arrive(self, progress: Progress) -> None:
        """Begin a request."""
        self.later(progress.request.deadline_seconds, self.deadline, progress)
        self.ask(progress)

    def ask(self, progress: Progress) -> None:
        """Ask for a placement of a fresh attempt."""
        if progress.done:
            return
        request = progress.request
        progress.tries += 1
        progress.attempt = f"{request.number}.{progress.tries}"
        progress.ask = f"ask-{progress.attempt}"
        self.by_ask[progress.ask] = progress
        left = DAY_START + request.at + request.deadline_seconds - self.now
        facts = PlacementFacts(
            f"{request.number}",
            progress.attempt,
            request.customer,
            self.scenario.shape.service,
            MODEL,
            request.prompt_tokens,
            MOST_OUTPUT_TOKENS,
            0,
            left,
        )
        event = PlacementAsked(progress.ask, facts, frozenset(progress.excluded))
        self.tell(request.entry, event)

    def act_on(self, progress: Progress, answer: Any) -> None:
        """Hand the attempt over, or end the request with the refusal."""
        if progress.done:
            return
        if isinstance(answer, ChosenUpstream):
            progress.placed_at = self.now
            progress.engine = answer.upstream_id
            self.by_attempt[progress.attempt] = progress
            self.later(
                self.scenario.shape.latency_seconds,
                self.hand_over,
                progress,
                progress.attempt,
                answer,
            )
        elif self.scenario.policy != "ours":
            progress.excluded.clear()
            self.later(BASELINE_WAIT_SECONDS, self.ask, progress)
        else:
            progress.refusal = answer.reason.value
            progress.done = True

    def hand_over(
        self, progress: Progress, attempt: str, answer: ChosenUpstream
    ) -> None:
        """Arrive at the sidecar, which has the last word."""
        name = answer.upstream_id
        if progress.done:
            return
        if not self.alive[name]:
            self.attempt_lost(attempt)
            return
        request = progress.request
        job = Job(
            attempt,
            request.prompt_tokens,
            request.output_tokens,
            MOST_OUTPUT_TOKENS,
            self.now + answer.priority / 1_000,
        )
        engine = self.engines[name]
        if engine.fits(job):
            engine.add(job)
            self.wake(name)
            return
        latency = self.scenario.shape.latency_seconds
        self.later(latency, self.refused, progress, attempt, engine.report())

    def refused(self, progress: Progress, attempt: str, load: LoadReport) -> None:
        """Ask again after a sidecar's refusal."""
        self.by_attempt.pop(attempt, None)
        progress.excluded.add(progress.engine)
        self.tell(progress.request.entry, HandOverRefused(attempt, load))
        if len(progress.excluded) >= 3 and self.scenario.policy == "ours":
            progress.excluded.clear()
        self.ask(progress)

    def attempt_lost(self, attempt: str) -> None:
        """Ask again after a broken connection."""
        progress = self.by_attempt.pop(attempt, None)
        if progress is None or progress.done:
            return
        progress.excluded.add(progress.engine)
        ended = AttemptEnded(attempt, AttemptOutcome.FAILED)
        self.tell(progress.request.entry, ended)
        self.ask(progress)

    def first_token(self, attempt: str) -> None:
        """Note the first token, once for each request."""
        progress = self.by_attempt.get(attempt)
        if progress is None or progress.done:
            return
        if progress.first_token_at is None:
            progress.first_token_at = self.now
        seen = FirstTokenSeen(attempt, self.now - progress.placed_at)
        self.tell(progress.request.entry, seen)

    def finished(self, attempt: str) -> None:
        """End a request that was answered whole."""
        progress = self.by_attempt.pop(attempt, None)
        if progress is None or progress.done:
            return
        progress.finished_at = self.now
        progress.done = True
        ended = AttemptEnded(attempt, AttemptOutcome.FINISHED)
        self.tell(progress.request.entry, ended)

    def deadline(self, progress: Progress) -> None:
        """Give a request up at its deadline."""
        if progress.done:
            return
        progress.done = True
        progress.refusal = "late"
        if self.by_ask.pop(progress.ask, None) is not None:
            self.tell(progress.request.entry, PlacementWithdrawn(progress.ask))
        if self.by_attempt.pop(progress.attempt, None) is not None:
            self.engines[progress.engine].drop(progress.attempt)
            ended = AttemptEnded(progress.attempt, AttemptOutcome.CANCELLED)
            self.tell(progress.request.entry, ended)
