"""Let operators recover a cluster after the permanent loss of a quorum."""

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
"""Exceeds the terms of all elections that the lost replicas may have held since."""

FORCED_PROPOSAL_PREFIX = "forced-members:"

FORCED_MEMBERS_WARNING = (
    "This replica becomes the only member of a new cluster that goes on from its "
    "log. Every change that it had not received is lost, even where a caller or "
    "operator was told that it was accepted. Entries that were never accepted may "
    "come into force. Stop all other replicas first and wipe their data folders; "
    "they are refused until then, and join again as new ones."
)


class ForcedMembership(NamedTuple):
    """Hold what to write to the data folder, and a warning for the operator."""

    persist: Persist
    warning: str


def forced_by(entry: Entry) -> OperatorName | None:
    """Return the operator who forced the membership in an entry, or `None`."""
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

    `cluster` is a new identity. Replicas that were wrongly assumed lost still have
    the old one, so they can't take part with a diverged log. The entry names the
    operator, for the audit trail. `at` is in seconds since 1970.
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
