"""Be many sidecars in one process, which announce themselves and do nothing else.

Run as a process by the measurements: `python -m slopes.announcers COUNT ENTRY...`.
"""

import subprocess
import sys
import threading
from collections.abc import Iterator, Sequence
from contextlib import contextmanager

from local_fleet import CLUSTER_KEY

from cowslipshelf_core.identifiers import NO_CONFIGURATION
from cowslipshelf_daemon.internal.wire import MailboxMessage
from cowslipshelf_fleet import Mailbox, MailboxConfig, Received
from slopes.samples import announce

ANNOUNCE_SECONDS = 0.5
"""As the settings have it unless told otherwise."""
HEARTBEAT_SECONDS = 0.5
SILENCE_SECONDS = 2.5


def ignore(_: Received) -> None:
    """Take an answer and do nothing with it."""


def started_mailbox(number: int) -> Mailbox:
    """Start the mailbox of one of the sidecars."""
    config = MailboxConfig(
        instance=f"announced-{number:04}-sidecar",
        epoch=f"{number:032x}",
        listen_address="127.0.0.1:0",
        cluster_key=CLUSTER_KEY.encode(),
        heartbeat_seconds=HEARTBEAT_SECONDS,
        silence_seconds=SILENCE_SECONDS,
        message_types=MailboxMessage,
    )
    mailbox = Mailbox.from_config(config, ignore, lambda: NO_CONFIGURATION)
    mailbox.start()
    return mailbox


def announce_all(
    mailboxes: Sequence[Mailbox], entries: Sequence[str], stopped: threading.Event
) -> None:
    """Announce one sidecar after the other, evenly over the interval."""
    sequence = 0
    while not stopped.is_set():
        sequence += 1
        for number, mailbox in enumerate(mailboxes):
            if stopped.wait(ANNOUNCE_SECONDS / len(mailboxes)):
                return
            message = announce(number, sequence, mailbox.address)
            for entry in entries:
                mailbox.send(entry, message)


def main() -> None:
    """Announce until the input ends."""
    count, entries = int(sys.argv[1]), sys.argv[2:]
    mailboxes = [started_mailbox(number) for number in range(count)]
    stopped = threading.Event()
    arguments = (mailboxes, entries, stopped)
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
def announced_upstreams(count: int, entries: Sequence[str]) -> Iterator[None]:
    """Run a process of many sidecars for a while."""
    command = [sys.executable, "-m", "slopes.announcers", str(count), *entries]
    with subprocess.Popen(command, stdin=subprocess.PIPE) as process:
        try:
            yield
        finally:
            process.stdin.close()
            process.wait()


if __name__ == "__main__":
    main()
