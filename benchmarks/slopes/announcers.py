"""Be many sidecars in one process, which announce themselves and do nothing else.

The measurements run it: `python -m slopes.announcers COUNT TIMES ENTRY...`.
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


class Pace(NamedTuple):
    """Set the times of sidecars and entries, named as in the settings, in seconds."""

    announce_seconds: float
    lease_seconds: float
    heartbeat_seconds: float
    silence_seconds: float
    owner_lease_seconds: float


class Roster:
    """Know the entries as a sidecar does, so that answers carry none that is known."""

    def __init__(self) -> None:
        self.digest = ""

    def receive(self, received: Received) -> None:
        """Take in the list of an answer that brings one."""
        match received.message:
            case AnnounceAnswer(entries=entries) if entries:
                self.digest = digest_entries(
                    [EntryEndpoint(*entry) for entry in entries]
                )


def started_mailbox(number: int, pace: Pace, roster: Roster) -> Mailbox:
    """Start the mailbox of one of the sidecars."""
    config = MailboxConfig(
        instance=f"announced-{number:04}-sidecar",
        epoch=f"{number:032x}",
        listen_address="127.0.0.1:0",
        cluster_key=CLUSTER_KEY.encode(),
        heartbeat_seconds=pace.heartbeat_seconds,
        silence_seconds=pace.silence_seconds,
        message_types=MailboxMessage,
    )
    mailbox = Mailbox.from_config(config, roster.receive, lambda: NO_CONFIGURATION)
    mailbox.start()
    return mailbox


def announce_all(
    mailboxes: Sequence[Mailbox],
    entries: Sequence[str],
    pace: Pace,
    roster: Roster,
    stopped: threading.Event,
) -> None:
    """Announce one sidecar after the other, evenly over the interval."""
    sequence = 0
    while not stopped.is_set():
        sequence += 1
        for number, mailbox in enumerate(mailboxes):
            if stopped.wait(pace.announce_seconds / len(mailboxes)):
                return
            message = announce(number, sequence, pace.lease_seconds, roster.digest)
            for entry in entries:
                mailbox.send(entry, message)


def main() -> None:
    """Announce until the input ends."""
    count, times, *entries = sys.argv[1:]
    pace = Pace(*map(float, times.split(",")))
    roster = Roster()
    mailboxes = [started_mailbox(n, pace, roster) for n in range(int(count))]
    stopped = threading.Event()
    arguments = (mailboxes, entries, pace, roster, stopped)
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
    count: int, entries: Sequence[str], pace: Pace
) -> Iterator[None]:
    """Run a process of many sidecars for a while."""
    times = ",".join(map(str, pace))
    command = [sys.executable, "-m", "slopes.announcers", str(count), times, *entries]
    with subprocess.Popen(command, stdin=subprocess.PIPE) as process:
        try:
            yield
        finally:
            process.stdin.close()
            process.wait()


if __name__ == "__main__":
    main()
