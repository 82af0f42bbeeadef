"""Hold what a leader knows of the other replicas and of what waits for them."""

from dataclasses import dataclass, field

from cowslipshelf_core.internal.agreement.records import ReplicaId, Snapshot


@dataclass(slots=True)
class PeerProgress:
    """Follow how far one replica's log has come."""

    next_index: int
    heard_at: float | None = None
    match_index: int = 0
    read_round: int = 0
    probing: bool = True
    """True until the replica has confirmed a common entry."""
    in_flight: list[int] = field(default_factory=list)
    """Last index of each message with entries that is not answered yet."""
    last_progress_at: float = 0.0
    """When entries or chunks were last sent or confirmed."""
    sent_commit_index: int = 0
    """Commit index in the last message to the replica."""
    snapshot: Snapshot | None = None
    """The snapshot that is being sent in chunks."""
    snapshot_offset: int = 0
    """Offset of the chunk that is not answered yet."""

    def probe_from(self, next_index: int) -> None:
        """Find the common entry anew, one message at a time."""
        self.next_index = next_index
        self.probing = True
        self.in_flight.clear()

    def confirm(self, match_index: int, now: float) -> None:
        """Note that the replica's synced log equals the leader's up to an index."""
        if match_index > self.match_index:
            self.match_index = match_index
            self.last_progress_at = now
        self.in_flight = [last for last in self.in_flight if last > self.match_index]
        self.next_index = max(self.next_index, self.match_index + 1)


@dataclass(slots=True)
class PendingRead:
    """Be a read that waits until a quorum has confirmed the leader."""

    read_id: str
    read_round: int
    index: int
    asked_by: ReplicaId | None = None
    """The replica that forwarded the read; nothing where it was asked here."""


@dataclass(slots=True)
class Leadership:
    """Be what a replica keeps only while it leads."""

    start_index: int
    """Index of the no-op that began the term."""
    began_at: float
    heartbeat_due: float
    term_is_durable: bool = False
    """Whether the term was synced by an earlier batch than the present one."""
    peers: dict[ReplicaId, PeerProgress] = field(default_factory=dict)
    proposals: dict[int, str] = field(default_factory=dict)
    reads: list[PendingRead] = field(default_factory=list)
    read_round: int = 0
    transfer_target: ReplicaId | None = None
    transfer_deadline: float = 0.0
