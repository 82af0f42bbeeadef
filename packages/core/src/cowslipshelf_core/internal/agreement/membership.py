"""Change the membership of the cluster by one replica at a time."""

from cowslipshelf_core.internal.agreement.events import (
    AddReplica,
    MembershipChange,
    MembershipProposed,
    RemoveReplica,
)
from cowslipshelf_core.internal.agreement.messages import ProposalRefusal
from cowslipshelf_core.internal.agreement.progress import PeerProgress
from cowslipshelf_core.internal.agreement.records import (
    EntryKind,
    Membership,
    ReplicaId,
    encode_membership,
)
from cowslipshelf_core.internal.agreement.state import ReplicaState


def on_membership_proposed(state: ReplicaState, event: MembershipProposed) -> None:
    """Append a membership change, or refuse it with a reason."""
    proposed = change_membership(state.membership, event.change)
    if proposed is None:
        state.refuse(event.proposal_id, ProposalRefusal.BAD_MEMBERSHIP)
    elif is_learner_waiting(state, proposed) or not can_change_to(state, proposed):
        state.refuse(event.proposal_id, ProposalRefusal.MEMBERSHIP_BUSY)
    else:
        append_membership(state, proposed, event.proposal_id, event.at)


def change_membership(
    current: Membership, change: MembershipChange
) -> Membership | None:
    """Return the membership after a change, or `None` if the change is invalid."""
    match change:
        case AddReplica(replica_id):
            if replica_id in current.replicas:
                return None
            others = without_instance(current, replica_id.instance)
            proposed = others._replace(learners=(*others.learners, replica_id))
        case RemoveReplica(replica_id):
            if replica_id not in current.replicas:
                return None
            proposed = without_instance(current, replica_id.instance)
    return proposed if proposed.voters else None


def without_instance(membership: Membership, instance: str) -> Membership:
    """Return a membership without the replica of an instance, whatever its folder."""
    return Membership(
        tuple(r for r in membership.voters if r.instance != instance),
        tuple(r for r in membership.learners if r.instance != instance),
    )


def is_learner_waiting(state: ReplicaState, proposed: Membership) -> bool:
    """Return whether a learner of both memberships has not been promoted yet."""
    return bool(set(state.membership.learners) & set(proposed.learners))


def can_change_to(state: ReplicaState, proposed: Membership) -> bool:
    """Return whether the previous change is committed and the next one can be.

    Two changes at once could be committed by two quorums that share no voter. And
    removing a voter while too few of the others have caught up would leave committed
    entries on less than a quorum.
    """
    if not is_membership_committed(state):
        return False
    needed = state.log.membership_index
    caught_up = {state.replica_id}
    for peer, progress in state.leadership.peers.items():
        if progress.match_index >= needed and heard_within_lease(state, progress):
            caught_up.add(peer)
    return proposed.is_quorum(caught_up)


def is_membership_committed(state: ReplicaState) -> bool:
    """Return whether the term's no-op and the current membership are committed."""
    needed = max(state.leadership.start_index, state.log.membership_index)
    return state.commit_index >= needed


def heard_within_lease(state: ReplicaState, progress: PeerProgress) -> bool:
    """Return whether a replica has answered within the lease."""
    heard = progress.heard_at
    return heard is not None and state.now - heard <= state.lease_seconds


def append_membership(
    state: ReplicaState, membership: Membership, proposal_id: str, at: float
) -> None:
    """Append a membership, which takes effect at once, committed or not."""
    entry = state.append_as_leader(
        EntryKind.MEMBERSHIP, encode_membership(membership), proposal_id, at
    )
    leadership = state.leadership
    if proposal_id:
        leadership.proposals[entry.index] = proposal_id
    followers = [r for r in membership.replicas if r != state.replica_id]
    leadership.peers = {
        peer: leadership.peers.get(peer) or PeerProgress(entry.index, state.now)
        for peer in followers
    }


def with_promoted(membership: Membership, learner: ReplicaId) -> Membership:
    """Return a membership with a learner moved to the voters."""
    learners = tuple(r for r in membership.learners if r != learner)
    return Membership((*membership.voters, learner), learners)


def admit_learner(state: ReplicaState, learner: ReplicaId) -> None:
    """Add an empty replica as a learner, if its instance may join.

    A request that arrives during another change is ignored, since the replica
    repeats it. In an open cluster, a learner that never catches up must not keep
    others out.
    """
    is_open = state.config.open_membership
    if not is_open and learner.instance not in state.replica_instances:
        return
    if learner.instance in state.instances_without_replica:
        return
    proposed = change_membership(state.membership, AddReplica(learner))
    if proposed is None or not can_change_to(state, proposed):
        return
    if is_open or not is_learner_waiting(state, proposed):
        append_membership(state, proposed, "", 0.0)
