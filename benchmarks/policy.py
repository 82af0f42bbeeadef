"""Measure the router's decisions against baselines, with no process and no message.

Run `python benchmarks/policy.py --out benchmarks/results/policy.json` from the root
with the packages installed. Every run is deterministic; the seeds are in the results.
"""

import argparse
import json
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from statistics import mean
from typing import NamedTuple

from policy_measures import BUCKETS, LONG, SHORT, Figures, figures
from policy_run import Fault, Run, Scenario
from policy_workload import COOPERATIVE, NILEGATE, mean_engine_seconds

POLICIES = ("ours", "least_outstanding", "round_robin", "first_version")
BASELINES = POLICIES[1:]
LOADS = (0.5, 0.8, 1.0, 1.3)
LOAD_OF_FAULTS = 0.8
NO_LONG = "no long prompts"
THIRD_LOST = "third lost"
ONE_SLOW = "one ten times slower"
FAULTS = {
    THIRD_LOST: Fault(lost_share=1 / 3),
    ONE_SLOW: Fault(slow_factor=10.0),
}
AIM_SHORT_RATIO = 1.2
AIM_BETTER = 5.0
AIM_GOODPUT = 0.95


class Cell(NamedTuple):
    """Name one row of the table: what is measured over all seeds."""

    fleet: str
    condition: str
    load: float
    policy: str


class Job(NamedTuple):
    """Be one run and the row that it belongs to."""

    cell: Cell
    scenario: Scenario


def jobs(seeds: list[int], seconds: float) -> list[Job]:
    """List every run."""
    found = []
    for shape in (NILEGATE, COOPERATIVE):
        for seed in seeds:
            for policy in POLICIES:
                for load in LOADS:
                    cell = Cell(shape.name, "", load, policy)
                    scenario = Scenario(shape, policy, load, seed, seconds)
                    found.append(Job(cell, scenario))
                base = Scenario(shape, policy, LOAD_OF_FAULTS, seed, seconds)
                for name, fault in FAULTS.items():
                    cell = Cell(shape.name, name, LOAD_OF_FAULTS, policy)
                    found.append(Job(cell, base._replace(fault=fault)))
            cell = Cell(shape.name, NO_LONG, LOAD_OF_FAULTS, "ours")
            alone = Scenario(shape, "ours", LOAD_OF_FAULTS, seed, seconds, False)
            found.append(Job(cell, alone))
    return found


def measure(job: Job) -> Figures:
    """Carry out one run."""
    return figures(job.scenario, Run(job.scenario).play())


def spread(values: list[float]) -> str:
    """Write the mean with the smallest and largest."""
    return f"{mean(values):.2f} ({min(values):.2f} to {max(values):.2f})"


def table(cells: dict[Cell, list[Figures]]) -> str:
    """Write a Markdown table: mean over the seeds, with the range where it matters."""
    names = [name for name, _, _ in BUCKETS]
    lines = [
        "| fleet | load | policy | "
        + " | ".join(f"{name}: TTFT p50 / p95 / p99, s" for name in names)
        + " | short slowdown p95 | in time | refused | late | worth/s |",
        "| --- " * (8 + len(names)) + "|",
    ]
    for cell, runs in cells.items():
        columns = [cell.fleet, f"{cell.load} {cell.condition}".strip(), cell.policy]
        for name in names:
            columns.append(
                " / ".join(
                    f"{mean(r['buckets'][name][key] for r in runs):.2f}"
                    for key in ("ttft_p50", "ttft_p95", "ttft_p99")
                )
            )
        columns.append(spread([r["buckets"][SHORT]["slowdown_p95"] for r in runs]))
        columns.append(f"{mean(r['in_time_share'] for r in runs):.4f}")
        columns.append(f"{mean(r['refused'] for r in runs):.0f}")
        columns.append(f"{mean(r['late'] for r in runs):.0f}")
        columns.append(spread([r["goodput_per_second"] for r in runs]))
        lines.append("| " + " | ".join(columns) + " |")
    return "\n".join(lines)


def short_p95(run: Figures) -> float:
    """Return short requests' p95 slowdown."""
    return run["buckets"][SHORT]["slowdown_p95"]


def long_p95(run: Figures) -> float:
    """Return long requests' p95 time to first token."""
    return run["buckets"][LONG]["ttft_p95"]


def ratios(
    over: list[Figures], under: list[Figures], of: Callable[[Figures], float]
) -> list[float]:
    """Return the ratio of a figure in two rows, seed by seed."""
    return [of(a) / of(b) for a, b in zip(over, under, strict=True)]


def aims(cells: dict[Cell, list[Figures]]) -> str:
    """Write how each aim came out, as ratios within the same run."""
    lines = ["| aim | fleet | mean (range) | reached |", "| --- | --- | --- | --- |"]
    for fleet in (NILEGATE.name, COOPERATIVE.name):

        def row(policy, load=LOAD_OF_FAULTS, condition="", fleet=fleet):
            return cells[Cell(fleet, condition, load, policy)]

        def note(aim, values, reached, fleet=fleet):
            verdict = "yes" if reached(mean(values)) else "no"
            lines.append(f"| {aim} | {fleet} | {spread(values)} | {verdict} |")

        ours = row("ours")
        note(
            f"short p95 slowdown at 0.8 over that without long, at most "
            f"{AIM_SHORT_RATIO}",
            ratios(ours, row("ours", condition=NO_LONG), short_p95),
            lambda value: value <= AIM_SHORT_RATIO,
        )
        note(
            f"least outstanding's short p95 slowdown over ours at 0.8, at least "
            f"{AIM_BETTER}",
            ratios(row("least_outstanding"), ours, short_p95),
            lambda value: value >= AIM_BETTER,
        )
        for load in LOADS:
            best = min(
                (row(policy, load) for policy in BASELINES),
                key=lambda runs: mean(long_p95(run) for run in runs),
            )
            note(
                f"long p95 TTFT over the best baseline's at {load}, at most 1",
                ratios(row("ours", load), best, long_p95),
                lambda value: value <= 1.0,
            )
        note(
            f"worth/s at 1.3 over that at 1.0, at least {AIM_GOODPUT}",
            ratios(
                row("ours", 1.3), row("ours", 1.0), lambda r: r["goodput_per_second"]
            ),
            lambda value: value >= AIM_GOODPUT,
        )
        best = max(
            (row(policy, 1.3) for policy in BASELINES),
            key=lambda runs: mean(run["goodput_per_second"] for run in runs),
        )
        note(
            "worth/s at 1.3 over the best baseline's (no aim was set), 1",
            ratios(row("ours", 1.3), best, lambda r: r["goodput_per_second"]),
            lambda value: value >= 1.0,
        )
    return "\n".join(lines)


def main() -> None:
    """Run everything and write the results."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=600.0)
    parser.add_argument("--seeds", type=int, nargs="+", default=[11, 12, 13, 14])
    parser.add_argument("--processes", type=int, default=4)
    parser.add_argument("--out", type=Path)
    arguments = parser.parse_args()
    planned = jobs(arguments.seeds, arguments.seconds)
    cells: dict[Cell, list[Figures]] = {}
    with ProcessPoolExecutor(arguments.processes) as pool:
        for job, result in zip(planned, pool.map(measure, planned), strict=True):
            cells.setdefault(job.cell, []).append(result)
    cells = dict(sorted(cells.items()))
    print(aims(cells))
    print()
    print(table(cells))
    if arguments.out is not None:
        document = {
            "seconds": arguments.seconds,
            "seeds": arguments.seeds,
            "mean_engine_seconds_per_request": mean_engine_seconds(),
            "rows": [{**cell._asdict(), "runs": runs} for cell, runs in cells.items()],
        }
        text = json.dumps(document, indent=1)
        # JSON has no NaN: a bucket without requests has no times.
        arguments.out.write_text(text.replace(": NaN", ": null") + "\n")


if __name__ == "__main__":
    main()
