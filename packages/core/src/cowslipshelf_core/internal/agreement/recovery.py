"""Let operators go on after the loss of a quorum for good."""

from typing import NamedTuple

from cowslipshelf_core.identifiers import OperatorName
from cowslipshelf_core.internal.agreement.effects import Persist
from cowslipshelf_core.internal.agreement.log import ReplicaLog
from cowslipshelf_core.internal.agreement.records import (
    Entry,
    EntryKind,
    Membership,
    StoredState,
    encode_membership,
)

FORCED_TERM_STEP = 1000
"""More than any election that the lost replicas may have held meanwhile."""

FORCED_PROPOSAL_PREFIX = "forced-members:"

FORCED_MEMBERS_WARNING = (
    "This replica becomes the only member of a new cluster that goes on from its "
    "log. Every change that it had not received is lost, even where a caller or "
    "operator was told that it was accepted. Entries that were never accepted may "
    "come into force. Stop all other replicas first and wipe their data folders; "
    "they are refused until then, and join again as new ones."
)


class ForcedMembership(NamedTuple):
    """Be what to write into the data folder, and what the operator must know."""

    persist: Persist
    warning: str


def forced_by(entry: Entry) -> OperatorName | None:
    """Name the operator who forced the membership that an entry carries, if so."""
    forced = entry.kind is EntryKind.MEMBERSHIP and entry.proposal_id.startswith(
        FORCED_PROPOSAL_PREFIX
    )
    if not forced:
        return None
    return OperatorName(entry.proposal_id.removeprefix(FORCED_PROPOSAL_PREFIX))


def force_members(
    stored: StoredState, cluster: str, operator: str, at: float
) -> ForcedMembership:
    """Make a stopped replica the only member of a new cluster.

    `cluster` is a fresh identity: the replicas that were thought lost still carry
    the old one, so that they can't take part again with their other history. The
    change stands in the log with the operator's name, for the audit trail. `at`
    is in seconds since 1970.
    """
    log = ReplicaLog.from_stored(stored)
    term = max(stored.hard_state.term, log.last_term) + FORCED_TERM_STEP
    entry = Entry(
        index=log.last_index + 1,
        term=term,
        at=max(at, log.last_at),
        kind=EntryKind.MEMBERSHIP,
        payload=encode_membership(Membership((stored.replica_id,))),
        proposal_id=FORCED_PROPOSAL_PREFIX + operator,
    )
    hard_state = stored.hard_state._replace(
        term=term, voted_for=stored.replica_id, cluster=cluster
    )
    return ForcedMembership(Persist(hard_state, None, (entry,)), FORCED_MEMBERS_WARNING)
