"""Read the structured logs of the system's processes."""

import json
from collections.abc import Iterable, Iterator
from datetime import datetime
from pathlib import Path
from typing import NamedTuple

OMITTED_FIELDS = frozenset({"event", "timestamp", "level", "part", "request"})


class LogEntry(NamedTuple):
    """Be one line of a log."""

    at: datetime
    source: str
    """What stands before the entry on its line, or else the file it came from."""
    fields: dict

    @property
    def event(self) -> str:
        """Return what happened."""
        return str(self.fields.get("event", ""))

    def text(self) -> str:
        """Write the entry as one line."""
        shown = " ".join(
            f"{name}={value}"
            for name, value in self.fields.items()
            if name not in OMITTED_FIELDS and value not in (None, "", [])
        )
        return f"{self.at:%H:%M:%S.%f} {self.source} {self.event} {shown}".rstrip()


def read_entries(paths: Iterable[Path]) -> Iterator[LogEntry]:
    """Read the entries of some files; lines that hold none are passed over."""
    for path in paths:
        with path.open(encoding="utf-8", errors="replace") as lines:
            for line in lines:
                entry = parse_entry(line, str(path))
                if entry is not None:
                    yield entry


def parse_entry(line: str, file_name: str) -> LogEntry | None:
    """Read one line; whoever collects logs may have put a name before the entry."""
    before, brace, rest = line.partition("{")
    try:
        fields = json.loads(brace + rest)
        at = datetime.fromisoformat(fields["timestamp"])
    except (ValueError, KeyError, TypeError):
        return None
    words = before.split()
    return LogEntry(at, words[-1] if words else file_name, fields)
