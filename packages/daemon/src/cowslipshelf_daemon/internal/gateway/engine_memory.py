"""Reserve memory on engines for one prompt, keep it reserved, and give it back."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from cowslipshelf_core.dialect import Dialect, MemoryTicket, OutgoingRequest
from cowslipshelf_daemon.internal.gateway.upstream_connection import UpstreamLostError
from cowslipshelf_daemon.internal.gateway.upstream_pool import UpstreamPool
from cowslipshelf_host.logs import part_logger

LOG = part_logger("engine_memory")

HOLD_SECONDS = 3.0
"""Time for which memory is reserved at once. Should this process die, the engine has
it back after this, which must stay below the 4 s that engines' operators allow."""
RENEW_SECONDS = 1.0
"""Pause between renewals: two may be lost before the memory is."""
ORDER_SECONDS = 0.8
"""Time for an engine to answer an order, which needs no slot."""
RELEASE_TRIES = 2


class EngineMemory:
    """Send the orders that concern memory."""

    def __init__(self, pool: UpstreamPool, dialect: Dialect) -> None:
        self.pool = pool
        self.dialect = dialect
        self.releasing: set[asyncio.Task[None]] = set()

    @asynccontextmanager
    async def reserved(self, tickets: tuple[MemoryTicket, ...]) -> AsyncIterator[bool]:
        """Hold memory during the context, all of it or none; say whether it is held."""
        if not tickets:
            yield True
            return
        renewing: asyncio.Task[None] | None = None
        try:
            answers = await asyncio.gather(*map(self.reserve, tickets))
            granted = all(answers)
            LOG.info(
                "Memory reserved." if granted else "Memory refused.",
                tickets=[ticket.name for ticket in tickets],
                upstreams=[ticket.upstream_id for ticket in tickets],
                tokens=[ticket.tokens for ticket in tickets],
                granted=answers,
            )
            if granted:
                renewing = asyncio.create_task(self.renew(tickets))
            yield granted
        finally:
            if renewing is not None:
                renewing.cancel()
            self.release_soon(tickets)

    async def renew(self, tickets: tuple[MemoryTicket, ...]) -> None:
        """Go on to reserve: a prompt whose memory expires is cut off."""
        while True:
            await asyncio.sleep(RENEW_SECONDS)
            await asyncio.gather(*map(self.reserve, tickets))

    def release_soon(self, tickets: tuple[MemoryTicket, ...]) -> None:
        """Give memory back in a task of its own, which a caller's leaving spares."""
        for ticket in tickets:
            task = asyncio.create_task(self.release(ticket))
            self.releasing.add(task)
            task.add_done_callback(self.releasing.discard)

    async def reserve(self, ticket: MemoryTicket) -> bool:
        """Reserve memory on one engine; return whether it is held."""
        request = self.dialect.reserve_memory(ticket, HOLD_SECONDS)
        status = await self.order(ticket, request)
        return status is not None and self.dialect.is_memory_granted(status)

    async def release(self, ticket: MemoryTicket) -> None:
        """Give memory back; an engine that does not hear it takes it back by itself."""
        request = self.dialect.release_memory(ticket)
        for _ in range(RELEASE_TRIES):
            if await self.order(ticket, request) is not None:
                return
        LOG.warning("Memory not released.", ticket=ticket.name, peer=ticket.address)

    async def order(self, ticket: MemoryTicket, request: OutgoingRequest) -> int | None:
        """Give one order; return its status, or nothing where no answer came."""
        connection = None
        answered = False
        try:
            async with asyncio.timeout(ORDER_SECONDS):
                connection = await self.pool.take(
                    ticket.upstream_id, ticket.address, fresh=False
                )
                connection.send(request)
                head = await connection.head()
                await connection.whole_body()
                answered = True
                return head.status
        except (UpstreamLostError, TimeoutError) as error:
            LOG.warning(
                "Order not answered.",
                ticket=ticket.name,
                peer=ticket.address,
                error=str(error) or type(error).__name__,
            )
            return None
        finally:
            if connection is not None and answered:
                self.pool.give_back(ticket.upstream_id, connection)
            elif connection is not None:
                connection.abort()
