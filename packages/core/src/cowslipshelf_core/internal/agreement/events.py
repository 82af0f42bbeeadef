"""Define the events that a replica handles."""

from dataclasses import dataclass

from cowslipshelf_core.identifiers import InstanceId
from cowslipshelf_core.internal.agreement.messages import AgreementMessage
from cowslipshelf_core.internal.agreement.records import ReplicaId


@dataclass(frozen=True, slots=True)
class TickElapsed:
    """Let the replica look at the time."""


@dataclass(frozen=True, slots=True)
class PeerMessageArrived:
    """Bring a message from another instance."""

    sender: InstanceId
    message: AgreementMessage


@dataclass(frozen=True, slots=True)
class CommandProposed:
    """Ask for a command to be committed; the replica removes no duplicates."""

    proposal_id: str
    command: bytes
    at: float
    """Seconds since 1970 on this instance's clock."""


@dataclass(frozen=True, slots=True)
class AddReplica:
    """Take in a replica as a learner; it replaces an older folder of its instance."""

    replica_id: ReplicaId


@dataclass(frozen=True, slots=True)
class RemoveReplica:
    """Let a replica go."""

    replica_id: ReplicaId


MembershipChange = AddReplica | RemoveReplica


@dataclass(frozen=True, slots=True)
class MembershipProposed:
    """Ask for a change by one replica."""

    proposal_id: str
    change: MembershipChange
    at: float


@dataclass(frozen=True, slots=True)
class ReadAsked:
    """Ask for an index that includes every change answered before this question."""

    read_id: str


@dataclass(frozen=True, slots=True)
class SnapshotTaken:
    """Bring the state machine's snapshot at the index that was asked for."""

    index: int
    state: bytes


@dataclass(frozen=True, slots=True)
class TransferLeadership:
    """Ask the leader to hand over to the best other voter, before a shutdown."""


@dataclass(frozen=True, slots=True)
class ReplicasSeen:
    """Tell which instances hold replicas now."""

    replicas: tuple[InstanceId, ...]


@dataclass(frozen=True, slots=True)
class BootstrapCluster:
    """Ask an empty replica to found the cluster alone; the others join it."""


@dataclass(frozen=True, slots=True)
class DiskFailed:
    """Say that a write or sync failed, so that nothing after it is durable."""

    reason: str


Event = (
    TickElapsed
    | PeerMessageArrived
    | CommandProposed
    | MembershipProposed
    | ReadAsked
    | SnapshotTaken
    | TransferLeadership
    | ReplicasSeen
    | BootstrapCluster
    | DiskFailed
)
