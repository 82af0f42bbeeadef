"""Play gateways that share an upstream's limit, in given cases and random histories."""

from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from typing import NamedTuple

from cowslipshelf_core.gateway import Permit
from cowslipshelf_emulator.internal.limited_fleet import (
    SETTLE_SECONDS,
    UPSTREAM,
    LimitedFleet,
    SimulatedGateway,
    allowed_in_window,
)

GATEWAYS = 8
LIMIT = 4.0
SECONDS = 60.0
HISTORY_LIMITS = (0.1, 0.25, 0.5, 1, 2, 4, 8, 30, 100)
LATENCIES = (0.001, 0.003, 0.02, 0.1)
FAULT_SECONDS = (0.3, 1.0, 2.5, 6.0)
WAIT_SECONDS = (0.1, 0.5, 1.0, 3.5)


@dataclass
class EvenSplitFleet(LimitedFleet):
    """Let each gateway send an even share of the limit, without any messages."""

    sent_at: dict[int, float] = field(default_factory=dict)

    def run(self, gateway: SimulatedGateway) -> None:
        """Send a request each time that the gateway's share allows one."""
        known = len(gateway.alive(self.now)) + 1
        pause = known / LIMIT
        before = self.sent_at.get(gateway.number, gateway.started_at)
        if gateway.has_work and self.now - before >= pause:
            self.sent_at[gateway.number] = self.now
            self.arrivals.append(self.now)
        super().run(gateway)

    def request(self, permit: Permit | None, gateway: SimulatedGateway) -> None:
        """Send nothing under permits."""

    def restart(self, number: int) -> None:
        """Restart a gateway, which forgets what it sent."""
        super().restart(number)
        self.sent_at.pop(number % self.count, None)


class Case(NamedTuple):
    """Describe where work is, and what happens."""

    name: str
    working: int
    """Number of gateways that have work all the while."""
    disturb: Callable[[LimitedFleet, Random], None]


def nothing(_fleet: LimitedFleet, _random: Random) -> None:
    """Disturb nothing."""


def split(fleet: LimitedFleet, random: Random) -> None:
    """Cut the fleet into two halves for the rest of the time."""
    fleet.split(sum(1 << each for each in random.sample(range(GATEWAYS), 4)))


def restart_issuer(fleet: LimitedFleet, _random: Random) -> None:
    """Restart the gateway that issues the permits."""
    issuer = fleet.gateways[0].limits.issuer_of(UPSTREAM)
    fleet.restart(int(issuer.rpartition(".")[2]))


CASES = (
    Case("work everywhere", GATEWAYS, nothing),
    Case("work at one gateway", 1, nothing),
    Case("cut into two halves", GATEWAYS, split),
    Case("the issuer restarts", GATEWAYS, restart_issuer),
)
DIVISIONS: dict[str, type[LimitedFleet]] = {
    "even split": EvenSplitFleet,
    "permits of one issuer": LimitedFleet,
}


class Played(NamedTuple):
    """Hold what an upstream got."""

    fullest: float
    """Most requests in a window, as a part of what is allowed."""
    used: float
    """Part of the limit that was used."""


def play_case(division: type[LimitedFleet], case: Case, seed: int) -> Played:
    """Play one case for a minute."""
    random = Random(seed)
    fleet = division(GATEWAYS, LIMIT)
    fleet.start()
    working = random.sample(range(GATEWAYS), case.working)
    for number, gateway in enumerate(fleet.gateways):
        gateway.has_work = number in working
    fleet.wait(SETTLE_SECONDS)
    case.disturb(fleet, random)
    before = len(fleet.arrivals)
    fleet.wait(SECONDS)
    used = (len(fleet.arrivals) - before) / (LIMIT * SECONDS)
    return Played(fleet.most_in_a_window() / allowed_in_window(LIMIT), used)


def play_history(seed: int) -> Played:
    """Play up to 60 random faults, one after the other and overlapping."""
    random = Random(seed)
    limit = random.choice(HISTORY_LIMITS)
    fleet = LimitedFleet(random.randint(1, 10), limit, random.choice(LATENCIES))
    fleet.start()
    fleet.wait(SETTLE_SECONDS)
    for _ in range(random.randint(5, 60)):
        disturb(fleet, random)
    fleet.wait(5.0)
    used = len(fleet.arrivals) / (limit * fleet.now)
    return Played(fleet.most_in_a_window() / allowed_in_window(limit), used)


def disturb(fleet: LimitedFleet, random: Random) -> None:
    """Inject one random fault, or let some time pass."""
    number, seconds = random.randrange(1000), random.choice(FAULT_SECONDS)
    match random.randrange(10):
        case 0:
            fleet.drop(number)
        case 1:
            fleet.delay(number, seconds)
        case 2:
            fleet.double(number, seconds)
        case 3:
            fleet.restart(number)
        case 4:
            fleet.freeze(number, seconds)
        case 5 | 6:
            fleet.split(number)
        case _:
            fleet.wait(random.choice(WAIT_SECONDS))
