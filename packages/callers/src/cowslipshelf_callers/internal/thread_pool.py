"""Give every open call a thread of its own, and never let a call wait for one."""

import threading
from queue import Full

from cheroot.workers.threadpool import ThreadPool


class CallThreadPool(ThreadPool):
    """Grow with the open calls up to a limit, and refuse what comes above it."""

    def __init__(self, server, least: int, most: int) -> None:
        super().__init__(server, min=least, max=most)
        self.lock = threading.Lock()
        self.idle_threads = 0
        """Threads that wait for a call, less the calls on their way to one."""
        self.get = self.wait_for_call

    def start(self) -> None:
        """Start the least number of threads."""
        for _ in range(self.min):
            self.add_thread()

    def wait_for_call(self):
        """Take the next call; runs in the thread that will answer it."""
        with self.lock:
            self.idle_threads += 1
        return self._queue.get()

    def put(self, connection) -> None:
        """Give a connection with a call to a free or a new thread, or raise `Full`."""
        with self.lock:
            if self.idle_threads <= 0 and len(self._threads) >= self.max:
                raise Full
            needs_thread = self.idle_threads <= 0
            self.idle_threads -= 1
        if needs_thread:
            self.add_thread()
        self._queue.put(connection)

    def add_thread(self) -> None:
        """Start a thread; it takes a call as soon as it runs."""
        self._threads.append(self._spawn_worker())

    def open_calls(self) -> int:
        """Count the threads that are answering."""
        with self.lock:
            return len(self._threads) - max(self.idle_threads, 0)
