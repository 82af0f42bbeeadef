"""Run the soak test by hand: `PYTHONPATH=tests python -m soak --seeds 50`."""

import argparse
import sys
import tempfile
from pathlib import Path

from soak.runner import FleetKind, run_seed


def main() -> int:
    """Run a range of seeds, and print each result with the log folder if it failed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=50)
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--fleet", type=FleetKind, default=FleetKind.DISKS)
    arguments = parser.parse_args()
    failed = 0
    for seed in range(arguments.first, arguments.first + arguments.seeds):
        folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        violations = run_seed(seed, arguments.seconds, folder, arguments.fleet)
        failed += bool(violations)
        print(f"seed {seed}: {violations[:5] or 'held'} {folder if violations else ''}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
