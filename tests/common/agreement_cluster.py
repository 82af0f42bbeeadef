"""Run replicas in memory, with a network and disks that fail on demand."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from random import Random
from typing import NamedTuple

import msgspec

from common.agreement_node import Crash, CrashPoint, MemoryDisk, Node
from cowslipshelf_core.agreement import (
    AgreementMessage,
    CommandProposed,
    Committed,
    DiskFailed,
    Effect,
    Entry,
    EntryKind,
    Event,
    InstallState,
    MembershipChange,
    MembershipProposed,
    PeerMessageArrived,
    Persist,
    ProposalRefusal,
    ProposalRefused,
    ReadAsked,
    ReadConfirmed,
    ReadFailed,
    Replica,
    ReplicaConfig,
    ReplicaId,
    Role,
    RoleChanged,
    SaveSnapshot,
    SendTo,
    SnapshotTaken,
    SnapshotWanted,
    TickElapsed,
    TransferLeadership,
)
from cowslipshelf_core.identifiers import InstanceId

MOST_MESSAGES_IN_FLIGHT = 400
SETTLE_ROUNDS = 400
SETTLE_TICK_SECONDS = 0.05

ENCODER = msgspec.msgpack.Encoder()
DECODER = msgspec.msgpack.Decoder(AgreementMessage)


class InFlight(NamedTuple):
    """Hold a message that is not delivered yet."""

    sender: InstanceId
    recipient: InstanceId
    data: bytes


@dataclass(repr=False)
class Cluster:
    """Drive replicas step by step, and check the invariants after each step."""

    config: ReplicaConfig
    random: Random
    make_disk: Callable[[InstanceId, str], MemoryDisk] = MemoryDisk
    nodes: dict[InstanceId, Node] = field(default_factory=dict)
    network: list[InFlight] = field(default_factory=list)
    isolated: set[InstanceId] = field(default_factory=set)
    split: set[InstanceId] = field(default_factory=set)
    """Instances that reach each other, but none of the others."""
    paused: set[InstanceId] = field(default_factory=set)
    """Instances whose processes stand still; messages to them wait."""
    committed: dict[int, Entry] = field(default_factory=dict)
    leaders: dict[int, ReplicaId] = field(default_factory=dict)
    acknowledged: dict[str, int] = field(default_factory=dict)
    refused: dict[str, ProposalRefusal] = field(default_factory=dict)
    reads: dict[str, int] = field(default_factory=dict)
    """Lowest index that each requested read must include."""
    confirmed_reads: dict[str, int] = field(default_factory=dict)
    failed_reads: set[str] = field(default_factory=set)
    proposed: int = 0
    folders: int = 0

    @classmethod
    def of_size(cls, size: int, seed: int = 0, **settings) -> "Cluster":
        """Start a cluster of empty replicas."""
        instances = tuple(InstanceId(f"entry-{n}") for n in range(size))
        make_disk = settings.pop("make_disk", MemoryDisk)
        config = ReplicaConfig(replica_instances=instances, **settings)
        cluster = cls(config, Random(seed), make_disk)
        for instance in instances:
            disk = cluster.new_disk(instance)
            cluster.nodes[instance] = Node(instance, disk)
            cluster.restart(instance)
        return cluster

    @classmethod
    def settled(cls, size: int = 3, seed: int = 0, **settings) -> "Cluster":
        """Start replicas, and run until the cluster has settled."""
        cluster = cls.of_size(size, seed, **settings)
        cluster.run_until(cluster.is_settled)
        return cluster

    def new_disk(self, instance: InstanceId) -> MemoryDisk:
        self.folders += 1
        return self.make_disk(instance, f"folder-{self.folders}")

    # Events and faults.

    def propose(self, instance: InstanceId, crash: Crash | None = None) -> str:
        """Propose a new command at an instance, and return its id."""
        self.proposed += 1
        proposal_id = f"proposal-{self.proposed}"
        at = self.nodes[instance].clock
        self.nodes[instance].waiting.add(proposal_id)
        event = CommandProposed(proposal_id, proposal_id.encode(), at)
        self.step(instance, [event], crash)
        return proposal_id

    def read(self, instance: InstanceId) -> str:
        """Request a linearizable read, and return its id."""
        read_id = f"read-{len(self.reads)}"
        self.reads[read_id] = max(self.acknowledged.values(), default=0)
        self.step(instance, [ReadAsked(read_id)])
        return read_id

    def change(self, instance: InstanceId, change: MembershipChange) -> str:
        """Propose a membership change, and return its id."""
        self.proposed += 1
        proposal_id = f"change-{self.proposed}"
        self.step(instance, [MembershipProposed(proposal_id, change, 0.0)])
        return proposal_id

    def acknowledge(self) -> str:
        """Propose a command at the leader, and run until it is acknowledged."""
        proposal = self.propose(self.leader().instance)
        self.run_until(lambda: proposal in self.acknowledged)
        return proposal

    def transfer(self, instance: InstanceId) -> None:
        """Ask a leader to transfer leadership."""
        self.step(instance, [TransferLeadership()])

    def fail_disk(self, instance: InstanceId) -> None:
        """Report to an instance that its disk has failed."""
        self.step(instance, [DiskFailed("no space left")])

    def deliver(
        self, position: int = 0, keep: bool = False, crash: Crash | None = None
    ) -> None:
        """Deliver a message from the network, and keep a copy there if asked."""
        item = self.network[position] if keep else self.network.pop(position)
        if {item.sender, item.recipient} & self.isolated:
            return
        if (item.sender in self.split) != (item.recipient in self.split):
            return
        message = DECODER.decode(item.data)
        self.step(item.recipient, [PeerMessageArrived(item.sender, message)], crash)

    def deliver_all(self) -> None:
        """Deliver every message that is in the network now, in order."""
        waiting, self.network = self.network, []
        held = [item for item in waiting if item.recipient in self.paused]
        for item in waiting:
            if item.recipient not in self.paused:
                self.network.insert(0, item)
                self.deliver(0)
        self.network[:0] = held

    def drop(self, position: int) -> None:
        """Lose a message."""
        del self.network[position]

    def tick(self, seconds: float) -> None:
        """Advance the clocks, and let every running instance handle a tick."""
        for node in self.nodes.values():
            node.clock += seconds
            if node.instance not in self.paused:
                self.step(node.instance, [TickElapsed()])

    def jump(self, instance: InstanceId, seconds: float) -> None:
        """Move one clock forwards or backwards."""
        self.nodes[instance].clock += seconds

    def crash(self, instance: InstanceId) -> None:
        """End a process between two batches."""
        self.nodes[instance].replica = None

    def restart(self, instance: InstanceId) -> None:
        """Start an instance from its disk."""
        node = self.nodes[instance]
        stored = node.disk.load()
        node.replica = Replica.from_config(self.config, stored)
        node.applied_index = 0
        node.commands = []
        node.waiting.clear()
        if stored.snapshot is not None:
            self.install(node, stored.snapshot.state, stored.snapshot.index)

    def wipe(self, instance: InstanceId) -> None:
        """End a process and replace its disk by an empty one."""
        self.crash(instance)
        self.nodes[instance].disk = self.new_disk(instance)

    def isolate(self, instance: InstanceId) -> None:
        """Partition an instance; messages to and from it are lost."""
        self.isolated.add(instance)

    def heal(self) -> None:
        """End all partitions."""
        self.isolated.clear()
        self.split.clear()

    def run(self, rounds: int, seconds: float = SETTLE_TICK_SECONDS) -> None:
        """Let time pass, and deliver every message."""
        for _ in range(rounds):
            self.tick(seconds)
            self.deliver_all()

    def run_until(self, condition: Callable[[], bool]) -> None:
        """Run until a condition holds, or fail after a number of rounds."""
        for _ in range(SETTLE_ROUNDS):
            if condition():
                return
            self.run(1)
        statuses = [n.replica.status() for n in self.nodes.values() if n.running]
        raise AssertionError(f"{condition.__name__} not reached: {statuses}")

    def settle(self) -> None:
        """End all faults, run until the cluster has settled, and check the outcomes."""
        self.heal()
        for node in self.nodes.values():
            if not node.running or node.replica.status().failure:
                self.restart(node.instance)
        self.run_until(self.is_settled)
        self.check_outcomes()

    # Observations.

    def leader(self) -> Node | None:
        """Return the running leader with the highest term that isn't partitioned."""
        leaders = [
            node
            for node in self.nodes.values()
            if node.leads and node.instance not in self.isolated
        ]
        return max(leaders, key=lambda n: n.replica.status().term, default=None)

    def followers(self) -> list[InstanceId]:
        """Return the instances that don't lead."""
        leader = self.leader().instance
        return [instance for instance in self.nodes if instance != leader]

    def replica_of(self, instance: InstanceId) -> ReplicaId:
        """Return the identity of the replica on an instance's disk."""
        return self.nodes[instance].disk.load().replica_id

    def is_settled(self) -> bool:
        """Return whether every member is a voter and has applied the leader's log."""
        leader = self.leader()
        if leader is None:
            return False
        status = leader.replica.status()
        behind = any(entries for _, entries in status.follower_lag)
        whole = status.commit_index == status.last_index and not behind
        applied = {
            self.nodes[replica.instance].applied_index
            for replica in status.membership.voters
        }
        known = {node.disk.load().replica_id for node in self.nodes.values()}
        current = set(status.membership.voters) <= known
        learning = status.membership.learners
        return whole and current and not learning and applied == {status.last_index}

    def is_fully_replicated(self) -> bool:
        """Return whether every voter runs on its disk and has all committed entries.

        Only then can one be wiped without losing more than a quorum tolerates.
        """
        last = max(self.committed, default=0)
        logs = {n.disk.load().replica_id: n for n in self.nodes.values()}
        memberships = set()
        for node in logs.values():
            if not node.running:
                return False
            status = node.replica.status()
            if status.last_index < last or status.commit_index < 1:
                return False
            memberships.add(status.membership)
        if len(memberships) != 1:
            return False
        voters = set(memberships.pop().voters)
        return voters <= set(logs) and len(voters) > 2

    # Handling of batches, with checks.

    def step(
        self, instance: InstanceId, events: Sequence[Event], crash: Crash | None = None
    ) -> None:
        """Let an instance handle a batch, as the replica actor of the daemon does."""
        node = self.nodes[instance]
        if not node.running:
            return
        effects = node.replica.handle_batch(events, node.clock, self.random)
        durable = [e for e in effects if isinstance(e, Persist | SaveSnapshot)]
        early = [e for e in effects if isinstance(e, SendTo) and e.before_sync]
        others = [e for e in effects if e not in durable and e not in early]
        node.disk.write(durable)
        for effect in early:
            self.perform(node, effect)
        if crash is not None and crash.point is CrashPoint.BEFORE_SYNC:
            node.disk.lose_unsynced(crash.survivors)
            self.crash(instance)
            return
        node.disk.sync()
        if crash is not None:
            amid = crash.point is CrashPoint.AMID_EFFECTS
            others = others[: crash.survivors] if amid else []
        for effect in others:
            self.perform(node, effect)
        if crash is not None:
            self.crash(instance)

    def perform(self, node: Node, effect: Effect) -> None:
        match effect:
            case SendTo(recipient, message):
                item = InFlight(node.instance, recipient, ENCODER.encode(message))
                self.network.append(item)
                del self.network[:-MOST_MESSAGES_IN_FLIGHT]
            case Committed(index, entry):
                self.apply(node, index, entry)
            case InstallState(state, index):
                assert index > node.applied_index
                self.install(node, state, index)
            case SnapshotWanted(index):
                assert index == node.applied_index
                state = ENCODER.encode(node.commands)
                self.step(node.instance, [SnapshotTaken(index, state)])
            case ProposalRefused(proposal_id, reason, _):
                assert proposal_id not in self.acknowledged
                node.waiting.discard(proposal_id)
                self.refused[proposal_id] = reason
            case ReadConfirmed(read_id, index):
                self.confirm_read(node, read_id, index)
            case ReadFailed(read_id, _):
                self.failed_reads.add(read_id)
            case RoleChanged(role, term, _):
                if role is Role.LEADER:
                    own = node.disk.load().replica_id
                    other = self.leaders.setdefault(term, own)
                    assert other == own, f"{own} and {other} lead in term {term}"

    def apply(self, node: Node, index: int, entry: Entry) -> None:
        assert index == entry.index == node.applied_index + 1
        new = index not in self.committed
        assert not (new and node.instance in self.isolated and len(self.nodes) > 1)
        known = self.committed.setdefault(index, entry)
        assert known == entry, f"two values at {index}: {known}, {entry}"
        if index > 1 and index - 1 in self.committed:
            assert entry.at >= self.committed[index - 1].at
        node.applied_index = index
        if entry.kind is EntryKind.COMMAND:
            node.commands.append(entry.proposal_id)
        if entry.proposal_id in node.waiting:
            node.waiting.remove(entry.proposal_id)
            self.acknowledged[entry.proposal_id] = index

    def install(self, node: Node, state: bytes, index: int) -> None:
        node.commands = msgspec.msgpack.decode(state, type=list[str])
        node.applied_index = index
        assert node.commands == self.commands_up_to(index)

    def confirm_read(self, node: Node, read_id: str, index: int) -> None:
        assert node.instance not in self.isolated or len(self.nodes) == 1
        assert self.reads[read_id] <= index <= node.applied_index
        self.confirmed_reads[read_id] = index

    def check_outcomes(self) -> None:
        """Check that nothing acknowledged is lost and nothing refused took effect."""
        for proposal_id, index in self.acknowledged.items():
            assert self.committed[index].proposal_id == proposal_id
        committed = {entry.proposal_id for entry in self.committed.values()}
        for proposal_id, reason in self.refused.items():
            if reason is not ProposalRefusal.OUTCOME_UNKNOWN:
                assert proposal_id not in committed
        last = max(self.committed, default=0)
        for replica in self.leader().replica.status().membership.voters:
            node = self.nodes[replica.instance]
            assert node.applied_index >= last
            assert node.commands == self.commands_up_to(node.applied_index)

    def commands_up_to(self, index: int) -> list[str]:
        """Return the commands that a state machine must have at an index."""
        entries = [self.committed[i] for i in range(1, index + 1)]
        return [e.proposal_id for e in entries if e.kind is EntryKind.COMMAND]
