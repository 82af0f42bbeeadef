"""Check that only one thread of a process at a time tries a suspect request."""

import threading
import time

from cowslipshelf_core.gateway import AllowedAlone, request_digest
from cowslipshelf_daemon.internal.suspect_requests import (
    RequestIdentity,
    SuspectRequests,
)
from cowslipshelf_host.metrics import Metrics

DIGEST = request_digest("c", "POST", "host", "/x", b"fatal")
THREADS = 16


def test_of_many_threads_that_ask_for_a_suspect_one_may_try_it():
    """Guards against sending a suspect request to several upstreams at once."""
    suspects = SuspectRequests("entry-1", Metrics(), lambda _digest: None, lambda: None)
    for upstream in ("u-1", "u-2"):
        suspects.quarantine.record_exit(DIGEST, upstream, time.monotonic())
    barrier, verdicts = threading.Barrier(THREADS), []

    def claim(number: int) -> None:
        barrier.wait(10)
        verdicts.append(suspects.claim(RequestIdentity(f"r-{number}", DIGEST, "c")))

    threads = [threading.Thread(target=claim, args=(n,)) for n in range(THREADS)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join(10)
    assert len(verdicts) == THREADS
    assert verdicts.count(AllowedAlone(probe=False)) == 1
