"""Define the messages between replicas, and from their clients."""

from enum import StrEnum

from cowslipshelf_core.identifiers import InstanceId
from cowslipshelf_core.internal.agreement.records import Entry, Membership
from cowslipshelf_core.messages import Message


class ProposalRefusal(StrEnum):
    """Define why a proposal got no outcome, and whether it may still take effect."""

    NOT_LEADER = "not_leader"
    """Not appended: another replica leads."""
    NO_QUORUM = "no_quorum"
    """Not appended: no leader with a quorum is known."""
    OVERLOADED = "overloaded"
    """Not appended: too many proposals wait for their commit."""
    TRANSFERRING = "transferring"
    """Not appended: the leader is transferring its leadership."""
    MEMBERSHIP_BUSY = "membership_busy"
    """Not appended: the previous membership change is not complete."""
    BAD_MEMBERSHIP = "bad_membership"
    """Not appended: the change is invalid for the current membership."""
    DISK_FAILED = "disk_failed"
    """Not appended: the disk of the replica has failed."""
    OUTCOME_UNKNOWN = "outcome_unknown"
    """Appended to a log, and may still be committed or lost."""


class ReplicaMessage(Message, frozen=True):
    """Hold the fields that all messages between members of a cluster share.

    Sender and recipient are identified by their data folders. So a message for a
    disk that was wiped is not taken by the new disk, and late messages of the old
    disk are not counted.
    """

    sender_folder: str
    recipient_folder: str
    cluster: str
    term: int


class VoteAsked(ReplicaMessage, frozen=True):
    """Ask for a vote, or, as a pre-vote, whether it would be granted."""

    last_index: int
    last_term: int
    pre_vote: bool
    transfer: bool = False
    """Whether the leader itself asked for this election."""
    sync_ms: int = 0
    """Time that the sender expects its disk to take for a sync."""


class VoteAnswered(ReplicaMessage, frozen=True):
    """Answer a request for a vote or pre-vote."""

    granted: bool
    pre_vote: bool
    sync_ms: int = 0


class AppendEntries(ReplicaMessage, frozen=True):
    """Send entries that follow a previous one; without entries, a heartbeat."""

    previous_index: int
    previous_term: int
    commit_index: int
    read_round: int
    entries: tuple[Entry, ...] = ()
    sync_ms: int = 0


class EntriesAppended(ReplicaMessage, frozen=True):
    """Confirm up to which index the sender's synced log equals the leader's."""

    match_index: int
    read_round: int
    sync_ms: int = 0


class AppendRefused(ReplicaMessage, frozen=True):
    """Report that the log differs at the previous entry, and where to retry."""

    previous_index: int
    read_round: int
    conflict_term: int
    """Term at the previous index; zero if the log is shorter."""
    conflict_index: int
    """First index of that term, or one past the end of the log."""


class InstallSnapshot(ReplicaMessage, frozen=True):
    """Send one chunk of a snapshot."""

    snapshot_index: int
    snapshot_term: int
    snapshot_at: float
    membership: Membership
    read_round: int
    offset: int
    data: bytes
    last: bool


class SnapshotReceived(ReplicaMessage, frozen=True):
    """Report the offset of the next chunk of a snapshot."""

    snapshot_index: int
    next_offset: int
    read_round: int


class ReadIndexAsked(ReplicaMessage, frozen=True):
    """Ask the leader for the lowest index at which a read may be answered."""

    read_id: str


class ReadIndexAnswered(ReplicaMessage, frozen=True):
    """Return the read index, after a quorum has confirmed the leader."""

    read_id: str
    index: int


class TimeoutNow(ReplicaMessage, frozen=True):
    """Ask the recipient to start an election at once."""


class JoinAsked(Message, frozen=True):
    """Ask to be added to the cluster."""

    sender_folder: str
    cluster: str
    """Empty if the sender's data folder is empty."""


class JoinAnswered(Message, frozen=True):
    """Answer that the data folder of the sender is empty as well."""

    sender_folder: str
    recipient_folder: str


class Propose(Message, frozen=True):
    """Ask a replica to append a command; the command must be safe to repeat."""

    proposal_id: str
    command: bytes


class ProposalResult(Message, frozen=True):
    """Answer a proposal with the outcome of its command or with a refusal."""

    proposal_id: str
    index: int
    """Index at which the command was applied; zero if it was refused."""
    outcome: bytes
    refusal: ProposalRefusal | None = None
    leader: InstanceId | None = None


AgreementMessage = (
    VoteAsked
    | VoteAnswered
    | AppendEntries
    | EntriesAppended
    | AppendRefused
    | InstallSnapshot
    | SnapshotReceived
    | ReadIndexAsked
    | ReadIndexAnswered
    | TimeoutNow
    | JoinAsked
    | JoinAnswered
    | Propose
    | ProposalResult
)
