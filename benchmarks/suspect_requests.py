"""Compare rules by which broken attempts count as evidence against a request.

Run `PYTHONPATH=benchmarks python benchmarks/suspect_requests.py`. Times are seconds of
a simulated clock. A rule says which broken attempts count as an exit of the upstream
that the request may have caused; the gateways' quarantine decides by these exits.
"""

import heapq
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import count
from random import Random
from typing import NamedTuple

from cowslipshelf_core.gateway import (
    AllowedAlone,
    HeldBack,
    QuarantineConfig,
    RequestDigest,
    RequestQuarantine,
)

UPSTREAMS = 24
RATE = 25.0
"""Harmless requests per second."""
RUN_SECONDS = 3.0
"""Mean time of a harmless attempt."""
FATAL_RUN_SECONDS = 0.2
RESTART_SECONDS = 3.0
ATTEMPTS = 2
CALLER_RETRIES = 1
"""Times that a caller retries after a failure."""
CALLER_RETRY_SECONDS = 0.1
REPEATED_SHARE = 0.1
"""Share of requests whose content is one of a few that are sent repeatedly."""
REPEATED_CONTENTS = 20
SECONDS = 120.0
SEEDS = 5
FATAL = RequestDigest("fatal")


class BlameRule(NamedTuple):
    """Say which broken attempts count against a request."""

    name: str
    counts_cuts: bool
    """Whether connections cut by the network count, too."""
    max_concurrent: int
    """An exit counts if at most so many requests ran at the upstream."""


BLAME_RULES = (
    BlameRule("every broken attempt", True, 1_000),
    BlameRule("the upstream closed it", False, 1_000),
    BlameRule("closed, at most two ran there", False, 2),
)


class Scenario(NamedTuple):
    """Describe the faults of a simulated fleet."""

    name: str
    fatal_rate: float = 0.0
    """Fatal requests per second."""
    schedule_crashes: Callable[["SimulatedFleet"], None] | None = None
    """Schedules crashes of upstreams that no request has caused."""
    cut_share: float = 0.0
    """Share of attempts whose connection is cut by the network."""


@dataclass(slots=True)
class RunningAttempt:
    """Describe an attempt that runs at an upstream."""

    digest: RequestDigest
    attempts: int
    caller_retries: int
    trial: bool


@dataclass
class SimulatedFleet:
    """Simulate a fleet with one quarantine, as if gateways shared evidence at once."""

    rule: BlameRule
    scenario: Scenario
    random: Random
    quarantine: RequestQuarantine = field(
        default_factory=lambda: RequestQuarantine.from_config(QuarantineConfig("one"))
    )
    now: float = 0.0
    ids: count = field(default_factory=count)
    events: list = field(default_factory=list)
    running: dict[int, dict[int, RunningAttempt]] = field(
        default_factory=lambda: {number: {} for number in range(UPSTREAMS)}
    )
    starts: dict[int, int] = field(
        default_factory=lambda: dict.fromkeys(range(UPSTREAMS), 0)
    )
    down: set[int] = field(default_factory=set)
    sent: int = 0
    held_back: int = 0
    fatal_crashes: int = 0

    def schedule(
        self, at: float, action: Callable[..., None], *arguments: object
    ) -> None:
        """Schedule an action."""
        heapq.heappush(self.events, (at, next(self.ids), action, arguments))

    def run(self) -> None:
        """Run the simulation to its end."""
        self.schedule(0.0, self.arrive)
        if self.scenario.fatal_rate:
            self.schedule(1.0, self.arrive_fatal)
        if self.scenario.schedule_crashes is not None:
            self.scenario.schedule_crashes(self)
        while self.events and self.now < SECONDS:
            self.now, _, action, arguments = heapq.heappop(self.events)
            action(*arguments)

    def arrive(self) -> None:
        """Send a harmless request, and schedule the next."""
        self.schedule(self.now + self.random.expovariate(RATE), self.arrive)
        repeated = self.random.random() < REPEATED_SHARE
        name = self.random.randrange(REPEATED_CONTENTS) if repeated else next(self.ids)
        self.sent += 1
        self.attempt(RequestDigest(f"{repeated}-{name}"), 0, 0)

    def arrive_fatal(self) -> None:
        """Send the fatal request, and schedule the next."""
        pause = self.random.expovariate(self.scenario.fatal_rate)
        self.schedule(self.now + pause, self.arrive_fatal)
        self.attempt(FATAL, 0, CALLER_RETRIES)

    def attempt(
        self, digest: RequestDigest, attempts: int, caller_retries: int
    ) -> None:
        """Send a request to the least loaded upstream, unless it is held back."""
        verdict = self.quarantine.verdict(digest, self.now)
        if isinstance(verdict, HeldBack):
            self.held_back += digest != FATAL
            return
        available = [number for number in self.running if number not in self.down]
        if not available:
            return
        upstream = min(
            available, key=lambda n: (len(self.running[n]), self.random.random())
        )
        trial = isinstance(verdict, AllowedAlone)
        if trial:
            self.quarantine.begin_trial(digest, verdict, self.now)
        number = next(self.ids)
        self.running[upstream][number] = RunningAttempt(
            digest, attempts + 1, caller_retries, trial
        )
        if digest == FATAL:
            self.schedule(self.now + FATAL_RUN_SECONDS, self.crash, upstream, number)
            return
        seconds = self.random.expovariate(1.0 / RUN_SECONDS)
        cut = self.random.random() < self.scenario.cut_share
        self.schedule(self.now + seconds, self.finish, upstream, number, cut)

    def finish(self, upstream: int, number: int, cut: bool) -> None:
        """End an attempt by its complete answer or by a cut connection."""
        attempt = self.running[upstream].pop(number, None)
        if attempt is None:
            return
        if cut and self.rule.counts_cuts:
            self.record_exit(attempt, upstream, 1)
        if not cut:
            self.quarantine.record_answer(attempt.digest, self.now)
        self.end_trial(attempt)
        if cut:
            self.retry(attempt)

    def crash(self, upstream: int, number: int | None = None) -> None:
        """Crash an upstream with all that runs there.

        With a number, do so only if this fatal attempt still runs there.
        """
        if upstream in self.down or (
            number is not None and number not in self.running[upstream]
        ):
            return
        self.fatal_crashes += number is not None
        self.down.add(upstream)
        self.schedule(self.now + RESTART_SECONDS, self.restart, upstream)
        running = list(self.running[upstream].values())
        self.running[upstream] = {}
        for attempt in running:
            if len(running) <= self.rule.max_concurrent:
                self.record_exit(attempt, upstream, len(running))
            self.end_trial(attempt)
        for attempt in running:
            self.retry(attempt)

    def restart(self, upstream: int) -> None:
        """Restart an upstream under a new id."""
        self.down.discard(upstream)
        self.starts[upstream] += 1

    def record_exit(
        self, attempt: RunningAttempt, upstream: int, concurrent: int
    ) -> None:
        """Record an exit of the upstream as evidence against a request."""
        name = f"{upstream}-{self.starts[upstream]}-{concurrent}"
        self.quarantine.record_exit(attempt.digest, name, self.now)

    def end_trial(self, attempt: RunningAttempt) -> None:
        """End the trial of a suspect request, so that it may be tried again."""
        if attempt.trial:
            self.quarantine.end_trial(attempt.digest)

    def retry(self, attempt: RunningAttempt) -> None:
        """Retry a request, or let its caller retry later."""
        if attempt.attempts < ATTEMPTS:
            self.attempt(attempt.digest, attempt.attempts, attempt.caller_retries)
        elif attempt.caller_retries < CALLER_RETRIES:
            at = self.now + CALLER_RETRY_SECONDS
            self.schedule(
                at, self.attempt, attempt.digest, 0, attempt.caller_retries + 1
            )


def crash_half(fleet: SimulatedFleet) -> None:
    """Crash half of all upstreams at once, three times."""
    for at in (20.0, 50.0, 80.0):
        for upstream in fleet.random.sample(range(UPSTREAMS), UPSTREAMS // 2):
            fleet.schedule(at, fleet.crash, upstream)


def crash_quarter(fleet: SimulatedFleet) -> None:
    """Crash a quarter of all upstreams within half a second, three times."""
    for at in (20.0, 50.0, 80.0):
        for upstream in fleet.random.sample(range(UPSTREAMS), UPSTREAMS // 4):
            fleet.schedule(at + fleet.random.uniform(0.0, 0.5), fleet.crash, upstream)


def crash_ten_repeatedly(fleet: SimulatedFleet) -> None:
    """Crash ten upstreams every five seconds."""
    for step in range(2, int(SECONDS / 5.0)):
        for upstream in fleet.random.sample(range(UPSTREAMS), 10):
            at = 5.0 * step + fleet.random.uniform(0.0, 1.0)
            fleet.schedule(at, fleet.crash, upstream)


SCENARIOS = (
    Scenario("a fatal request once a second", fatal_rate=1.0),
    Scenario("a fatal request five times a second", fatal_rate=5.0),
    Scenario("half of all ended, three times", schedule_crashes=crash_half),
    Scenario(
        "a quarter ended within 0.5 s, three times", schedule_crashes=crash_quarter
    ),
    Scenario("ten of 24 end every 5 s", schedule_crashes=crash_ten_repeatedly),
    Scenario("3% of connections cut", cut_share=0.03),
    Scenario("30% of connections cut", cut_share=0.3),
    Scenario("ten end every 5 s, and a fatal one", 1.0, crash_ten_repeatedly),
)


def main() -> None:
    """Print a row for each scenario and rule."""
    print("| what happens | reading | ended by the fatal one | harmless held back |")
    print("| --- | --- | --- | --- |")
    for scenario in SCENARIOS:
        for rule in BLAME_RULES:
            fleets = [SimulatedFleet(rule, scenario, Random(s)) for s in range(SEEDS)]
            for fleet in fleets:
                fleet.run()
            crashes_by_seed = ", ".join(str(fleet.fatal_crashes) for fleet in fleets)
            held = sum(fleet.held_back for fleet in fleets)
            sent = sum(fleet.sent for fleet in fleets)
            crashes = crashes_by_seed if scenario.fatal_rate else "-"
            print(f"| {scenario.name} | {rule.name} | {crashes} | {held} of {sent} |")


if __name__ == "__main__":
    main()
