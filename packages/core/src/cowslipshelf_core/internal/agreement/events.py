"""Define the events that a replica handles."""

from dataclasses import dataclass

from cowslipshelf_core.identifiers import InstanceId
from cowslipshelf_core.internal.agreement.messages import AgreementMessage
from cowslipshelf_core.internal.agreement.records import ReplicaId


@dataclass(frozen=True, slots=True)
class TickElapsed:
    """Report that time has passed, so that due timers are handled."""


@dataclass(frozen=True, slots=True)
class PeerMessageArrived:
    """Deliver a message from another instance."""

    sender: InstanceId
    message: AgreementMessage


@dataclass(frozen=True, slots=True)
class CommandProposed:
    """Ask for a command to be committed; the state machine removes duplicates."""

    proposal_id: str
    command: bytes
    at: float
    """Seconds since 1970 by the clock of this instance."""


@dataclass(frozen=True, slots=True)
class AddReplica:
    """Add a replica as a learner; it replaces an older folder of its instance."""

    replica_id: ReplicaId


@dataclass(frozen=True, slots=True)
class RemoveReplica:
    """Remove a replica."""

    replica_id: ReplicaId


MembershipChange = AddReplica | RemoveReplica


@dataclass(frozen=True, slots=True)
class MembershipProposed:
    """Ask for a membership change of one replica."""

    proposal_id: str
    change: MembershipChange
    at: float


@dataclass(frozen=True, slots=True)
class ReadAsked:
    """Ask for a linearizable read.

    The confirmed index covers every change that was acknowledged before this event.
    """

    read_id: str


@dataclass(frozen=True, slots=True)
class SnapshotTaken:
    """Deliver the snapshot of the state machine that `SnapshotWanted` requested."""

    index: int
    state: bytes


@dataclass(frozen=True, slots=True)
class TransferLeadership:
    """Ask the leader to transfer leadership to the most caught-up voter.

    Sent before a shutdown, so that no election timeout passes without a leader.
    """


@dataclass(frozen=True, slots=True)
class ReplicasSeen:
    """Report which instances hold replicas now, and which of them may be lost."""

    replicas: tuple[InstanceId, ...]
    silent: frozenset[InstanceId] = frozenset()
    """Those that no longer say that they are alive."""
    without_replica: frozenset[InstanceId] = frozenset()
    """Instances that say that they hold no replica, or won't for long."""


@dataclass(frozen=True, slots=True)
class BootstrapCluster:
    """Ask an empty replica to start a cluster as its only voter; others join it."""


@dataclass(frozen=True, slots=True)
class DiskFailed:
    """Report that a write or sync failed, so that nothing after it is durable."""

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
