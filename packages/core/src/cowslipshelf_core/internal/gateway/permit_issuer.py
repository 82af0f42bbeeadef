"""Issue the permits for limited upstreams, each for the time of one request.

Permits are spaced by the limit, so their number in any time is bounded whichever
gateways ask. Each gateway issues those of the upstreams that it is chosen for.
"""

import math
from dataclasses import dataclass, field

from cowslipshelf_core.identifiers import InstanceId, UpstreamId
from cowslipshelf_core.internal.gateway.limit_messages import (
    AskPermits,
    PermitsBooked,
    PermitsReturned,
)

MAX_AHEAD_SECONDS = 0.5
"""Longest time ahead for which permits are issued, unless the next one is due later.
Permits that are issued early can't go to another gateway that needs them more."""
BURST_SECONDS = 0.1
"""Time whose unused permits are issued later."""
BOOKING_MEMORY_SECONDS = 30.0
"""Time for which a booking is known; answers are later only where engines are stuck."""
WAITING_SECONDS = 0.3
"""Time for which the next permit is kept for a gateway that was to ask again."""
MAX_PERMITS = 256
"""Most permits in one answer."""


@dataclass(slots=True)
class Booking:
    """Hold the permits of one question."""

    booked_at: float
    count: int


@dataclass(slots=True)
class IssuedPermits:
    """Hold what this gateway has issued for one upstream."""

    next_at: float
    """Time of the next permit."""
    bookings: dict[tuple[InstanceId, int], Booking] = field(default_factory=dict)
    """By the gateway that asked and the number of its question, in order of time."""
    waiting: dict[InstanceId, float] = field(default_factory=dict)
    """Gateways with waiting requests that got no permit, in the order in which they
    asked, and the time until which they are expected to ask again."""


@dataclass(slots=True)
class PermitIssuer:
    """Issue permits at the rates that the limits leave."""

    issued: dict[UpstreamId, IssuedPermits] = field(default_factory=dict)

    def book(
        self, sender: InstanceId, asked: AskPermits, rate: float, now: float
    ) -> PermitsBooked | None:
        """Issue permits at a rate in requests a second.

        Return None for a question that was answered: the answer may be on its way.
        """
        interval = 1.0 / rate
        issued = self.issued.get(asked.upstream_id)
        if issued is None:
            issued = IssuedPermits(now + interval)
            self.issued[asked.upstream_id] = issued
        self.forget_old(issued, now)
        if (sender, asked.number) in issued.bookings:
            return None
        ahead = max(MAX_AHEAD_SECONDS, interval)
        # After a rise of the rate, the next permit may be further ahead.
        first_at = min(issued.next_at, now + ahead + interval)
        first_at = max(first_at, now - BURST_SECONDS)
        before = count_before(issued.waiting, sender)
        free = math.floor((now + ahead - first_at) / interval) + 1 - before
        count = max(0, min(asked.count, free, MAX_PERMITS))
        if count:
            issued.next_at = first_at + count * interval
            issued.bookings[sender, asked.number] = Booking(now, count)
            issued.waiting.pop(sender, None)
        else:
            first_at += before * interval
            if asked.waiting:
                due = max(0.0, first_at - ahead - now)
                issued.waiting[sender] = now + due + WAITING_SECONDS
        after = max(0.0, first_at - now)
        waiting_gateways = len({*issued.waiting, sender})
        return PermitsBooked(
            asked.upstream_id, asked.number, count, after, interval, waiting_gateways
        )

    def take_back(
        self, sender: InstanceId, returned: PermitsReturned, rate: float, now: float
    ) -> None:
        """Issue returned permits again."""
        issued = self.issued.get(returned.upstream_id)
        booking = issued and issued.bookings.get((sender, returned.number))
        if booking:
            count = min(returned.count, booking.count)
            booking.count -= count
            issued.next_at = max(now - BURST_SECONDS, issued.next_at - count / rate)

    def was_booked_after(
        self, sender: InstanceId, upstream_id: UpstreamId, number: int, at: float
    ) -> bool:
        """Return whether the permits of a question were issued after some time."""
        issued = self.issued.get(upstream_id)
        booking = issued and issued.bookings.get((sender, number))
        return bool(booking) and booking.booked_at >= at

    def rate_changed(self, upstream_id: UpstreamId, rate: float, now: float) -> None:
        """Issue the next permit of an upstream after a whole interval."""
        issued = self.issued.get(upstream_id)
        if issued is not None:
            issued.next_at = now + 1.0 / rate

    def forget_old(self, issued: IssuedPermits, now: float) -> None:
        """Drop bookings whose answers have come, and gateways that asked no more."""
        for key, booking in list(issued.bookings.items()):
            if now - booking.booked_at <= BOOKING_MEMORY_SECONDS:
                break
            del issued.bookings[key]
        for sender, until in list(issued.waiting.items()):
            if until < now:
                del issued.waiting[sender]


def count_before(waiting: dict[InstanceId, float], sender: InstanceId) -> int:
    """Return how many gateways wait before one, or before a newcomer."""
    names = list(waiting)
    return names.index(sender) if sender in waiting else len(names)
