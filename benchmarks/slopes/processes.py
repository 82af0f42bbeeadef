"""Read the resource usage of processes, and their mailbox counters."""

import os
import time
from pathlib import Path
from typing import NamedTuple

from local_fleet import LocalFleet
from slopes.fitting import Reading

PROCESSOR_TIME_FIELDS = slice(11, 13)
"""User and system time, counted from the field after the command's name."""
WINDOW_SECONDS = 4.0
MEBIBYTE = 1024 * 1024
PERCENT = 100.0
SENT_BYTES = "sent_bytes"
RECEIVED_BYTES = "received_bytes"
SENT = "sent"
RECEIVED = "received"


class Usage(NamedTuple):
    """Hold the resource usage of a process at one time."""

    at: float
    processor_seconds: float
    resident_bytes: int
    threads: int


class MailboxCounts(NamedTuple):
    """Hold the counters of an entry's mailbox at one time."""

    sent: float
    sent_bytes: float
    received: float
    received_bytes: float


class Window(NamedTuple):
    """Hold the resource usage of a process over a time window."""

    seconds: float
    processor_seconds: float
    resident_bytes: int
    threads: int

    @property
    def core_percent(self) -> float:
        """Return the share of one core, in percent."""
        return self.processor_seconds / self.seconds * PERCENT


def read_usage(pid: int) -> Usage:
    """Read the usage of a process from `/proc`."""
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


def usage_between(before: Usage, after: Usage) -> Window:
    """Return the usage between two readings of one process."""
    return Window(
        after.at - before.at,
        after.processor_seconds - before.processor_seconds,
        after.resident_bytes,
        after.threads,
    )


def pid_of(fleet: LocalFleet, name: str) -> int:
    """Return the process id of one instance."""
    return fleet.processes[name].pid


def read_mailbox_counts(fleet: LocalFleet, entry: str) -> MailboxCounts:
    """Read an entry's mailbox counters from its metrics."""
    _, text = fleet.operator_call(entry, "GET", "/metrics")
    found = {}
    for line in text.splitlines():
        if line.startswith("cowslipshelf_mailbox_messages{"):
            counter = line.split('what="', 1)[1].split('"', 1)[0]
            found[counter] = float(line.rsplit(" ", 1)[1])
    return MailboxCounts(
        found[SENT], found[SENT_BYTES], found[RECEIVED], found[RECEIVED_BYTES]
    )


def usage_readings(name: str, used: Window) -> list[Reading]:
    """Return the readings of one process."""
    return [
        Reading(f"{name}: processor", "% of a core", used.core_percent),
        Reading(f"{name}: memory", "MiB", used.resident_bytes / MEBIBYTE),
        Reading(f"{name}: threads", "", used.threads),
    ]


def mailbox_readings(
    name: str, before: MailboxCounts, after: MailboxCounts, seconds: float
) -> list[Reading]:
    """Return the traffic readings of one entry's mailbox."""
    sent_rate = (after.sent_bytes - before.sent_bytes) / seconds
    received_rate = (after.received_bytes - before.received_bytes) / seconds
    return [
        Reading(f"{name}: sent", "B/s", sent_rate),
        Reading(f"{name}: received", "B/s", received_rate),
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
    """Measure processes over a time window.

    The mailbox counters are read before and after it, so that reading them costs no
    processor time within it.
    """
    counts = [read_mailbox_counts(fleet, entry) for entry in entries]
    names = [*entries, *others]
    before = [read_usage(pid_of(fleet, name)) for name in names]
    time.sleep(seconds)
    after = [read_usage(pid_of(fleet, name)) for name in names]
    readings = []
    for name, first, last in zip(names, before, after, strict=True):
        readings += usage_readings(name, usage_between(first, last))
    for entry, first in zip(entries, counts, strict=True):
        readings += mailbox_readings(
            entry, first, read_mailbox_counts(fleet, entry), seconds
        )
    return readings
