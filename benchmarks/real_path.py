"""Compare placement policies on real processes.

Run `PYTHONPATH=examples python benchmarks/real_path.py`. Daemons, sidecars and engine
stand-ins are processes that talk over TCP. The policies, called choices, are measured
in turn, and in each round all of them get the same arrivals.
"""

import argparse
import json
import os
import platform
import shutil
import signal
import sys
import tempfile
import time
from pathlib import Path
from typing import Any, NamedTuple

from real_path_fleet import (
    CHOICES,
    COWSLIPSHELF,
    ENGINES,
    ENTRIES_PER_CHOICE,
    ComparisonFleet,
    make_python_paths_absolute,
)
from real_path_load import Run, calibrate, capacity_per_second, run_load, summarize_run

LOADS = (0.5, 0.8, 1.0, 1.3)
REFERENCE_LOAD = 0.8
SEEDS = (1, 2, 3)
RESULTS = Path(__file__).parent / "results" / "real_path.json"


class Selection(NamedTuple):
    """Select the runs to do."""

    choices: tuple[str, ...]
    rounds: tuple[str, ...]
    """Names of rounds, as in the results; all if empty."""


def plan_rounds(selection: Selection) -> list[tuple[Run, ...]]:
    """Return the rounds; within one every choice gets the same load."""
    rounds: list[dict[str, Any]] = [{"load": load, "seed": 1} for load in LOADS]
    rounds.append({"load": REFERENCE_LOAD, "seed": 1, "with_long": False})
    engines_lost = ENGINES // 3
    rounds.append({"load": REFERENCE_LOAD, "seed": 1, "engines_lost": engines_lost})
    rounds += [{"load": REFERENCE_LOAD, "seed": seed} for seed in SEEDS[1:]]
    return [
        tuple(Run(choice, **each) for choice in rotate(selection.choices, number))
        for number, each in enumerate(rounds)
        if not selection.rounds or Run(COWSLIPSHELF, **each).name() in selection.rounds
    ]


def rotate(choices: tuple[str, ...], number: int) -> tuple[str, ...]:
    """Start each round with another choice."""
    start = number % len(choices)
    return choices[start:] + choices[:start]


def measure(
    fleet: ComparisonFleet, selection: Selection, seconds: float
) -> dict[str, Any]:
    """Run every round."""
    unloaded = calibrate(fleet.callers_of(COWSLIPSHELF))
    rate = capacity_per_second(len(fleet.upstreams))
    runs = []
    for one_round in plan_rounds(selection):
        for run in one_round:
            fleet.wait_in_force()
            fleet.wait_idle()
            outcomes = run_load(fleet, run, rate, seconds)
            fleet.restart_engines()
            runs.append(summarize_run(run, outcomes, seconds, unloaded))
            print(describe_run(runs[-1]), flush=True)
    return {
        "python": platform.python_version(),
        "processors": os.cpu_count(),
        "engines": len(fleet.upstreams),
        "entries_per_choice": ENTRIES_PER_CHOICE,
        "seconds_each": seconds,
        "capacity_requests_per_second": rate,
        "unloaded": unloaded._asdict(),
        "runs": runs,
    }


def describe_run(result: dict[str, Any]) -> str:
    """Describe the result of a run in one line."""
    slowdown = result["short_slowdown"]
    long = result["classes"]["long (over 100k)"]
    run = result["run"]
    return (
        f"{run['choice']:18} {run['name']:36} seed {run['seed']} "
        f"in time {result['in_time_share_of_those_that_fit']:.3f} "
        f"goodput {result['goodput_engine_seconds_per_second']:.2f} "
        f"slowdown p50 {slowdown['p50']:.2f} p95 {slowdown['p95']:.2f} "
        f"long p50 {long['first_token_seconds']['p50']:.2f} "
        f"p95 {long['first_token_seconds']['p95']:.2f} n {long['planned']} "
        f"refusals {result['refusals']} breaks {result['breaks']} "
        f"late {result['sent_late_by_the_tool']} "
        f"load average {result['load_average'][0]:.1f}"
    )


def main() -> None:
    """Run the measurement and write the results."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--choice", choices=CHOICES, action="append")
    parser.add_argument("--round", action="append", help='such as "0.8 of capacity"')
    parser.add_argument("--seconds", type=float, default=16.0, help="of each run")
    parser.add_argument("--out", type=Path, default=RESULTS)
    parser.add_argument("--folder", type=Path, help="keep settings and logs here")
    arguments = parser.parse_args()
    make_python_paths_absolute()
    selection = Selection(
        tuple(arguments.choice or CHOICES), tuple(arguments.round or ())
    )
    folder = arguments.folder or Path(tempfile.mkdtemp(prefix="real-path-"))
    began = time.monotonic()
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    with ComparisonFleet(folder) as fleet:
        fleet.start_all()
        document = measure(fleet, selection, arguments.seconds)
    document["seconds_in_all"] = time.monotonic() - began
    arguments.out.parent.mkdir(exist_ok=True)
    arguments.out.write_text(json.dumps(document, indent=1) + "\n")
    if arguments.folder is None:
        shutil.rmtree(folder)


if __name__ == "__main__":
    main()
