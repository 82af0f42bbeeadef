"""Measure how soon a fatal prompt part is held back, and what is refused beside it.

Run `PYTHONPATH=benchmarks:tests python benchmarks/suspect_parts.py`. Times are seconds
of a simulated clock; eight gateways report to each other before 24 upstreams.
"""

from random import Random
from typing import NamedTuple

from common.part_fleet import PartFleet, Traffic, part

SEEDS = 40
GATEWAYS = 8
UPSTREAMS = 24
SECONDS = 60.0
FATAL_FROM_SECONDS = 10.0
STEP_SECONDS = 5.0
WINDOW_SECONDS = 3.0
"""Time after the fifth exit by which all gateways must know of a part."""
FIRST_PARTS = 60
LATER_PARTS = 40
PROMPTS = 400
FATAL_PROMPTS = 20


class Scenario(NamedTuple):
    """Describe the traffic and the faults of a simulated fleet."""

    name: str
    fatal_rate: float = 0.0
    """Requests per second with each fatal part."""
    fatal_parts: tuple[str, ...] = ("fatal",)
    rate: float = 25.0
    """Harmless requests per second."""
    run_seconds: float = 1.0
    loss: float = 0.0
    turns_fatal_at: float = 0.0
    """Time until which the fatal parts are answered like others."""
    rack: int = 0
    """Upstreams that exit together every five seconds."""
    rack_seconds: float = 0.0
    """Time within which they exit."""


SCENARIOS = (
    Scenario("a fatal part, 0.3 a second", 0.3),
    Scenario("one a second", 1.0),
    Scenario("three a second", 3.0),
    Scenario("eight a second", 8.0),
    Scenario("three a second, 5% of reports lost", 3.0, loss=0.05),
    Scenario("three a second beside 4 harmless", 3.0, rate=4.0),
    Scenario("three a second beside 1 harmless", 3.0, rate=1.0),
    Scenario("three a second, answers of 5 s", 3.0, rate=10.0, run_seconds=5.0),
    Scenario("one that was answered for 15 s", 3.0, turns_fatal_at=15.0),
    Scenario("two fatal parts", 3.0, ("fatal", "deadly")),
    Scenario("three fatal parts", 2.0, ("fatal", "deadly", "lethal")),
    Scenario("one a second, 8 exit at once every 5 s", 1.0, rack=8),
    Scenario("8 exit at once every 5 s", rack=8),
    Scenario("8 exit within 2 s every 5 s", rack=8, rack_seconds=2.0),
    Scenario("16 exit within 1 s every 5 s", rack=16, rack_seconds=1.0),
    Scenario("8 exit at once every 5 s, 4 of 5 s", rate=4.0, run_seconds=5.0, rack=8),
)


def skewed_parts(count: int) -> list[str]:
    """Return names of parts, the first ones more often than the last ones."""
    repeats = (max(1, int(12 / (number + 1) ** 0.5)) for number in range(count))
    return [f"part-{each}" for each, times in enumerate(repeats) for _ in range(times)]


def build_fleet(scenario: Scenario, random: Random) -> PartFleet:
    """Build the fleet of a scenario before its first request."""
    first = skewed_parts(FIRST_PARTS)
    prompts = tuple(
        (random.choice(first), f"later-{random.randrange(LATER_PARTS)}")
        for _ in range(PROMPTS)
    )
    traffic = [Traffic(scenario.rate, prompts, scenario.run_seconds)]
    for name in scenario.fatal_parts if scenario.fatal_rate else ():
        with_part = tuple((random.choice(first), name) for _ in range(FATAL_PROMPTS))
        traffic.append(
            Traffic(scenario.fatal_rate, with_part, began=FATAL_FROM_SECONDS)
        )
    fatal = set() if scenario.turns_fatal_at else set(scenario.fatal_parts)
    return PartFleet(random, tuple(traffic), fatal, GATEWAYS, UPSTREAMS, scenario.loss)


def run(scenario: Scenario, seed: int) -> PartFleet:
    """Run one fleet to its end."""
    fleet = build_fleet(scenario, Random(seed))
    if scenario.turns_fatal_at:
        fleet.run(scenario.turns_fatal_at)
        fleet.fatal = set(scenario.fatal_parts)
    while fleet.now < SECONDS:
        fleet.run(STEP_SECONDS)
        if scenario.rack:
            amount = min(scenario.rack, len(fleet.running) - 1)
            fleet.crash_some(amount, scenario.rack_seconds)
    return fleet


def count_late(fleet: PartFleet, name: str) -> int:
    """Count the requests with a part that were sent after the window."""
    return fleet.reached(name, fleet.known_at(name) + WINDOW_SECONDS)


def row(scenario: Scenario) -> list[str]:
    """Return the figures of a scenario over all seeds."""
    fleets = [run(scenario, seed) for seed in range(SEEDS)]
    crashes = [len(times) for fleet in fleets for times in fleet.crashes.values()]
    late = [count_late(fleet, name) for fleet in fleets for name in fleet.crashes]
    sent = [each for fleet in fleets for each in fleet.sent]
    sound = [each for each in sent if not {*scenario.fatal_parts} & {*each.parts}]
    refused = sum(each.verdict == "HeldBack" for each in sound)
    fatal = set(map(part, scenario.fatal_parts))
    held = sum(bool(fleet.held() - fatal) for fleet in fleets)
    exits = ["-"] * 3
    if scenario.fatal_rate:
        mean = sum(crashes) / len(crashes)
        exits = [f"{mean:.1f}", str(max(crashes)), str(max(late))]
    return [scenario.name, *exits, f"{refused} of {len(sound)}", str(held)]


def main() -> None:
    """Print a row for each scenario."""
    print("| what happens | exits | most | late | harmless refused | runs that hold |")
    print("| --- | --- | --- | --- | --- | --- |")
    for scenario in SCENARIOS:
        print(f"| {' | '.join(row(scenario))} |", flush=True)


if __name__ == "__main__":
    main()
