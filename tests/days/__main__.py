"""Run the days of `deploy/days`: `python -m days PROGRAM SITE [NAME...]` in `tests`.

PROGRAM runs one day of a deployment: `PROGRAM run SITE DAY`. Prints a row per day.
"""

import argparse
import subprocess
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

DAYS = Path(__file__).parents[2] / "deploy" / "days"
MAX_CONCURRENT_DAYS = 4


def run_day(program: str, site: str, day: Path, folder: Path) -> str:
    """Run one day, and return the lines with its verdict."""
    result = subprocess.run(
        [program, "run", site, str(day), "--why", f"Own day: {day.stem}"],
        capture_output=True,
        text=True,
        check=False,
    )
    (folder / f"{day.stem}.out").write_text(result.stdout + result.stderr)
    lines = result.stdout.splitlines()
    verdicts = [line for line in lines if line.startswith(day.stem) or "rule" in line]
    return "\n".join(verdicts) or f"{day.stem}: {(lines or [result.stderr])[-1]}"


def main() -> int:
    """Run the named days, or all."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("program")
    parser.add_argument("site")
    parser.add_argument("names", nargs="*")
    arguments = parser.parse_args()
    folder = Path(tempfile.mkdtemp(prefix="days-"))
    names = arguments.names
    days = [
        day for day in sorted(DAYS.glob("*.toml")) if day.stem in names or not names
    ]
    with ThreadPoolExecutor(MAX_CONCURRENT_DAYS) as pool:
        for verdict in pool.map(
            lambda day: run_day(arguments.program, arguments.site, day, folder), days
        ):
            print(verdict, flush=True)
    print(f"outputs: {folder}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
