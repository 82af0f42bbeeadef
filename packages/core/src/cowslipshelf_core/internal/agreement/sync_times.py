"""Estimate how long a replica's disk takes to make a batch durable."""

from dataclasses import dataclass, field
from typing import NamedTuple

from cowslipshelf_core.internal.agreement.records import ReplicaId

ENTRY_SAMPLES = 2
MAX_SAMPLE_AGE_SECONDS = 30.0
"""Age at which a sample says nothing more of the disk."""
MAX_SYNC_SECONDS = 10.0
"""Bound on what is expected, so that no word of a peer stops elections for good."""
MILLISECONDS_PER_SECOND = 1000


class SyncSample(NamedTuple):
    """Be one batch that became durable."""

    seconds: float
    at: float


@dataclass(slots=True)
class SyncTimes:
    """Know what syncs cost here, and at the other replicas by their own word.

    Votes and terms are in files of their own and take more syncs than entries do.
    """

    votes: list[SyncSample] = field(default_factory=list)
    """The last batch with a vote or a term, if there was one."""
    entries: list[SyncSample] = field(default_factory=list)
    peer_seconds: dict[ReplicaId, float] = field(default_factory=dict)

    def record(self, seconds: float, with_vote: bool, now: float) -> None:
        """Take in how long a batch took to be durable here."""
        sample = SyncSample(min(seconds, MAX_SYNC_SECONDS), now)
        if with_vote:
            self.votes = [sample]
        else:
            self.entries = [*self.entries[1 - ENTRY_SAMPLES :], sample]

    def expected(self, now: float) -> float:
        """Return the time to expect here, in seconds: the longest of the last ones."""
        recent = [
            each.seconds
            for each in (*self.votes, *self.entries)
            if now - each.at <= MAX_SAMPLE_AGE_SECONDS
        ]
        return max(recent, default=0.0)

    def record_peer(self, peer: ReplicaId, milliseconds: int) -> None:
        """Take in what another replica expects of its disk."""
        self.peer_seconds[peer] = min(
            max(0, milliseconds) / MILLISECONDS_PER_SECOND, MAX_SYNC_SECONDS
        )

    def retain_only(self, replicas: tuple[ReplicaId, ...]) -> None:
        """Forget replicas that are not among these."""
        self.peer_seconds = {
            peer: self.peer_seconds[peer]
            for peer in replicas
            if peer in self.peer_seconds
        }
