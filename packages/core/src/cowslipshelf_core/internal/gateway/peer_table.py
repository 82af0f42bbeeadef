"""Discover the other gateways, starting from three seeds that may be stale.

There is no central list of the gateways. Each regularly sends a message that it is
alive, sometimes with the peers that it knows; so a gateway that reaches any other soon
knows all of them.
"""

from collections import Counter
from dataclasses import dataclass, field
from enum import Enum, auto
from typing import NamedTuple, Self

from cowslipshelf_core.agreement import ReplicasSeen
from cowslipshelf_core.announcing import rank
from cowslipshelf_core.identifiers import (
    ConfigurationVersion,
    DataCentre,
    Epoch,
    InstanceId,
)
from cowslipshelf_core.messages import NO_EVACUATIONS, EvacuationState, PeerAlive

MAX_REPLICAS_IN_MEMORY = 9
"""Replicas in a fleet without disks: four may be lost at once, and a change still waits
for five gateways only, however many there are."""


class PeerTableConfig(NamedTuple):
    """Configure the identity of this gateway and its seeds."""

    instance: InstanceId
    epoch: Epoch
    data_centre: DataCentre
    holds_replica: bool
    """Whether this gateway holds a replica from its start."""
    seeds: tuple[InstanceId, ...]
    has_disk: bool = True
    silence_seconds: float = 3.0
    """Silence after which a peer counts as dead: six messages lost in a row."""
    forget_seconds: float = 30.0
    """Silence after which no more messages are sent to a peer. Longer than partitions
    and freezes last, so that both sides find each other afterwards."""


class PeerChange(Enum):
    """Name what an alive message says about its sender beyond being alive."""

    NONE = auto()
    RETURNED = auto()
    """It is new here, or was silent for too long."""
    RESTARTED = auto()
    """It has restarted, and has lost its state."""


class KnownPeer(NamedTuple):
    """Hold the last alive message of a gateway."""

    alive: PeerAlive | None
    """None if it is known from other gateways only."""
    heard_at: float


@dataclass(slots=True)
class PeerTable:
    """Track the known gateways."""

    config: PeerTableConfig
    seeds: tuple[InstanceId, ...]
    holds_replica: bool
    leaving: bool = False
    """Whether this gateway is about to end, and its replica with it."""
    known: dict[InstanceId, KnownPeer] = field(default_factory=dict)

    @classmethod
    def from_config(cls, config: PeerTableConfig) -> Self:
        """Create a table with the seeds only."""
        return cls(config, config.seeds, config.holds_replica)

    def record_alive(
        self, sender: InstanceId, alive: PeerAlive, now: float
    ) -> PeerChange:
        """Record an alive message; return what it says about its sender."""
        before = self.known.get(sender)
        self.known[sender] = KnownPeer(alive, now)
        for peer in alive.peers:
            if peer not in self.known and peer != self.config.instance:
                self.known[peer] = KnownPeer(None, now)
        if before is None or before.alive is None:
            return PeerChange.RETURNED
        if before.alive.epoch != alive.epoch:
            return PeerChange.RESTARTED
        silent = now - before.heard_at > self.config.silence_seconds
        return PeerChange.RETURNED if silent else PeerChange.NONE

    def gossip_targets(self) -> tuple[InstanceId, ...]:
        """Return the gateways to send alive messages to."""
        own = self.config.instance
        return tuple(dict.fromkeys(p for p in (*self.seeds, *self.known) if p != own))

    def alive(self, now: float) -> list[InstanceId]:
        """Return the other gateways that are alive."""
        return [peer for peer in self.known if self.is_alive(peer, now)]

    def is_alive(self, peer: InstanceId, now: float) -> bool:
        """Return whether a gateway was heard from recently."""
        known = self.known.get(peer)
        if known is None or known.alive is None:
            return False
        return now - known.heard_at <= self.config.silence_seconds

    def local_targets(self) -> tuple[InstanceId, ...]:
        """Return the gossip targets that are in this data centre, or may be."""
        return tuple(peer for peer in self.gossip_targets() if not self.is_remote(peer))

    def is_remote(self, peer: InstanceId) -> bool:
        """Return whether a gateway is known to be in another data centre."""
        known = self.known.get(peer)
        if known is None or known.alive is None:
            return False
        return known.alive.data_centre != self.config.data_centre

    def local_peers(self, now: float) -> list[InstanceId]:
        """Return the other gateways of this data centre that are alive."""
        return [peer for peer in self.alive(now) if not self.is_remote(peer)]

    def relays(self, now: float, turn: int = 0) -> list[InstanceId]:
        """Choose one gateway of each other data centre to relay messages there.

        The relays of a data centre rotate by turn, in an order that differs from sender
        to sender, so that none relays for all.
        """
        remote: dict[DataCentre, list[InstanceId]] = {}
        for peer in self.alive(now):
            if self.is_remote(peer):
                remote.setdefault(self.known[peer].alive.data_centre, []).append(peer)
        own = self.config.instance
        chosen = []
        for peers in remote.values():
            peers.sort(key=lambda peer: rank(own, peer))
            chosen.append(peers[turn % len(peers)])
        return chosen

    def replicas(self) -> tuple[InstanceId, ...]:
        """Return the gateways that hold replicas, this one included."""
        holders = [peer for peer, alive in self.last_messages() if alive.holds_replica]
        if self.announces_replica:
            holders.append(self.config.instance)
        return tuple(sorted(holders))

    @property
    def announces_replica(self) -> bool:
        """Return whether this gateway tells the others that it holds a replica."""
        return self.holds_replica and not self.leaving

    def replicas_seen(self, now: float) -> ReplicasSeen:
        """Report which gateways hold replicas, and which of them may be lost."""
        silent, without_replica = set(), set()
        for peer, known in self.known.items():
            if known.alive is None:
                continue
            if not known.alive.holds_replica:
                without_replica.add(peer)
            elif now - known.heard_at > self.config.silence_seconds:
                silent.add(peer)
        return ReplicasSeen(
            self.replicas(), frozenset(silent), frozenset(without_replica)
        )

    def replicas_to_ask(self, now: float) -> tuple[InstanceId, ...]:
        """Return the replicas: the own one, those that are alive, then all others."""
        own = self.config.instance
        return tuple(
            sorted(self.replicas(), key=lambda p: (p != own, not self.is_alive(p, now)))
        )

    def last_messages(self) -> list[tuple[InstanceId, PeerAlive]]:
        """Return the last alive message of every other gateway that has sent one."""
        return [(p, known.alive) for p, known in self.known.items() if known.alive]

    def should_hold_replica(self) -> bool:
        """Return whether this gateway should add a replica to those of the settings.

        In a fleet without disks, acknowledged data survives while more than half of the
        replicas are alive. Gateways that know the same peers choose the same ones to
        join without coordination; one too many does no harm.
        """
        messages = self.last_messages()
        holders = [alive for _, alive in messages if alive.holds_replica]
        if self.config.has_disk or self.leaving or not holders:
            return False
        if not all(alive.replica_in_memory for alive in holders):
            return False
        own = self.config.instance
        candidates = {p: a.data_centre for p, a in messages if not a.holds_replica}
        candidates[own] = self.config.data_centre
        taken = Counter(alive.data_centre for alive in holders)
        for _ in range(MAX_REPLICAS_IN_MEMORY - len(holders)):
            chosen = min(candidates, key=lambda p: (taken[candidates[p]], p))
            if chosen == own:
                return True
            taken[candidates.pop(chosen)] += 1
        return False

    def peers_with_newer(
        self, version: ConfigurationVersion, now: float
    ) -> tuple[InstanceId, ...]:
        """Return the live peers that have a newer configuration than a version.

        Those of this data centre come first. In each group the order differs from
        gateway to gateway, so that no peer is the first choice of all.
        """
        own = self.config.instance
        later = [
            peer
            for peer in self.alive(now)
            if self.known[peer].alive.routes_version > version
        ]
        return tuple(sorted(later, key=lambda p: (self.is_remote(p), rank(own, p))))

    def alive_message(
        self,
        version: ConfigurationVersion,
        routes_bytes: int,
        work_number: int,
        with_peers: bool,
        evacuations: EvacuationState = NO_EVACUATIONS,
    ) -> PeerAlive:
        """Build the alive message of this gateway."""
        peers = (peer for peer, known in self.known.items() if known.alive)
        return PeerAlive(
            self.config.epoch,
            self.config.data_centre,
            self.announces_replica,
            version,
            tuple(peers) if with_peers else (),
            work_number,
            routes_bytes,
            self.announces_replica and not self.config.has_disk,
            evacuations.revision,
            evacuations.data_centres,
        )

    def forget_old(self, now: float) -> list[InstanceId]:
        """Remove the gateways that have been silent for very long."""
        old = [
            peer
            for peer, known in self.known.items()
            if now - known.heard_at > self.config.forget_seconds
        ]
        for peer in old:
            del self.known[peer]
        return old

    def bootstrap_instance(self) -> InstanceId | None:
        """Return the gateway that bootstraps the cluster, once the choice is certain.

        All gateways have the same seeds at the first start. The lowest seed that holds
        a replica bootstraps; every lower seed must have reported that it holds none. If
        no seed holds one, it is the lowest known gateway that does.
        """
        for seed in sorted(self.seeds):
            if seed == self.config.instance:
                holds = self.config.holds_replica
            else:
                known = self.known.get(seed)
                if known is None or known.alive is None:
                    return None
                holds = known.alive.holds_replica
            if holds:
                return seed
        return next(iter(self.replicas()), None)
