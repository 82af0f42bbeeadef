"""Know the upstreams by the heartbeats that they send to any entry.

An upstream's heartbeat reaches one entry, which tells the others. Each start of an
upstream has an id of its own, and its heartbeats are numbered, so that a late one
can't bring back an upstream that has left, or an older state of it.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import StrEnum
from typing import NamedTuple, Self

import msgspec

from cowslipshelf_core.identifiers import DataCentre, ServiceName, UpstreamId

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
    """Pass a heartbeat on to another entry, with its age."""

    heartbeat: UpstreamHeartbeat
    age_seconds: float


@dataclass(slots=True)
class KnownUpstream:
    """Be what is known of one start of an upstream."""

    heartbeat: UpstreamHeartbeat
    heard_at: float

    @property
    def upstream_id(self) -> UpstreamId:
        """Return the upstream's id."""
        return self.heartbeat.upstream_id


class RegistryConfig(NamedTuple):
    """Bound how long an upstream counts without heartbeats."""

    silence_seconds: float
    """Silence after which an upstream is taken out of use."""


@dataclass(slots=True)
class UpstreamRegistry:
    """Hold the newest heartbeat of each upstream."""

    config: RegistryConfig
    known: dict[UpstreamId, KnownUpstream] = field(default_factory=dict)

    @classmethod
    def from_config(cls, config: RegistryConfig) -> Self:
        """Begin with no upstream."""
        return cls(config)

    def take(self, heartbeat: UpstreamHeartbeat, heard_at: float) -> bool:
        """Take in a heartbeat heard at a time; return whether it changes the phase.

        An upstream that is new here counts as a change of phase.
        """
        known = self.known.get(heartbeat.upstream_id)
        if known is None:
            self.known[heartbeat.upstream_id] = KnownUpstream(heartbeat, heard_at)
            return True
        if heartbeat.sequence < known.heartbeat.sequence:
            return False
        if heartbeat.sequence == known.heartbeat.sequence:
            known.heard_at = max(known.heard_at, heard_at)
            return False
        changed = heartbeat.phase is not known.heartbeat.phase
        # One that leaves never returns: a restart has another id.
        if known.heartbeat.phase is UpstreamPhase.LEAVING and (
            heartbeat.phase is UpstreamPhase.READY
        ):
            heartbeat = heartbeat._replace(phase=UpstreamPhase.LEAVING)
            changed = False
        known.heartbeat = heartbeat
        known.heard_at = max(known.heard_at, heard_at)
        return changed

    def leave(self, upstream_id: UpstreamId, now: float) -> HeartbeatSeen:
        """Take an upstream out for good; return what to tell the other entries."""
        known = self.known.get(upstream_id)
        if known is None:
            nowhere = UpstreamHeartbeat(
                upstream_id,
                ServiceName(""),
                "",
                DataCentre(""),
                0,
                UpstreamPhase.LEFT,
                NUMBER_OF_LEAVING,
            )
            known = self.known[upstream_id] = KnownUpstream(nowhere, now)
        known.heartbeat = known.heartbeat._replace(
            phase=UpstreamPhase.LEFT, sequence=NUMBER_OF_LEAVING
        )
        known.heard_at = now
        return HeartbeatSeen(known.heartbeat, 0.0)

    def in_use(self, service: ServiceName, now: float) -> list[UpstreamHeartbeat]:
        """List the upstreams of a service that take new work, newest first by address.

        Two ids at one address are two starts of one upstream: only the one heard
        last can be there.
        """
        by_address: dict[str, KnownUpstream] = {}
        oldest = now - self.config.silence_seconds
        for known in self.known.values():
            if known.heard_at < oldest:
                continue
            held = by_address.get(known.heartbeat.address)
            if held is None or known.heard_at > held.heard_at:
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
            del self.known[upstream_id]
        return old

    def all_seen(self, now: float) -> tuple[HeartbeatSeen, ...]:
        """List everything known, for an entry that may have missed some of it."""
        return self.seen_of(self.known, now)

    def seen_of(
        self, upstream_ids: Iterable[UpstreamId], now: float
    ) -> tuple[HeartbeatSeen, ...]:
        """List the newest heartbeats of some upstreams, with their age."""
        found = (self.known.get(upstream_id) for upstream_id in upstream_ids)
        return tuple(
            HeartbeatSeen(known.heartbeat, max(0.0, now - known.heard_at))
            for known in found
            if known is not None
        )
