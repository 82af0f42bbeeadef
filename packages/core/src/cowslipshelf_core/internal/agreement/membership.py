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
    elif not can_change_to(state, proposed):
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


def can_change_to(state: ReplicaState, proposed: Membership) -> bool:
    """Return whether the previous change is complete and the next one can commit.

    Two changes at once could be committed by two quorums that share no voter. And
    removing a voter while too few of the others have caught up would leave committed
    entries on less than a quorum.
    """
    waiting = set(state.membership.learners) & set(proposed.learners)
    if waiting or not is_membership_committed(state):
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
    return heard_within(state, progress, state.lease_seconds)


def heard_within(state: ReplicaState, progress: PeerProgress, seconds: float) -> bool:
    """Return whether a replica has answered within some seconds."""
    heard = progress.heard_at
    return heard is not None and state.now - heard <= seconds


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
        peer: leadership.peers.get(peer) or PeerProgress(entry.index)
        for peer in followers
    }


def promote_learner(state: ReplicaState) -> None:
    """Make a learner a voter once it has synced every committed entry."""
    if not state.membership.learners or not is_membership_committed(state):
        return
    for learner in state.membership.learners:
        progress = state.leadership.peers[learner]
        if (
            heard_within_lease(state, progress)
            and progress.match_index >= state.commit_index
        ):
            append_membership(state, with_promoted(state.membership, learner), "", 0.0)
            return


def with_promoted(membership: Membership, learner: ReplicaId) -> Membership:
    """Return a membership with a learner moved to the voters."""
    learners = tuple(r for r in membership.learners if r != learner)
    return Membership((*membership.voters, learner), learners)


def admit_learner(state: ReplicaState, learner: ReplicaId) -> None:
    """Add an empty replica as a learner, if its instance may join.

    A request that arrives during another change is ignored, since the replica
    repeats it.
    """
    known = learner.instance in state.replica_instances
    if not known and not state.config.open_membership:
        return
    proposed = change_membership(state.membership, AddReplica(learner))
    if proposed is not None and can_change_to(state, proposed):
        append_membership(state, proposed, "", 0.0)


def remove_silent_voter(state: ReplicaState) -> None:
    """Remove the one silent voter of an open cluster that has more than needed.

    A lost instance would otherwise count in every quorum until an operator removed
    it, and the next loss would stop all changes. Nothing is removed while more than
    one voter is silent.
    """
    config = state.config
    voters = state.membership.voters
    if not config.open_membership or len(voters) <= config.min_voters:
        return
    leadership = state.leadership
    silence = config.voter_removal_seconds + state.sync_allowance
    if state.now - leadership.began_at <= silence:
        return
    silent = [
        voter
        for voter in voters
        if voter in leadership.peers
        and not heard_within(state, leadership.peers[voter], silence)
    ]
    if len(silent) != 1:
        return
    proposed = change_membership(state.membership, RemoveReplica(silent[0]))
    if proposed is not None and can_change_to(state, proposed):
        append_membership(state, proposed, "", 0.0)
