"""Send cancels to sidecars from a pool of threads."""

from concurrent.futures import ThreadPoolExecutor

from cowslipshelf_core.identifiers import AttemptId
from cowslipshelf_fleet.attempts import AttemptsClient

THREADS = 8


class CancelSender:
    """Send cancels without blocking the threads that run requests.

    A request often leaves a sidecar because that sidecar is dead or silent. A cancel
    sent from the request's own thread would wait there for a connection timeout before
    the request could go on elsewhere. A lost cancel does not leak memory: the sidecar
    drops attempts whose owner no longer reads them.
    """

    def __init__(self, attempts: AttemptsClient) -> None:
        self.attempts = attempts
        self.executor = ThreadPoolExecutor(THREADS, thread_name_prefix="cancel")

    def send(self, address: str, attempt_id: AttemptId) -> None:
        """Cancel an attempt as soon as a thread of the pool is free."""
        self.executor.submit(self.attempts.cancel, address, attempt_id)
