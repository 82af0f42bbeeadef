"""Know the upstreams by the heartbeats that they send to any entry.

An upstream's heartbeat reaches one entry, which tells the others. Each start of an
upstream has an id of its own, and its heartbeats are numbered, so that a late one
can't bring back an upstream that has left, or an older state of it.

What is believed in the end depends on what was said, not on the order in which it
came: of one upstream the latest start counts, of that start the highest number and the
furthest phase. A start whose time lies before that of a known one is taken for late
word of a dead process. Where a clock was put back it is a live one, which then stays
out until the former start is forgotten; the other way round, late word would send
requests to a process that is gone for as long as it comes.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import StrEnum
from typing import NamedTuple, Self

import msgspec

from cowslipshelf_core.identifiers import (
    DataCentre,
    ServiceName,
    UpstreamId,
    UpstreamName,
)
from cowslipshelf_core.internal.gateway.upstream_start import (
    START_UNKNOWN,
    UpstreamStart,
)

NUMBER_OF_LEAVING = 1 << 62
"""Sequence number of an upstream that has left: no heartbeat can be newer."""
KEEP_LEFT_SECONDS = 120.0
"""How long an upstream that has left is remembered: late heartbeats come seconds
late, and instances that were cut off may repeat them after the cut."""


class UpstreamPhase(StrEnum):
    """Say what an upstream is up to."""

    READY = "ready"
    LEAVING = "leaving"
    """It finishes what it has and takes nothing new."""
    LEFT = "left"


PHASES = tuple(UpstreamPhase)
"""In the order of an upstream's life; within one start none comes back."""


class UpstreamHeartbeat(NamedTuple):
    """Be what an upstream says of itself, in one of its heartbeats."""

    upstream_id: UpstreamId
    service: ServiceName
    address: str
    data_centre: DataCentre
    slots: int
    phase: UpstreamPhase
    sequence: int


class HeartbeatSeen(msgspec.Struct, frozen=True, array_like=True):
    """Pass a heartbeat on to another entry, with its age.

    The start stands apart from the heartbeat, which holds the name only: entries of
    the version before read the one and pass over the other.
    """

    heartbeat: UpstreamHeartbeat
    age_seconds: float
    began_ms: int = START_UNKNOWN

    @classmethod
    def from_heartbeat(cls, heartbeat: UpstreamHeartbeat, age_seconds: float) -> Self:
        """Write down a heartbeat of a start."""
        start = UpstreamStart.of(heartbeat.upstream_id)
        named = heartbeat._replace(upstream_id=UpstreamId(start.name))
        return cls(named, age_seconds, start.began_ms)

    @property
    def with_start_id(self) -> UpstreamHeartbeat:
        """Return the heartbeat under the id of its start."""
        name = UpstreamName(self.heartbeat.upstream_id)
        start = UpstreamStart(name, self.began_ms)
        return self.heartbeat._replace(upstream_id=start.upstream_id)


@dataclass(slots=True)
class KnownUpstream:
    """Be what is known of one start of an upstream."""

    start: UpstreamStart
    heartbeat: UpstreamHeartbeat
    heard_at: float

    def replaces_at_address(self, other: "KnownUpstream") -> bool:
        """Tell whether this one is at an address that both name.

        Late word of one that is gone must not hide the one that began there after it;
        where one of them doesn't tell of its start, the one heard last is there.
        """
        if self.start.is_known and other.start.is_known:
            began, other_began = self.start.began_ms, other.start.began_ms
            if began != other_began:
                return began > other_began
        return self.heard_at > other.heard_at

    def merge(self, heartbeat: UpstreamHeartbeat, heard_at: float) -> None:
        """Take in a heartbeat of this start, whether it is newer or came late."""
        phase = max(self.heartbeat.phase, heartbeat.phase, key=PHASES.index)
        if heartbeat.sequence > self.heartbeat.sequence:
            self.heartbeat = heartbeat
            self.heard_at = heard_at
        elif heartbeat.sequence == self.heartbeat.sequence:
            self.heard_at = max(self.heard_at, heard_at)
        if self.heartbeat.phase is not phase:
            self.heartbeat = self.heartbeat._replace(phase=phase)


class RegistryConfig(NamedTuple):
    """Bound how long an upstream counts without heartbeats."""

    silence_seconds: float
    """Silence after which an upstream is taken out of use."""


@dataclass(slots=True)
class UpstreamRegistry:
    """Hold the newest heartbeat of each upstream."""

    config: RegistryConfig
    known: dict[UpstreamId, KnownUpstream] = field(default_factory=dict)
    """The latest start of each upstream."""
    latest: dict[UpstreamName, UpstreamId] = field(default_factory=dict)

    @classmethod
    def from_config(cls, config: RegistryConfig) -> Self:
        """Begin with no upstream."""
        return cls(config)

    def latest_start(self, upstream_id: UpstreamId) -> KnownUpstream | None:
        """Return the latest start of the upstream that has an id, or had it."""
        latest = self.latest.get(UpstreamStart.of(upstream_id).name)
        return None if latest is None else self.known[latest]

    def record(self, heartbeat: UpstreamHeartbeat, heard_at: float) -> bool:
        """Take in a heartbeat heard at a time; return whether it changes the phase.

        An upstream that is new here, or has started again, counts as a change of
        phase. One told without its start, by an entry of the version before, is taken
        for word of the latest start.
        """
        start = UpstreamStart.of(heartbeat.upstream_id)
        known = self.latest_start(heartbeat.upstream_id)
        if known is not None and not start.is_known:
            start = known.start
            heartbeat = heartbeat._replace(upstream_id=start.upstream_id)
        if known is None or start > known.start:
            self.add_start(start, heartbeat, heard_at)
            return True
        if start < known.start:
            return False
        before = known.heartbeat.phase
        known.merge(heartbeat, heard_at)
        return known.heartbeat.phase is not before

    def add_start(
        self, start: UpstreamStart, heartbeat: UpstreamHeartbeat, heard_at: float
    ) -> None:
        """Know a start, in place of any earlier one of its upstream."""
        former = self.latest.get(start.name)
        if former is not None:
            del self.known[former]
        self.latest[start.name] = start.upstream_id
        self.known[start.upstream_id] = KnownUpstream(start, heartbeat, heard_at)

    def leave(self, start: UpstreamStart, now: float) -> HeartbeatSeen:
        """Take a start out for good; return what to tell the other entries."""
        known = self.known.get(start.upstream_id)
        if known is not None:
            leaving = known.heartbeat
        else:
            leaving = UpstreamHeartbeat(
                start.upstream_id,
                ServiceName(""),
                "",
                DataCentre(""),
                0,
                UpstreamPhase.LEFT,
                NUMBER_OF_LEAVING,
            )
        left = leaving._replace(phase=UpstreamPhase.LEFT, sequence=NUMBER_OF_LEAVING)
        self.record(left, now)
        return HeartbeatSeen.from_heartbeat(left, 0.0)

    def ready_upstreams(
        self, service: ServiceName, now: float
    ) -> list[UpstreamHeartbeat]:
        """List the upstreams of a service that take new work, one at each address."""
        by_address: dict[str, KnownUpstream] = {}
        oldest = now - self.config.silence_seconds
        for known in self.known.values():
            if known.heard_at < oldest:
                continue
            held = by_address.get(known.heartbeat.address)
            if held is None or known.replaces_at_address(held):
                by_address[known.heartbeat.address] = known
        return [
            known.heartbeat
            for known in by_address.values()
            if known.heartbeat.phase is UpstreamPhase.READY
            and known.heartbeat.service == service
        ]

    def forget_old(self, now: float) -> list[UpstreamId]:
        """Forget those that were not heard of for long; return their ids."""
        old = [
            upstream_id
            for upstream_id, known in self.known.items()
            if now - known.heard_at > KEEP_LEFT_SECONDS
        ]
        for upstream_id in old:
            del self.latest[self.known.pop(upstream_id).start.name]
        return old

    def all_heartbeats(self, now: float) -> tuple[HeartbeatSeen, ...]:
        """List everything known, for an entry that may have missed some of it."""
        return self.heartbeats_of(self.known, now)

    def heartbeats_of(
        self, upstream_ids: Iterable[UpstreamId], now: float
    ) -> tuple[HeartbeatSeen, ...]:
        """List the newest heartbeats of some upstreams, with their age."""
        found = (self.known.get(upstream_id) for upstream_id in upstream_ids)
        return tuple(
            HeartbeatSeen.from_heartbeat(
                known.heartbeat, max(0.0, now - known.heard_at)
            )
            for known in found
            if known is not None
        )
