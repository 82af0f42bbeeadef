"""Compare choices of the upstream on the real path, side by side.

Run `PYTHONPATH=examples python benchmarks/real_path.py`. Daemons,
sidecars and engine stand-ins are processes over TCP; the choices take turns, and each
run offers all of them the same arrivals.
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
    ENGINES,
    ENTRIES_PER_CHOICE,
    OURS,
    ComparedFleet,
    python_paths_are_absolute,
)
from real_path_load import Run, calibrate, capacity, figures_of, offer

LOADS = (0.5, 0.8, 1.0, 1.3)
MANY_SEEDS_LOAD = 0.8
SEEDS = (1, 2, 3)
RESULTS = Path(__file__).parent / "results" / "real_path.json"


class Selection(NamedTuple):
    """Say which of all runs are done."""

    choices: tuple[str, ...]
    rounds: tuple[str, ...]
    """Names of rounds, as the results have them; none for all."""


def runs_of(selection: Selection) -> list[tuple[Run, ...]]:
    """List the rounds: in each one every choice gets the same load."""
    rounds: list[dict[str, Any]] = [{"load": load, "seed": 1} for load in LOADS]
    rounds.append({"load": MANY_SEEDS_LOAD, "seed": 1, "with_long": False})
    lost = ENGINES // 3
    rounds.append({"load": MANY_SEEDS_LOAD, "seed": 1, "engines_lost": lost})
    rounds += [{"load": MANY_SEEDS_LOAD, "seed": seed} for seed in SEEDS[1:]]
    return [
        tuple(Run(choice, **each) for choice in rotated(selection.choices, number))
        for number, each in enumerate(rounds)
        if not selection.rounds or Run(OURS, **each).name() in selection.rounds
    ]


def rotated(choices: tuple[str, ...], number: int) -> tuple[str, ...]:
    """Let another choice begin each round."""
    start = number % len(choices)
    return choices[start:] + choices[:start]


def measure(
    fleet: ComparedFleet, selection: Selection, seconds: float
) -> dict[str, Any]:
    """Run every round."""
    unloaded = calibrate(fleet.callers_of(OURS))
    rate = capacity(len(fleet.upstreams))
    runs = []
    for one_round in runs_of(selection):
        for run in one_round:
            fleet.wait_in_force()
            fleet.wait_idle()
            outcomes = offer(fleet, run, rate, seconds)
            fleet.bring_back_engines()
            runs.append(figures_of(run, outcomes, seconds, unloaded))
            print(one_line(runs[-1]), flush=True)
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


def one_line(figures: dict[str, Any]) -> str:
    """Describe a run while the measurement goes on."""
    slowdown = figures["short_slowdown"]
    long = figures["classes"]["long (over 100k)"]
    run = figures["run"]
    return (
        f"{run['choice']:18} {run['name']:36} seed {run['seed']} "
        f"in time {figures['in_time_share_of_those_that_fit']:.3f} "
        f"goodput {figures['goodput_engine_seconds_per_second']:.2f} "
        f"slowdown p50 {slowdown['p50']:.2f} p95 {slowdown['p95']:.2f} "
        f"long p50 {long['first_token_seconds']['p50']:.2f} "
        f"p95 {long['first_token_seconds']['p95']:.2f} n {long['planned']} "
        f"refusals {figures['refusals']} breaks {figures['breaks']} "
        f"late {figures['sent_late_by_the_tool']} "
        f"load average {figures['load_average'][0]:.1f}"
    )


def main() -> None:
    """Measure and write the results."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--choice", choices=CHOICES, action="append")
    parser.add_argument("--round", action="append", help='such as "0.8 of capacity"')
    parser.add_argument("--seconds", type=float, default=16.0, help="of each run")
    parser.add_argument("--out", type=Path, default=RESULTS)
    parser.add_argument("--folder", type=Path, help="keep settings and logs here")
    arguments = parser.parse_args()
    python_paths_are_absolute()
    selection = Selection(
        tuple(arguments.choice or CHOICES), tuple(arguments.round or ())
    )
    folder = arguments.folder or Path(tempfile.mkdtemp(prefix="real-path-"))
    begun = time.monotonic()
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    with ComparedFleet(folder) as fleet:
        fleet.start_all()
        document = measure(fleet, selection, arguments.seconds)
    document["seconds_in_all"] = time.monotonic() - begun
    arguments.out.parent.mkdir(exist_ok=True)
    arguments.out.write_text(json.dumps(document, indent=1) + "\n")
    if arguments.folder is None:
        shutil.rmtree(folder)


if __name__ == "__main__":
    main()
