"""Play the days: `PYTHONPATH=tests python -m days PROGRAM SITE [NAME...]`.

PROGRAM plays one day of a deployment: `PROGRAM run SITE DAY`. Prints a row a day.
"""

import argparse
import json
import subprocess
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from days.troubles import AGAIN_SECOND, DAYS, FIRST_SECOND, STAGGER_SECONDS, Day

SEED = 20_261
AT_ONCE = 4


def day_text(day: Day) -> str:
    """Write a day as the program reads it."""
    lines = [f'name = "{day.name}"', 'slot = "trouble"', f"seed = {SEED}"]
    lines += ["one = 0.7", "zero = 0.3", "goal = { floor = 0.3 }"]
    if day.closing is not None:
        lines.append(f"closing = {table(day.closing)}")
    for name, troubles in (("plan", day.plan), ("faults", day.faults)):
        rows = [
            table({"at": at + STAGGER_SECONDS * number} | trouble)
            for at in (FIRST_SECOND, AGAIN_SECOND)
            for number, trouble in enumerate(troubles)
        ]
        lines.append(f"{name} = [{', '.join(rows)}]")
    return "\n".join(lines) + "\n"


def table(fields: dict) -> str:
    """Write an inline table."""
    pairs = (f"{name} = {json.dumps(value)}" for name, value in fields.items())
    return "{ " + ", ".join(pairs) + " }"


def play(program: str, site: str, day: Day, folder: Path) -> str:
    """Play one day; return the lines that judge it."""
    path = folder / f"{day.name}.toml"
    path.write_text(day_text(day))
    why = f"Own day: {day.name}"
    played = subprocess.run(
        [program, "run", site, str(path), "--why", why],
        capture_output=True,
        text=True,
        check=False,
    )
    (folder / f"{day.name}.out").write_text(played.stdout + played.stderr)
    lines = played.stdout.splitlines()
    judged = [line for line in lines if line.startswith(day.name) or "rule" in line]
    return "\n".join(judged) or f"{day.name}: {(lines or [played.stderr])[-1]}"


def main() -> int:
    """Play the days that are named, or all."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("program")
    parser.add_argument("site")
    parser.add_argument("names", nargs="*")
    arguments = parser.parse_args()
    folder = Path(tempfile.mkdtemp(prefix="days-"))
    days = [day for day in DAYS if not arguments.names or day.name in arguments.names]
    with ThreadPoolExecutor(AT_ONCE) as pool:
        for verdict in pool.map(
            lambda day: play(arguments.program, arguments.site, day, folder), days
        ):
            print(verdict, flush=True)
    print(f"outputs: {folder}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
