"""Measure the processor time of a placement with few and with many upstreams.

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
OPEN_FOR = 150
"""Requests that stay open at a time: 21 a second for about seven seconds."""
TICKS = 300
NANOSECONDS_PER_MICROSECOND = 1_000
REQUESTS_PER_SECOND = 21.0
REPORTS_PER_SECOND = 4.0
TICKS_PER_SECOND = 10.0


class Costs(NamedTuple):
    """Be processor times in microseconds."""

    request: float
    """Question, acceptance, first token and end together."""
    report: float
    tick: float


def load(sequence: int) -> LoadReport:
    """Build a report of an upstream at work."""
    return LoadReport(sequence, 25, 24, 8_000, 200_000, 480_000, 25e-6, 3e-11, 0.04, ())


def start(upstreams: int) -> Router:
    """Build a router that knows this many upstreams."""
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
        router.handle(UpstreamAvailable(description, "1", load(0)), 0.0, random)
    return router


def micros(begin: int, count: int) -> float:
    """Return the processor time since, for each of so many."""
    return (process_time_ns() - begin) / count / NANOSECONDS_PER_MICROSECOND


def measure(upstreams: int, seed: int) -> Costs:
    """Measure one router."""
    router, random, now = start(upstreams), Random(seed), 100.0
    questions = []
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
        questions.append(PlacementAsked(f"{number}", facts))
    begin = process_time_ns()
    for number, question in enumerate(questions):
        now += 1.0 / REQUESTS_PER_SECOND
        router.handle(question, now, random)
        router.handle(HandOverAccepted(f"{number}"), now, random)
        router.handle(FirstTokenSeen(f"{number}", 0.2), now, random)
        if number >= OPEN_FOR:
            ended = AttemptEnded(f"{number - OPEN_FOR}", AttemptOutcome.FINISHED)
            router.handle(ended, now, random)
    request = micros(begin, REQUESTS)
    reports = [LoadUpdated(f"upstream-{n}", "1", load(5)) for n in range(upstreams)]
    begin = process_time_ns()
    for report in reports:
        router.handle(report, now, random)
    report_cost = micros(begin, upstreams)
    begin = process_time_ns()
    for _ in range(TICKS):
        now += 1.0 / TICKS_PER_SECOND
        router.handle(TickElapsed(), now, random)
    return Costs(request, report_cost, micros(begin, TICKS))


def main() -> None:
    """Print the costs for each size."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--out", type=Path)
    arguments = parser.parse_args()
    rows = []
    print("upstreams | request µs (min to max) | report µs | tick µs | core share")
    for upstreams in SIZES:
        runs = [measure(upstreams, seed) for seed in range(REPEATS)]
        middle = Costs(*(median(values) for values in zip(*runs, strict=True)))
        share = (
            middle.request * REQUESTS_PER_SECOND
            + middle.report * REPORTS_PER_SECOND * upstreams
            + middle.tick * TICKS_PER_SECOND
        ) / 1e6
        low, high = min(r.request for r in runs), max(r.request for r in runs)
        print(
            f"{upstreams} | {middle.request:.0f} ({low:.0f} to {high:.0f}) | "
            f"{middle.report:.1f} | {middle.tick:.0f} | {share:.2%}"
        )
        rows.append(
            {
                "upstreams": upstreams,
                "median": middle._asdict(),
                "runs": [run._asdict() for run in runs],
                "core_share": share,
            }
        )
    if arguments.out is not None:
        arguments.out.write_text(json.dumps(rows, indent=1) + "\n")


if __name__ == "__main__":
    main()
