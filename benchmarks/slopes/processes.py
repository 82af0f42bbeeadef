"""Read what processes of the system have used, as the kernel and they count it."""

import os
import time
from pathlib import Path
from typing import NamedTuple

from local_fleet import LocalFleet
from slopes.fitting import Reading

PROCESSOR_TIME_FIELDS = slice(11, 13)
"""User and system time, counted from the state behind the command's name."""
WINDOW_SECONDS = 4.0
MEBIBYTE = 1024 * 1024
PERCENT = 100.0
SENT_BYTES = "sent_bytes"
RECEIVED_BYTES = "received_bytes"
SENT = "sent"
RECEIVED = "received"


class Usage(NamedTuple):
    """Be what one process had used at one moment."""

    at: float
    processor_seconds: float
    resident_bytes: int
    threads: int


class MailboxCounts(NamedTuple):
    """Be what an entry's mailbox had counted at one moment."""

    sent: float
    sent_bytes: float
    received: float
    received_bytes: float


class Window(NamedTuple):
    """Be what a process used over a while."""

    seconds: float
    processor_seconds: float
    resident_bytes: int
    threads: int

    @property
    def core_percent(self) -> float:
        """Return the share of one core, in percent."""
        return self.processor_seconds / self.seconds * PERCENT


def usage_of(pid: int) -> Usage:
    """Read one process."""
    folder = Path("/proc") / str(pid)
    fields = (folder / "stat").read_text().rsplit(")", 1)[1].split()
    ticks = sum(map(int, fields[PROCESSOR_TIME_FIELDS]))
    pages = int((folder / "statm").read_text().split()[1])
    return Usage(
        time.monotonic(),
        ticks / os.sysconf("SC_CLK_TCK"),
        pages * os.sysconf("SC_PAGE_SIZE"),
        len(os.listdir(folder / "task")),
    )


def window(before: Usage, after: Usage) -> Window:
    """Compare two moments of one process."""
    return Window(
        after.at - before.at,
        after.processor_seconds - before.processor_seconds,
        after.resident_bytes,
        after.threads,
    )


def pid_of(fleet: LocalFleet, name: str) -> int:
    """Return the process id of one instance."""
    return fleet.processes[name].pid


def mailbox_counts(fleet: LocalFleet, entry: str) -> MailboxCounts:
    """Read an entry's mailbox counters from its metrics."""
    _, text = fleet.operator_call(entry, "GET", "/metrics")
    found = {}
    for line in text.splitlines():
        if line.startswith("cowslipshelf_mailbox_messages{"):
            what = line.split('what="', 1)[1].split('"', 1)[0]
            found[what] = float(line.rsplit(" ", 1)[1])
    return MailboxCounts(
        found[SENT], found[SENT_BYTES], found[RECEIVED], found[RECEIVED_BYTES]
    )


def usage_readings(name: str, used: Window) -> list[Reading]:
    """Say what one process used."""
    return [
        Reading(f"{name}: processor", "% of a core", used.core_percent),
        Reading(f"{name}: memory", "MiB", used.resident_bytes / MEBIBYTE),
        Reading(f"{name}: threads", "", used.threads),
    ]


def mailbox_readings(
    name: str, before: MailboxCounts, after: MailboxCounts, seconds: float
) -> list[Reading]:
    """Say what one entry's mailbox carried."""
    out = (after.sent_bytes - before.sent_bytes) / seconds
    into = (after.received_bytes - before.received_bytes) / seconds
    return [
        Reading(f"{name}: sent", "B/s", out),
        Reading(f"{name}: received", "B/s", into),
        Reading(f"{name}: messages sent", "1/s", (after.sent - before.sent) / seconds),
        Reading(
            f"{name}: messages received",
            "1/s",
            (after.received - before.received) / seconds,
        ),
    ]


def observe(
    fleet: LocalFleet, entries: list[str], others: list[str], seconds: float
) -> list[Reading]:
    """Watch processes for a while; the counters are read outside the window."""
    counts = [mailbox_counts(fleet, entry) for entry in entries]
    names = [*entries, *others]
    before = [usage_of(pid_of(fleet, name)) for name in names]
    time.sleep(seconds)
    after = [usage_of(pid_of(fleet, name)) for name in names]
    readings = []
    for name, first, last in zip(names, before, after, strict=True):
        readings += usage_readings(name, window(first, last))
    for entry, first in zip(entries, counts, strict=True):
        readings += mailbox_readings(
            entry, first, mailbox_counts(fleet, entry), seconds
        )
    return readings
