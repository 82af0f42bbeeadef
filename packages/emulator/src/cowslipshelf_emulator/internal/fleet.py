"""Simulate requests on emulated engines behind gateways that share their work."""

from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from random import Random
from typing import NamedTuple

from cowslipshelf_core.gateway import (
    EnginesChosen,
    EngineWork,
    NoEngine,
    PromptToPlace,
    admission_priority,
)
from cowslipshelf_core.identifiers import AttemptId, UpstreamId
from cowslipshelf_emulator.internal.engine import EmulatedEngine, PrefillTask
from cowslipshelf_emulator.internal.event_scheduler import EventScheduler
from cowslipshelf_emulator.internal.load import Arrival, Fleet
from cowslipshelf_emulator.internal.policies import Policy

CLOCK_ROUNDING_SECONDS = 1e-6
"""Tolerance for rounding in sums of times. Without it, a check that runs slightly
before a caller's limit would schedule itself again at the same time forever."""


class Delays(NamedTuple):
    """Hold network delays in seconds."""

    caller: float = 0.003
    """Between a caller and its gateway."""
    hop: float = 0.0009
    """Between a gateway and an engine."""
    gossip: float = 0.007
    """Until the other gateways know of a change: 5 ms of batching and a hop."""


@dataclass(slots=True)
class Outcome:
    """Record the result of a request as its caller saw it."""

    arrival: Arrival
    engines: int = 0
    predicted: float | None = None
    first_event_seconds: float | None = None
    """Time from the request to its first event."""
    max_pause_seconds: float = 0.0
    last_event_at: float | None = None
    end: str = ""
    """`answered`, `refused`, or `left` by its caller at a silence limit or deadline."""

    @property
    def in_time(self) -> bool:
        """Return whether the answer was complete and met both time limits."""
        kind = self.arrival.kind
        return (
            self.end == "answered"
            and self.first_event_seconds <= kind.objective_seconds
            and self.max_pause_seconds <= kind.pause_seconds
        )


@dataclass(slots=True)
class RunningRequest:
    """Hold a request that its engines process."""

    outcome: Outcome
    work: EngineWork
    gateway: int
    remaining_parts: int
    """Parts that are not prefilled yet."""


@dataclass
class EmulatedFleet:
    """Hold the engines, what each gateway knows, and the simulated time."""

    fleet: Fleet
    policies: list[Policy]
    delays: Delays = Delays()
    scheduler: EventScheduler = field(default_factory=EventScheduler)
    running: dict[str, RunningRequest] = field(default_factory=dict)
    outcomes: list[Outcome] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.engines = {
            name: EmulatedEngine(name, self.fleet.model)
            for name in engine_names(self.fleet)
        }

    def run(self, arrivals: list[Arrival]) -> list[Outcome]:
        """Simulate the arrivals until the last request has ended."""
        for arrival in arrivals:
            delay = arrival.at + self.delays.caller
            self.scheduler.call_later(delay, partial(self.arrive, arrival))
        self.scheduler.run()
        return self.outcomes

    def arrive(self, arrival: Arrival) -> None:
        """Place a request that has reached its gateway."""
        outcome = Outcome(arrival)
        self.outcomes.append(outcome)
        kind = arrival.kind
        prompt = PromptToPlace(
            AttemptId(arrival.request),
            arrival.size,
            kind.objective_seconds,
            kind.pause_seconds,
            kind.deadline_seconds,
        )
        chosen = self.policies[arrival.gateway].place(prompt, self.scheduler.now)
        match chosen:
            case NoEngine():
                outcome.end = "refused"
            case EnginesChosen():
                self.dispatch(outcome, chosen)

    def dispatch(self, outcome: Outcome, chosen: EnginesChosen) -> None:
        """Send a placed request to its engines and inform the other gateways."""
        arrival = outcome.arrival
        work = chosen.work
        outcome.engines = len(work.parts)
        outcome.predicted = chosen.first_token_seconds
        self.running[arrival.request] = RunningRequest(
            outcome, work, arrival.gateway, len(work.parts)
        )
        owner = f"gateway-{arrival.gateway}"
        now = self.scheduler.now
        self.broadcast(arrival.gateway, lambda policy: policy.begin(work, owner, now))
        self.scheduler.call_later(
            self.delays.hop, partial(self.start_prefills, arrival, work)
        )
        self.schedule_caller_check(outcome, arrival.at)

    def start_prefills(self, arrival: Arrival, work: EngineWork) -> None:
        """Give the parts of a request to the engines."""
        tokens = arrival.size.prompt_tokens
        for number, part in enumerate(work.parts):
            engine = self.engines[part.upstream_id]
            task = PrefillTask(
                arrival.request, tokens, arrival.output_tokens, len(work.parts)
            )
            if number == 0:
                engine.enqueue(task, admission_priority(arrival.size))
            elif not engine.add_helper_prefill(task):
                self.finish(self.running[arrival.request], "refused")
                return
            self.start_next_pass(engine)

    def start_next_pass(self, engine: EmulatedEngine) -> None:
        """Start the next pass of an idle engine that has work."""
        if engine.in_pass:
            return
        seconds = engine.begin_pass()
        if seconds is not None:
            self.scheduler.call_later(seconds, partial(self.end_pass, engine))

    def end_pass(self, engine: EmulatedEngine) -> None:
        """Apply the results of a pass and start the next one."""
        result = engine.end_pass()
        for request in result.prefilled:
            self.finish_part(request)
        for request in result.events:
            self.deliver_event(request)
        for request in result.finished:
            if request in self.running:
                self.finish(self.running[request], "answered")
        self.start_next_pass(engine)

    def finish_part(self, request: str) -> None:
        """Start to decode the answer once the last of several parts is prefilled."""
        running = self.running.get(request)
        if running is None:
            return
        running.remaining_parts -= 1
        if running.remaining_parts or len(running.work.parts) == 1:
            return
        arrival = running.outcome.arrival
        decoder = self.engines[running.work.parts[0].upstream_id]
        # An engine that holds part of the KV cache has only that part as its context.
        held = [part.memory_tokens for part in running.work.parts if part.memory_tokens]
        context = max(held, default=arrival.size.prompt_tokens)
        decoder.start_decode(request, context, arrival.output_tokens)
        self.start_next_pass(decoder)

    def deliver_event(self, request: str) -> None:
        """Record an event that reaches the caller."""
        running = self.running.get(request)
        if running is None:
            return
        outcome = running.outcome
        now = self.scheduler.now + self.delays.hop + self.delays.caller
        if outcome.first_event_seconds is None:
            outcome.first_event_seconds = now - outcome.arrival.at
            attempt_id = running.work.attempt_id
            self.broadcast(
                running.gateway,
                lambda policy: policy.first_token(attempt_id, self.scheduler.now),
            )
        else:
            pause = now - outcome.last_event_at
            outcome.max_pause_seconds = max(outcome.max_pause_seconds, pause)
        outcome.last_event_at = now

    def schedule_caller_check(self, outcome: Outcome, since: float) -> None:
        """Schedule a check at a caller's silence limit or its deadline."""
        kind = outcome.arrival.kind
        deadline = outcome.arrival.at + kind.deadline_seconds
        at = min(since + kind.abandon_seconds, deadline)
        wait = max(0.0, at - self.scheduler.now)
        self.scheduler.call_later(wait, partial(self.check_caller, outcome, deadline))

    def check_caller(self, outcome: Outcome, deadline: float) -> None:
        """End a request whose caller has reached its limit; else check again later."""
        running = self.running.get(outcome.arrival.request)
        if running is None:
            return
        last_heard = outcome.last_event_at or outcome.arrival.at
        abandon_at = last_heard + outcome.arrival.kind.abandon_seconds
        if self.scheduler.now + CLOCK_ROUNDING_SECONDS >= min(abandon_at, deadline):
            self.finish(running, "left")
        else:
            self.schedule_caller_check(outcome, last_heard)

    def finish(self, running: RunningRequest, end: str) -> None:
        """End a request and release its engines."""
        outcome = running.outcome
        outcome.end = end
        del self.running[outcome.arrival.request]
        for part in running.work.parts:
            self.engines[part.upstream_id].drop(outcome.arrival.request)
        attempt_id = running.work.attempt_id
        self.broadcast(
            running.gateway, lambda policy: policy.end(attempt_id, self.scheduler.now)
        )

    def broadcast(self, gateway: int, update: Callable[[Policy], None]) -> None:
        """Update a gateway at once and all others after the gossip delay."""
        update(self.policies[gateway])
        others = [each for n, each in enumerate(self.policies) if n != gateway]

        def apply_to_others() -> None:
            for policy in others:
                update(policy)

        self.scheduler.call_later(self.delays.gossip, apply_to_others)


def engine_names(fleet: Fleet) -> tuple[UpstreamId, ...]:
    """Return the names of a fleet's engines."""
    return tuple(UpstreamId(f"{fleet.name}-{n}") for n in range(fleet.engines))


def build(fleet: Fleet, policy: type[Policy], seed: int) -> EmulatedFleet:
    """Build a fleet whose gateways place prompts by a policy."""
    engines = engine_names(fleet)
    policies = [
        policy(engines, fleet.model, Random(f"{seed}:{number}"))
        for number in range(fleet.gateways)
    ]
    return EmulatedFleet(fleet, policies)
