"""Know the other gateways, from three addresses that may be stale.

Nobody keeps a list of the gateways. Each says now and then that it is there, and
whom it knows; so a gateway that reaches any other soon knows all of them.
"""

from collections import Counter
from dataclasses import dataclass, field
from enum import Enum, auto
from typing import NamedTuple, Self

from cowslipshelf_core.announcing import rank
from cowslipshelf_core.identifiers import (
    ConfigurationVersion,
    DataCentre,
    Epoch,
    InstanceId,
)
from cowslipshelf_core.messages import PeerAlive

MOST_REPLICAS_IN_MEMORY = 9
"""Replicas that a fleet without disks holds: four may be lost at once, and a change
still waits for five gateways only, however many there are."""


class PeerTableConfig(NamedTuple):
    """Say who this gateway is and whom it may ask."""

    instance: InstanceId
    epoch: Epoch
    data_centre: DataCentre
    holds_replica: bool
    """Whether a replica is held from the start on."""
    seeds: tuple[InstanceId, ...]
    has_disk: bool = True
    silence_seconds: float = 3.0
    """Silence after which a peer counts as gone: six messages lost in a row."""
    forget_seconds: float = 30.0
    """Silence after which a peer is not told of this gateway any more. Longer than
    cuts and freezes last, so that both sides find each other after one."""


class PeerChange(Enum):
    """Name what a gateway's word says beyond that it is still there."""

    NONE = auto()
    RETURNED = auto()
    """It is new here, or was silent for long."""
    RESTARTED = auto()
    """It has started again, and all that it had is gone."""


class KnownPeer(NamedTuple):
    """Be what a gateway last said of itself."""

    alive: PeerAlive | None
    """Nothing where others told of it and it has not spoken yet."""
    heard_at: float


@dataclass(slots=True)
class PeerTable:
    """Hold the gateways that were heard of."""

    config: PeerTableConfig
    seeds: tuple[InstanceId, ...]
    holds_replica: bool
    known: dict[InstanceId, KnownPeer] = field(default_factory=dict)

    @classmethod
    def from_config(cls, config: PeerTableConfig) -> Self:
        """Begin with the seeds only."""
        return cls(config, config.seeds, config.holds_replica)

    def record_alive(
        self, sender: InstanceId, alive: PeerAlive, now: float
    ) -> PeerChange:
        """Take in a message; return what it says of the sender."""
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
        """List whom to tell that this gateway is there."""
        own = self.config.instance
        return tuple(dict.fromkeys(p for p in (*self.seeds, *self.known) if p != own))

    def alive(self, now: float) -> list[InstanceId]:
        """List the other gateways that were heard lately."""
        return [peer for peer in self.known if self.is_alive(peer, now)]

    def is_alive(self, peer: InstanceId, now: float) -> bool:
        """Tell whether a gateway was heard lately."""
        known = self.known.get(peer)
        if known is None or known.alive is None:
            return False
        return now - known.heard_at <= self.config.silence_seconds

    def local_targets(self) -> tuple[InstanceId, ...]:
        """List whom to tell that are in this data centre, or might be."""
        return tuple(peer for peer in self.gossip_targets() if not self.is_remote(peer))

    def is_remote(self, peer: InstanceId) -> bool:
        """Tell whether a gateway is known to be in another data centre."""
        known = self.known.get(peer)
        if known is None or known.alive is None:
            return False
        return known.alive.data_centre != self.config.data_centre

    def local_peers(self, now: float) -> list[InstanceId]:
        """List the other gateways of this data centre that were heard lately."""
        return [peer for peer in self.alive(now) if not self.is_remote(peer)]

    def relays(self, now: float, turn: int = 0) -> list[InstanceId]:
        """Choose one gateway of each other data centre, to pass messages on there.

        The order in which a data centre's gateways are taken by turns differs from
        sender to sender, so that none passes on for all.
        """
        far: dict[DataCentre, list[InstanceId]] = {}
        for peer in self.alive(now):
            if self.is_remote(peer):
                far.setdefault(self.known[peer].alive.data_centre, []).append(peer)
        own = self.config.instance
        chosen = []
        for peers in far.values():
            peers.sort(key=lambda peer: rank(own, peer))
            chosen.append(peers[turn % len(peers)])
        return chosen

    def replicas(self) -> tuple[InstanceId, ...]:
        """List the gateways known to hold replicas, this one included."""
        holders = [peer for peer, alive in self.last_messages() if alive.holds_replica]
        if self.holds_replica:
            holders.append(self.config.instance)
        return tuple(sorted(holders))

    def replicas_to_ask(self, now: float) -> tuple[InstanceId, ...]:
        """List the replicas: the own one first, then those that were heard lately."""
        own = self.config.instance
        return tuple(
            sorted(self.replicas(), key=lambda p: (p != own, not self.is_alive(p, now)))
        )

    def last_messages(self) -> list[tuple[InstanceId, PeerAlive]]:
        """List the last word of every other gateway that has spoken."""
        return [(p, known.alive) for p, known in self.known.items() if known.alive]

    def should_hold_replica(self) -> bool:
        """Tell whether this gateway is to hold a replica beside those of the settings.

        Where no gateway has a disk, what was acknowledged lives as long as more than
        half of the replicas do. All gateways agree on who joins, without a word, as
        far as they know the same ones; one too many does no harm.
        """
        spoken = self.last_messages()
        holders = [alive for _, alive in spoken if alive.holds_replica]
        if self.config.has_disk or not holders:
            return False
        if not all(alive.replica_in_memory for alive in holders):
            return False
        own = self.config.instance
        candidates = {p: a.data_centre for p, a in spoken if not a.holds_replica}
        candidates[own] = self.config.data_centre
        taken = Counter(alive.data_centre for alive in holders)
        for _ in range(MOST_REPLICAS_IN_MEMORY - len(holders)):
            chosen = min(candidates, key=lambda p: (taken[candidates[p]], p))
            if chosen == own:
                return True
            taken[candidates.pop(chosen)] += 1
        return False

    def peers_with_newer(
        self, version: ConfigurationVersion, now: float
    ) -> tuple[InstanceId, ...]:
        """List who was heard lately and holds a later configuration than a version.

        The near ones come first, and in each group the order differs from asker to
        asker, so that no holder is everybody's first.
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
    ) -> PeerAlive:
        """Say that this gateway is there."""
        peers = (peer for peer, known in self.known.items() if known.alive)
        return PeerAlive(
            self.config.epoch,
            self.config.data_centre,
            self.holds_replica,
            version,
            tuple(peers) if with_peers else (),
            work_number,
            routes_bytes,
            self.holds_replica and not self.config.has_disk,
        )

    def forget_old(self, now: float) -> list[InstanceId]:
        """Forget the gateways that have been silent for very long."""
        old = [
            peer
            for peer, known in self.known.items()
            if now - known.heard_at > self.config.forget_seconds
        ]
        for peer in old:
            del self.known[peer]
        return old

    def bootstrap_instance(self) -> InstanceId | None:
        """Name the gateway that founds the cluster, once its choice is certain.

        All gateways of a first start have the same seeds. The lowest seed that holds a
        replica founds; a lower one must have said that it holds none. Where no seed
        does, it is the lowest gateway that the seeds know of.
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
