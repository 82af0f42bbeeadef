"""Elect one leader for each term."""

from cowslipshelf_core.internal.agreement.effects import Role
from cowslipshelf_core.internal.agreement.messages import VoteAnswered, VoteAsked
from cowslipshelf_core.internal.agreement.progress import Leadership, PeerProgress
from cowslipshelf_core.internal.agreement.records import EntryKind, ReplicaId
from cowslipshelf_core.internal.agreement.state import Campaign, ReplicaState


def may_campaign(state: ReplicaState) -> bool:
    """Tell whether this replica stands for election.

    A voter whose removal is not known to be committed still does, on behalf of
    the voters that stay: it may be the only one that holds the removal. They would
    get no vote from it, its log being longer, and without it no quorum.
    """
    if state.replica_id in state.membership.voters:
        return True
    uncommitted = state.commit_index < state.log.membership_index
    return uncommitted and state.replica_id in state.log.previous_membership.voters


def campaign_when_due(state: ReplicaState) -> None:
    """Stand for election, as a voter, after too long a silence."""
    if state.election_due is None:
        state.start_campaign_timer()
    if state.now >= state.election_due:
        campaign(state, pre_vote=True)


def campaign(state: ReplicaState, pre_vote: bool, transfer: bool = False) -> None:
    """Ask for votes; the pre-vote raises no term.

    Without it, a replica that was cut off would come back with a term grown by
    its failed elections and depose a healthy leader.
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
    """Go on to the election, or to lead, once a quorum is for it."""
    if not state.membership.is_quorum(state.campaign.granted):
        return False
    if state.campaign.pre_vote:
        campaign(state, pre_vote=False)
    else:
        become_leader(state)
    return True


def become_leader(state: ReplicaState) -> None:
    """Begin to lead, with a no-op that can commit the entries of older terms."""
    state.campaign = None
    start_index = state.log.last_index + 1
    state.leadership = Leadership(
        start_index=start_index, began_at=state.now, heartbeat_due=state.now
    )
    for peer in state.membership.replicas:
        if peer != state.replica_id:
            state.leadership.peers[peer] = PeerProgress(start_index)
    state.set_role(Role.LEADER, state.replica_id.instance)
    state.append_as_leader(EntryKind.NO_OP, b"", "", state.log.last_at)


def follows_active_leader(state: ReplicaState) -> bool:
    """Tell whether a leader has been heard so lately that none else is wanted."""
    if state.leadership is not None:
        return True
    heard = state.leader_heard_at
    if heard is None:
        return False
    return state.now - heard < state.config.election_seconds + state.sync_allowance


def on_vote_asked(
    state: ReplicaState, candidate: ReplicaId, message: VoteAsked
) -> None:
    """Answer a candidate whose term is not above the own one, or a pre-vote."""
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
    """Send the answer: a yes under the asked term, a no under the own one."""
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
    """Count a vote for the campaign that is on."""
    running = state.campaign
    if running is None or not message.granted:
        return
    if (message.pre_vote, message.term) != (running.pre_vote, running.term):
        return
    running.granted.add(voter)
    count_votes(state)
