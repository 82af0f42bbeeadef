"""Track the progress of followers, and the reads and proposals that wait for them."""

from dataclasses import dataclass, field

from cowslipshelf_core.internal.agreement.records import ReplicaId, Snapshot


@dataclass(slots=True)
class PeerProgress:
    """Track how much of the log one replica has."""

    next_index: int
    tracked_since: float
    """When this leader began to replicate to it, in replica time."""
    heard_at: float | None = None
    match_index: int = 0
    read_round: int = 0
    probing: bool = True
    """Whether the last common entry is still unknown."""
    in_flight: list[int] = field(default_factory=list)
    """Last index of each unanswered message with entries."""
    last_progress_at: float = 0.0
    """When entries or chunks were last sent or confirmed, in replica time."""
    sent_commit_index: int = 0
    """Commit index that the last message let the replica apply."""
    snapshot: Snapshot | None = None
    """The snapshot that is being sent in chunks."""
    snapshot_offset: int = 0
    """Offset of the unanswered chunk, in bytes."""

    def silence(self, now: float) -> float:
        """Return the seconds since its last answer, or since it was first sent to."""
        heard = self.tracked_since if self.heard_at is None else self.heard_at
        return now - heard

    def probe_from(self, next_index: int) -> None:
        """Search for the last common entry again, with one message at a time."""
        self.next_index = next_index
        self.probing = True
        self.in_flight.clear()

    def confirm(self, match_index: int, now: float) -> None:
        """Record that the replica's synced log equals the leader's up to an index."""
        if match_index > self.match_index:
            self.match_index = match_index
            self.last_progress_at = now
        self.in_flight = [last for last in self.in_flight if last > self.match_index]
        self.next_index = max(self.next_index, self.match_index + 1)


@dataclass(slots=True)
class PendingRead:
    """Hold a read that waits until a quorum has confirmed the leader."""

    read_id: str
    read_round: int
    index: int
    asked_by: ReplicaId | None = None
    """Replica that forwarded the read; `None` if it was requested here."""


@dataclass(slots=True)
class Leadership:
    """Hold the state that a replica has only while it leads."""

    start_index: int
    """Index of the no-op at the start of the term."""
    began_at: float
    heartbeat_due: float
    term_is_durable: bool = False
    """Whether a batch before the current one has synced the term."""
    peers: dict[ReplicaId, PeerProgress] = field(default_factory=dict)
    proposals: dict[int, str] = field(default_factory=dict)
    """Ids of uncommitted proposals, by index."""
    reads: list[PendingRead] = field(default_factory=list)
    read_round: int = 0
    """Number of the last round of heartbeats that confirms reads."""
    transfer_target: ReplicaId | None = None
    transfer_deadline: float = 0.0
