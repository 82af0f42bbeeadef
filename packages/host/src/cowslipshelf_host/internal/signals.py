"""Turn signals into a graceful shutdown, and a second one into its end."""

import signal
from collections.abc import Callable
from queue import SimpleQueue
from threading import Thread
from typing import NamedTuple

from cowslipshelf_host.logs import part_logger

SHUTDOWN_SIGNALS = (signal.SIGTERM, signal.SIGINT)

LOG = part_logger("signals")


class SignalSeen(NamedTuple):
    """Be a signal that arrived."""

    name: str


class StopWatching(NamedTuple):
    """Ask the watching thread to end."""


class ShutdownSignals:
    """Begin a shutdown at the first signal and end it at the second."""

    def __init__(
        self, begin: Callable[[str], object], end: Callable[[str], object]
    ) -> None:
        self.begin = begin
        self.end = end
        self.arrived: SimpleQueue[SignalSeen | StopWatching] = SimpleQueue()
        self.previous: dict[int, object] = {}
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
        for number in SHUTDOWN_SIGNALS:
            self.previous[number] = signal.signal(number, self.receive)

    def receive(self, number: int, _frame: object = None) -> None:
        """Take a signal.

        The interpreter calls this between two steps of the main thread, which may
        hold any lock at that time; a callback that wants the same lock would then
        wait for ever. A `SimpleQueue` may be put to even so, and the callbacks run
        in a thread of their own.
        """
        self.arrived.put(SignalSeen(signal.Signals(number).name))

    def watch(self) -> None:
        """Call back for each signal until asked to stop."""
        callbacks = iter((self.begin, self.end))
        while True:
            match self.arrived.get():
                case StopWatching():
                    return
                case SignalSeen(name):
                    call_back(next(callbacks, None), name)

    def stop(self) -> None:
        """Stop to watch and give the signals back to who had them before."""
        for number, handler in self.previous.items():
            signal.signal(number, handler)  # type: ignore[arg-type]
        self.arrived.put(StopWatching())
        self.thread.join()


def call_back(callback: Callable[[str], object] | None, name: str) -> None:
    """Call back; a failure is logged, so that the next signal is still heard."""
    if callback is None:
        LOG.info("Signal ignored, the end was already asked for.", signal=name)
        return
    LOG.info("Signal taken.", signal=name)
    try:
        callback(name)
    except Exception:
        LOG.exception("The shutdown callback failed.", signal=name)
