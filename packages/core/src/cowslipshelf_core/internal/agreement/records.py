"""Define what replicas store and agree on."""

from enum import IntEnum
from typing import NamedTuple

import msgspec

from cowslipshelf_core.identifiers import InstanceId


class ReplicaId(NamedTuple):
    """Name a replica by its instance and by the data folder that it writes to.

    A wiped disk gets a new folder identity and so is another replica: it can
    neither vote nor be counted for what the old folder had promised.
    """

    instance: InstanceId
    folder: str


class Membership(NamedTuple):
    """List the replicas: voters count for a quorum, learners only catch up."""

    voters: tuple[ReplicaId, ...] = ()
    learners: tuple[ReplicaId, ...] = ()

    @property
    def replicas(self) -> tuple[ReplicaId, ...]:
        """Return voters and learners."""
        return self.voters + self.learners

    @property
    def quorum(self) -> int:
        """Return how many voters decide."""
        return len(self.voters) // 2 + 1

    def is_quorum(self, replicas: set[ReplicaId]) -> bool:
        """Tell whether enough of the given replicas are voters."""
        return bool(self.voters) and len(replicas & set(self.voters)) >= self.quorum


class EntryKind(IntEnum):
    """Tell what an entry of the log is for."""

    NO_OP = 0
    COMMAND = 1
    MEMBERSHIP = 2


class Entry(NamedTuple):
    """Be one entry of the replicated log."""

    index: int
    term: int
    at: float
    """Seconds since 1970 by the leader's clock; it never falls along the log."""
    kind: EntryKind
    payload: bytes = b""
    proposal_id: str = ""


class HardState(NamedTuple):
    """Be what a replica must not forget between two votes."""

    term: int = 0
    voted_for: ReplicaId | None = None
    cluster: str = ""
    """Identity of the cluster joined for good; empty before that."""


class Snapshot(NamedTuple):
    """Stand for all entries up to an index."""

    index: int
    term: int
    at: float
    membership: Membership
    state: bytes


class StoredState(NamedTuple):
    """Be everything that a data folder holds when a replica starts."""

    replica_id: ReplicaId
    hard_state: HardState = HardState()
    snapshot: Snapshot | None = None
    entries: tuple[Entry, ...] = ()


def encode_membership(membership: Membership) -> bytes:
    """Return the payload of a membership entry."""
    return msgspec.msgpack.encode(membership)


def decode_membership(payload: bytes) -> Membership:
    """Read the payload of a membership entry."""
    return msgspec.msgpack.decode(payload, type=Membership)
