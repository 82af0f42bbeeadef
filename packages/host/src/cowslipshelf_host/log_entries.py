"""Parse the JSON logs that the processes write."""

import json
from collections.abc import Iterable, Iterator
from datetime import datetime
from pathlib import Path
from typing import NamedTuple

OMITTED_FIELDS = frozenset({"event", "timestamp", "level", "part", "request"})


class LogEntry(NamedTuple):
    """Hold one parsed log line."""

    at: datetime
    source: str
    """Last word before the JSON object on its line, or else the file name."""
    fields: dict

    @property
    def event(self) -> str:
        """Return the event text."""
        return str(self.fields.get("event", ""))

    def text(self) -> str:
        """Format the entry as one line."""
        shown = " ".join(
            f"{name}={value}"
            for name, value in self.fields.items()
            if name not in OMITTED_FIELDS and value not in (None, "", [])
        )
        return f"{self.at:%H:%M:%S.%f} {self.source} {self.event} {shown}".rstrip()


def read_entries(paths: Iterable[Path]) -> Iterator[LogEntry]:
    """Yield the entries of log files; lines without an entry are skipped."""
    for path in paths:
        with path.open(encoding="utf-8", errors="replace") as lines:
            for line in lines:
                entry = parse_entry(line, str(path))
                if entry is not None:
                    yield entry


def parse_entry(line: str, file_name: str) -> LogEntry | None:
    """Parse one line; a log collector may have put a name before the entry."""
    before, brace, rest = line.partition("{")
    try:
        fields = json.loads(brace + rest)
        at = datetime.fromisoformat(fields["timestamp"])
    except (ValueError, KeyError, TypeError):
        return None
    words = before.split()
    return LogEntry(at, words[-1] if words else file_name, fields)
