"""Check the effects of the first and the second shutdown signal."""

import os
import signal
from queue import SimpleQueue
from threading import Event, Lock, Thread, Timer, get_ident

from cowslipshelf_host.signals import ShutdownSignals

TIMEOUT_SECONDS = 30
RESCUE_SECONDS = 3


def test_the_first_signal_begins_the_shutdown_and_the_second_ends_it() -> None:
    seen: SimpleQueue[tuple[str, str]] = SimpleQueue()
    before = signal.getsignal(signal.SIGTERM)
    signals = ShutdownSignals.from_callbacks(
        lambda name: seen.put(("begin", name)), lambda name: seen.put(("end", name))
    )
    signals.install()
    try:
        os.kill(os.getpid(), signal.SIGTERM)
        assert seen.get(timeout=TIMEOUT_SECONDS) == ("begin", "SIGTERM")
        os.kill(os.getpid(), signal.SIGINT)
        assert seen.get(timeout=TIMEOUT_SECONDS) == ("end", "SIGINT")
        signals.receive(signal.SIGTERM)
    finally:
        signals.stop()
    assert seen.empty()
    assert signal.getsignal(signal.SIGTERM) == before


def test_a_second_signal_ends_a_shutdown_that_has_failed_to_begin() -> None:
    """Guard against a daemon that only SIGKILL can end, which aborts its requests.

    If the first signal's callback raises and ends the thread that watches for signals,
    the second signal has no effect.
    """
    ended: SimpleQueue[str] = SimpleQueue()

    def fail(name: str) -> None:
        raise RuntimeError(name)

    signals = ShutdownSignals.from_callbacks(fail, ended.put)
    signals.install()
    try:
        signals.receive(signal.SIGTERM)
        signals.receive(signal.SIGTERM)
        assert ended.get(timeout=TIMEOUT_SECONDS) == "SIGTERM"
    finally:
        signals.stop()


def test_a_signal_during_a_held_lock_does_not_block_the_main_thread() -> None:
    """Guard against a deadlock at shutdown, which loses the requests at the deadline.

    The signal arrives while the main thread holds a lock. A callback run in the signal
    handler would wait for the same lock in the same thread.
    """
    lock = Lock()
    begun: SimpleQueue[str] = SimpleQueue()

    def begin(name: str) -> None:
        with lock:
            begun.put(name)

    signals = ShutdownSignals.from_callbacks(begin, begun.put)
    signals.install()
    try:
        with lock:
            os.kill(os.getpid(), signal.SIGTERM)
        assert begun.get(timeout=TIMEOUT_SECONDS) == "SIGTERM"
    finally:
        signals.stop()


def test_a_signal_that_another_thread_takes_is_heard_while_the_main_thread_waits() -> (
    None
):
    """Guard against a sidecar that ignores SIGTERM and is killed.

    The kernel may deliver a signal to any thread if the main thread has another one
    pending, as after a pause. The interpreter runs handlers in the main thread only,
    and nothing woke that thread from its wait. Seen with sidecars paused for 1.2 to
    3.4 s around their signal: four of eight, and then one of four, were killed after
    40 s (-9), the last one without `Signal taken.` in its log.
    """
    heard = Event()
    rescued = Event()

    def rescue() -> None:
        rescued.set()
        heard.set()

    def take_signal() -> None:
        signal.pthread_kill(get_ident(), signal.SIGTERM)

    signals = ShutdownSignals.from_callbacks(lambda _: heard.set(), lambda _: None)
    signals.install()
    timer = Timer(RESCUE_SECONDS, rescue)
    timer.start()
    try:
        Timer(0.2, lambda: Thread(target=take_signal).start()).start()
        heard.wait()
        assert not rescued.is_set()
    finally:
        timer.cancel()
        signals.stop()
