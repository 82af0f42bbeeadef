"""Measure the router's processor time per placement, by number of upstreams.

Run `python benchmarks/policy_cost.py --out benchmarks/results/policy_cost.json`.
"""

import argparse
import json
from pathlib import Path
from random import Random
from statistics import median
from time import process_time_ns
from typing import NamedTuple

from cowslipshelf_core.configuration import FleetConfiguration, Service
from cowslipshelf_core.routing import (
    AttemptEnded,
    AttemptOutcome,
    ConfigurationApplied,
    FirstTokenSeen,
    HandOverAccepted,
    LoadUpdated,
    PlacementAsked,
    PlacementFacts,
    Router,
    RouterConfig,
    TickElapsed,
    UpstreamAvailable,
)
from cowslipshelf_core.upstream import LoadReport, UpstreamDescription

SIZES = (13, 104, 1_000)
REPEATS = 7
REQUESTS = 3_000
OPEN_REQUESTS = 150
"""Requests open at a time: 21 per second, each open for about seven seconds."""
TICKS = 300
NANOSECONDS_PER_MICROSECOND = 1_000
REQUESTS_PER_SECOND = 21.0
REPORTS_PER_SECOND = 4.0
TICKS_PER_SECOND = 10.0


class Costs(NamedTuple):
    """Hold processor times in microseconds."""

    request: float
    """Placement, acceptance, first token and end of one request."""
    report: float
    tick: float


def load_report(sequence: int) -> LoadReport:
    """Build the load report of a busy upstream."""
    return LoadReport(sequence, 25, 24, 8_000, 200_000, 480_000, 25e-6, 3e-11, 0.04, ())


def build_router(upstreams: int) -> Router:
    """Build a router with a number of known upstreams."""
    router = Router.from_config(RouterConfig())
    random = Random(1)
    service = Service("scribe", "model", ("model",))
    configuration = FleetConfiguration(1, services=(service,))
    router.handle(ConfigurationApplied(configuration), 0.0, random)
    for number in range(upstreams):
        description = UpstreamDescription(
            f"upstream-{number}",
            "maadi",
            "scribe",
            "model",
            ("model",),
            480_000,
            True,
            "",
        )
        router.handle(UpstreamAvailable(description, "1", load_report(0)), 0.0, random)
    return router


def microseconds_per_item(begin: int, count: int) -> float:
    """Return the processor time since `begin`, divided by `count`."""
    return (process_time_ns() - begin) / count / NANOSECONDS_PER_MICROSECOND


def measure(upstreams: int, seed: int) -> Costs:
    """Measure a router with a number of upstreams."""
    router, random, now = build_router(upstreams), Random(seed), 100.0
    placements = []
    for number in range(REQUESTS):
        facts = PlacementFacts(
            f"{number}",
            f"{number}",
            f"customer-{number % 10}",
            "scribe",
            "model",
            random.choice((1_500, 4_000, 20_000)),
            350,
            0,
            60.0,
        )
        placements.append(PlacementAsked(f"{number}", facts))
    begin = process_time_ns()
    for number, placement in enumerate(placements):
        now += 1.0 / REQUESTS_PER_SECOND
        router.handle(placement, now, random)
        router.handle(HandOverAccepted(f"{number}"), now, random)
        router.handle(FirstTokenSeen(f"{number}", 0.2), now, random)
        if number >= OPEN_REQUESTS:
            ended = AttemptEnded(f"{number - OPEN_REQUESTS}", AttemptOutcome.FINISHED)
            router.handle(ended, now, random)
    request = microseconds_per_item(begin, REQUESTS)
    reports = [
        LoadUpdated(f"upstream-{n}", "1", load_report(5)) for n in range(upstreams)
    ]
    begin = process_time_ns()
    for report in reports:
        router.handle(report, now, random)
    report_cost = microseconds_per_item(begin, upstreams)
    begin = process_time_ns()
    for _ in range(TICKS):
        now += 1.0 / TICKS_PER_SECOND
        router.handle(TickElapsed(), now, random)
    return Costs(request, report_cost, microseconds_per_item(begin, TICKS))


def main() -> None:
    """Print the costs by number of upstreams."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--out", type=Path)
    arguments = parser.parse_args()
    rows = []
    print("upstreams | request µs (min to max) | report µs | tick µs | core share")
    for upstreams in SIZES:
        runs = [measure(upstreams, seed) for seed in range(REPEATS)]
        medians = Costs(*(median(values) for values in zip(*runs, strict=True)))
        share = (
            medians.request * REQUESTS_PER_SECOND
            + medians.report * REPORTS_PER_SECOND * upstreams
            + medians.tick * TICKS_PER_SECOND
        ) / 1e6
        low, high = min(r.request for r in runs), max(r.request for r in runs)
        print(
            f"{upstreams} | {medians.request:.0f} ({low:.0f} to {high:.0f}) | "
            f"{medians.report:.1f} | {medians.tick:.0f} | {share:.2%}"
        )
        rows.append(
            {
                "upstreams": upstreams,
                "median": medians._asdict(),
                "runs": [run._asdict() for run in runs],
                "core_share": share,
            }
        )
    if arguments.out is not None:
        arguments.out.write_text(json.dumps(rows, indent=1) + "\n")


if __name__ == "__main__":
    main()
