"""Measure all slopes, print them and write them down: `python -m slopes`."""

import argparse
import os
import sys
from pathlib import Path

from slopes import (
    agreement_costs,
    calls,
    changes,
    control_costs,
    daemons,
    deciders,
    own_path,
)
from slopes.fitting import slopes_of
from slopes.reporting import RESULTS, Conditions, table, to_json

MODULES = (
    deciders,
    control_costs,
    agreement_costs,
    daemons,
    changes,
    calls,
    own_path,
)
EXPERIMENTS = tuple(
    experiment for module in MODULES for experiment in module.EXPERIMENTS
)
REPEATS = 3


def main() -> None:
    """Run the experiments that were asked for, one after the other."""
    names = [experiment.name for experiment in EXPERIMENTS]
    parser = argparse.ArgumentParser(prog="slopes", description=__doc__)
    parser.add_argument("--only", nargs="+", choices=names, default=names)
    parser.add_argument("--repeats", type=int, default=REPEATS)
    parser.add_argument("--out", type=Path, default=RESULTS)
    arguments = parser.parse_args()
    load_before = os.getloadavg()
    slopes = []
    for experiment in EXPERIMENTS:
        if experiment.name not in arguments.only:
            continue
        found = slopes_of(experiment, arguments.repeats)
        sys.stdout.write(table(found) + "\n\n")
        sys.stdout.flush()
        slopes += found
        # Written after each experiment: an interrupted run keeps what it has.
        conditions = Conditions.from_machine(arguments.repeats, load_before)
        arguments.out.parent.mkdir(parents=True, exist_ok=True)
        arguments.out.write_text(to_json(slopes, conditions))
    sys.stdout.write(f"{conditions}\nwritten to {arguments.out.name}\n")


if __name__ == "__main__":
    main()
