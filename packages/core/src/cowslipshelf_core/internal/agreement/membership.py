"""Change the membership one replica at a time."""

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
    """Put a change into the log, or refuse it with the reason."""
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
    """Return the membership after a change, or nothing where it makes no sense."""
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
    """Leave out the replica of an instance, whatever its folder."""
    return Membership(
        tuple(r for r in membership.voters if r.instance != instance),
        tuple(r for r in membership.learners if r.instance != instance),
    )


def can_change_to(state: ReplicaState, proposed: Membership) -> bool:
    """Tell whether the change before is whole and the next one can commit.

    Two changes under way at once could each be committed by a quorum that shares
    no voter with the other's. And a voter removed while too few of the others
    have caught up would leave the committed entries on less than a quorum.
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
    """Tell whether this term and the membership in force are both committed."""
    needed = max(state.leadership.start_index, state.log.membership_index)
    return state.commit_index >= needed


def heard_within_lease(state: ReplicaState, progress: PeerProgress) -> bool:
    """Tell whether a replica has answered within the lease."""
    return heard_within(state, progress, state.lease_seconds)


def heard_within(state: ReplicaState, progress: PeerProgress, seconds: float) -> bool:
    """Tell whether a replica has answered within a time."""
    heard = progress.heard_at
    return heard is not None and state.now - heard <= seconds


def append_membership(
    state: ReplicaState, membership: Membership, proposal_id: str, at: float
) -> None:
    """Append a membership, which counts from here on, committed or not."""
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
    """Give a learner its vote once it holds everything committed, synced."""
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
    """Move a learner to the voters."""
    learners = tuple(r for r in membership.learners if r != learner)
    return Membership((*membership.voters, learner), learners)


def admit_learner(state: ReplicaState, newcomer: ReplicaId) -> None:
    """Take in an empty replica that the settings know, when its turn comes.

    It asks again and again, so a request that comes while another change is
    under way is let go; the next one finds the way free.
    """
    known = newcomer.instance in state.replica_instances
    if not known and not state.config.open_membership:
        return
    proposed = change_membership(state.membership, AddReplica(newcomer))
    if proposed is not None and can_change_to(state, proposed):
        append_membership(state, proposed, "", 0.0)


def remove_silent_voter(state: ReplicaState) -> None:
    """Remove a voter that stays silent although there are enough others.

    An instance that is gone for good would count in every quorum until an operator
    removed it, and the next loss would stop all changes. Only where open membership
    has brought more voters than needed, and all the others are heard.
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
