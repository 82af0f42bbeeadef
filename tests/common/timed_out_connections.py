"""Run connections that the kernel times out, in a process that an alarm ends.

A loop without a turn of the event loop fires no timer of asyncio, and would hang the
test run.
"""

import asyncio
import errno
import itertools
import signal
from multiprocessing import get_context

from cowslipshelf_daemon.internal.gateway.upstream_connection import (
    UpstreamConnection,
    UpstreamLostError,
)

ALARM_SECONDS = 10
SILENCE_SECONDS = (None, 0.01, 5.0)
EXCUSE_SECONDS = (0.0, 1.0)
BEFORE_THE_WAIT = (True, False)


def exit_code_of_losses() -> int | None:
    """Return the exit code of a process in which each connection must end as lost."""
    process = get_context("spawn").Process(target=lose_each)
    process.start()
    process.join()
    return process.exitcode


def lose_each() -> None:
    """Let the kernel time out connections with any limits of silence."""
    signal.alarm(ALARM_SECONDS)
    for case in itertools.product(SILENCE_SECONDS, EXCUSE_SECONDS, BEFORE_THE_WAIT):
        asyncio.run(lose(*case))


async def lose(silence: float | None, excuse: float, before_the_wait: bool) -> None:
    """Wait for an answer on a connection that the kernel times out."""
    server = await asyncio.start_server(lambda *_: None, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    connection = await UpstreamConnection.connect(f"{host}:{port}", 10.0)
    connection.max_silence_seconds = silence
    connection.excused_seconds = lambda: excuse
    reading = asyncio.create_task(connection.head())
    if not before_the_wait:
        await asyncio.sleep(0)
    # What the event loop calls when a read fails.
    error = TimeoutError(errno.ETIMEDOUT, "Connection timed out")
    connection.writer.transport._fatal_error(error)
    try:
        await reading
    except UpstreamLostError:
        server.close()
        return
    raise AssertionError("an answer on a connection that timed out")
