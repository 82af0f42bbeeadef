"""Simulate many sidecars in one process, which only announce themselves.

Measurements start it as a process: `python -m slopes.announcers COUNT TIMES ENTRY...`.
"""

import subprocess
import sys
import threading
from collections.abc import Iterator, Sequence
from contextlib import contextmanager
from typing import NamedTuple

from cowslipshelf_core.announcing import EntryEndpoint, digest_entries
from cowslipshelf_core.identifiers import NO_CONFIGURATION
from cowslipshelf_core.messages import AnnounceAnswer
from cowslipshelf_daemon.internal.wire import MailboxMessage
from cowslipshelf_fleet.mailboxes import Mailbox, MailboxConfig, Received
from local_fleet import CLUSTER_KEY
from slopes.samples import announce


class Intervals(NamedTuple):
    """Hold intervals of sidecars and entries in seconds, named as in the settings."""

    announce_seconds: float
    lease_seconds: float
    heartbeat_seconds: float
    silence_seconds: float
    owner_lease_seconds: float


class KnownEntries:
    """Track the digest of the known entries.

    As with real sidecars, an entry answers with its list only where the digest
    differs.
    """

    def __init__(self) -> None:
        self.digest = ""

    def receive(self, received: Received) -> None:
        """Update the digest from an answer that lists the entries."""
        match received.message:
            case AnnounceAnswer(entries=entries) if entries:
                self.digest = digest_entries(
                    [EntryEndpoint(*entry) for entry in entries]
                )


def start_mailbox(
    number: int, intervals: Intervals, known_entries: KnownEntries
) -> Mailbox:
    """Start the mailbox of one sidecar."""
    config = MailboxConfig(
        instance=f"announced-{number:04}-sidecar",
        epoch=f"{number:032x}",
        listen_address="127.0.0.1:0",
        cluster_key=CLUSTER_KEY.encode(),
        heartbeat_seconds=intervals.heartbeat_seconds,
        silence_seconds=intervals.silence_seconds,
        message_types=MailboxMessage,
    )
    mailbox = Mailbox.from_config(
        config, known_entries.receive, lambda: NO_CONFIGURATION
    )
    mailbox.start()
    return mailbox


def announce_all(
    mailboxes: Sequence[Mailbox],
    entries: Sequence[str],
    intervals: Intervals,
    known_entries: KnownEntries,
    stopped: threading.Event,
) -> None:
    """Announce the sidecars in turn, spaced evenly over the interval."""
    sequence = 0
    while not stopped.is_set():
        sequence += 1
        for number, mailbox in enumerate(mailboxes):
            if stopped.wait(intervals.announce_seconds / len(mailboxes)):
                return
            message = announce(
                number, sequence, intervals.lease_seconds, known_entries.digest
            )
            for entry in entries:
                mailbox.send(entry, message)


def main() -> None:
    """Announce until standard input is closed."""
    count, times, *entries = sys.argv[1:]
    intervals = Intervals(*map(float, times.split(",")))
    known_entries = KnownEntries()
    mailboxes = [start_mailbox(n, intervals, known_entries) for n in range(int(count))]
    stopped = threading.Event()
    arguments = (mailboxes, entries, intervals, known_entries, stopped)
    thread = threading.Thread(target=announce_all, args=arguments)
    if mailboxes:
        thread.start()
    sys.stdin.read()
    stopped.set()
    if mailboxes:
        thread.join()
    for mailbox in mailboxes:
        mailbox.stop()


@contextmanager
def announced_upstreams(
    count: int, entries: Sequence[str], intervals: Intervals
) -> Iterator[None]:
    """Run a process of many sidecars while the context is open."""
    times = ",".join(map(str, intervals))
    command = [sys.executable, "-m", "slopes.announcers", str(count), times, *entries]
    with subprocess.Popen(command, stdin=subprocess.PIPE) as process:
        try:
            yield
        finally:
            process.stdin.close()
            process.wait()


if __name__ == "__main__":
    main()
