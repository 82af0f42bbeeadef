"""Compare the router with baseline policies in a simulated fleet.

No process is started and no message is sent.

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

from policy_measures import BUCKETS, LONG, SHORT, RunStatistics, summarize
from policy_run import Fault, PolicySimulation, Scenario
from policy_workload import COOPERATIVE, NILEGATE, mean_engine_seconds

POLICIES = ("ours", "least_outstanding", "round_robin", "first_version")
BASELINES = POLICIES[1:]
LOADS = (0.5, 0.8, 1.0, 1.3)
FAULT_LOAD = 0.8
NO_LONG = "no long prompts"
THIRD_LOST = "third lost"
ONE_SLOW = "one ten times slower"
FAULTS = {
    THIRD_LOST: Fault(lost_share=1 / 3),
    ONE_SLOW: Fault(slow_factor=10.0),
}
TARGET_SHORT_RATIO = 1.2
TARGET_IMPROVEMENT = 5.0
TARGET_GOODPUT_RATIO = 0.95


class RowKey(NamedTuple):
    """Identify a row of the results, which holds the runs of all seeds."""

    fleet: str
    condition: str
    load: float
    policy: str


class PlannedRun(NamedTuple):
    """Hold the scenario of a run and the row that its result belongs to."""

    row_key: RowKey
    scenario: Scenario


def plan_runs(seeds: list[int], seconds: float) -> list[PlannedRun]:
    """List every run."""
    planned_runs = []
    for shape in (NILEGATE, COOPERATIVE):
        for seed in seeds:
            for policy in POLICIES:
                for load in LOADS:
                    row_key = RowKey(shape.name, "", load, policy)
                    scenario = Scenario(shape, policy, load, seed, seconds)
                    planned_runs.append(PlannedRun(row_key, scenario))
                base = Scenario(shape, policy, FAULT_LOAD, seed, seconds)
                for name, fault in FAULTS.items():
                    row_key = RowKey(shape.name, name, FAULT_LOAD, policy)
                    planned_runs.append(PlannedRun(row_key, base._replace(fault=fault)))
            row_key = RowKey(shape.name, NO_LONG, FAULT_LOAD, "ours")
            scenario_without_long = Scenario(
                shape, "ours", FAULT_LOAD, seed, seconds, False
            )
            planned_runs.append(PlannedRun(row_key, scenario_without_long))
    return planned_runs


def measure(planned_run: PlannedRun) -> RunStatistics:
    """Run one scenario and return its statistics."""
    return summarize(planned_run.scenario, PolicySimulation(planned_run.scenario).run())


def mean_and_range(values: list[float]) -> str:
    """Format the mean with the minimum and maximum."""
    return f"{mean(values):.2f} ({min(values):.2f} to {max(values):.2f})"


def table(rows: dict[RowKey, list[RunStatistics]]) -> str:
    """Format a Markdown table of means over the seeds, some with their range."""
    names = [name for name, _, _ in BUCKETS]
    lines = [
        "| fleet | load | policy | "
        + " | ".join(f"{name}: TTFT p50 / p95 / p99, s" for name in names)
        + " | short slowdown p95 | in time | refused | late | worth/s |",
        "| --- " * (8 + len(names)) + "|",
    ]
    for row_key, runs in rows.items():
        columns = [
            row_key.fleet,
            f"{row_key.load} {row_key.condition}".strip(),
            row_key.policy,
        ]
        for name in names:
            columns.append(
                " / ".join(
                    f"{mean(r['buckets'][name][key] for r in runs):.2f}"
                    for key in ("ttft_p50", "ttft_p95", "ttft_p99")
                )
            )
        columns.append(
            mean_and_range([r["buckets"][SHORT]["slowdown_p95"] for r in runs])
        )
        columns.append(f"{mean(r['in_time_share'] for r in runs):.4f}")
        columns.append(f"{mean(r['refused'] for r in runs):.0f}")
        columns.append(f"{mean(r['late'] for r in runs):.0f}")
        columns.append(mean_and_range([r["goodput_per_second"] for r in runs]))
        lines.append("| " + " | ".join(columns) + " |")
    return "\n".join(lines)


def short_p95(run: RunStatistics) -> float:
    """Return short requests' p95 slowdown."""
    return run["buckets"][SHORT]["slowdown_p95"]


def long_p95(run: RunStatistics) -> float:
    """Return long requests' p95 time to first token."""
    return run["buckets"][LONG]["ttft_p95"]


def ratios(
    numerators: list[RunStatistics],
    denominators: list[RunStatistics],
    statistic: Callable[[RunStatistics], float],
) -> list[float]:
    """Return the ratio of a statistic in two rows, for each seed."""
    return [
        statistic(a) / statistic(b)
        for a, b in zip(numerators, denominators, strict=True)
    ]


def targets_table(rows: dict[RowKey, list[RunStatistics]]) -> str:
    """Format how each target was met, as ratios between runs with the same seed."""
    lines = ["| aim | fleet | mean (range) | reached |", "| --- | --- | --- | --- |"]
    for fleet in (NILEGATE.name, COOPERATIVE.name):

        def runs_of(policy, load=FAULT_LOAD, condition="", fleet=fleet):
            return rows[RowKey(fleet, condition, load, policy)]

        def add_row(target, values, reached, fleet=fleet):
            verdict = "yes" if reached(mean(values)) else "no"
            lines.append(
                f"| {target} | {fleet} | {mean_and_range(values)} | {verdict} |"
            )

        ours = runs_of("ours")
        add_row(
            f"short p95 slowdown at 0.8 over that without long, at most "
            f"{TARGET_SHORT_RATIO}",
            ratios(ours, runs_of("ours", condition=NO_LONG), short_p95),
            lambda value: value <= TARGET_SHORT_RATIO,
        )
        add_row(
            f"least outstanding's short p95 slowdown over ours at 0.8, at least "
            f"{TARGET_IMPROVEMENT}",
            ratios(runs_of("least_outstanding"), ours, short_p95),
            lambda value: value >= TARGET_IMPROVEMENT,
        )
        for load in LOADS:
            best = min(
                (runs_of(policy, load) for policy in BASELINES),
                key=lambda runs: mean(long_p95(run) for run in runs),
            )
            add_row(
                f"long p95 TTFT over the best baseline's at {load}, at most 1",
                ratios(runs_of("ours", load), best, long_p95),
                lambda value: value <= 1.0,
            )
        add_row(
            f"worth/s at 1.3 over that at 1.0, at least {TARGET_GOODPUT_RATIO}",
            ratios(
                runs_of("ours", 1.3),
                runs_of("ours", 1.0),
                lambda r: r["goodput_per_second"],
            ),
            lambda value: value >= TARGET_GOODPUT_RATIO,
        )
        best = max(
            (runs_of(policy, 1.3) for policy in BASELINES),
            key=lambda runs: mean(run["goodput_per_second"] for run in runs),
        )
        add_row(
            "worth/s at 1.3 over the best baseline's (no aim was set), 1",
            ratios(runs_of("ours", 1.3), best, lambda r: r["goodput_per_second"]),
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
    planned_runs = plan_runs(arguments.seeds, arguments.seconds)
    rows: dict[RowKey, list[RunStatistics]] = {}
    with ProcessPoolExecutor(arguments.processes) as pool:
        for planned_run, result in zip(
            planned_runs, pool.map(measure, planned_runs), strict=True
        ):
            rows.setdefault(planned_run.row_key, []).append(result)
    rows = dict(sorted(rows.items()))
    print(targets_table(rows))
    print()
    print(table(rows))
    if arguments.out is not None:
        document = {
            "seconds": arguments.seconds,
            "seeds": arguments.seeds,
            "mean_engine_seconds_per_request": mean_engine_seconds(),
            "rows": [
                {**row_key._asdict(), "runs": runs} for row_key, runs in rows.items()
            ],
        }
        text = json.dumps(document, indent=1)
        # JSON has no NaN: a bucket without requests has no times.
        arguments.out.write_text(text.replace(": NaN", ": null") + "\n")


if __name__ == "__main__":
    main()
