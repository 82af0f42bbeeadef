"""Hold memory for clients within a budget; let some wait, and drop the slowest."""

import asyncio
import math
from collections import deque
from collections.abc import Callable
from typing import NamedTuple

from cowslipshelf_core.gateway import (
    Holding,
    MemoryBudget,
    MemoryBudgetConfig,
    MemoryPurpose,
)
from cowslipshelf_host.logs import part_logger
from cowslipshelf_host.metrics import Metrics

LOG = part_logger("client_memory")

HELD = "cowslipshelf_client_memory_bytes"
DROPPED = "cowslipshelf_slow_clients_dropped_total"
REFUSED = "cowslipshelf_memory_refusals_total"
HELPS = {
    HELD: "Memory held for clients: connections, requests and answers.",
    DROPPED: "Connections that were closed since others needed their memory.",
    REFUSED: "Requests and connections that were refused for lack of memory.",
}
MAX_REST_BYTES = 2 * 1024 * 1024
"""Memory that a connection and the head of its request take at most."""
SEARCH_SECONDS = 0.05
"""Least time between two searches for slow clients."""
CALM_SECONDS = 1.0
"""Time without a refusal after which memory counts as free again."""


class Waiter(NamedTuple):
    """Hold a client that waits until there is memory for it."""

    account: "ClientAccount"
    more_bytes: int
    granted: asyncio.Future[bool]


class ClientMemory:
    """Share one budget among the clients of all servers of a process."""

    def __init__(self, config: MemoryBudgetConfig, metrics: Metrics) -> None:
        self.budget = MemoryBudget.from_config(config)
        self.metrics = metrics
        self.accounts: dict[Holding, ClientAccount] = {}
        self.waiting: dict[MemoryPurpose, deque[Waiter]] = {
            purpose: deque() for purpose in reversed(MemoryPurpose)
        }
        """Those who may fill most come first: large requests hold up no others."""
        self.granting = False
        self.searched_at = -math.inf
        self.search_timer: asyncio.TimerHandle | None = None
        self.refused_at = 0.0
        self.refused = 0
        self.calm_timer: asyncio.TimerHandle | None = None
        for name, text in HELPS.items():
            metrics.describe(name, text)

    def open_account(self, drop: Callable[[], None]) -> "ClientAccount":
        """Return the account of a new client; `drop` closes its connection at once."""
        return ClientAccount(self, drop)

    def report(self) -> None:
        """Set the gauge of the memory held."""
        self.metrics.gauge(HELD, self.budget.held_bytes)

    def drop_slow(self, needed_bytes: int, purpose: MemoryPurpose) -> bool:
        """Close connections of slow clients until there is room; return whether any.

        Those that held most for longest and moved least go first.
        """
        now = asyncio.get_running_loop().time()
        if now < self.searched_at + SEARCH_SECONDS:
            return False
        self.searched_at = now
        dropped = 0
        for holding in self.budget.slowest_first(now):
            if self.budget.has_room(needed_bytes, purpose):
                break
            self.drop(holding, now)
            dropped += 1
        return dropped > 0

    def drop(self, holding: Holding, now: float) -> None:
        """Close the connection of a slow client."""
        LOG.info(
            "Slow client dropped.",
            held=holding.held_bytes,
            moved=holding.moved_bytes,
            seconds=round(now - holding.counted_from, 3),
            held_by_all=self.budget.held_bytes,
        )
        self.metrics.count(DROPPED)
        account = self.accounts[holding]
        account.close()
        account.drop()

    def search_later(self) -> None:
        """Look for slow clients again and again while others wait."""
        if self.search_timer is None:
            loop = asyncio.get_running_loop()
            self.search_timer = loop.call_later(SEARCH_SECONDS, self.search)

    def search(self) -> None:
        """Drop slow clients in favour of the one that comes next."""
        self.search_timer = None
        self.grant()
        for purpose, waiting in self.waiting.items():
            if waiting:
                self.drop_slow(waiting[0].more_bytes, purpose)
                self.search_later()
                return

    def grant_soon(self) -> None:
        """Grant memory to those who wait, in the next turn of the event loop."""
        if not self.granting and any(self.waiting.values()):
            self.granting = True
            asyncio.get_running_loop().call_soon(self.grant)

    def grant(self) -> None:
        """Grant memory for each purpose in the order in which it was asked for."""
        self.granting = False
        for purpose, waiting in self.waiting.items():
            while waiting and self.grant_first(purpose, waiting[0]):
                waiting.popleft()

    def grant_first(self, purpose: MemoryPurpose, first: Waiter) -> bool:
        """Grant memory to the first who waits; return whether it waits no longer."""
        account, more_bytes, granted = first
        if granted.done():
            return True
        if account.closed:
            granted.set_result(False)
            return True
        if not account.grow_if_room(more_bytes, purpose):
            return False
        granted.set_result(True)
        return True

    def record_refusal(self, reason: str) -> None:
        """Count a refusal; log when refusing begins and when it is over."""
        self.metrics.count(REFUSED, reason=reason)
        self.refused += 1
        loop = asyncio.get_running_loop()
        self.refused_at = loop.time()
        if self.calm_timer is None:
            LOG.warning(
                "Memory for clients is short.",
                reason=reason,
                held=self.budget.held_bytes,
                limit=self.budget.config.total_bytes,
                waiting=sum(map(len, self.waiting.values())),
            )
            self.calm_timer = loop.call_later(CALM_SECONDS, self.check_calm)

    def check_calm(self) -> None:
        """Log that nothing was refused for a while, or look again later."""
        loop = asyncio.get_running_loop()
        left = self.refused_at + CALM_SECONDS - loop.time()
        if left > 0.0:
            self.calm_timer = loop.call_later(left, self.check_calm)
            return
        LOG.info(
            "Memory for clients is free.",
            refused=self.refused,
            held=self.budget.held_bytes,
        )
        self.refused = 0
        self.calm_timer = None


class ClientAccount:
    """Account for the memory held for one client."""

    def __init__(self, memory: ClientMemory, drop: Callable[[], None]) -> None:
        self.memory = memory
        self.drop = drop
        self.holding = Holding()
        self.closed = False

    @property
    def held_bytes(self) -> int:
        """Return the bytes held for this client."""
        return self.holding.held_bytes

    @property
    def longest_body(self) -> int:
        """Return the length of a body for which there is never enough memory above."""
        return self.memory.budget.limit_bytes(MemoryPurpose.BODY) - MAX_REST_BYTES

    def grow_if_room(self, more_bytes: int, purpose: MemoryPurpose) -> bool:
        """Hold more if there is room for it."""
        if self.closed:
            return False
        grown = self.memory.budget.grow(self.holding, more_bytes, purpose)
        if grown:
            self.memory.accounts[self.holding] = self
        return grown

    def grow(self, more_bytes: int, purpose: MemoryPurpose) -> bool:
        """Hold more at once, and drop slow clients if that is needed."""
        if self.grow_if_room(more_bytes, purpose):
            return True
        dropped = self.memory.drop_slow(more_bytes, purpose)
        return dropped and self.grow_if_room(more_bytes, purpose)

    async def wait_to_grow(
        self, more_bytes: int, purpose: MemoryPurpose, seconds: float | None = None
    ) -> bool:
        """Hold more as soon as there is room; return whether there was in time.

        Clients wait in order. Meanwhile, slow ones lose what they hold.
        """
        memory = self.memory
        waiting = memory.waiting[purpose]
        if not waiting and self.grow_if_room(more_bytes, purpose):
            return True
        granted = asyncio.get_running_loop().create_future()
        waiting.append(Waiter(self, more_bytes, granted))
        memory.search_later()
        try:
            async with asyncio.timeout(seconds):
                return await granted
        except TimeoutError:
            return False
        except asyncio.CancelledError:
            if granted.done() and not granted.cancelled() and granted.result():
                self.shrink(more_bytes)
            raise

    def shrink(self, less_bytes: int) -> None:
        """Hold less; others may have it."""
        if less_bytes and not self.closed:
            self.memory.budget.shrink(self.holding, less_bytes)
            if not self.holding.held_bytes:
                self.memory.accounts.pop(self.holding, None)
            self.memory.grant_soon()

    def close(self) -> None:
        """Hold nothing any more."""
        if not self.closed:
            self.shrink(self.holding.held_bytes)
            self.closed = True

    def await_client(self) -> None:
        """Begin to count what the client moves: it is the client's turn."""
        self.holding.await_client(asyncio.get_running_loop().time())

    def stop_awaiting(self) -> None:
        """Stop counting: it is not the client's turn."""
        self.holding.stop_awaiting()

    def is_slow(self, now: float, seconds: float) -> bool:
        """Return whether the client was awaited so long and moved little."""
        rate = self.memory.budget.config.min_bytes_per_second
        return self.holding.is_slow(now, seconds, rate)

    def record_moved(self, size: int) -> None:
        """Record bytes that the client sent or took."""
        self.holding.moved_bytes += size
