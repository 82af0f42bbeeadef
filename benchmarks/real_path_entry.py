"""Run an entry daemon with a baseline policy in place of the router.

The rest of the daemon is unchanged. Only `real_path.py` starts this.
"""

import argparse
from collections.abc import Callable
from pathlib import Path
from typing import NoReturn

from policy_baselines import Baseline, LeastOutstanding, RoundRobin

from cowslipshelf_daemon.internal.entry.assembly import EntryRole, start_entry
from cowslipshelf_daemon.internal.running import run_daemon
from cowslipshelf_host.settings import DaemonSettings, load_settings

BASELINES: dict[str, Callable[[], Baseline]] = {
    "round-robin": RoundRobin,
    "least-outstanding": LeastOutstanding,
}


def main() -> NoReturn:
    """Run the entry, and exit with its exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--choice", choices=sorted(BASELINES), required=True)
    parser.add_argument("--settings", type=Path, required=True)
    arguments = parser.parse_args()
    settings = load_settings(arguments.settings).unwrap()
    baseline = BASELINES[arguments.choice]

    def start(settings: DaemonSettings) -> EntryRole:
        return start_entry(settings, lambda _: baseline())

    run_daemon(settings, start)


if __name__ == "__main__":
    main()
