"""Remove lost voters from an open cluster, and promote learners in their place.

A voter that is gone counts in the quorum, and the loss of one more may then end all
changes. A voter that is only slow or cut off comes back, but may be removed meanwhile
if the others need a smaller quorum; it joins again as a learner.
"""

from cowslipshelf_core.internal.agreement.events import RemoveReplica
from cowslipshelf_core.internal.agreement.membership import (
    append_membership,
    can_change_to,
    change_membership,
    heard_within_lease,
    is_membership_committed,
    with_promoted,
)
from cowslipshelf_core.internal.agreement.records import Membership, ReplicaId
from cowslipshelf_core.internal.agreement.state import ReplicaState


def remove_lost_replica(state: ReplicaState) -> None:
    """Remove a lost learner, or a lost voter if it may go; one change at a time."""
    if not state.config.open_membership:
        return
    lost = [replica for replica in state.membership.replicas if is_lost(state, replica)]
    lost.sort(key=lambda replica: removal_order(state, replica))
    for replica in lost:
        proposed = change_membership(state.membership, RemoveReplica(replica))
        learns = replica in state.membership.learners
        if proposed is None or not (learns or may_remove_voter(state, lost)):
            continue
        if can_change_to(state, proposed):
            append_membership(state, proposed, "", 0.0)
            return


def is_lost(state: ReplicaState, replica: ReplicaId) -> bool:
    """Return whether a replica is gone, or says that it will be.

    One whose instance is alive is given more time, since its disk may be slow. An
    instance that is not known has been silent since this process started.
    """
    progress = state.leadership.peers.get(replica)
    if progress is None:
        return False
    instance = replica.instance
    if instance in state.instances_without_replica:
        return True
    if heard_within_lease(state, progress):
        return False
    if instance in state.silent_instances:
        return True
    known = instance in state.replica_instances
    longest = removal_seconds(state) if known else state.lease_seconds
    return progress.silence(state.now) > longest


def removal_seconds(state: ReplicaState) -> float:
    """Return the silence after which a voter is removed whatever its instance says."""
    return state.config.voter_removal_seconds + state.sync_allowance


def removal_order(state: ReplicaState, replica: ReplicaId) -> tuple[bool, float]:
    """Return a sort key: first those that say so, then those silent for longest."""
    leaves = replica.instance in state.instances_without_replica
    return not leaves, -state.leadership.peers[replica].silence(state.now)


def may_remove_voter(state: ReplicaState, lost: list[ReplicaId]) -> bool:
    """Return whether one of the lost voters may be removed now.

    Enough voters have to be left, with the learners that can be promoted at once. While
    those that answer can still lose `max_failures`, there is no hurry: a single lost
    voter gets time to return. Several are kept, since they may only be cut off, and
    hold data that others may lose.
    """
    config, membership = state.config, state.membership
    left = len(membership.voters) - 1 + len(ready_learners(state))
    if left < config.min_voters:
        return False
    answering = [v for v in membership.voters if is_answering(state, v)]
    if len(answering) - membership.quorum < config.max_failures:
        return True
    lost_voters = [voter for voter in lost if voter in membership.voters]
    silence = state.leadership.peers[lost_voters[0]].silence(state.now)
    return len(lost_voters) == 1 and silence > removal_seconds(state)


def is_answering(state: ReplicaState, voter: ReplicaId) -> bool:
    """Return whether a voter, or this replica, answers and isn't about to leave."""
    if voter == state.replica_id:
        return True
    if voter.instance in state.instances_without_replica:
        return False
    return heard_within_lease(state, state.leadership.peers[voter])


def ready_learners(state: ReplicaState) -> list[ReplicaId]:
    """Return the learners that have synced every committed entry."""
    ready = []
    for learner in state.membership.learners:
        progress = state.leadership.peers[learner]
        heard = heard_within_lease(state, progress)
        if heard and progress.match_index >= state.commit_index:
            ready.append(learner)
    return ready


def promote_learner(state: ReplicaState) -> None:
    """Make a learner a voter once it has synced every committed entry."""
    if not state.membership.learners or not is_membership_committed(state):
        return
    for learner in ready_learners(state):
        proposed = with_promoted(state.membership, learner)
        if not weakens_quorum(state, proposed):
            append_membership(state, proposed, "", 0.0)
            return


def weakens_quorum(state: ReplicaState, proposed: Membership) -> bool:
    """Return whether a larger quorum would need the new voter at once.

    While a voter doesn't answer, the others would depend on a replica that has only
    just started. It waits until that voter is back or removed.
    """
    config, membership = state.config, state.membership
    if not config.open_membership or len(membership.voters) < config.min_voters:
        return False
    if proposed.quorum == membership.quorum:
        return False
    return not all(is_answering(state, voter) for voter in membership.voters)
