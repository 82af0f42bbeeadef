"""Give every open call a thread of its own, so that no call waits for one."""

import threading
from queue import Full

from cheroot.workers.threadpool import ThreadPool


class CallThreadPool(ThreadPool):
    """Add threads as calls arrive, up to a limit; refuse the calls above it."""

    def __init__(self, server, min_threads: int, max_threads: int) -> None:
        super().__init__(server, min=min_threads, max=max_threads)
        self.lock = threading.Lock()
        self.idle_threads = 0
        """Threads that wait for a call, minus the calls queued for one."""
        # The worker threads of the library call `get`.
        self.get = self.wait_for_call

    def start(self) -> None:
        """Start the minimum number of threads."""
        for _ in range(self.min):
            self.add_thread()

    def wait_for_call(self):
        """Return the next call; runs in the thread that will answer it."""
        with self.lock:
            self.idle_threads += 1
        return self._queue.get()

    def put(self, connection) -> None:
        """Pass a connection with a call to an idle or a new thread, or raise `Full`."""
        with self.lock:
            if self.idle_threads <= 0 and len(self._threads) >= self.max:
                raise Full
            needs_thread = self.idle_threads <= 0
            self.idle_threads -= 1
        if needs_thread:
            self.add_thread()
        self._queue.put(connection)

    def add_thread(self) -> None:
        """Start a thread, which takes a call from the queue as soon as it runs."""
        self._threads.append(self._spawn_worker())

    def open_calls(self) -> int:
        """Return the number of threads that are answering calls."""
        with self.lock:
            return len(self._threads) - max(self.idle_threads, 0)
