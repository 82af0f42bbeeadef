"""Remember the gateways that may be sending to upstreams.

What all gateways together must keep can't be divided among those that hear each other:
the others may be on the other side of a network partition, and at work.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

from cowslipshelf_core.announcing import rank
from cowslipshelf_core.identifiers import InstanceId, UpstreamId
from cowslipshelf_core.internal.gateway.limit_messages import GatewayHeard

MEMORY_SECONDS = 600.0
"""Time for which a gateway that is silent counts as one that may still send. Longer
than regions lose each other."""


@dataclass(slots=True)
class KnownGateways:
    """Hold when each other gateway was last alive."""

    own: InstanceId
    seeds: frozenset[InstanceId] = frozenset()
    """Gateways that are counted until any is heard."""
    alive: frozenset[InstanceId] = frozenset()
    """Other gateways that are alive."""
    heard_at: dict[InstanceId, float] = field(default_factory=dict)

    def update(self, alive: Iterable[InstanceId], now: float) -> None:
        """Record which other gateways are alive, and forget very old ones."""
        self.alive = frozenset(alive)
        self.heard_at |= dict.fromkeys(self.alive, now)
        for instance, at in list(self.heard_at.items()):
            if now - at > MEMORY_SECONDS:
                del self.heard_at[instance]

    def merge(self, heard: Iterable[GatewayHeard], now: float) -> None:
        """Record gateways that another one has heard."""
        for instance, age in heard:
            if instance != self.own:
                at = max(now - age, self.heard_at.get(instance, now - age))
                self.heard_at[instance] = at

    def heard(self, now: float) -> tuple[GatewayHeard, ...]:
        """List the other gateways, for one that has started.

        Without them it would count only those on its side of a network partition.
        """
        return tuple(
            GatewayHeard(instance, now - at) for instance, at in self.heard_at.items()
        )

    @property
    def reached(self) -> int:
        """Return how many gateways are alive, this one included."""
        return len(self.alive) + 1

    @property
    def count(self) -> int:
        """Return how many gateways may be sending, this one included."""
        heard = len(self.heard_at) + 1
        return heard if self.alive else max(heard, len(self.seeds | {self.own}))

    def first_alive(self, upstream_id: UpstreamId) -> InstanceId:
        """Return the gateway that rendezvous hashing chooses among those alive."""
        return first_ranked(upstream_id, (*self.alive, self.own))

    def is_first(self, upstream_id: UpstreamId) -> bool:
        """Return whether this gateway is chosen among all that may be sending."""
        return first_ranked(upstream_id, (*self.heard_at, self.own)) == self.own


def first_ranked(
    upstream_id: UpstreamId, instances: Iterable[InstanceId]
) -> InstanceId:
    """Return the gateway that rendezvous hashing chooses for an upstream."""
    return min(instances, key=lambda each: (rank(upstream_id, each), each))
