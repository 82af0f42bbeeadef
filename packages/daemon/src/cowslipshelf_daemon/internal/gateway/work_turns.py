"""Give costly work a share of the event loop's time, one piece after the other."""

import asyncio
import time
from collections.abc import Callable
from typing import TypeVar

Result = TypeVar("Result")

PAUSE_FACTOR = 3.0
"""Time that goes to all other work after each piece, as a multiple of its own."""


class WorkTurns:
    """Let pieces of costly work take turns.

    A client can send what costs much to parse. Pieces of it run in the order in which
    they come, and most of the time between them is left to other clients.
    """

    def __init__(self) -> None:
        self.lock = asyncio.Lock()
        self.free_at = 0.0

    async def run(self, work: Callable[[], Result]) -> Result:
        """Run one piece of work when its turn comes."""
        async with self.lock:
            pause = self.free_at - time.monotonic()
            if pause > 0.0:
                await asyncio.sleep(pause)
            began = time.monotonic()
            try:
                return work()
            finally:
                now = time.monotonic()
                self.free_at = now + PAUSE_FACTOR * (now - began)
