"""Compare ways to divide an upstream's limit among gateways, in a simulation.

Run with `PYTHONPATH=tests python benchmarks/limits.py`.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from typing import NamedTuple

from common.limited_fleet import (
    UPSTREAM,
    WINDOW_SECONDS,
    LimitedFleet,
    SimulatedGateway,
)

GATEWAYS = 8
LIMIT = 4.0
SETTLE_SECONDS = 4.0
SECONDS = 60.0
SEEDS = 3


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

    def request(self, permit, gateway) -> None:
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
FLEETS = {"even split": EvenSplitFleet, "permits of one issuer": LimitedFleet}


def play(kind: type[LimitedFleet], case: Case, seed: int) -> tuple[float, float]:
    """Return the fullest window as a part of what is allowed, and the limit's use."""
    random = Random(seed)
    fleet = kind(GATEWAYS, LIMIT)
    fleet.start()
    working = random.sample(range(GATEWAYS), case.working)
    for number, gateway in enumerate(fleet.gateways):
        gateway.has_work = number in working
    fleet.wait(SETTLE_SECONDS)
    case.disturb(fleet, random)
    before = len(fleet.arrivals)
    fleet.wait(SECONDS)
    allowed = 1.5 * LIMIT * WINDOW_SECONDS + 5
    used = (len(fleet.arrivals) - before) / (LIMIT * SECONDS)
    return fleet.most_in_a_window() / allowed, used


def main() -> None:
    """Print a line for each case and way to divide."""
    print(f"{GATEWAYS} gateways, {LIMIT:g} requests/s, {SECONDS:g} s, {SEEDS} seeds")
    for case in CASES:
        for name, kind in FLEETS.items():
            played = [play(kind, case, seed) for seed in range(SEEDS)]
            fullest = max(each[0] for each in played)
            used = sum(each[1] for each in played) / SEEDS
            print(f"{case.name}, {name}: window {fullest:.2f}, used {used:.2f}")


if __name__ == "__main__":
    main()
