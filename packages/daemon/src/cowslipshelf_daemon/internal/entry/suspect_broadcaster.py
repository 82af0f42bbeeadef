"""Tell the other entries of requests under which upstreams ended."""

from threading import Lock

from cowslipshelf_core.gateway import RequestDigest
from cowslipshelf_core.identifiers import InstanceId
from cowslipshelf_daemon.internal.messenger import Messenger
from cowslipshelf_daemon.internal.retransmit_queue import RetransmitQueue
from cowslipshelf_daemon.internal.suspect_requests import SuspectRequests
from cowslipshelf_host.metrics import Metrics

REPEATS = 2
"""Times that news is told again, since a message may be lost."""
FORGET_WORDS = 16
"""Words to the others between two looks for what is too old."""


class SuspectBroadcaster:
    """Own what waits to be told again; any thread may use it."""

    def __init__(
        self, instance: InstanceId, messenger: Messenger, metrics: Metrics
    ) -> None:
        self.messenger = messenger
        self.suspects = SuspectRequests(instance, metrics, self.tell)
        self.lock = Lock()
        self.repeats: RetransmitQueue[RequestDigest] = RetransmitQueue()
        self.words = 0

    def tell(self, digest: RequestDigest) -> None:
        """Tell all other entries what is known of a request, and remember to repeat."""
        with self.lock:
            self.repeats.add((digest,), REPEATS)
        self.messenger.send_to_other_entries(
            self.suspects.reports(frozenset((digest,)))
        )

    def repeat(self) -> None:
        """Tell the news again, with this entry's regular word to the others."""
        self.words += 1
        if self.words % FORGET_WORDS == 0:
            self.suspects.forget_old()
        with self.lock:
            digests = self.repeats.take()
        if digests:
            self.messenger.send_to_other_entries(self.suspects.reports(digests))

    def tell_all_to(self, address: str) -> None:
        """Tell one entry, which may know nothing, of all requests."""
        message = self.suspects.all_reports()
        if message.suspects:
            self.messenger.send(address, message)
