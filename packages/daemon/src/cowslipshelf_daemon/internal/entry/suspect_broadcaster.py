"""Tell the other entries of requests under which upstreams ended."""

from threading import Lock

from cowslipshelf_core.gateway import RequestDigest
from cowslipshelf_core.identifiers import InstanceId
from cowslipshelf_daemon.internal.post import Post
from cowslipshelf_daemon.internal.repeated_news import RepeatedNews
from cowslipshelf_daemon.internal.suspect_requests import SuspectRequests
from cowslipshelf_host.metrics import Metrics

RESENDS = 2
"""Times that news is told again, since a message may be lost."""
ROUNDS_PER_CLEANUP = 16
"""Words to the others between two looks for what is too old."""


class SuspectBroadcaster:
    """Own what waits to be told again; any thread may use it."""

    def __init__(self, instance: InstanceId, post: Post, metrics: Metrics) -> None:
        self.post = post
        self.suspects = SuspectRequests(instance, metrics, self.broadcast)
        self.lock = Lock()
        self.repeats: RepeatedNews[RequestDigest] = RepeatedNews()
        self.rounds = 0

    def broadcast(self, digest: RequestDigest) -> None:
        """Tell all other entries what is known of a request, and remember to repeat."""
        with self.lock:
            self.repeats.add((digest,), RESENDS)
        self.post.tell_other_entries(self.suspects.told(frozenset((digest,))))

    def rebroadcast(self) -> None:
        """Tell the news again, with this entry's regular word to the others."""
        self.rounds += 1
        if self.rounds % ROUNDS_PER_CLEANUP == 0:
            self.suspects.forget_old()
        with self.lock:
            digests = self.repeats.take()
        if digests:
            self.post.tell_other_entries(self.suspects.told(digests))

    def send_all_to(self, address: str) -> None:
        """Tell one entry, which may know nothing, of all requests."""
        message = self.suspects.told_all()
        if message.suspects:
            self.post.send(address, message)
