"""Define the records of the replicated log and of the data folder."""

from enum import IntEnum
from typing import NamedTuple

import msgspec

from cowslipshelf_core.identifiers import InstanceId


class ReplicaId(NamedTuple):
    """Identify a replica by its instance and its data folder.

    A wiped disk gets a new folder identity and so is another replica: it can't vote
    in place of the old one, and the old one's votes and acknowledgements don't count
    for it.
    """

    instance: InstanceId
    folder: str


class Membership(NamedTuple):
    """List the replicas: voters count for a quorum, learners only replicate."""

    voters: tuple[ReplicaId, ...] = ()
    learners: tuple[ReplicaId, ...] = ()

    @property
    def replicas(self) -> tuple[ReplicaId, ...]:
        """Return the voters and the learners."""
        return self.voters + self.learners

    @property
    def quorum(self) -> int:
        """Return how many voters are a majority."""
        return len(self.voters) // 2 + 1

    def is_quorum(self, replicas: set[ReplicaId]) -> bool:
        """Return whether the given replicas include a majority of the voters."""
        return bool(self.voters) and len(replicas & set(self.voters)) >= self.quorum


class EntryKind(IntEnum):
    """Define the kinds of log entries."""

    NO_OP = 0
    COMMAND = 1
    MEMBERSHIP = 2


class Entry(NamedTuple):
    """Hold one entry of the replicated log."""

    index: int
    term: int
    at: float
    """Seconds since 1970 by the leader's clock; never decreases along the log."""
    kind: EntryKind
    payload: bytes = b""
    proposal_id: str = ""


class HardState(NamedTuple):
    """Hold what must survive a restart besides the log: term, vote and cluster."""

    term: int = 0
    voted_for: ReplicaId | None = None
    cluster: str = ""
    """Identity of the cluster, set once when joined; empty before that."""


class Snapshot(NamedTuple):
    """Hold the state that results from all entries up to an index."""

    index: int
    term: int
    at: float
    membership: Membership
    state: bytes


class StoredState(NamedTuple):
    """Hold the content of a data folder when a replica starts."""

    replica_id: ReplicaId
    hard_state: HardState = HardState()
    snapshot: Snapshot | None = None
    entries: tuple[Entry, ...] = ()


def encode_membership(membership: Membership) -> bytes:
    """Encode the payload of a membership entry."""
    return msgspec.msgpack.encode(membership)


def decode_membership(payload: bytes) -> Membership:
    """Decode the payload of a membership entry."""
    return msgspec.msgpack.decode(payload, type=Membership)
