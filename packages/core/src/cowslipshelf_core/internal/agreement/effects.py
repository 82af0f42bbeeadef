"""Define the effects that a replica requests from its caller.

The caller writes `Persist` and `SaveSnapshot` in order and syncs them before it
performs any other effect of the same batch; the others follow in order. Only a
`SendTo` with `before_sync` may be sent while the sync is still running.
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
    """Define the current role of a replica."""

    FOLLOWER = "follower"
    CANDIDATE = "candidate"
    LEADER = "leader"
    FAILED = "failed"
    """Its disk has failed; it stays in this role until a restart."""


@dataclass(frozen=True, slots=True)
class Persist:
    """Write the hard state, truncate the log from an index on, then append entries."""

    hard_state: HardState | None = None
    truncate_from: int | None = None
    entries: tuple[Entry, ...] = ()


@dataclass(frozen=True, slots=True)
class SaveSnapshot:
    """Write a snapshot, then drop the entries before an index, or the whole log."""

    snapshot: Snapshot
    keep_from: int
    """First index that stays in the log."""
    discard_log: bool = False


@dataclass(frozen=True, slots=True)
class SendTo:
    """Send a message to the replica on an instance; delivery is not guaranteed."""

    instance: InstanceId
    message: AgreementMessage
    before_sync: bool = False
    """Whether the message may be sent before the batch is synced; later is safe too."""


@dataclass(frozen=True, slots=True)
class Committed:
    """Apply an entry; each index comes once per process start, in order."""

    index: int
    entry: Entry


@dataclass(frozen=True, slots=True)
class InstallState:
    """Replace the state of the state machine by a snapshot taken at an index."""

    state: bytes
    index: int


@dataclass(frozen=True, slots=True)
class SnapshotWanted:
    """Request a `SnapshotTaken` event for this index, the last one applied."""

    index: int


@dataclass(frozen=True, slots=True)
class ProposalRefused:
    """Report that a proposal gets no outcome from this replica."""

    proposal_id: str
    reason: ProposalRefusal
    leader: InstanceId | None


@dataclass(frozen=True, slots=True)
class ReadConfirmed:
    """Report that a read may be answered from the state at this index or later."""

    read_id: str
    index: int


@dataclass(frozen=True, slots=True)
class ReadFailed:
    """Report that a read can't be answered by this replica."""

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
