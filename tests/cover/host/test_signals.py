"""Check what the first and the second signal do."""

import os
import signal
from queue import SimpleQueue
from threading import Event, Lock, Thread, Timer, get_ident

from cowslipshelf_host.signals import ShutdownSignals

WIDE_LIMIT_SECONDS = 30
LONG_SECONDS = 3


def test_the_first_signal_begins_the_shutdown_and_the_second_ends_it() -> None:
    seen: SimpleQueue[tuple[str, str]] = SimpleQueue()
    before = signal.getsignal(signal.SIGTERM)
    signals = ShutdownSignals.from_callbacks(
        lambda name: seen.put(("begin", name)), lambda name: seen.put(("end", name))
    )
    signals.install()
    try:
        os.kill(os.getpid(), signal.SIGTERM)
        assert seen.get(timeout=WIDE_LIMIT_SECONDS) == ("begin", "SIGTERM")
        os.kill(os.getpid(), signal.SIGINT)
        assert seen.get(timeout=WIDE_LIMIT_SECONDS) == ("end", "SIGINT")
        signals.receive(signal.SIGTERM)
    finally:
        signals.stop()
    assert seen.empty()
    assert signal.getsignal(signal.SIGTERM) == before


def test_a_second_signal_ends_a_shutdown_that_has_failed_to_begin() -> None:
    """A daemon can only be killed hard, and cuts its requests.

    The first signal's callback raises; the thread that hears signals dies of it,
    and the second signal is heard by nobody.
    """
    ended: SimpleQueue[str] = SimpleQueue()

    def fail(name: str) -> None:
        raise RuntimeError(name)

    signals = ShutdownSignals.from_callbacks(fail, ended.put)
    signals.install()
    try:
        signals.receive(signal.SIGTERM)
        signals.receive(signal.SIGTERM)
        assert ended.get(timeout=WIDE_LIMIT_SECONDS) == "SIGTERM"
    finally:
        signals.stop()


def test_a_signal_during_a_held_lock_does_not_block_the_main_thread() -> None:
    """A daemon hangs at shutdown and loses its requests to the deadline.

    The signal arrives while the main thread holds a lock; the callback, run in
    the handler, waits for the same lock in the same thread.
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
        assert begun.get(timeout=WIDE_LIMIT_SECONDS) == "SIGTERM"
    finally:
        signals.stop()


def test_a_signal_that_another_thread_takes_is_heard_while_the_main_thread_waits() -> (
    None
):
    """A sidecar that is asked to end goes on as if nothing had come, and is killed.

    The kernel gives a signal for a process to any of its threads where the main one
    has another still to take, as after a pause. The interpreter calls handlers in the
    main thread alone, and nothing woke that from its wait. Shown by sidecars paused
    for 1.2 to 3.4 s around their signal, four of eight and then one of four: killed
    after 40 s (-9), and no `Signal taken.` in the log of the last.
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
    timer = Timer(LONG_SECONDS, rescue)
    timer.start()
    try:
        Timer(0.2, lambda: Thread(target=take_signal).start()).start()
        heard.wait()
        assert not rescued.is_set()
    finally:
        timer.cancel()
        signals.stop()
