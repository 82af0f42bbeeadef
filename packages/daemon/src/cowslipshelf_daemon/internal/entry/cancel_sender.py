"""Send cancels off the threads that carry requests."""

from concurrent.futures import ThreadPoolExecutor

from cowslipshelf_core.identifiers import AttemptId
from cowslipshelf_fleet.attempts import AttemptsClient

THREADS = 8


class CancelSender:
    """Own the threads that wait for sidecars to take cancels.

    A request leaves a sidecar because that one is dead or silent; a cancel sent from
    its own thread would wait there for the connection's limit before the request goes
    on elsewhere. A cancel that is lost costs no memory for good: the sidecar gives up
    attempts whose owner no longer reads them.
    """

    def __init__(self, attempts: AttemptsClient) -> None:
        self.attempts = attempts
        self.executor = ThreadPoolExecutor(THREADS, thread_name_prefix="cancel")

    def send(self, address: str, attempt_id: AttemptId) -> None:
        """Cancel an attempt as soon as a thread is free."""
        self.executor.submit(self.attempts.cancel, address, attempt_id)
