"""Count the messages and connections of a mailbox."""

from collections import Counter
from enum import StrEnum
from threading import Lock
from typing import NamedTuple

from cowslipshelf_fleet.internal.envelope import RejectionReason


class MailboxCounters(NamedTuple):
    """Hold the counts of a mailbox's messages and connections since its creation."""

    sent: int = 0
    sent_bytes: int = 0
    received: int = 0
    """Messages accepted, including heartbeats."""
    received_bytes: int = 0
    dropped_not_connected: int = 0
    """Not sent, because the connection waits to be dialled again."""
    dropped_no_room: int = 0
    """Not sent, because the peer is slow or dead and its queue is full."""
    dropped_oversized: int = 0
    """Not sent, because no receiver accepts a message of this size."""
    rejected_oversized: int = 0
    rejected_wrong_version: int = 0
    rejected_wrong_tag: int = 0
    rejected_undecodable: int = 0
    receiver_failures: int = 0
    """Messages whose receiver raised an exception."""
    connections_dialled: int = 0
    connections_silent: int = 0
    """Connections closed because the peer did not answer on them."""
    peers_idle: int = 0
    """Peers forgotten because nothing was sent to them for long."""


class CountedEvent(StrEnum):
    """Define the counters of `MailboxCounters`, except rejections."""

    SENT = "sent"
    SENT_BYTES = "sent_bytes"
    RECEIVED = "received"
    RECEIVED_BYTES = "received_bytes"
    NOT_CONNECTED = "dropped_not_connected"
    NO_ROOM = "dropped_no_room"
    TOO_LARGE = "dropped_oversized"
    RECEIVER_FAILED = "receiver_failures"
    DIALLED = "connections_dialled"
    SILENT = "connections_silent"
    IDLE = "peers_idle"


REJECTIONS = {reason: f"rejected_{reason}" for reason in RejectionReason}


class CounterTable:
    """Increment counters from several threads."""

    def __init__(self) -> None:
        self.lock = Lock()
        self.table: Counter[str] = Counter()

    def add(self, event: CountedEvent, amount: int = 1) -> None:
        """Increment one counter."""
        with self.lock:
            self.table[event.value] += amount

    def add_message(
        self, count: CountedEvent, size_count: CountedEvent, size: int
    ) -> None:
        """Count one message and its bytes."""
        with self.lock:
            self.table[count.value] += 1
            self.table[size_count.value] += size

    def add_rejection(self, reason: RejectionReason) -> None:
        """Count a message that was rejected on arrival."""
        with self.lock:
            self.table[REJECTIONS[reason]] += 1

    def read(self) -> MailboxCounters:
        """Return the current values of all counters."""
        with self.lock:
            return MailboxCounters(**self.table)
