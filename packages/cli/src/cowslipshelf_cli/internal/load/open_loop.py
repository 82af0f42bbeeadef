"""Send requests at their planned times, independent of the answers."""

import time
from collections.abc import Callable, Iterable
from concurrent.futures import Future, ThreadPoolExecutor
from threading import BoundedSemaphore
from typing import NamedTuple

from cowslipshelf_cli.internal.load.outcome import Ending, Outcome
from cowslipshelf_cli.internal.load.shape import Arrival
from cowslipshelf_host.clock import SYSTEM_CLOCK

Send = Callable[[Arrival, float], Outcome]
"""Sends one request; the float is its planned time on the monotonic clock."""


class LoadClock(NamedTuple):
    """Hold the clock of a load, which tests can replace."""

    now: Callable[[], float] = SYSTEM_CLOCK.monotonic
    wait: Callable[[float], object] = time.sleep


def run_open_loop(
    arrivals: Iterable[Arrival], send: Send, max_concurrent: int, clock: LoadClock
) -> list[Outcome]:
    """Send every arrival at its time, and return the outcomes in the same order.

    A closed loop, which waits for answers, would send fewer requests while the fleet is
    slow, and so hide the delay. Here an arrival beyond the limit of open requests is
    not sent but counted, and later arrivals keep their times.
    """
    slots = BoundedSemaphore(max_concurrent)
    start = clock.now()
    found: list[Future[Outcome] | Outcome] = []
    with ThreadPoolExecutor(max_concurrent, thread_name_prefix="load") as threads:
        for arrival in arrivals:
            planned = start + arrival.at_seconds
            ahead = planned - clock.now()
            if ahead > 0:
                clock.wait(ahead)
            late = max(0.0, clock.now() - planned)
            if not slots.acquire(blocking=False):
                found.append(Outcome(arrival, Ending.NOT_SENT, late_seconds=late))
                continue
            found.append(threads.submit(send_one, send, arrival, planned, late, slots))
    return [each if isinstance(each, Outcome) else each.result() for each in found]


def send_one(
    send: Send, arrival: Arrival, planned: float, late: float, slots: BoundedSemaphore
) -> Outcome:
    """Send one request and release its slot."""
    try:
        return send(arrival, planned)._replace(late_seconds=late)
    finally:
        slots.release()
