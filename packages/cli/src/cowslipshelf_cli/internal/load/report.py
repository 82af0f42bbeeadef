"""Format the figures of a load."""

from collections.abc import Iterator
from typing import Any

from cowslipshelf_cli.internal.load.outcome import Ending
from cowslipshelf_cli.internal.load.shape import LoadShape
from cowslipshelf_cli.internal.load.statistics import (
    LoadFigures,
    Quantiles,
    UnloadedTime,
)
from cowslipshelf_cli.internal.output import table

HEAD = ("", "answers", "p50", "p95", "p99", "most")
CUSTOMER_HEAD = ("customer", "planned", "whole", "refused")


def figures_document(
    shape: LoadShape, unloaded: UnloadedTime | None, figures: LoadFigures
) -> dict[str, Any]:
    """Build a JSON document of a load and its figures."""
    slowdown = figures.short_slowdown
    return {
        "load": shape._asdict()
        | {"customers": [customer._asdict() for customer in shape.customers]},
        "unloaded": None if unloaded is None else unloaded._asdict(),
        "figures": figures._asdict()
        | {
            "first_token_seconds": {
                name: each._asdict()
                for name, each in figures.first_token_seconds.items()
            },
            "short_slowdown": None if slowdown is None else slowdown._asdict(),
            "customers": {
                name: each._asdict() for name, each in figures.customers.items()
            },
        },
    }


def figures_lines(figures: LoadFigures) -> Iterator[str]:
    """Format the figures as tables."""
    yield "time to first token in seconds, from the planned arrival, by prompt tokens"
    yield from table(
        HEAD,
        [
            quantiles_row(name, each)
            for name, each in figures.first_token_seconds.items()
        ],
    )
    yield ""
    if figures.short_slowdown is None:
        yield "slowdown of short requests: not measured, as no calibration was whole"
    else:
        row = quantiles_row("slowdown of short", figures.short_slowdown)
        yield from table(HEAD, [row])
    yield ""
    yield from table(
        CUSTOMER_HEAD,
        [
            (name, str(each.planned), str(each.whole), str(each.refused))
            for name, each in figures.customers.items()
        ],
    )
    yield ""
    yield f"planned {figures.planned}: {counts_text(figures.endings)}"
    yield f"refusals: {counts_text(figures.refusals)}"
    yield f"breaks: {counts_text(figures.breaks)}"
    yield f"whole within the deadline: {figures.in_time_share:.1%}"
    yield f"sent late by the tool itself: {figures.late_arrivals}"
    if figures.refusals and Ending.WHOLE not in figures.endings:
        yield "next: mend what the refusals name, such as the keys or the model"
    if figures.breaks:
        yield "next: look in the logs of the entries for what the breaks name"


def quantiles_row(name: str, quantiles: Quantiles) -> tuple[str, ...]:
    """Format one row of a table of quantiles."""
    count, *values = quantiles
    return (name, str(count), *(f"{value:.3f}" for value in values))


def counts_text(counts: dict[str, int]) -> str:
    """List counts by name."""
    return ", ".join(f"{number} {name}" for name, number in counts.items()) or "none"
