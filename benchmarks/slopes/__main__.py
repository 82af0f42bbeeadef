"""Measure all slopes, print them and write the results: `python -m slopes`."""

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
    decision_costs,
    stream_overhead,
)
from slopes.fitting import measure_slopes
from slopes.reporting import RESULTS, Conditions, table, write_results

MODULES = (
    decision_costs,
    control_costs,
    agreement_costs,
    daemons,
    changes,
    calls,
    stream_overhead,
)
EXPERIMENTS = tuple(
    experiment for module in MODULES for experiment in module.EXPERIMENTS
)
REPEATS = 3


def exit_on_signal(*_: object) -> None:
    """Exit on a signal by an exception, so that running fleets are stopped."""
    sys.exit("ended by a signal")


def main() -> None:
    """Run the selected experiments in turn."""
    signal.signal(signal.SIGTERM, exit_on_signal)
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
        measured = measure_slopes(experiment, arguments.repeats)
        conditions = Conditions.from_machine(arguments.repeats, load_before)
        # Written after each experiment, so that an interrupted run keeps its results.
        write_results(arguments.out, experiment.name, measured, conditions)
        sys.stdout.write(f"{table(measured)}\n{conditions}\n\n")
        sys.stdout.flush()


if __name__ == "__main__":
    main()
