"""Send requests on new connections, from processes of their own."""

import asyncio
import multiprocessing
import time
from collections import Counter
from concurrent.futures import ProcessPoolExecutor
from enum import StrEnum
from typing import NamedTuple

DEADLINE_SECONDS = 1.0
READ_BYTES = 65_536


class Fate(StrEnum):
    """Name what became of a request."""

    SERVED = "served"
    """It was answered with 200 within its deadline."""
    FAILED = "failed"
    """It got another answer, or none within its deadline."""
    REFUSED = "refused"
    """Its connection was closed before a byte of an answer came."""


class Load(NamedTuple):
    """Describe the requests that one process sends to one address."""

    address: str
    request: bytes
    rate: float = 0.0
    """Connections per second, whatever became of earlier ones."""
    at_once: int = 0
    """Connections that are kept open, each followed by the next, instead of a rate."""
    seconds: float = 3.0


async def send(load: Load) -> Fate:
    """Send one request on a connection of its own."""
    host, _, port = load.address.rpartition(":")
    writer, received = None, b""
    try:
        async with asyncio.timeout(DEADLINE_SECONDS):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(load.request)
            while data := await reader.read(READ_BYTES):
                received += data
    except TimeoutError:
        return Fate.FAILED
    except OSError:
        return Fate.FAILED if received else Fate.REFUSED
    finally:
        if writer is not None:
            writer.transport.abort()
    if not received:
        return Fate.REFUSED
    return Fate.SERVED if received.startswith(b"HTTP/1.1 200") else Fate.FAILED


async def send_at_rate(load: Load) -> list[Fate]:
    """Send at a rate for a while."""
    tasks, began = [], time.monotonic()
    for number in range(int(load.rate * load.seconds)):
        pause = began + number / load.rate - time.monotonic()
        if pause > 0:
            await asyncio.sleep(pause)
        tasks.append(asyncio.create_task(send(load)))
    return await asyncio.gather(*tasks)


async def send_in_turn(load: Load) -> list[Fate]:
    """Send one request after the other, several at once, for a while."""
    fates, end = [], time.monotonic() + load.seconds

    async def repeat() -> None:
        while time.monotonic() < end:
            fates.append(await send(load))

    await asyncio.gather(*(repeat() for _ in range(load.at_once)))
    return fates


def run(load: Load) -> Counter[Fate]:
    """Send a load from this process; return how many requests met which fate."""
    sending = send_in_turn if load.at_once else send_at_rate
    return Counter(asyncio.run(sending(load)))


def run_apart(loads: list[Load]) -> Counter[Fate]:
    """Send loads at once, each from a process of its own; return the sums."""
    context = multiprocessing.get_context("spawn")
    with ProcessPoolExecutor(len(loads), mp_context=context) as pool:
        return sum(pool.map(run, loads), Counter())
