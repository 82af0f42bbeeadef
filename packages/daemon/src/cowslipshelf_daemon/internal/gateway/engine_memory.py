"""Reserve memory on engines for one prompt, keep it reserved, and give it back."""

import asyncio
import time
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass
from http import HTTPStatus

from cowslipshelf_core.dialect import Dialect, MemoryTicket, OutgoingRequest
from cowslipshelf_core.gateway import MemoryLease, MemoryLeaseConfig, UpstreamHeartbeat
from cowslipshelf_core.identifiers import UpstreamId
from cowslipshelf_daemon.internal.gateway.fleet_view import FleetView
from cowslipshelf_daemon.internal.gateway.upstream_connection import UpstreamLostError
from cowslipshelf_daemon.internal.gateway.upstream_pool import UpstreamPool
from cowslipshelf_host.logs import part_logger

LOG = part_logger("engine_memory")

ORDER_TIMEOUT_SECONDS = 0.8
"""Time for an engine to answer an order or a question, which needs no slot."""
RELEASE_ATTEMPTS = 2


def ignore_expiry(_reason: str) -> None:
    """Do nothing where memory lapses before a request uses it."""


@dataclass(slots=True)
class ReservedMemory:
    """Be what was reserved for one prompt."""

    granted: bool
    on_expiry: Callable[[str], None] = ignore_expiry
    """Ends the request, whose memory is not renewed any more."""


class EngineMemory:
    """Send the orders that concern memory."""

    def __init__(self, view: FleetView, pool: UpstreamPool, dialect: Dialect) -> None:
        self.view = view
        self.pool = pool
        self.dialect = dialect
        self.releasing: set[asyncio.Task[None]] = set()

    @asynccontextmanager
    async def reserved(
        self, tickets: tuple[MemoryTicket, ...], user: UpstreamHeartbeat
    ) -> AsyncIterator[ReservedMemory]:
        """Hold memory for an engine during the context, all of it or none."""
        if not tickets:
            yield ReservedMemory(granted=True)
            return
        config = MemoryLeaseConfig(self.view.settings.memory_release_seconds)
        lease = MemoryLease.from_config(config, time.monotonic())
        renewing: asyncio.Task[None] | None = None
        try:
            answers = await self.reserve_all(tickets, lease)
            memory = ReservedMemory(granted=all(answers))
            LOG.info(
                "Memory reserved." if memory.granted else "Memory refused.",
                tickets=[ticket.name for ticket in tickets],
                upstreams=[ticket.upstream_id for ticket in tickets],
                tokens=[ticket.tokens for ticket in tickets],
                granted=answers,
            )
            if memory.granted:
                renewing = asyncio.create_task(self.renew(tickets, user, lease, memory))
            yield memory
        finally:
            if renewing is not None:
                renewing.cancel()
            self.release_in_background(tickets)

    async def renew(
        self,
        tickets: tuple[MemoryTicket, ...],
        user: UpstreamHeartbeat,
        lease: MemoryLease,
        memory: ReservedMemory,
    ) -> None:
        """Go on to reserve while the engine that uses the memory lives.

        A prompt whose memory expires is cut off by the engines; so the request ends
        with the lease, and goes on elsewhere as soon as that is sure. A question that
        is not answered does not delay the next one, so that two may be lost.
        """
        due = now = time.monotonic()
        while True:
            due = max(due + lease.config.renew_seconds, now)
            await asyncio.sleep(due - now)
            await self.probe_engine(user, lease)
            now = time.monotonic()
            if not lease.hold_seconds(now):
                break
            await self.reserve_all(tickets, lease)
            now = time.monotonic()
        LOG.warning(
            "Memory not renewed.",
            tickets=[ticket.name for ticket in tickets],
            upstream=user.upstream_id,
            silent_seconds=round(now - lease.heard_at, 3),
        )
        memory.on_expiry("its engine gives no sign of life")

    async def probe_engine(self, user: UpstreamHeartbeat, lease: MemoryLease) -> None:
        """Ask an engine for a sign of life.

        Its heartbeats are none: they come by way of other gateways and seconds late,
        so that one may be older than the engine's end.
        """
        asked_at = time.monotonic()
        request = self.dialect.ask_report(user.upstream_id, user.address)
        status = await self.exchange(user.upstream_id, user.address, request)
        if status is not None and status < HTTPStatus.MULTIPLE_CHOICES:
            lease.record_alive(asked_at)

    def release_in_background(self, tickets: tuple[MemoryTicket, ...]) -> None:
        """Give memory back in a task of its own, which a caller's leaving spares."""
        for ticket in tickets:
            task = asyncio.create_task(self.release(ticket))
            self.releasing.add(task)
            task.add_done_callback(self.releasing.discard)

    async def reserve_all(
        self, tickets: tuple[MemoryTicket, ...], lease: MemoryLease
    ) -> list[bool]:
        """Reserve memory on each engine for as long as the lease allows."""
        seconds = lease.hold_seconds(time.monotonic())
        reserving = (self.reserve(ticket, seconds) for ticket in tickets)
        return await asyncio.gather(*reserving)

    async def reserve(self, ticket: MemoryTicket, seconds: float) -> bool:
        """Reserve memory on one engine; return whether it is held."""
        request = self.dialect.reserve_memory(ticket, seconds)
        status = await self.send_order(ticket, request)
        return status is not None and self.dialect.is_memory_granted(status)

    async def release(self, ticket: MemoryTicket) -> None:
        """Give memory back; an engine that does not hear it takes it back by itself."""
        request = self.dialect.release_memory(ticket)
        for _ in range(RELEASE_ATTEMPTS):
            if await self.send_order(ticket, request) is not None:
                return
        LOG.warning("Memory not released.", ticket=ticket.name, peer=ticket.address)

    async def send_order(
        self, ticket: MemoryTicket, request: OutgoingRequest
    ) -> int | None:
        """Give an order on some memory; return the answer's status, if any came."""
        status = await self.exchange(ticket.upstream_id, ticket.address, request)
        if status is None:
            LOG.warning("Order not answered.", ticket=ticket.name, peer=ticket.address)
        return status

    async def exchange(
        self, upstream_id: UpstreamId, address: str, request: OutgoingRequest
    ) -> int | None:
        """Send an order or a question; return the status of the answer, if any came."""
        connection = None
        answered = False
        try:
            async with asyncio.timeout(ORDER_TIMEOUT_SECONDS):
                connection = await self.pool.acquire(upstream_id, address, fresh=False)
                connection.send(request)
                head = await connection.head()
                await connection.whole_body()
                answered = True
                return head.status
        except (UpstreamLostError, TimeoutError) as error:
            LOG.warning(
                "Engine not reached.",
                upstream=upstream_id,
                peer=address,
                target=request.target,
                error=str(error) or type(error).__name__,
            )
            return None
        finally:
            if connection is not None and answered:
                self.pool.release(upstream_id, connection)
            elif connection is not None:
                connection.abort()
