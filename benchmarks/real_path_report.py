"""Format the results of `real_path.py` as Markdown tables and a plot.

Run `python benchmarks/real_path_report.py`; the tables go to the standard output.
"""

import argparse
import json
from collections.abc import Iterator
from pathlib import Path
from statistics import median
from typing import Any

import matplotlib

matplotlib.use("Agg")
from matplotlib import pyplot as plt  # noqa: E402 (the backend comes first)

HERE = Path(__file__).parent
RESULTS = HERE / "results" / "real_path.json"
PLOT = HERE.parent / "docs" / "real_path.png"
SHORT = "short (to 8k)"
MEDIUM = "medium (to 100k)"
LONG = "long (over 100k)"

RunResult = dict[str, Any]


def slowdown_p95(result: RunResult) -> float:
    """Return the p95 slowdown of short requests."""
    return result["short_slowdown"]["p95"]


def long_p95(result: RunResult) -> float:
    """Return the long prompts' p95 time to first token, in seconds."""
    return result["classes"][LONG]["first_token_seconds"]["p95"]


def in_time(result: RunResult) -> float:
    """Return the share answered in time of the prompts that fit an engine."""
    return result["in_time_share_of_those_that_fit"]


def goodput(result: RunResult) -> float:
    """Return the engine seconds answered in time per second of the load."""
    return result["goodput_engine_seconds_per_second"]


PANELS = (
    ("p95 slowdown of short prompts", slowdown_p95, "log"),
    ("p95 first token of long prompts, s", long_p95, "linear"),
    ("share answered in time", in_time, "linear"),
    ("engine seconds answered in time, per s", goodput, "linear"),
)


def standard_runs(document: RunResult) -> list[RunResult]:
    """Return the runs with long prompts and all engines."""
    return [
        each
        for each in document["runs"]
        if each["run"]["with_long"] and not each["run"]["engines_lost"]
    ]


def choices_of(document: RunResult) -> list[str]:
    """List the choices, cowslipshelf first."""
    found = {each["run"]["choice"]: None for each in document["runs"]}
    return sorted(found, key=lambda choice: (choice != "cowslipshelf", choice))


def plot(document: RunResult, file: Path) -> None:
    """Plot one panel for each statistic, by load."""
    figure, axes = plt.subplots(1, len(PANELS), figsize=(15, 3.6))
    for axis, (title, statistic, scale) in zip(axes, PANELS, strict=True):
        for choice in choices_of(document):
            points: dict[float, list[float]] = {}
            for each in standard_runs(document):
                if each["run"]["choice"] == choice:
                    points.setdefault(each["run"]["load"], []).append(statistic(each))
            loads = sorted(points)
            medians = [median(points[load]) for load in loads]
            axis.plot(loads, medians, marker="o", label=choice)
            axis.vlines(
                loads,
                [min(points[load]) for load in loads],
                [max(points[load]) for load in loads],
            )
        axis.set_title(title, fontsize=9)
        axis.set_xlabel("offered load over capacity")
        axis.set_yscale(scale)
    axes[0].legend(fontsize=8)
    figure.tight_layout()
    figure.savefig(file, dpi=90)


def table(head: tuple[str, ...], rows: list[tuple[str, ...]]) -> Iterator[str]:
    """Yield the lines of a Markdown table."""
    yield f"| {' | '.join(head)} |"
    yield f"|{' --- |' * len(head)}"
    for row in rows:
        yield f"| {' | '.join(row)} |"
    yield ""


def summary_row(result: RunResult) -> tuple[str, ...]:
    """Return the table row of one run."""
    run = result["run"]
    slowdown = result["short_slowdown"]
    first = result["classes"][LONG]["first_token_seconds"]
    refusals = ", ".join(f"{n} {code}" for code, n in result["refusals"].items())
    breaks = ", ".join(f"{n} {name}" for name, n in result["breaks"].items())
    return (
        run["name"],
        str(run["seed"]),
        run["choice"],
        f"{slowdown['p50']:.2f} / {slowdown['p95']:.2f} / {slowdown['p99']:.2f}",
        f"{first['p50']:.2f} / {first['p95']:.2f} ({first['count']})",
        f"{in_time(result):.3f}",
        f"{goodput(result):.2f}",
        "; ".join(part for part in (refusals, breaks) if part) or "none",
        f"{result['load_average'][0]:.0f}",
    )


def bucket_rows(document: RunResult, load: float) -> list[tuple[str, ...]]:
    """Return rows of the times to first token at one load, by bucket and seed."""
    rows = []
    for each in standard_runs(document):
        if each["run"]["load"] != load:
            continue
        for name, times in each["buckets"].items():
            rows.append(
                (
                    name,
                    str(each["run"]["seed"]),
                    each["run"]["choice"],
                    str(times["count"]),
                    f"{times['p50']:.3f}",
                    f"{times['p95']:.3f}",
                    f"{times['p99']:.3f}",
                )
            )
    return sorted(rows, key=lambda row: (int(row[0].split()[1][:-1]), row[1], row[2]))


def report_lines(document: RunResult) -> Iterator[str]:
    """Yield the lines of all tables."""
    head = (
        "load",
        "seed",
        "choice",
        "slowdown of short, p50 / p95 / p99",
        "first token of long, p50 / p95 s (answers)",
        "in time",
        "goodput",
        "refusals and breaks",
        "load average",
    )
    yield from table(head, [summary_row(each) for each in document["runs"]])
    head = ("prompt tokens", "seed", "choice", "answers", "p50 s", "p95 s", "p99 s")
    yield from table(head, bucket_rows(document, 0.8))


def main() -> None:
    """Print the tables and draw the plot."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--results", type=Path, default=RESULTS)
    parser.add_argument("--plot", type=Path, default=PLOT)
    arguments = parser.parse_args()
    document = json.loads(arguments.results.read_text())
    plot(document, arguments.plot)
    print("\n".join(report_lines(document)))


if __name__ == "__main__":
    main()
