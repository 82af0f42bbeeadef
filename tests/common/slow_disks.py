"""Simulate replicas with slow disks, scheduled as the daemon's actor runs them."""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from cowslipshelf_core.agreement import (
    BootstrapCluster,
    CommandProposed,
    Committed,
    Effect,
    Event,
    PeerMessageArrived,
    Persist,
    ProposalRefused,
    Replica,
    ReplicaConfig,
    ReplicaId,
    ReplicasSeen,
    Role,
    RoleChanged,
    SaveSnapshot,
    SendTo,
    StoredState,
    TickElapsed,
)

STEP_SECONDS = 0.01
TICK_SECONDS = 0.05
LINK_SECONDS = 0.01


@dataclass
class SlowNode:
    """Hold one replica, which handles no events while its disk is writing."""

    replica: Replica
    inbox: deque[tuple[float, Event]] = field(default_factory=deque)
    held: list[Effect] = field(default_factory=list)
    """Effects to perform once the last batch is durable."""
    began: float = 0.0
    busy_until: float | None = None
    with_vote: bool = False
    tick_due: float = 0.0


@dataclass
class SlowFleet:
    """Simulate replicas that bootstrap a cluster on disks of different speeds."""

    nodes: dict[str, SlowNode]
    random: Random
    sync_seconds: Callable[[str, float], float]
    """Duration of one sync, by instance and simulated time."""
    now: float = 0.0
    leaders: dict[int, str] = field(default_factory=dict)
    role_changes: list[tuple[float, str, Role]] = field(default_factory=list)
    committed: dict[int, object] = field(default_factory=dict)
    refused: set[str] = field(default_factory=set)
    acknowledged: set[str] = field(default_factory=set)

    @classmethod
    def of_size(
        cls, size: int, seed: int, sync_seconds: Callable[[str, float], float]
    ) -> "SlowFleet":
        """Create replicas with empty disks; the first one bootstraps the cluster."""
        names = tuple(f"replica-{number}" for number in range(size))
        config = ReplicaConfig(
            names,
            heartbeat_seconds=0.25,
            election_seconds=1.0,
            lease_seconds=1.0,
            open_membership=True,
            max_failures=1,
        )
        nodes = {}
        for name in names:
            stored = StoredState(ReplicaId(name, f"folder-of-{name}"))
            nodes[name] = SlowNode(Replica.from_config(config, stored))
        fleet = cls(nodes, Random(seed), sync_seconds)
        for name in names:
            fleet.put(name, ReplicasSeen(names), 0.0)
        fleet.put(names[0], BootstrapCluster(), 0.0)
        return fleet

    def put(self, name: str, event: Event, delay: float) -> None:
        """Deliver an event to a replica after a delay, if the replica exists."""
        if name in self.nodes:
            self.nodes[name].inbox.append((self.now + delay, event))

    def propose(self, name: str, proposal_id: str) -> None:
        """Propose a command to a replica."""
        self.put(name, CommandProposed(proposal_id, b"x", 0.0), 0.0)

    def run(self, seconds: float) -> None:
        """Advance the simulated time."""
        ends = self.now + seconds
        while self.now < ends:
            self.now += STEP_SECONDS
            for name, node in self.nodes.items():
                self.step(name, node)

    def run_until(self, condition: Callable[[], bool], seconds: float) -> float:
        """Run until a condition holds; return the time taken, or fail after a limit."""
        began = self.now
        while not condition():
            assert self.now - began < seconds, self.describe()
            self.run(STEP_SECONDS)
        return self.now - began

    def step(self, name: str, node: SlowNode) -> None:
        """Let a replica handle its pending events, unless its disk is writing."""
        if node.busy_until is not None:
            if self.now < node.busy_until:
                return
            self.finish(name, node)
        events = self.waiting(node)
        if not events:
            return
        effects = node.replica.handle_batch(events, self.now, self.random)
        writes = [e for e in effects if isinstance(e, Persist | SaveSnapshot)]
        votes = [e for e in writes if isinstance(e, Persist) and e.hard_state]
        node.held = effects
        node.with_vote = bool(votes)
        node.began = self.now
        syncs = (2 if votes else 0) + (1 if any_entries(writes) else 0)
        node.busy_until = self.now + sum(
            self.sync_seconds(name, self.now) for _ in range(syncs)
        )
        if not writes:
            self.finish(name, node)

    def waiting(self, node: SlowNode) -> list[Event]:
        """Remove and return the events that have arrived, with a tick if one is due."""
        events: list[Event] = []
        if self.now >= node.tick_due:
            node.tick_due = self.now + TICK_SECONDS
            events.append(TickElapsed())
        while node.inbox and node.inbox[0][0] <= self.now:
            events.append(node.inbox.popleft()[1])
        return events

    def finish(self, name: str, node: SlowNode) -> None:
        """Perform the effects of a batch that is durable."""
        if any(isinstance(e, Persist | SaveSnapshot) for e in node.held):
            node.replica.sync_ended(self.now - node.began, node.with_vote)
        effects, node.held, node.busy_until = node.held, [], None
        for effect in effects:
            self.perform(name, effect)

    def perform(self, name: str, effect: Effect) -> None:
        """Perform one effect."""
        match effect:
            case SendTo(instance, message):
                self.put(instance, PeerMessageArrived(name, message), LINK_SECONDS)
            case Committed(index, entry):
                assert self.committed.setdefault(index, entry) == entry
                self.acknowledged.add(entry.proposal_id)
            case ProposalRefused(proposal_id):
                self.refused.add(proposal_id)
            case RoleChanged(role, term, _):
                self.role_changes.append((self.now, name, role))
                if role is Role.LEADER:
                    assert self.leaders.setdefault(term, name) == name

    def leader(self) -> str | None:
        """Return the leader of the latest term, if there is one."""
        leading = {
            status.term: name
            for name, node in self.nodes.items()
            if (status := node.replica.status()).role is Role.LEADER
        }
        return leading[max(leading)] if leading else None

    def voters(self) -> int:
        """Return the leader's number of voters."""
        leader = self.leader()
        if leader is None:
            return 0
        return len(self.nodes[leader].replica.status().membership.voters)

    def describe(self) -> str:
        """Return a summary for a failed assertion."""
        return f"at {self.now:.1f} s, {self.voters()} voters: {self.role_changes[-30:]}"


def any_entries(writes: list[Persist | SaveSnapshot]) -> bool:
    """Return whether the log itself is written."""
    return any(
        isinstance(each, SaveSnapshot) or each.entries or each.truncate_from
        for each in writes
    )
