"""Keep as many worker threads as there are streams, and a few spare ones."""

from threading import Event, Thread
from typing import Any

from cheroot.workers.threadpool import ThreadPool

GROW_STEP = 16


class GrowingThreadPool(ThreadPool):
    """Grow when connections find few idle threads.

    The library starts a fixed number of threads and never adds any by itself.
    A stream holds its thread, so a fixed number would either cap the streams or
    keep hundreds of threads on a sidecar with two streams.
    """

    def __init__(self, server: Any, spare: int, most: int) -> None:
        super().__init__(server, min=spare, max=most)
        self.spare = spare
        self.wanted = Event()
        self.stopped = False
        self.grower = Thread(target=self.grow_when_wanted, daemon=True)

    def start(self) -> None:
        """Start the spare threads and the one that adds more."""
        super().start()
        self.grower.start()

    def put(self, obj: Any) -> None:
        """Queue a connection, and ask for more threads where few are idle."""
        super().put(obj)
        if self.idle <= self.spare // 2:
            self.wanted.set()

    def grow_when_wanted(self) -> None:
        """Add threads; apart from accepting, since starting a thread may wait."""
        while True:
            self.wanted.wait()
            self.wanted.clear()
            if self.stopped:
                return
            self.grow(GROW_STEP)

    def stop(self, timeout: float = 5) -> None:
        """End all threads."""
        self.stopped = True
        self.wanted.set()
        self.grower.join()
        super().stop(timeout)
