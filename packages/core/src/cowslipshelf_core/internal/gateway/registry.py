"""Register the upstreams by the heartbeats that they send to any gateway.

A heartbeat reaches one gateway, which forwards it to the others. Each start of an
upstream has an id of its own and numbers its heartbeats, so that a late one can't bring
back an upstream that has left, or an older state of it.

The registered state depends on which heartbeats arrived, not on their order: of an
upstream the latest start counts, and of that start the highest sequence number and the
furthest phase. A heartbeat of a start before the known one is taken for a late one of a
dead process. If a clock was set back, that process is alive; it then stays unused until
the known start is forgotten. The other way round, late heartbeats would keep sending
requests to a process that is gone.
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

LEFT_SEQUENCE = 1 << 62
"""Sequence number of an upstream that has left, above that of any heartbeat."""
FORGET_SECONDS = 120.0
"""Time without heartbeats after which an upstream is forgotten, also one that has left:
heartbeats arrive seconds late, and instances that were partitioned may repeat them
after the partition."""
MAX_COLD_SECONDS = 60.0
"""Longest cold time that one heartbeat may give. A larger value is an error of its
sender, and would keep the upstream nearly unused until its next heartbeat."""


class UpstreamPhase(StrEnum):
    """Name the phase in the life of an upstream."""

    READY = "ready"
    LEAVING = "leaving"
    """It finishes its requests and accepts no new ones."""
    LEFT = "left"


PHASE_ORDER = tuple(UpstreamPhase)
"""The phases in order; an upstream does not return to an earlier one within a start."""


class UpstreamHeartbeat(NamedTuple):
    """Hold one heartbeat of an upstream."""

    upstream_id: UpstreamId
    service: ServiceName
    address: str
    data_centre: DataCentre
    slots: int
    phase: UpstreamPhase
    sequence: int


class ReceivedHeartbeat(NamedTuple):
    """Hold a heartbeat as an upstream sent it, with what only some messages carry."""

    heartbeat: UpstreamHeartbeat
    cold_left_seconds: float = 0.0
    """Time for which the upstream is still cold."""


class ColdReport(NamedTuple):
    """Hold the remaining cold time that one heartbeat of a start gave."""

    sequence: int
    heard_at: float
    left_seconds: float

    @property
    def until(self) -> float:
        """Return the end of the cold time."""
        return self.heard_at + self.left_seconds

    def left_at(self, now: float) -> float:
        """Return the cold time that remains."""
        return max(0.0, self.until - now)

    def merged_with(self, other: "ColdReport | None") -> "ColdReport":
        """Return the report of the later heartbeat.

        Copies of one heartbeat differ by their time on the way, which only ever adds to
        the cold time, so the earlier end is nearer to what the upstream said.
        """
        if other is None:
            return self
        return min(self, other, key=lambda report: (-report.sequence, report.until))


class HeartbeatSeen(msgspec.Struct, frozen=True, array_like=True):
    """Forward a heartbeat to another gateway, with its age.

    The heartbeat holds the name of the upstream only, and the start time is a field of
    its own, so that gateways of the previous version read the former and skip the
    latter.
    """

    heartbeat: UpstreamHeartbeat
    age_seconds: float
    began_ms: int = START_UNKNOWN
    cold_left: float | None = None
    """Cold time in seconds that remains when the message is sent; the age is already
    subtracted. None if it is not known, as from gateways of the previous version."""

    @classmethod
    def from_heartbeat(
        cls,
        heartbeat: UpstreamHeartbeat,
        age_seconds: float,
        cold_left: float | None = None,
    ) -> Self:
        """Build the message from a heartbeat under the id of a start."""
        start = UpstreamStart.of(heartbeat.upstream_id)
        named = heartbeat._replace(upstream_id=UpstreamId(start.name))
        return cls(named, age_seconds, start.began_ms, cold_left)

    @property
    def with_start_id(self) -> UpstreamHeartbeat:
        """Return the heartbeat under the id of its start."""
        name = UpstreamName(self.heartbeat.upstream_id)
        start = UpstreamStart(name, self.began_ms)
        return self.heartbeat._replace(upstream_id=start.upstream_id)


@dataclass(slots=True)
class KnownUpstream:
    """Hold the state of one start of an upstream."""

    start: UpstreamStart
    heartbeat: UpstreamHeartbeat
    heard_at: float
    first_heard_at: float
    """Time at which the first heartbeat of this start was heard."""
    cold: ColdReport | None = None
    """The newest cold time that a heartbeat gave; None if none did."""

    def replaces_at_address(self, other: "KnownUpstream") -> bool:
        """Return whether this one, not the other, runs at their common address.

        A late heartbeat of one that is gone must not hide the one that started there
        after it. If a start time is unknown, the one heard last counts.
        """
        if self.start.is_known and other.start.is_known:
            began, other_began = self.start.began_ms, other.start.began_ms
            if began != other_began:
                return began > other_began
        return self.heard_at > other.heard_at

    def merge(
        self, heartbeat: UpstreamHeartbeat, heard_at: float, cold: ColdReport | None
    ) -> None:
        """Merge a heartbeat of this start, which may be late."""
        if cold is not None:
            self.cold = cold.merged_with(self.cold)
        phase = max(self.heartbeat.phase, heartbeat.phase, key=PHASE_ORDER.index)
        if heartbeat.sequence > self.heartbeat.sequence:
            self.heartbeat = heartbeat
            self.heard_at = heard_at
        elif heartbeat.sequence == self.heartbeat.sequence:
            self.heard_at = max(self.heard_at, heard_at)
        if self.heartbeat.phase is not phase:
            self.heartbeat = self.heartbeat._replace(phase=phase)


class RegistryConfig(NamedTuple):
    """Configure how long an upstream is used without heartbeats."""

    silence_seconds: float
    """Time without heartbeats after which an upstream is not used."""


@dataclass(slots=True)
class UpstreamRegistry:
    """Hold the newest heartbeat of each upstream."""

    config: RegistryConfig
    known: dict[UpstreamId, KnownUpstream] = field(default_factory=dict)
    """The latest start of each upstream."""
    latest: dict[UpstreamName, UpstreamId] = field(default_factory=dict)

    @classmethod
    def from_config(cls, config: RegistryConfig) -> Self:
        """Create a registry without upstreams."""
        return cls(config)

    def latest_start(self, upstream_id: UpstreamId) -> KnownUpstream | None:
        """Return the latest start of an upstream, given the id of any of its starts."""
        latest = self.latest.get(UpstreamStart.of(upstream_id).name)
        return None if latest is None else self.known[latest]

    def record(
        self,
        heartbeat: UpstreamHeartbeat,
        heard_at: float,
        cold: ColdReport | None = None,
    ) -> bool:
        """Record a heartbeat heard at a time; return whether it changes the phase.

        A new upstream or a new start counts as a change of phase. A heartbeat without a
        start time, from a gateway of the previous version, is taken for one of the
        latest start.
        """
        start = UpstreamStart.of(heartbeat.upstream_id)
        known = self.latest_start(heartbeat.upstream_id)
        if known is not None and not start.is_known:
            start = known.start
            heartbeat = heartbeat._replace(upstream_id=start.upstream_id)
        if known is None or start > known.start:
            self.add_start(start, heartbeat, heard_at, cold)
            return True
        if start < known.start:
            return False
        before = known.heartbeat.phase
        known.merge(heartbeat, heard_at, cold)
        return known.heartbeat.phase is not before

    def add_start(
        self,
        start: UpstreamStart,
        heartbeat: UpstreamHeartbeat,
        heard_at: float,
        cold: ColdReport | None,
    ) -> None:
        """Add a start in place of any earlier one of its upstream."""
        former = self.latest.get(start.name)
        if former is not None:
            del self.known[former]
        self.latest[start.name] = start.upstream_id
        self.known[start.upstream_id] = KnownUpstream(
            start, heartbeat, heard_at, heard_at, cold
        )

    def leave(self, start: UpstreamStart, now: float) -> HeartbeatSeen:
        """Mark a start as left; return the message for the other gateways."""
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
                LEFT_SEQUENCE,
            )
        left = leaving._replace(phase=UpstreamPhase.LEFT, sequence=LEFT_SEQUENCE)
        self.record(left, now)
        return HeartbeatSeen.from_heartbeat(left, 0.0)

    def ready_upstreams(
        self, service: ServiceName, now: float
    ) -> list[UpstreamHeartbeat]:
        """Return a service's upstreams that accept requests, one at each address."""
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
        """Remove upstreams without recent heartbeats; return their ids."""
        old = [
            upstream_id
            for upstream_id, known in self.known.items()
            if now - known.heard_at > FORGET_SECONDS
        ]
        for upstream_id in old:
            del self.latest[self.known.pop(upstream_id).start.name]
        return old

    def cold_left(self, upstream_id: UpstreamId, now: float) -> float | None:
        """Return the cold time that remains by an upstream's heartbeats, if known."""
        known = self.known.get(upstream_id)
        return None if known is None or known.cold is None else known.cold.left_at(now)

    def all_heartbeats(self, now: float) -> tuple[HeartbeatSeen, ...]:
        """Return all heartbeats, for a gateway that may have missed some."""
        return self.heartbeats_of(self.known, now)

    def heartbeats_of(
        self, upstream_ids: Iterable[UpstreamId], now: float
    ) -> tuple[HeartbeatSeen, ...]:
        """Return the newest heartbeats of some upstreams, with their age."""
        found = (self.known.get(upstream_id) for upstream_id in upstream_ids)
        return tuple(
            HeartbeatSeen.from_heartbeat(
                known.heartbeat,
                max(0.0, now - known.heard_at),
                self.cold_left(known.start.upstream_id, now),
            )
            for known in found
            if known is not None
        )
