"""Write slopes as a table and as JSON."""

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
    """Say on what machine, and beside how much else, an experiment was run."""

    cores: int
    python: str
    repeats: int
    load_before: tuple[float, float, float]
    load_after: tuple[float, float, float]

    @classmethod
    def from_machine(
        cls, repeats: int, load_before: tuple[float, float, float]
    ) -> "Conditions":
        """Read the machine as it is now."""
        python = platform.python_version()
        cores = os.cpu_count() or 0
        return cls(cores, python, repeats, load_before, os.getloadavg())


def figure(value: float) -> str:
    """Write a number with as many digits as a measurement deserves."""
    return f"{value:.4g}"


def table_line(slope: Slope) -> str:
    """Write one slope as a line."""
    fit = slope.fit
    spread = f"{figure(fit.least_slope)} .. {figure(fit.greatest_slope)}"
    return COLUMNS.format(
        slope.experiment,
        slope.quantity,
        figure(fit.line.intercept),
        figure(fit.line.slope),
        spread,
        f"{fit.worst_miss:.0%}",
        f"{slope.unit} / {slope.per}",
    )


def table(slopes: Sequence[Slope]) -> str:
    """Write all slopes, one a line."""
    return "\n".join([COLUMNS.format(*HEADER), *map(table_line, slopes)])


def as_document(slope: Slope) -> dict[str, object]:
    """Turn a slope into what the JSON file holds."""
    return {
        "quantity": slope.quantity,
        "unit": slope.unit,
        "per": slope.per,
        "at_zero": slope.fit.line.intercept,
        "slope": slope.fit.line.slope,
        "least_slope": slope.fit.least_slope,
        "greatest_slope": slope.fit.greatest_slope,
        "worst_miss": slope.fit.worst_miss,
        "medians": {str(p.size): median(p.values) for p in slope.points},
        "readings": {str(p.size): p.values for p in slope.points},
    }


def keep(
    path: Path, experiment: str, slopes: Sequence[Slope], conditions: Conditions
) -> None:
    """Write one experiment into the results, beside those measured before."""
    document = {"command": "make slopes", "experiments": {}}
    if path.exists():
        document = json.loads(path.read_text())
    document["experiments"][experiment] = {
        "conditions": conditions._asdict(),
        "slopes": [as_document(slope) for slope in slopes],
    }
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text(json.dumps(document, indent=1) + "\n")
