"""Simulate one policy on one workload: an event loop over engines and entries."""

from dataclasses import dataclass, field
from heapq import heappop, heappush
from itertools import count
from random import Random
from typing import Any, NamedTuple

from policy_baselines import LeastOutstanding, LeastReported, RoundRobin
from policy_engine import MEMORY_TOKENS, FakeEngine, Job
from policy_workload import (
    CUSTOMERS,
    MAX_OUTPUT_TOKENS,
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
REPORT_INTERVAL_SECONDS = 0.25
REPORT_DELAY_SECONDS = (0.02, 0.12)
TICK_SECONDS = 0.1
LOSS_DETECTION_SECONDS = 3.0
BASELINE_RETRY_SECONDS = 0.5
MODEL = "model"
START_TIME = 1_000.0
"""Time at which a run starts; not zero, as for real clocks."""


class Fault(NamedTuple):
    """Describe a fault; it begins and ends at shares of the run."""

    lost_share: float = 0.0
    slow_factor: float = 1.0
    begins: float = 0.45
    ends: float = 0.75


class Scenario(NamedTuple):
    """Describe one run."""

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
    """Track the progress of one request."""

    request: Request
    attempt_count: int = 0
    attempt: str = ""
    placement_id: str = ""
    engine: str = ""
    excluded: set[str] = field(default_factory=set)
    placed_at: float = 0.0
    first_token_at: float | None = None
    finished_at: float | None = None
    refusal: str = ""
    done: bool = False


def build_policy(scenario: Scenario, entry: int) -> Any:
    """Build the placement policy of one entry."""
    match scenario.policy:
        case "round_robin":
            return RoundRobin()
        case "least_outstanding":
            return LeastOutstanding()
        case "first_version":
            return LeastReported()
    own = scenario.shape.data_centres[entry % len(scenario.shape.data_centres)]
    return Router.from_config(scenario.config._replace(data_centre=own))


class PolicySimulation:
    """Simulate engines and entries under one scenario."""

    def __init__(self, scenario: Scenario) -> None:
        """Draw the workload and build engines and entries."""
        self.scenario = scenario
        shape = scenario.shape
        self.random = Random(f"run:{scenario.seed}")
        self.events: list[tuple[float, int, Any, tuple]] = []
        self.order = count()
        self.now = START_TIME
        self.engines = {f"upstream-{n}": FakeEngine() for n in range(shape.upstreams)}
        self.alive = dict.fromkeys(self.engines, True)
        self.generation = dict.fromkeys(self.engines, 0)
        self.epochs = dict.fromkeys(self.engines, 0)
        self.entries = [build_policy(scenario, n) for n in range(ENTRIES)]
        self.randoms = [Random(f"{scenario.seed}:{n}") for n in range(ENTRIES)]
        requests = draw_requests(
            shape, scenario.load, scenario.seconds, ENTRIES, scenario.seed
        )
        self.progress = [
            Progress(r)
            for r in requests
            if fits(r.prompt_tokens) and (scenario.with_long or not r.is_long)
        ]
        self.by_attempt: dict[str, Progress] = {}
        self.by_placement: dict[str, Progress] = {}

    def call_later(self, seconds: float, action: Any, *arguments: Any) -> None:
        """Schedule an action after a delay."""
        entry = (self.now + seconds, next(self.order), action, arguments)
        heappush(self.events, entry)

    def run(self) -> list[Progress]:
        """Run to the end and return the progress of each request."""
        self.start()
        end = START_TIME + self.scenario.seconds
        while self.events:
            at, _, action, arguments = heappop(self.events)
            if at > end + 200.0:
                break
            self.now = at
            action(*arguments)
        return self.progress

    def start(self) -> None:
        """Apply the configuration; schedule ticks, reports, arrivals and the fault."""
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
            self.deliver(entry, ConfigurationApplied(configuration))
            self.call_later(self.random.random() * TICK_SECONDS, self.tick, entry)
        for name in self.engines:
            self.announce(name)
            self.call_later(
                self.random.random() * REPORT_INTERVAL_SECONDS, self.report, name
            )
        for progress in self.progress:
            self.call_later(progress.request.at, self.arrive, progress)
        fault = self.scenario.fault
        if fault is not None:
            self.call_later(
                fault.begins * self.scenario.seconds, self.begin_fault, fault
            )
            self.call_later(fault.ends * self.scenario.seconds, self.end_fault)

    def deliver(self, entry: int, event: Any) -> None:
        """Deliver an event to an entry and apply its answers."""
        answers = self.entries[entry].handle(event, self.now, self.randoms[entry])
        for answered in answers:
            progress = self.by_placement.pop(answered.placement_id)
            self.apply_answer(progress, answered.answer)

    def broadcast(self, event: Any) -> None:
        """Deliver an event to every entry."""
        for entry in range(ENTRIES):
            self.deliver(entry, event)

    def tick(self, entry: int) -> None:
        """Deliver a tick to an entry and schedule the next."""
        self.deliver(entry, TickElapsed())
        if self.now < START_TIME + self.scenario.seconds + 150.0:
            self.call_later(TICK_SECONDS, self.tick, entry)

    # Upstreams.

    def announce(self, name: str) -> None:
        """Announce an upstream to all entries."""
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
        self.broadcast(UpstreamAvailable(description, f"{self.epochs[name]}", load))

    def report(self, name: str) -> None:
        """Send a load report to each entry with a random delay."""
        if self.alive[name]:
            load = self.engines[name].report()
            for entry in range(ENTRIES):
                delay = self.random.uniform(*REPORT_DELAY_SECONDS)
                self.call_later(
                    delay, self.receive_report, entry, name, self.epochs[name], load
                )
        if self.now < START_TIME + self.scenario.seconds + 150.0:
            self.call_later(REPORT_INTERVAL_SECONDS, self.report, name)

    def receive_report(
        self, entry: int, name: str, epoch: int, load: LoadReport
    ) -> None:
        """Deliver a load report."""
        self.deliver(entry, LoadUpdated(name, f"{epoch}", load))

    def interrupt(self, name: str) -> None:
        """Start a step if the engine is idle, or end a batch of steps early."""
        engine = self.engines[name]
        if engine.steps == 0:
            self.start_step(name)
            return
        ends_at = engine.stop_after_next_step(self.now)
        if ends_at is not None:
            self.schedule_step(name, ends_at)

    def schedule_step(self, name: str, at: float) -> None:
        """Schedule the end of the running step, replacing an earlier schedule."""
        self.generation[name] += 1
        self.call_later(at - self.now, self.complete_step, name, self.generation[name])

    def start_step(self, name: str) -> None:
        """Start the next step if there is work."""
        engine = self.engines[name]
        ends = engine.start_step(self.now)
        if ends is None:
            engine.steps = 0
            return
        self.schedule_step(name, ends)

    def complete_step(self, name: str, generation: int) -> None:
        """Complete a step and schedule the entries' notifications."""
        if generation != self.generation[name]:
            return
        outcome = self.engines[name].end_step()
        latency = self.scenario.shape.latency_seconds
        for attempt in outcome.first_tokens:
            self.call_later(latency, self.first_token, attempt)
        for attempt in outcome.finished:
            self.call_later(latency, self.finished, attempt)
        self.start_step(name)

    def begin_fault(self, fault: Fault) -> None:
        """Crash a share of the upstreams at once, or slow one down."""
        names = sorted(self.engines)
        if fault.slow_factor != 1.0:
            self.engines[names[0]].slowness = fault.slow_factor
        for name in names[: int(len(names) * fault.lost_share)]:
            self.alive[name] = False
            self.generation[name] += 1
            lost = list(self.engines[name].jobs)
            self.engines[name] = FakeEngine(sequence=self.engines[name].sequence)
            for attempt in lost:
                self.call_later(0.05, self.attempt_lost, attempt)
            self.call_later(LOSS_DETECTION_SECONDS, self.detect_loss, name)

    def detect_loss(self, name: str) -> None:
        """Report to the entries that an upstream is unavailable."""
        self.broadcast(UpstreamUnavailable(name, "lease expired"))

    def end_fault(self) -> None:
        """Restart crashed upstreams without jobs, and end the slowdown."""
        for name, alive in self.alive.items():
            self.engines[name].slowness = 1.0
            if not alive:
                self.alive[name] = True
                self.epochs[name] += 1
                self.announce(name)

    # Requests.

    def arrive(self, progress: Progress) -> None:
        """Start a request and its deadline."""
        self.call_later(progress.request.deadline_seconds, self.deadline, progress)
        self.request_placement(progress)

    def request_placement(self, progress: Progress) -> None:
        """Request the placement of a new attempt."""
        if progress.done:
            return
        request = progress.request
        progress.attempt_count += 1
        progress.attempt = f"{request.number}.{progress.attempt_count}"
        progress.placement_id = f"ask-{progress.attempt}"
        self.by_placement[progress.placement_id] = progress
        left = START_TIME + request.at + request.deadline_seconds - self.now
        facts = PlacementFacts(
            f"{request.number}",
            progress.attempt,
            request.customer,
            self.scenario.shape.service,
            MODEL,
            request.prompt_tokens,
            MAX_OUTPUT_TOKENS,
            0,
            left,
        )
        event = PlacementAsked(
            progress.placement_id, facts, frozenset(progress.excluded)
        )
        self.deliver(request.entry, event)

    def apply_answer(self, progress: Progress, answer: Any) -> None:
        """Hand the attempt over, or refuse the request.

        Baselines never refuse; they try again a little later.
        """
        if progress.done:
            return
        if isinstance(answer, ChosenUpstream):
            progress.placed_at = self.now
            progress.engine = answer.upstream_id
            self.by_attempt[progress.attempt] = progress
            self.call_later(
                self.scenario.shape.latency_seconds,
                self.hand_over,
                progress,
                progress.attempt,
                answer,
            )
        elif self.scenario.policy != "ours":
            progress.excluded.clear()
            self.call_later(BASELINE_RETRY_SECONDS, self.request_placement, progress)
        else:
            progress.refusal = answer.reason.value
            progress.done = True

    def hand_over(
        self, progress: Progress, attempt: str, answer: ChosenUpstream
    ) -> None:
        """Deliver an attempt to the sidecar, which accepts or refuses it."""
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
            MAX_OUTPUT_TOKENS,
            self.now + answer.priority / 1_000,
        )
        engine = self.engines[name]
        if engine.fits(job):
            engine.add(job)
            self.interrupt(name)
            return
        latency = self.scenario.shape.latency_seconds
        self.call_later(latency, self.refused, progress, attempt, engine.report())

    def refused(self, progress: Progress, attempt: str, load: LoadReport) -> None:
        """Request another placement after the sidecar refused the attempt."""
        self.by_attempt.pop(attempt, None)
        progress.excluded.add(progress.engine)
        self.deliver(progress.request.entry, HandOverRefused(attempt, load))
        if len(progress.excluded) >= 3 and self.scenario.policy == "ours":
            progress.excluded.clear()
        self.request_placement(progress)

    def attempt_lost(self, attempt: str) -> None:
        """Request another placement after a broken connection."""
        progress = self.by_attempt.pop(attempt, None)
        if progress is None or progress.done:
            return
        progress.excluded.add(progress.engine)
        ended = AttemptEnded(attempt, AttemptOutcome.FAILED)
        self.deliver(progress.request.entry, ended)
        self.request_placement(progress)

    def first_token(self, attempt: str) -> None:
        """Record the first token, once per request."""
        progress = self.by_attempt.get(attempt)
        if progress is None or progress.done:
            return
        if progress.first_token_at is None:
            progress.first_token_at = self.now
        seen = FirstTokenSeen(attempt, self.now - progress.placed_at)
        self.deliver(progress.request.entry, seen)

    def finished(self, attempt: str) -> None:
        """Record that a request was answered completely."""
        progress = self.by_attempt.pop(attempt, None)
        if progress is None or progress.done:
            return
        progress.finished_at = self.now
        progress.done = True
        ended = AttemptEnded(attempt, AttemptOutcome.FINISHED)
        self.deliver(progress.request.entry, ended)

    def deadline(self, progress: Progress) -> None:
        """Cancel a request at its deadline."""
        if progress.done:
            return
        progress.done = True
        progress.refusal = "late"
        if self.by_placement.pop(progress.placement_id, None) is not None:
            self.deliver(
                progress.request.entry, PlacementWithdrawn(progress.placement_id)
            )
        if self.by_attempt.pop(progress.attempt, None) is not None:
            self.engines[progress.engine].drop(progress.attempt)
            ended = AttemptEnded(progress.attempt, AttemptOutcome.CANCELLED)
            self.deliver(progress.request.entry, ended)
