"""Measure all slopes, print them and write them down: `python -m slopes`."""

import argparse
import os
import signal
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
from slopes.reporting import RESULTS, Conditions, keep, table

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


def end(*_: object) -> None:
    """End on a signal by an exception, so that every fleet is stopped on the way."""
    sys.exit("ended by a signal")


def main() -> None:
    """Run the experiments that were asked for, one after the other."""
    signal.signal(signal.SIGTERM, end)
    names = [experiment.name for experiment in EXPERIMENTS]
    parser = argparse.ArgumentParser(prog="slopes", description=__doc__)
    parser.add_argument("--only", nargs="+", choices=names, default=names)
    parser.add_argument("--repeats", type=int, default=REPEATS)
    parser.add_argument("--out", type=Path, default=RESULTS)
    arguments = parser.parse_args()
    for experiment in EXPERIMENTS:
        if experiment.name not in arguments.only:
            continue
        load_before = os.getloadavg()
        found = slopes_of(experiment, arguments.repeats)
        conditions = Conditions.from_machine(arguments.repeats, load_before)
        # Written after each experiment: an interrupted run keeps what it has.
        keep(arguments.out, experiment.name, found, conditions)
        sys.stdout.write(f"{table(found)}\n{conditions}\n\n")
        sys.stdout.flush()


if __name__ == "__main__":
    main()
