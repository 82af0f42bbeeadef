"""Run event loops that are stuck, in processes that a watchdog may end."""

import asyncio
import os
import signal
import time
from multiprocessing import get_context

from cowslipshelf_daemon.internal.gateway.loop_watchdog import (
    EndlessTurnDetector,
    LoopWatchdog,
)

EXIT_STUCK = 10
ALARM_SECONDS = 20
MAX_CPU_SECONDS = 0.5
BLOCKED_SECONDS = 3.0


def spin() -> None:
    """Use processor time forever."""
    while True:
        pass


def block() -> None:
    """Use no processor time for longer than an endless turn would take."""
    time.sleep(BLOCKED_SECONDS)


def stop_itself() -> None:
    """Stand still until another process continues this one."""
    os.kill(os.getpid(), signal.SIGSTOP)


async def watched(turn) -> None:
    """Run one turn of a loop under a watchdog, and some more."""
    detector = EndlessTurnDetector(MAX_CPU_SECONDS)
    watchdog = LoopWatchdog(lambda: os._exit(EXIT_STUCK), detector)
    watchdog.start()
    for act in (lambda: None, turn, lambda: None):
        watchdog.record_turn()
        act()
        await asyncio.sleep(0.1)
    watchdog.stop()


def run_watched(turn) -> None:
    """Run a watched loop in a process that ends by itself."""
    signal.alarm(ALARM_SECONDS)
    asyncio.run(watched(turn))


def start_watched(turn):
    """Start a process with a watched loop."""
    process = get_context("spawn").Process(target=run_watched, args=(turn,))
    process.start()
    return process
