"""Play what each reading of the evidence against requests is worth.

Run `PYTHONPATH=benchmarks python benchmarks/suspect_requests.py`. Times are seconds of
a played clock. A reading says which broken attempts count as an upstream's end under a
request; the quarantine that gateways use decides by them.
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
"""Requests a second."""
RUN_SECONDS = 3.0
"""Mean time of a run."""
FATAL_RUN_SECONDS = 0.2
RESTART_SECONDS = 3.0
ATTEMPTS = 2
RETURNS = 1
"""Times that a caller comes back after a failure."""
RETURN_SECONDS = 0.1
POLLED_SHARE = 0.1
"""Share of requests whose content is one of few, sent again and again."""
POLLED_CONTENTS = 20
SECONDS = 120.0
SEEDS = 5
FATAL = RequestDigest("fatal")


class Reading(NamedTuple):
    """Say which broken attempts speak against a request."""

    name: str
    cuts: bool
    """Whether a connection that broke on its way counts, too."""
    most_shared: int
    """Requests that may have run beside it on the upstream, for it to count."""


READINGS = (
    Reading("every broken attempt", True, 1_000),
    Reading("the upstream closed it", False, 1_000),
    Reading("closed, at most two ran there", False, 2),
)


class Scenario(NamedTuple):
    """Be what happens to a fleet."""

    name: str
    fatal_rate: float = 0.0
    """Fatal requests a second."""
    ends: Callable[["PlayedFleet"], None] | None = None
    """Plans the ends of upstreams that no request is to blame for, if there are any."""
    cut_share: float = 0.0
    """Share of attempts whose connection breaks on its way."""


@dataclass(slots=True)
class Run:
    """Be an attempt that runs at an upstream."""

    digest: RequestDigest
    sent: int
    returned: int
    trial: bool


@dataclass
class PlayedFleet:
    """Play one fleet; whoever asks knows at once what was learned."""

    reading: Reading
    scenario: Scenario
    random: Random
    quarantine: RequestQuarantine = field(
        default_factory=lambda: RequestQuarantine.from_config(QuarantineConfig("one"))
    )
    now: float = 0.0
    numbers: count = field(default_factory=count)
    events: list = field(default_factory=list)
    running: dict[int, dict[int, Run]] = field(
        default_factory=lambda: {number: {} for number in range(UPSTREAMS)}
    )
    starts: dict[int, int] = field(
        default_factory=lambda: dict.fromkeys(range(UPSTREAMS), 0)
    )
    down: set[int] = field(default_factory=set)
    sent: int = 0
    held_back: int = 0
    fatal_ends: int = 0

    def at(self, when: float, act: Callable[..., None], *arguments: object) -> None:
        """Plan something."""
        heapq.heappush(self.events, (when, next(self.numbers), act, arguments))

    def play(self) -> None:
        """Play until the end."""
        self.at(0.0, self.arrive)
        if self.scenario.fatal_rate:
            self.at(1.0, self.arrive_fatal)
        if self.scenario.ends is not None:
            self.scenario.ends(self)
        while self.events and self.now < SECONDS:
            self.now, _, act, arguments = heapq.heappop(self.events)
            act(*arguments)

    def arrive(self) -> None:
        """Let a harmless request come."""
        self.at(self.now + self.random.expovariate(RATE), self.arrive)
        polled = self.random.random() < POLLED_SHARE
        name = self.random.randrange(POLLED_CONTENTS) if polled else next(self.numbers)
        self.sent += 1
        self.attempt(RequestDigest(f"{polled}-{name}"), 0, 0)

    def arrive_fatal(self) -> None:
        """Let the fatal request come again."""
        pause = self.random.expovariate(self.scenario.fatal_rate)
        self.at(self.now + pause, self.arrive_fatal)
        self.attempt(FATAL, 0, RETURNS)

    def attempt(self, digest: RequestDigest, sent: int, returned: int) -> None:
        """Send a request to an upstream, unless it is held back."""
        verdict = self.quarantine.verdict(digest, self.now)
        if isinstance(verdict, HeldBack):
            self.held_back += digest != FATAL
            return
        free = [number for number in self.running if number not in self.down]
        if not free:
            return
        upstream = min(free, key=lambda n: (len(self.running[n]), self.random.random()))
        trial = isinstance(verdict, AllowedAlone)
        if trial:
            self.quarantine.begin_trial(digest, verdict, self.now)
        number = next(self.numbers)
        self.running[upstream][number] = Run(digest, sent + 1, returned, trial)
        if digest == FATAL:
            self.at(self.now + FATAL_RUN_SECONDS, self.end, upstream, number)
            return
        seconds = self.random.expovariate(1.0 / RUN_SECONDS)
        cut = self.random.random() < self.scenario.cut_share
        self.at(self.now + seconds, self.finish, upstream, number, cut)

    def finish(self, upstream: int, number: int, cut: bool) -> None:
        """End a run, by its whole answer or by a cut on the way."""
        run = self.running[upstream].pop(number, None)
        if run is None:
            return
        if cut and self.reading.cuts:
            self.note(run, upstream, 1)
        if not cut:
            self.quarantine.record_answer(run.digest, self.now)
        self.close(run)
        if cut:
            self.try_again(run)

    def end(self, upstream: int, number: int | None = None) -> None:
        """End an upstream with all that runs there."""
        if upstream in self.down or (
            number is not None and number not in self.running[upstream]
        ):
            return
        self.fatal_ends += number is not None
        self.down.add(upstream)
        self.at(self.now + RESTART_SECONDS, self.start, upstream)
        runs = list(self.running[upstream].values())
        self.running[upstream] = {}
        for run in runs:
            if len(runs) <= self.reading.most_shared:
                self.note(run, upstream, len(runs))
            self.close(run)
        for run in runs:
            self.try_again(run)

    def start(self, upstream: int) -> None:
        """Start an upstream again, under a new id."""
        self.down.discard(upstream)
        self.starts[upstream] += 1

    def note(self, run: Run, upstream: int, shared: int) -> None:
        """Note an end under a request."""
        name = f"{upstream}-{self.starts[upstream]}-{shared}"
        self.quarantine.record_exit(run.digest, name, self.now)

    def close(self, run: Run) -> None:
        """Let a suspect be tried again."""
        if run.trial:
            self.quarantine.end_trial(run.digest)

    def try_again(self, run: Run) -> None:
        """Send a request elsewhere, or let its caller come back."""
        if run.sent < ATTEMPTS:
            self.attempt(run.digest, run.sent, run.returned)
        elif run.returned < RETURNS:
            when = self.now + RETURN_SECONDS
            self.at(when, self.attempt, run.digest, 0, run.returned + 1)


def half_killed(fleet: PlayedFleet) -> None:
    """End half of all upstreams at one moment, three times."""
    for moment in (20.0, 50.0, 80.0):
        for upstream in fleet.random.sample(range(UPSTREAMS), UPSTREAMS // 2):
            fleet.at(moment, fleet.end, upstream)


def rack_lost(fleet: PlayedFleet) -> None:
    """End a quarter of all upstreams within half a second, three times."""
    for moment in (20.0, 50.0, 80.0):
        for upstream in fleet.random.sample(range(UPSTREAMS), UPSTREAMS // 4):
            fleet.at(moment + fleet.random.uniform(0.0, 0.5), fleet.end, upstream)


def flapping(fleet: PlayedFleet) -> None:
    """End ten upstreams every five seconds."""
    for step in range(2, int(SECONDS / 5.0)):
        for upstream in fleet.random.sample(range(UPSTREAMS), 10):
            moment = 5.0 * step + fleet.random.uniform(0.0, 1.0)
            fleet.at(moment, fleet.end, upstream)


SCENARIOS = (
    Scenario("a fatal request once a second", fatal_rate=1.0),
    Scenario("a fatal request five times a second", fatal_rate=5.0),
    Scenario("half of all ended, three times", ends=half_killed),
    Scenario("a quarter ended within 0.5 s, three times", ends=rack_lost),
    Scenario("ten of 24 end every 5 s", ends=flapping),
    Scenario("3% of connections cut", cut_share=0.03),
    Scenario("30% of connections cut", cut_share=0.3),
    Scenario("ten end every 5 s, and a fatal one", 1.0, flapping),
)


def main() -> None:
    """Print a row for each scenario and reading."""
    print("| what happens | reading | ended by the fatal one | harmless held back |")
    print("| --- | --- | --- | --- |")
    for scenario in SCENARIOS:
        for reading in READINGS:
            fleets = [PlayedFleet(reading, scenario, Random(s)) for s in range(SEEDS)]
            for fleet in fleets:
                fleet.play()
            ended = ", ".join(str(fleet.fatal_ends) for fleet in fleets)
            held = sum(fleet.held_back for fleet in fleets)
            sent = sum(fleet.sent for fleet in fleets)
            shown = ended if scenario.fatal_rate else "-"
            print(f"| {scenario.name} | {reading.name} | {shown} | {held} of {sent} |")


if __name__ == "__main__":
    main()
