"""Turn signals into a graceful shutdown, and a second one into its end."""

import signal
import socket
from collections.abc import Callable
from threading import Thread

from cowslipshelf_host.logs import part_logger

SHUTDOWN_SIGNALS = (signal.SIGTERM, signal.SIGINT)

LOG = part_logger("signals")


STOP_WATCHING = 0
"""Asks the watching thread to end; no signal has this number."""
MAX_SIGNALS_PER_READ = 64
"""Signals taken at once."""


class ShutdownSignals:
    """Begin a shutdown at the first signal and end it at the second.

    The kernel may give a signal to any thread, and does so where the main one has
    another still to take, as after a pause of the process. Python runs its handlers in
    the main thread alone, which waits in a lock that such a signal does not interrupt:
    the process would never hear that it is to end, and be killed with its work when
    its grace is over. So the interpreter writes each signal's number to a socket, in
    whichever thread it comes, and a thread that reads the socket calls back.
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
        """Build from what to call, with the signal's name, at the first and second."""
        return cls(begin, end)

    def install(self) -> None:
        """Start to watch; call it from the main thread."""
        self.thread.start()
        self.previous_wakeup = signal.set_wakeup_fd(self.wakeup_writer.fileno())
        for number in SHUTDOWN_SIGNALS:
            self.previous_handlers[number] = signal.signal(number, ignore_in_handler)

    def receive(self, number: int) -> None:
        """Take a signal's number, as the interpreter gives it."""
        self.wakeup_writer.send(bytes((number,)))

    def watch(self) -> None:
        """Call back for each signal until asked to stop.

        The callbacks run in this thread: the main one may hold any lock while it takes
        a signal, and a callback that wants the same lock would wait for ever.
        """
        callbacks = iter((self.begin, self.end))
        while True:
            for number in self.wakeup_reader.recv(MAX_SIGNALS_PER_READ):
                if number == STOP_WATCHING:
                    return
                if number in SHUTDOWN_SIGNALS:
                    run_callback(next(callbacks, None), signal.Signals(number).name)

    def stop(self) -> None:
        """Stop to watch and give the signals back to who had them before."""
        for number, handler in self.previous_handlers.items():
            signal.signal(number, handler)  # type: ignore[arg-type]
        signal.set_wakeup_fd(self.previous_wakeup)
        self.receive(STOP_WATCHING)
        self.thread.join()
        self.wakeup_reader.close()
        self.wakeup_writer.close()


def ignore_in_handler(_number: int, _frame: object) -> None:
    """Keep a signal from its default, which ends the process."""


def run_callback(callback: Callable[[str], object] | None, name: str) -> None:
    """Call back; a failure is logged, so that the next signal is still heard."""
    if callback is None:
        LOG.info("Signal ignored, the end was already asked for.", signal=name)
        return
    LOG.info("Signal taken.", signal=name)
    try:
        callback(name)
    except Exception:
        LOG.exception("The shutdown callback failed.", signal=name)
