"""Grow a pool of worker threads with the number of open streams."""

from threading import Event, Thread
from typing import Any

from cheroot.workers.threadpool import ThreadPool

THREADS_PER_GROWTH = 16


class GrowingThreadPool(ThreadPool):
    """Add threads when a connection finds few of them idle.

    The library starts a fixed number of threads and never adds any itself. A stream
    occupies its thread, so a fixed number would either limit the streams or keep
    hundreds of threads in a sidecar with two streams.
    """

    def __init__(self, server: Any, spare_threads: int, max_threads: int) -> None:
        super().__init__(server, min=spare_threads, max=max_threads)
        self.spare_threads = spare_threads
        self.growth_requested = Event()
        self.stopped = False
        self.growth_thread = Thread(target=self.grow_on_demand, daemon=True)

    def start(self) -> None:
        """Start the spare threads and the thread that adds more."""
        super().start()
        self.growth_thread.start()

    def put(self, obj: Any) -> None:
        """Queue a connection, and request more threads if few are idle."""
        super().put(obj)
        if self.idle <= self.spare_threads // 2:
            self.growth_requested.set()

    def grow_on_demand(self) -> None:
        """Add threads in the background, since starting one could delay accepting."""
        while True:
            self.growth_requested.wait()
            self.growth_requested.clear()
            if self.stopped:
                return
            self.grow(THREADS_PER_GROWTH)

    def stop(self, timeout: float = 5) -> None:
        """Stop all threads."""
        self.stopped = True
        self.growth_requested.set()
        self.growth_thread.join()
        super().stop(timeout)
