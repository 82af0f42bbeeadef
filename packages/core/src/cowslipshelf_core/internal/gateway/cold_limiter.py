"""Limit the requests that all gateways together send to an upstream that is cold.

An upstream that has just started sustains few requests and crashes well above that. The
limit must hold between gateways that can't reach each other, so it is not negotiated:
each gateway sends a fixed number of requests to a cold upstream in a fixed time, and
only some of the gateways send any. A gateway that knows others than the rest do differs
in which upstreams it serves, and not in how much it sends.
"""

from collections import Counter
from collections.abc import Collection, Iterable, Set
from dataclasses import dataclass, field
from typing import NamedTuple, Self

from cowslipshelf_core.announcing import rank
from cowslipshelf_core.identifiers import (
    DataCentre,
    InstanceId,
    UpstreamId,
    UpstreamName,
)
from cowslipshelf_core.internal.gateway.configuration import ServiceConfiguration
from cowslipshelf_core.internal.gateway.registry import KnownUpstream
from cowslipshelf_core.internal.gateway.upstream_start import UpstreamStart

SEND_INTERVAL_SECONDS = 1.25
"""Time in which a gateway sends one request to a cold upstream. The limit counts
arrivals in any second, and a request arrives at most 0.25 s after it was sent."""
CHOSEN_SHARE = 0.5
"""Share of the limit that goes to the gateways that know each other. The two halves of
a network partition each choose their own after they have forgotten the other half."""
START_SECONDS = 3.0
"""Time after its start in which a gateway doesn't know which gateways serve a cold
upstream: alive messages come every second, and two may be lost."""
NEW_START_HEARTBEATS = 2
"""Heartbeats after the start of a gateway in which it hears of all upstreams; one that
is first heard later has just started itself."""
MAX_COLD_RATIO = 10.0
"""Longest cold time of a heartbeat, as a multiple of the configured one."""
MIN_RETRY_SECONDS = 0.1
"""Least time to retry after; the next request of another caller may take the room."""


class ColdLimiterConfig(NamedTuple):
    """Configure the limit of a deployment, and the identity of this gateway."""

    instance: InstanceId
    started_at: float
    """Time at which this gateway started."""
    heartbeat_seconds: float
    """Interval between heartbeats of an upstream."""
    over: float
    """Requests allowed in a second, as a multiple of what a cold upstream sustains;
    zero if there is no limit."""
    slack: float
    """Requests allowed in addition."""


class ColdChoice(NamedTuple):
    """Hold which upstreams of a service may get a request now."""

    blocked: frozenset[UpstreamId] = frozenset()
    """Cold upstreams without room."""
    cold: frozenset[UpstreamId] = frozenset()
    """Cold upstreams with room."""
    retry_after_seconds: float = 0.0
    """Time until a blocked upstream may have room, if there is any."""


UNLIMITED = ColdChoice()


@dataclass(slots=True)
class ColdLimiter:
    """Decide whether this gateway may send to cold upstreams, by what it has sent.

    Sent requests are kept by the name of an upstream, since a request to a former start
    may reach the next one at the same address.
    """

    config: ColdLimiterConfig
    sent_at: dict[UpstreamName, float] = field(default_factory=dict)
    """Time of the last request sent to each upstream, cold or not."""
    reserved: Counter[UpstreamName] = field(default_factory=Counter)
    """Attempts placed on each upstream whose request has not been sent."""
    restored_at: dict[DataCentre, float] = field(default_factory=dict)
    """Time at which the evacuation of each data centre ended."""
    gateways: frozenset[InstanceId] = frozenset()
    """Other gateways for which `served` was computed."""
    served: dict[tuple[UpstreamName, int], bool] = field(default_factory=dict)
    """Whether this gateway serves an upstream that so many gateways serve."""

    @classmethod
    def from_config(cls, config: ColdLimiterConfig) -> Self:
        """Create a limiter that has sent nothing."""
        return cls(config)

    def is_limited(self, service: ServiceConfiguration) -> bool:
        """Return whether cold upstreams of a service have a limit."""
        limited = self.config.over > 0 and service.cold_requests_per_second > 0
        return limited and service.cold_seconds > 0

    def cold_until(self, service: ServiceConfiguration, known: KnownUpstream) -> float:
        """Return the end of an upstream's cold time, which may have passed."""
        ends = []
        if known.cold is not None:
            most = MAX_COLD_RATIO * service.cold_seconds
            ends.append(known.cold.heard_at + min(known.cold.left_seconds, most))
        uptime = known.first_heard_at - self.config.started_at
        if uptime > NEW_START_HEARTBEATS * self.config.heartbeat_seconds:
            ends.append(known.first_heard_at + service.cold_seconds)
        restored_at = self.restored_at.get(known.heartbeat.data_centre)
        if restored_at is not None:
            ends.append(restored_at + service.cold_seconds)
        return max(ends, default=self.config.started_at)

    def cold_upstreams(
        self,
        service: ServiceConfiguration,
        upstreams: Iterable[KnownUpstream],
        now: float,
    ) -> dict[UpstreamId, float]:
        """Return the cold upstreams of a service, and how long each stays cold."""
        if not self.is_limited(service):
            return {}
        left = (
            (known.start.upstream_id, self.cold_until(service, known) - now)
            for known in upstreams
        )
        return {upstream_id: seconds for upstream_id, seconds in left if seconds > 0}

    def choose(
        self,
        service: ServiceConfiguration,
        upstreams: Collection[KnownUpstream],
        gateways: Set[InstanceId],
        now: float,
    ) -> ColdChoice:
        """Return which upstreams of a service may get a request now.

        `gateways` are the other gateways that were heard within the last 30 s. Those
        that were silent for less time count too: they may still be sending.
        """
        cold = self.cold_upstreams(service, upstreams, now)
        if not cold:
            return UNLIMITED
        waits = {
            upstream_id: self.wait_seconds(service, upstream_id, gateways, now)
            for upstream_id in cold
        }
        if self.is_starting(gateways, now):
            # Any cold upstream may be served by enough gateways already, so this one
            # sends a single request, and only if nothing else could answer it.
            alone = (
                max(waits.values()) if len(cold) == len(upstreams) else START_SECONDS
            )
            waits = dict.fromkeys(cold, alone)
        blocked = frozenset(each for each, wait in waits.items() if wait >= 0)
        retry_after = min((min(waits[each], cold[each]) for each in blocked), default=0)
        return ColdChoice(
            blocked,
            frozenset(cold) - blocked,
            max(MIN_RETRY_SECONDS, retry_after) if blocked else 0.0,
        )

    def wait_seconds(
        self,
        service: ServiceConfiguration,
        upstream_id: UpstreamId,
        gateways: Set[InstanceId],
        now: float,
    ) -> float:
        """Return the time until a cold upstream has room, below zero if it has.

        Exactly at the end of the interval there is none yet, since two arrivals might
        be one second apart. For an upstream that this gateway doesn't serve, it is the
        time after which another gateway has room again.
        """
        name = UpstreamStart.of(upstream_id).name
        starting = self.is_starting(gateways, now)
        if self.reserved[name] or not (
            starting or self.serves(service, name, gateways)
        ):
            return SEND_INTERVAL_SECONDS
        # This process may have sent a request just before it was restarted.
        sent_at = max(self.sent_at.get(name, 0.0), self.config.started_at)
        return sent_at + SEND_INTERVAL_SECONDS - now

    def is_starting(self, gateways: Set[InstanceId], now: float) -> bool:
        """Return whether this gateway may not know enough of the other gateways."""
        return not gateways or now - self.config.started_at < START_SECONDS

    def serves(
        self,
        service: ServiceConfiguration,
        name: UpstreamName,
        gateways: Set[InstanceId],
    ) -> bool:
        """Return whether this gateway is among those that serve a cold upstream.

        They are chosen by rendezvous hashing. A gateway that knows all gateways that
        can reach it is chosen only if it is also chosen among those alone, so each half
        of a partition has no more than the number below.
        """
        limit = service.cold_requests_per_second * self.config.over + self.config.slack
        most = int(CHOSEN_SHARE * limit)
        if self.gateways != gateways:
            self.gateways = frozenset(gateways)
            self.served = {}
        key = (name, most)
        if key not in self.served:
            own = rank(UpstreamId(name), self.config.instance)
            before = sum(rank(UpstreamId(name), each) < own for each in self.gateways)
            self.served[key] = before < most
        return self.served[key]

    def data_centre_restored(self, data_centre: DataCentre, now: float) -> None:
        """Record that the evacuation of a data centre ended."""
        self.restored_at[data_centre] = now

    def reserve(self, upstream_ids: Iterable[UpstreamId]) -> None:
        """Take the room of upstreams for an attempt that is about to be sent."""
        self.reserved.update(UpstreamStart.of(each).name for each in upstream_ids)

    def release(self, upstream_ids: Iterable[UpstreamId]) -> None:
        """Return the reserved room; what was sent meanwhile still counts."""
        for upstream_id in upstream_ids:
            name = UpstreamStart.of(upstream_id).name
            self.reserved[name] -= 1
            if not self.reserved[name]:
                del self.reserved[name]

    def record_sent(self, upstream_ids: Iterable[UpstreamId], now: float) -> None:
        """Record a request that is sent to upstreams now."""
        for upstream_id in upstream_ids:
            self.sent_at[UpstreamStart.of(upstream_id).name] = now

    def forget_old(self, now: float) -> None:
        """Drop the requests that no longer count."""
        self.sent_at = {
            name: at
            for name, at in self.sent_at.items()
            if now - at <= SEND_INTERVAL_SECONDS
        }
