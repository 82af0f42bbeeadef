"""Summarize journal entries: `python -m days.summary ENTRY...` in `tests`.

Prints a row per entry, and one per day that broke a rule, failed its gate or ended a
process: an end that nothing on the machine caused breaks no rule.
"""

import argparse
import json
import sys
from pathlib import Path
from typing import NamedTuple


class DaySummary(NamedTuple):
    """Hold what the check of one day reads."""

    name: str
    worth: float
    gate: bool
    rules: dict[str, int]
    fault: str | None
    restarts: float

    @classmethod
    def from_entry(cls, day: dict) -> "DaySummary":
        """Read a day of a journal entry."""
        fields = ("name", "G", "gate", "rules", "fault", "restarts")
        return cls(*(day[field] for field in fields))

    @property
    def is_clean(self) -> bool:
        """Return whether nothing about the day has to be looked at."""
        return self.gate and not (self.rules or self.fault or self.restarts)


def rows(entry: dict) -> list[str]:
    """Return the rows of one entry."""
    days = [DaySummary.from_entry(day) for day in entry["days"]]
    worths = ", ".join(f"{day.worth:.3f}" for day in days)
    head = (
        f"{entry['cmd']} {entry['site']} {entry['id']} on {entry['head'][:7]}: "
        f"{len(days)} days, {sum(bool(day.rules) for day in days)} with a rule broken, "
        f"{sum(day.restarts for day in days):g} restarts, score {entry['score']}, "
        f"worth {worths}"
    )
    return [head] + [f"  {day}" for day in days if not day.is_clean]


def main() -> int:
    """Print the rows of the entries."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("entries", nargs="+", type=Path)
    for path in parser.parse_args().entries:
        print(*rows(json.loads(path.read_text())), sep="\n")
    return 0


if __name__ == "__main__":
    sys.exit(main())
