"""Shut down gracefully at the first signal and at once at the second."""

import signal
import socket
from collections.abc import Callable
from threading import Thread

from cowslipshelf_host.logs import part_logger

SHUTDOWN_SIGNALS = (signal.SIGTERM, signal.SIGINT)

LOG = part_logger("signals")


STOP_WATCHING = 0
"""Byte that stops the watching thread; no signal has this number."""
MAX_SIGNALS_PER_READ = 64
"""Signal numbers, of one byte each, that one read takes."""


class ShutdownSignals:
    """Call `begin` at the first shutdown signal and `end` at the second.

    The kernel may deliver a signal to any thread. It does so where the main thread
    still has another signal pending, as after a pause of the process. Python runs
    signal handlers in the main thread only, and that thread waits for a lock, which a
    signal delivered to another thread does not interrupt. The process would then never
    notice the signal, and would be killed with its running work at the end of its
    grace period. Therefore the interpreter writes each signal's number to a socket, in
    whichever thread the signal arrives (`signal.set_wakeup_fd`), and a thread that
    reads the socket runs the callbacks.
    """

    def __init__(
        self, begin: Callable[[str], object], end: Callable[[str], object]
    ) -> None:
        self.begin = begin
        self.end = end
        self.wakeup_reader, self.wakeup_writer = socket.socketpair()
        self.wakeup_writer.setblocking(False)
        self.previous_handlers: dict[int, object] = {}
        self.previous_wakeup = -1
        self.thread = Thread(target=self.watch, name="signals", daemon=True)

    @classmethod
    def from_callbacks(
        cls, begin: Callable[[str], object], end: Callable[[str], object]
    ) -> "ShutdownSignals":
        """Build from the callbacks, which take a signal name, for both signals."""
        return cls(begin, end)

    def install(self) -> None:
        """Start watching; must be called from the main thread."""
        self.thread.start()
        self.previous_wakeup = signal.set_wakeup_fd(self.wakeup_writer.fileno())
        for number in SHUTDOWN_SIGNALS:
            self.previous_handlers[number] = signal.signal(number, ignore_in_handler)

    def receive(self, number: int) -> None:
        """Pass on a signal's number, as the interpreter does for a real signal."""
        self.wakeup_writer.send(bytes((number,)))

    def watch(self) -> None:
        """Run the callback of each signal until asked to stop.

        The callbacks run in this thread: the main thread may hold a lock while a signal
        interrupts it, and a callback that needs the same lock would deadlock there.
        """
        callbacks = iter((self.begin, self.end))
        while True:
            for number in self.wakeup_reader.recv(MAX_SIGNALS_PER_READ):
                if number == STOP_WATCHING:
                    return
                if number in SHUTDOWN_SIGNALS:
                    run_callback(next(callbacks, None), signal.Signals(number).name)

    def stop(self) -> None:
        """Stop watching and restore the previous signal handlers."""
        for number, handler in self.previous_handlers.items():
            signal.signal(number, handler)  # type: ignore[arg-type]
        signal.set_wakeup_fd(self.previous_wakeup)
        self.receive(STOP_WATCHING)
        self.thread.join()
        self.wakeup_reader.close()
        self.wakeup_writer.close()


def ignore_in_handler(_number: int, _frame: object) -> None:
    """Replace the default action of a signal, which ends the process."""


def run_callback(callback: Callable[[str], object] | None, name: str) -> None:
    """Run a callback; log its failure, so that the next signal is still handled."""
    if callback is None:
        LOG.info("Signal ignored, the end was already asked for.", signal=name)
        return
    LOG.info("Signal taken.", signal=name)
    try:
        callback(name)
    except Exception:
        LOG.exception("The shutdown callback failed.", signal=name)
