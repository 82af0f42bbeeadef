"""Hold the permits of one gateway for limited upstreams, and ask for more."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from typing import NamedTuple

from cowslipshelf_core.identifiers import InstanceId, UpstreamId
from cowslipshelf_core.internal.gateway.limit_messages import (
    AskPermits,
    PermitsBooked,
    PermitsReturned,
)
from cowslipshelf_core.internal.gateway.permit_issuer import MAX_AHEAD_SECONDS

PERMIT_SECONDS = 1.0
"""Time for which a permit may be used. A longer one would let requests of several
seconds arrive in one."""
ANSWER_SECONDS = 1.0
"""Time without an answer after which the issuer is asked again."""
UNUSED_PAUSE_SECONDS = 0.5
"""Time after which a gateway that returned a permit unused asks again."""
MIN_PAUSE_SECONDS = 0.02
"""Least time between two questions about one upstream: a round trip."""


class Permit(NamedTuple):
    """Allow one request to an upstream."""

    upstream_id: UpstreamId
    issuer: InstanceId
    number: int
    """Number of the question that it answers."""
    valid_at: float
    """Time from which it may be used."""

    @property
    def expires_at(self) -> float:
        """Return the time from which it may no longer be used."""
        return self.valid_at + PERMIT_SECONDS

    def is_valid(self, now: float) -> bool:
        """Return whether a request may be sent now."""
        return self.valid_at <= now < self.expires_at


class Asked(NamedTuple):
    """Hold a question that the issuer has not answered."""

    number: int
    issuer: InstanceId
    asked_at: float


class Return(NamedTuple):
    """Hold a message that returns permits, with its receiver."""

    issuer: InstanceId
    message: PermitsReturned


@dataclass(slots=True)
class UpstreamPermits:
    """Hold the permits for one upstream."""

    permits: list[Permit] = field(default_factory=list)
    """In the order of their times."""
    asked: Asked | None = None
    wanted: int = 1
    """Number of permits to ask for. It rises while requests lack them, and falls when
    some are not used."""
    ask_at: float = 0.0
    """Time from which the issuer may be asked."""
    due_at: float = 0.0
    """Time of the next permit that the issuer could give, as far as it is known."""
    turn_seconds: float | None = None
    """Time between two permits for this gateway while others wait too, if known."""
    turn_known_until: float = 0.0
    """Time after which those that waited need no longer wait."""


@dataclass(slots=True)
class PermitWallet:
    """Hold the permits for all limited upstreams."""

    number: int
    """Number of the last question. A restart must not use earlier ones again."""
    upstreams: dict[UpstreamId, UpstreamPermits] = field(default_factory=dict)

    def of(self, upstream_id: UpstreamId) -> UpstreamPermits:
        """Return the permits for an upstream."""
        return self.upstreams.setdefault(upstream_id, UpstreamPermits())

    def has_permit(self, upstream_id: UpstreamId, now: float) -> bool:
        """Return whether a request may be sent to a limited upstream now."""
        return any(each.is_valid(now) for each in self.of(upstream_id).permits)

    def take(self, upstream_id: UpstreamId, now: float) -> Permit | None:
        """Take a permit that may be used now, if there is one."""
        held = self.of(upstream_id)
        for permit in held.permits:
            if permit.is_valid(now):
                held.permits.remove(permit)
                return permit
        return None

    def put_back(self, permit: Permit) -> None:
        """Put back a permit under which nothing was sent."""
        held = self.of(permit.upstream_id)
        held.permits = sorted((*held.permits, permit), key=lambda each: each.valid_at)

    def next_to_ask(
        self, upstream_ids: Iterable[UpstreamId], now: float
    ) -> UpstreamId | None:
        """Return the upstream whose issuer may be asked and was asked least lately."""
        askable = [each for each in upstream_ids if self.may_ask(each, now)]
        return min(askable, key=lambda each: self.of(each).ask_at, default=None)

    def may_ask(self, upstream_id: UpstreamId, now: float) -> bool:
        """Return whether there is neither a permit nor an answer to wait for."""
        held = self.of(upstream_id)
        return not held.permits and held.asked is None and held.ask_at <= now

    def record_lack(self, upstream_id: UpstreamId, most: int) -> None:
        """Record that a request found no permit; ask for more if that goes on."""
        held = self.of(upstream_id)
        if held.asked is not None:
            held.wanted = max(1, min(held.wanted + 1, most))

    def next_change_at(self, upstream_id: UpstreamId) -> float:
        """Return when a permit may be used, or the issuer be asked."""
        held = self.of(upstream_id)
        if held.permits:
            return held.permits[0].valid_at
        if held.asked is not None:
            return held.asked.asked_at + ANSWER_SECONDS
        return held.ask_at

    def turn_seconds(self, upstream_id: UpstreamId, now: float) -> float | None:
        """Return the time between two permits for this gateway, if lately known."""
        held = self.of(upstream_id)
        return held.turn_seconds if now <= held.turn_known_until else None

    def ask(
        self,
        upstream_id: UpstreamId,
        issuer: InstanceId,
        waiting: int,
        now: float,
    ) -> AskPermits:
        """Return a question to the issuer, for the requests that wait at least."""
        self.number += 1
        held = self.of(upstream_id)
        held.asked = Asked(self.number, issuer, now)
        held.ask_at = now + MIN_PAUSE_SECONDS
        count = max(held.wanted, waiting)
        return AskPermits(upstream_id, self.number, count, waiting > 0)

    def receive(self, booked: PermitsBooked, now: float) -> list[Return]:
        """Take the permits of an answer; return those that came too late.

        They are dated by the question, so that an answer that was delayed or repeated
        allows nothing later than it should.
        """
        held = self.of(booked.upstream_id)
        asked = held.asked
        if asked is None or asked.number != booked.number:
            return []
        held.asked = None
        held.turn_seconds = booked.interval_seconds * max(1, booked.waiting_gateways)
        held.turn_known_until = now + max(ANSWER_SECONDS, held.turn_seconds)
        first_at = asked.asked_at + booked.after_seconds
        held.permits += [
            Permit(
                booked.upstream_id,
                asked.issuer,
                booked.number,
                first_at + turn * booked.interval_seconds,
            )
            for turn in range(booked.count)
        ]
        held.due_at = first_at + booked.count * booked.interval_seconds
        if booked.count:
            # The gateways that wait come first.
            held.due_at += held.turn_seconds - booked.interval_seconds
        if not booked.count:
            ahead = max(MAX_AHEAD_SECONDS, booked.interval_seconds)
            held.ask_at = max(now + MIN_PAUSE_SECONDS, first_at - ahead)
        return list(self.expire(held, now))

    def tick(self, now: float) -> list[Return]:
        """Drop questions without an answer; return the permits that expired."""
        returned: list[Return] = []
        for held in self.upstreams.values():
            if held.asked and now - held.asked.asked_at > ANSWER_SECONDS:
                held.asked = None
            if held.permits:
                returned += self.expire(held, now)
        return returned

    def expire(self, held: UpstreamPermits, now: float) -> Iterator[Return]:
        """Drop the expired permits, and return them to their issuers."""
        expired = [each for each in held.permits if each.expires_at <= now]
        if not expired:
            return
        held.permits = [each for each in held.permits if each.expires_at > now]
        held.ask_at = now + UNUSED_PAUSE_SECONDS
        held.wanted = max(1, held.wanted // 2)
        yield from returns_of(expired)

    def drop(self, upstream_id: UpstreamId) -> None:
        """Drop all permits for an upstream, since its limit has changed or ended."""
        self.upstreams.pop(upstream_id, None)


def returns_of(permits: Iterable[Permit]) -> Iterator[Return]:
    """Return permits to their issuers, those of one question together."""
    counts: dict[tuple[InstanceId, UpstreamId, int], int] = {}
    for permit in permits:
        key = (permit.issuer, permit.upstream_id, permit.number)
        counts[key] = counts.get(key, 0) + 1
    for (issuer, upstream_id, number), count in counts.items():
        yield Return(issuer, PermitsReturned(upstream_id, number, count))
