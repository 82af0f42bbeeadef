"""Play arrivals on emulated engines behind gateways that tell each other their work."""

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
from cowslipshelf_emulator.internal.engine import EmulatedEngine, Reading
from cowslipshelf_emulator.internal.load import Arrival, Fleet
from cowslipshelf_emulator.internal.policies import Policy
from cowslipshelf_emulator.internal.timeline import Timeline

CLOCK_ERROR_SECONDS = 1e-6
"""Sums of times differ by rounding; a caller that is looked at a moment too early
would be looked at again at the same time for ever."""


class Delays(NamedTuple):
    """Be the times on the way, in seconds."""

    caller: float = 0.003
    hop: float = 0.0009
    word: float = 0.007
    """From a gateway's act to what the others know: 5 ms of gathering and a hop."""


@dataclass(slots=True)
class Outcome:
    """Say what came of a request, as its caller saw it."""

    arrival: Arrival
    engines: int = 0
    predicted: float | None = None
    first: float | None = None
    """Seconds to the first event."""
    longest_pause: float = 0.0
    last_event_at: float | None = None
    end: str = ""
    """`answered`, `refused` or `left`."""

    @property
    def in_time(self) -> bool:
        """Tell whether the answer came whole and in time throughout."""
        kind = self.arrival.kind
        return (
            self.end == "answered"
            and self.first <= kind.objective_seconds
            and self.longest_pause <= kind.pause_seconds
        )


@dataclass(slots=True)
class Running:
    """Be a request on its engines."""

    outcome: Outcome
    work: EngineWork
    gateway: int
    unread: int
    """Parts that are still to be read."""


@dataclass
class EmulatedFleet:
    """Own the engines, the gateways' beliefs and the time."""

    fleet: Fleet
    policies: list[Policy]
    delays: Delays = Delays()
    timeline: Timeline = field(default_factory=Timeline)
    running: dict[str, Running] = field(default_factory=dict)
    outcomes: list[Outcome] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.engines = {
            name: EmulatedEngine(name, self.fleet.model)
            for name in engine_names(self.fleet)
        }

    def play(self, arrivals: list[Arrival]) -> list[Outcome]:
        """Play the arrivals to the last answer."""
        for arrival in arrivals:
            delay = arrival.at + self.delays.caller
            self.timeline.after(delay, partial(self.arrive, arrival))
        self.timeline.run()
        return self.outcomes

    def arrive(self, arrival: Arrival) -> None:
        """Place a request that has come to its gateway."""
        outcome = Outcome(arrival)
        self.outcomes.append(outcome)
        kind = arrival.kind
        asked = PromptToPlace(
            AttemptId(arrival.request),
            arrival.size,
            kind.objective_seconds,
            kind.pause_seconds,
            kind.deadline_seconds,
        )
        chosen = self.policies[arrival.gateway].place(asked, self.timeline.now)
        match chosen:
            case NoEngine():
                outcome.end = "refused"
            case EnginesChosen():
                self.send(outcome, chosen)

    def send(self, outcome: Outcome, chosen: EnginesChosen) -> None:
        """Send a placed request to its engines, and tell the other gateways."""
        arrival = outcome.arrival
        work = chosen.work
        outcome.engines = len(work.parts)
        outcome.predicted = chosen.first_token_seconds
        self.running[arrival.request] = Running(
            outcome, work, arrival.gateway, len(work.parts)
        )
        owner = f"gateway-{arrival.gateway}"
        now = self.timeline.now
        self.tell(arrival.gateway, lambda policy: policy.begin(work, owner, now))
        self.timeline.after(self.delays.hop, partial(self.begin, arrival, work))
        self.watch(outcome, arrival.at)

    def begin(self, arrival: Arrival, work: EngineWork) -> None:
        """Let the engines take a request's parts."""
        tokens = arrival.size.prompt_tokens
        for number, part in enumerate(work.parts):
            engine = self.engines[part.upstream_id]
            reading = Reading(
                arrival.request, tokens, arrival.output_tokens, len(work.parts)
            )
            if number == 0:
                engine.admit(reading, admission_priority(arrival.size))
            elif not engine.help(reading):
                self.end(self.running[arrival.request], "refused")
                return
            self.go_on(engine)

    def go_on(self, engine: EmulatedEngine) -> None:
        """Let an engine begin its next pass."""
        if engine.in_pass:
            return
        seconds = engine.begin_pass()
        if seconds is not None:
            self.timeline.after(seconds, partial(self.end_pass, engine))

    def end_pass(self, engine: EmulatedEngine) -> None:
        """Take in what a pass brought, and begin the next."""
        result = engine.end_pass()
        for request in result.read:
            self.part_read(request)
        for request in result.events:
            self.take_event(request)
        for request in result.finished:
            if request in self.running:
                self.end(self.running[request], "answered")
        self.go_on(engine)

    def part_read(self, request: str) -> None:
        """Let the answer begin once the last part has been read."""
        running = self.running.get(request)
        if running is None:
            return
        running.unread -= 1
        if running.unread or len(running.work.parts) == 1:
            return
        arrival = running.outcome.arrival
        writer = self.engines[running.work.parts[0].upstream_id]
        # An engine that holds a part of the memory has a part of the context.
        held = [part.memory_tokens for part in running.work.parts if part.memory_tokens]
        context = max(held, default=arrival.size.prompt_tokens)
        writer.write(request, context, arrival.output_tokens)
        self.go_on(writer)

    def take_event(self, request: str) -> None:
        """Let an event reach the caller."""
        running = self.running.get(request)
        if running is None:
            return
        outcome = running.outcome
        now = self.timeline.now + self.delays.hop + self.delays.caller
        if outcome.first is None:
            outcome.first = now - outcome.arrival.at
            attempt_id = running.work.attempt_id
            self.tell(
                running.gateway,
                lambda policy: policy.first_token(attempt_id, self.timeline.now),
            )
        else:
            pause = now - outcome.last_event_at
            outcome.longest_pause = max(outcome.longest_pause, pause)
        outcome.last_event_at = now

    def watch(self, outcome: Outcome, since: float) -> None:
        """Let a caller leave that hears nothing for too long, or at its deadline."""
        kind = outcome.arrival.kind
        deadline = outcome.arrival.at + kind.deadline_seconds
        at = min(since + kind.leave_seconds, deadline)
        wait = max(0.0, at - self.timeline.now)
        self.timeline.after(wait, partial(self.look_at_caller, outcome, deadline))

    def look_at_caller(self, outcome: Outcome, deadline: float) -> None:
        """See whether a caller has heard something since it was last looked at."""
        running = self.running.get(outcome.arrival.request)
        if running is None:
            return
        heard = outcome.last_event_at or outcome.arrival.at
        leave_at = heard + outcome.arrival.kind.leave_seconds
        if self.timeline.now + CLOCK_ERROR_SECONDS >= min(leave_at, deadline):
            self.end(running, "left")
        else:
            self.watch(outcome, heard)

    def end(self, running: Running, how: str) -> None:
        """End a request and free its engines."""
        outcome = running.outcome
        outcome.end = how
        del self.running[outcome.arrival.request]
        for part in running.work.parts:
            self.engines[part.upstream_id].drop(outcome.arrival.request)
        attempt_id = running.work.attempt_id
        self.tell(
            running.gateway, lambda policy: policy.end(attempt_id, self.timeline.now)
        )

    def tell(self, gateway: int, act: Callable[[Policy], None]) -> None:
        """Let a gateway know at once, and all others a word's delay later."""
        act(self.policies[gateway])
        others = [each for n, each in enumerate(self.policies) if n != gateway]

        def tell_others() -> None:
            for policy in others:
                act(policy)

        self.timeline.after(self.delays.word, tell_others)


def engine_names(fleet: Fleet) -> tuple[UpstreamId, ...]:
    """Name a fleet's engines."""
    return tuple(UpstreamId(f"{fleet.name}-{n}") for n in range(fleet.engines))


def build(fleet: Fleet, policy: type[Policy], seed: int) -> EmulatedFleet:
    """Put a fleet together whose gateways decide by a policy."""
    engines = engine_names(fleet)
    policies = [
        policy(engines, fleet.model, Random(f"{seed}:{number}"))
        for number in range(fleet.gateways)
    ]
    return EmulatedFleet(fleet, policies)
