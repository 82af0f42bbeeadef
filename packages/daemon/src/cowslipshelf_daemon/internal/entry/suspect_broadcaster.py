"""Report suspect requests, which upstreams exited under, to the other entries."""

from threading import Lock

from cowslipshelf_core.gateway import EvidenceKey, RequestDigest
from cowslipshelf_core.identifiers import InstanceId
from cowslipshelf_daemon.internal.messenger import Messenger
from cowslipshelf_daemon.internal.retransmit_queue import RetransmitQueue
from cowslipshelf_daemon.internal.suspect_requests import SuspectRequests
from cowslipshelf_host.metrics import Metrics

RESENDS = 2
"""Times that each report is sent again, since a message may be lost."""
ROUNDS_PER_CLEANUP = 16
"""Heartbeats to the other entries between two removals of old records."""


class SuspectBroadcaster:
    """Send reports of suspect requests, and repeat them; thread-safe."""

    def __init__(
        self, instance: InstanceId, messenger: Messenger, metrics: Metrics
    ) -> None:
        self.messenger = messenger
        self.suspects = SuspectRequests(
            instance, metrics, self.broadcast, self.broadcast_parts
        )
        self.lock = Lock()
        self.repeats: RetransmitQueue[RequestDigest] = RetransmitQueue()
        self.repeated_parts: RetransmitQueue[EvidenceKey] = RetransmitQueue()
        self.rounds = 0

    def broadcast(self, digest: RequestDigest) -> None:
        """Send the report of a request to all other entries, and queue its resends."""
        with self.lock:
            self.repeats.add((digest,), RESENDS)
        self.messenger.send_to_other_entries(
            self.suspects.reports(frozenset((digest,)))
        )

    def broadcast_parts(self) -> None:
        """Send what changed of prompt parts, and queue its resends."""
        keys = self.suspects.parts.take_changed()
        with self.lock:
            self.repeated_parts.add(keys, RESENDS)
        self.send_parts(keys)

    def send_parts(self, keys: frozenset[EvidenceKey]) -> None:
        """Send reports of prompt parts to all other entries."""
        if keys:
            self.messenger.send_to_other_entries(self.suspects.parts.report(keys))

    def rebroadcast(self) -> None:
        """Resend queued reports; called with each heartbeat to the other entries."""
        self.rounds += 1
        if self.rounds % ROUNDS_PER_CLEANUP == 0:
            self.suspects.forget_old()
        with self.lock:
            digests = self.repeats.take()
            keys = self.repeated_parts.take()
        self.send_parts(keys | self.suspects.parts.take_unconfirmed_answers())
        if digests:
            self.messenger.send_to_other_entries(self.suspects.reports(digests))

    def send_all_to(self, address: str) -> None:
        """Send all reports to one entry, which may have none of them."""
        message = self.suspects.all_reports()
        if message.suspects:
            self.messenger.send(address, message)
        parts = self.suspects.parts.full_report()
        if parts.exits or parts.parts:
            self.messenger.send(address, parts)
