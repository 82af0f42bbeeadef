"""Estimate how long the disks of replicas take to make a batch durable."""

from dataclasses import dataclass, field
from typing import NamedTuple

from cowslipshelf_core.internal.agreement.records import ReplicaId

ENTRY_SAMPLES = 2
MAX_SAMPLE_AGE_SECONDS = 30.0
"""Age after which a sample is ignored."""
MAX_SYNC_SECONDS = 10.0
"""Limit on each estimate, so that the report of a peer can't block elections."""
MILLISECONDS_PER_SECOND = 1000


class SyncSample(NamedTuple):
    """Hold how long one batch took to become durable, and when."""

    seconds: float
    at: float


@dataclass(slots=True)
class SyncTimes:
    """Track sync times of the own disk, and those that other replicas report.

    Votes and terms are stored in separate files and take more syncs than entries.
    """

    votes: list[SyncSample] = field(default_factory=list)
    """Last batch with a vote or a term, if any."""
    entries: list[SyncSample] = field(default_factory=list)
    peer_seconds: dict[ReplicaId, float] = field(default_factory=dict)
    """Sync time that each other replica last reported, in seconds."""

    def record(self, seconds: float, with_vote: bool, now: float) -> None:
        """Record how long a batch took to become durable here."""
        sample = SyncSample(min(seconds, MAX_SYNC_SECONDS), now)
        if with_vote:
            self.votes = [sample]
        else:
            self.entries = [*self.entries[1 - ENTRY_SAMPLES :], sample]

    def expected(self, now: float) -> float:
        """Return the longest of the recent sync times here, in seconds."""
        recent = [
            each.seconds
            for each in (*self.votes, *self.entries)
            if now - each.at <= MAX_SAMPLE_AGE_SECONDS
        ]
        return max(recent, default=0.0)

    def record_peer(self, peer: ReplicaId, milliseconds: int) -> None:
        """Record the sync time that another replica reports, in milliseconds."""
        self.peer_seconds[peer] = min(
            max(0, milliseconds) / MILLISECONDS_PER_SECOND, MAX_SYNC_SECONDS
        )

    def retain_only(self, replicas: tuple[ReplicaId, ...]) -> None:
        """Remove the times of replicas that are not among the given ones."""
        self.peer_seconds = {
            peer: self.peer_seconds[peer]
            for peer in replicas
            if peer in self.peer_seconds
        }
