"""Reserve memory on engines for one prompt, renew it, and release it."""

import asyncio
import time
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass
from http import HTTPStatus
from typing import NamedTuple

from cowslipshelf_core.dialect import Dialect, MemoryTicket, OutgoingRequest
from cowslipshelf_core.gateway import MemoryLease, MemoryLeaseConfig, UpstreamHeartbeat
from cowslipshelf_core.identifiers import UpstreamId
from cowslipshelf_daemon.internal.gateway.fleet_view import FleetView
from cowslipshelf_daemon.internal.gateway.upstream_connection import UpstreamLostError
from cowslipshelf_daemon.internal.gateway.upstream_pool import UpstreamPool
from cowslipshelf_host.logs import part_logger

LOG = part_logger("engine_memory")

ORDER_TIMEOUT_SECONDS = 0.8
"""Timeout of an order or a probe; the engine needs no free slot to answer it."""
RELEASE_ATTEMPTS = 2


def ignore_expiry(_reason: str) -> None:
    """Do nothing if the memory expires before a request uses it."""


class ReservationAnswer(NamedTuple):
    """Hold what one engine answered to a reservation."""

    upstream_id: UpstreamId
    granted: bool
    silent: bool = False
    """Whether it gave no answer at all."""


@dataclass(slots=True)
class ReservedMemory:
    """Hold the result of reserving memory for one prompt."""

    answers: tuple[ReservationAnswer, ...] = ()
    on_expiry: Callable[[str], None] = ignore_expiry
    """Ends the request, given a reason, once its memory is no longer renewed."""

    @property
    def granted(self) -> bool:
        """Return whether every engine has reserved its share."""
        return all(answer.granted for answer in self.answers)


class EngineMemory:
    """Send memory orders to engines."""

    def __init__(self, view: FleetView, pool: UpstreamPool, dialect: Dialect) -> None:
        self.view = view
        self.pool = pool
        self.dialect = dialect
        self.releasing: set[asyncio.Task[None]] = set()

    @asynccontextmanager
    async def reserved(
        self, tickets: tuple[MemoryTicket, ...], user: UpstreamHeartbeat
    ) -> AsyncIterator[ReservedMemory]:
        """Reserve memory for an engine during the context, all of it or none."""
        if not tickets:
            yield ReservedMemory()
            return
        config = MemoryLeaseConfig(self.view.settings.memory_release_seconds)
        lease = MemoryLease.from_config(config, time.monotonic())
        renewing: asyncio.Task[None] | None = None
        try:
            answers = await self.reserve_all(tickets, lease)
            memory = ReservedMemory(answers)
            LOG.info(
                "Memory reserved." if memory.granted else "Memory refused.",
                tickets=[ticket.name for ticket in tickets],
                upstreams=[ticket.upstream_id for ticket in tickets],
                tokens=[ticket.tokens for ticket in tickets],
                granted=[answer.granted for answer in answers],
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
        """Renew the reservation while the engine that uses the memory is alive.

        Engines cut off a prompt whose memory expires, so the request ends with the
        lease and can be retried elsewhere at once. An unanswered probe does not delay
        the next one, so two probes may be lost.
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
        """Probe whether an engine is alive.

        Heartbeats don't prove it: they arrive through other gateways and seconds late,
        so one may have been sent before the engine died.
        """
        asked_at = time.monotonic()
        request = self.dialect.ask_report(user.upstream_id, user.address)
        status = await self.exchange(user.upstream_id, user.address, request)
        if status is not None and status < HTTPStatus.MULTIPLE_CHOICES:
            lease.record_alive(asked_at)

    def release_in_background(self, tickets: tuple[MemoryTicket, ...]) -> None:
        """Release memory in separate tasks, which survive a caller that disconnects."""
        for ticket in tickets:
            task = asyncio.create_task(self.release(ticket))
            self.releasing.add(task)
            task.add_done_callback(self.releasing.discard)

    async def reserve_all(
        self, tickets: tuple[MemoryTicket, ...], lease: MemoryLease
    ) -> tuple[ReservationAnswer, ...]:
        """Reserve memory on every engine for as long as the lease allows."""
        seconds = lease.hold_seconds(time.monotonic())
        reserving = (self.reserve(ticket, seconds) for ticket in tickets)
        return tuple(await asyncio.gather(*reserving))

    async def reserve(self, ticket: MemoryTicket, seconds: float) -> ReservationAnswer:
        """Reserve memory on one engine; return its answer."""
        request = self.dialect.reserve_memory(ticket, seconds)
        status = await self.send_order(ticket, request)
        if status is None:
            return ReservationAnswer(ticket.upstream_id, granted=False, silent=True)
        granted = self.dialect.is_memory_granted(status)
        return ReservationAnswer(ticket.upstream_id, granted)

    async def release(self, ticket: MemoryTicket) -> None:
        """Release memory; an engine that misses the order frees it when it expires."""
        request = self.dialect.release_memory(ticket)
        for _ in range(RELEASE_ATTEMPTS):
            if await self.send_order(ticket, request) is not None:
                return
        LOG.warning("Memory not released.", ticket=ticket.name, peer=ticket.address)

    async def send_order(
        self, ticket: MemoryTicket, request: OutgoingRequest
    ) -> int | None:
        """Send an order about memory; return the status, if it was answered."""
        status = await self.exchange(ticket.upstream_id, ticket.address, request)
        if status is None:
            LOG.warning("Order not answered.", ticket=ticket.name, peer=ticket.address)
        return status

    async def exchange(
        self, upstream_id: UpstreamId, address: str, request: OutgoingRequest
    ) -> int | None:
        """Send an order or a probe; return the status, if it was answered."""
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
