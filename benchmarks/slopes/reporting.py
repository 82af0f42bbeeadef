"""Format slopes as a table, and write them as JSON."""

import json
import os
import platform
from collections.abc import Sequence
from pathlib import Path
from statistics import median
from typing import NamedTuple

from slopes.fitting import Slope

RESULTS = Path(__file__).parents[1] / "results" / "slopes.json"
COLUMNS = "{:<18} {:<34} {:>12} {:>12} {:>23} {:>6}  {}"
HEADER = ("what", "quantity", "at zero", "slope", "spread", "miss", "unit")


class Conditions(NamedTuple):
    """Hold the machine and its load during an experiment."""

    cores: int
    python: str
    repeats: int
    load_before: tuple[float, float, float]
    load_after: tuple[float, float, float]

    @classmethod
    def from_machine(
        cls, repeats: int, load_before: tuple[float, float, float]
    ) -> "Conditions":
        """Read the conditions from the machine."""
        python = platform.python_version()
        cores = os.cpu_count() or 0
        return cls(cores, python, repeats, load_before, os.getloadavg())


def format_number(value: float) -> str:
    """Format a number with four significant digits."""
    return f"{value:.4g}"


def table_line(slope: Slope) -> str:
    """Format one slope as a line."""
    fit = slope.fit
    spread = f"{format_number(fit.min_slope)} .. {format_number(fit.max_slope)}"
    return COLUMNS.format(
        slope.experiment,
        slope.quantity,
        format_number(fit.line.intercept),
        format_number(fit.line.slope),
        spread,
        f"{fit.max_residual:.0%}",
        f"{slope.unit} / {slope.per}",
    )


def table(slopes: Sequence[Slope]) -> str:
    """Format all slopes, one per line."""
    return "\n".join([COLUMNS.format(*HEADER), *map(table_line, slopes)])


def as_document(slope: Slope) -> dict[str, object]:
    """Convert a slope to its JSON form."""
    return {
        "quantity": slope.quantity,
        "unit": slope.unit,
        "per": slope.per,
        "at_zero": slope.fit.line.intercept,
        "slope": slope.fit.line.slope,
        "least_slope": slope.fit.min_slope,
        "greatest_slope": slope.fit.max_slope,
        "worst_miss": slope.fit.max_residual,
        "medians": {str(p.size): median(p.values) for p in slope.points},
        "readings": {str(p.size): p.values for p in slope.points},
    }


def write_results(
    path: Path, experiment: str, slopes: Sequence[Slope], conditions: Conditions
) -> None:
    """Write one experiment to the results file, and keep the other experiments."""
    document = {"command": "make slopes", "experiments": {}}
    if path.exists():
        document = json.loads(path.read_text())
    document["experiments"][experiment] = {
        "conditions": conditions._asdict(),
        "slopes": [as_document(slope) for slope in slopes],
    }
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text(json.dumps(document, indent=1) + "\n")
