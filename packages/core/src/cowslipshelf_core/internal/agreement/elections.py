"""Elect at most one leader per term."""

from cowslipshelf_core.internal.agreement.effects import Role
from cowslipshelf_core.internal.agreement.messages import VoteAnswered, VoteAsked
from cowslipshelf_core.internal.agreement.progress import Leadership, PeerProgress
from cowslipshelf_core.internal.agreement.records import EntryKind, ReplicaId
from cowslipshelf_core.internal.agreement.state import Campaign, ReplicaState


def may_campaign(state: ReplicaState) -> bool:
    """Return whether this replica may stand for election.

    A voter whose removal is not known to be committed may, too. It can be the only
    replica that holds the removal; the remaining voters then need its vote for a
    quorum and can't get it, since its log is longer than theirs.
    """
    if state.replica_id in state.membership.voters:
        return True
    uncommitted = state.commit_index < state.log.membership_index
    return uncommitted and state.replica_id in state.log.previous_membership.voters


def campaign_when_due(state: ReplicaState) -> None:
    """Start a pre-vote when the election timeout has passed."""
    if state.election_due is None:
        state.start_campaign_timer()
    if state.now >= state.election_due:
        campaign(state, pre_vote=True)


def campaign(state: ReplicaState, pre_vote: bool, transfer: bool = False) -> None:
    """Ask all other voters for their vote; a pre-vote does not raise the term.

    Without the pre-vote, a replica that was partitioned would return with a term
    raised by its failed elections and depose a healthy leader.
    """
    term = state.term + 1
    if not pre_vote:
        state.save_hard_state(term=term, voted_for=state.replica_id)
    state.campaign = Campaign(pre_vote, term, transfer, {state.replica_id})
    state.set_role(Role.CANDIDATE, None)
    state.restart_campaign_timer()
    if not pre_vote:
        state.extend_vote_round()
    if count_votes(state):
        return
    for voter in state.membership.voters:
        if voter != state.replica_id:
            state.send_in_term(
                term,
                voter,
                VoteAsked,
                last_index=state.log.last_index,
                last_term=state.log.last_term,
                pre_vote=pre_vote,
                transfer=transfer,
                sync_ms=state.sync_milliseconds,
            )


def count_votes(state: ReplicaState) -> bool:
    """Move on from pre-vote to election, or to leader, once a quorum agrees."""
    if not state.membership.is_quorum(state.campaign.granted):
        return False
    if state.campaign.pre_vote:
        campaign(state, pre_vote=False)
    else:
        become_leader(state)
    return True


def become_leader(state: ReplicaState) -> None:
    """Become leader, and append a no-op that commits the entries of older terms."""
    state.campaign = None
    start_index = state.log.last_index + 1
    state.leadership = Leadership(
        start_index=start_index, began_at=state.now, heartbeat_due=state.now
    )
    for peer in state.membership.replicas:
        if peer != state.replica_id:
            state.leadership.peers[peer] = PeerProgress(start_index, state.now)
    state.set_role(Role.LEADER, state.replica_id.instance)
    state.append_as_leader(EntryKind.NO_OP, b"", "", state.log.last_at)


def follows_active_leader(state: ReplicaState) -> bool:
    """Return whether this replica leads or has heard a leader within the timeout."""
    if state.leadership is not None:
        return True
    heard = state.leader_heard_at
    if heard is None:
        return False
    return state.now - heard < state.config.election_seconds + state.sync_allowance


def on_vote_asked(
    state: ReplicaState, candidate: ReplicaId, message: VoteAsked
) -> None:
    """Grant or refuse a vote or pre-vote.

    The caller has already adopted the candidate's term if that was newer.
    """
    own = (state.log.last_term, state.log.last_index)
    up_to_date = (message.last_term, message.last_index) >= own
    if message.pre_vote:
        free = state.now >= state.vote_round_ends
        granted = message.term > state.term and up_to_date and free
        answer_vote(state, candidate, message, granted)
        return
    free = state.hard_state.voted_for in (None, candidate)
    granted = message.term == state.term and free and up_to_date
    if granted:
        state.save_hard_state(voted_for=candidate)
        state.restart_election_timer()
        state.extend_vote_round()
    answer_vote(state, candidate, message, granted)


def answer_vote(
    state: ReplicaState, candidate: ReplicaId, message: VoteAsked, granted: bool
) -> None:
    """Send the answer: granted in the requested term, refused in the own term."""
    state.send_in_term(
        message.term if granted else state.term,
        candidate,
        VoteAnswered,
        granted=granted,
        pre_vote=message.pre_vote,
        sync_ms=state.sync_milliseconds,
    )


def on_vote_answered(
    state: ReplicaState, voter: ReplicaId, message: VoteAnswered
) -> None:
    """Count a granted vote for the current campaign."""
    running = state.campaign
    if running is None or not message.granted:
        return
    if (message.pre_vote, message.term) != (running.pre_vote, running.term):
        return
    running.granted.add(voter)
    count_votes(state)
