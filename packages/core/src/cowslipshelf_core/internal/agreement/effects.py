"""Define the effects that a replica asks for.

`Persist` and `SaveSnapshot` are written, in order, and synced before any other
effect of the same batch is performed; the others follow in order. Only a
`SendTo` that says so may go out while the sync is still under way.
"""

from dataclasses import dataclass
from enum import StrEnum

from cowslipshelf_core.identifiers import InstanceId
from cowslipshelf_core.internal.agreement.messages import (
    AgreementMessage,
    ProposalRefusal,
)
from cowslipshelf_core.internal.agreement.records import Entry, HardState, Snapshot


class Role(StrEnum):
    """Name what a replica does at the moment."""

    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LEADER = "leader"
    FAILED = "failed"
    """Its disk has failed; only a restart ends this."""


@dataclass(frozen=True, slots=True)
class Persist:
    """Write the hard state, cut the log from an index on, then append entries."""

    hard_state: HardState | None = None
    truncate_from: int | None = None
    entries: tuple[Entry, ...] = ()


@dataclass(frozen=True, slots=True)
class SaveSnapshot:
    """Write a snapshot, then drop entries before an index, or the whole log."""

    snapshot: Snapshot
    keep_from: int
    """First index that must stay in the log."""
    discard_log: bool = False


@dataclass(frozen=True, slots=True)
class SendTo:
    """Send a message to the replica on an instance; it may get lost."""

    instance: InstanceId
    message: AgreementMessage
    before_sync: bool = False
    """True where the batch's sync need not be waited for; waiting is safe too."""


@dataclass(frozen=True, slots=True)
class Committed:
    """Apply an entry; indexes come in order, once each for every start."""

    index: int
    entry: Entry


@dataclass(frozen=True, slots=True)
class InstallState:
    """Replace the state machine's state by a snapshot taken at an index."""

    state: bytes
    index: int


@dataclass(frozen=True, slots=True)
class SnapshotWanted:
    """Ask for `SnapshotTaken` at this index, which is the last one applied."""

    index: int


@dataclass(frozen=True, slots=True)
class ProposalRefused:
    """Say that a proposal gets no outcome here."""

    proposal_id: str
    reason: ProposalRefusal
    leader: InstanceId | None


@dataclass(frozen=True, slots=True)
class ReadConfirmed:
    """Say that a read may be answered from the state at this index or a later one."""

    read_id: str
    index: int


@dataclass(frozen=True, slots=True)
class ReadFailed:
    """Say that a read can't be answered here."""

    read_id: str
    leader: InstanceId | None


@dataclass(frozen=True, slots=True)
class RoleChanged:
    """Report a new role, term or leader."""

    role: Role
    term: int
    leader: InstanceId | None


Effect = (
    Persist
    | SaveSnapshot
    | SendTo
    | Committed
    | InstallState
    | SnapshotWanted
    | ProposalRefused
    | ReadConfirmed
    | ReadFailed
    | RoleChanged
)
