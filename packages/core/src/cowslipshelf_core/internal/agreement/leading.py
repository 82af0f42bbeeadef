"""Lead: accept proposals and reads, and step down without a quorum."""

from cowslipshelf_core.internal.agreement.effects import ReadConfirmed, ReadFailed
from cowslipshelf_core.internal.agreement.events import CommandProposed, ReadAsked
from cowslipshelf_core.internal.agreement.membership import is_heard, promote_learner
from cowslipshelf_core.internal.agreement.messages import ProposalRefusal
from cowslipshelf_core.internal.agreement.progress import PendingRead
from cowslipshelf_core.internal.agreement.records import EntryKind
from cowslipshelf_core.internal.agreement.replication import (
    advance_commit,
    flush,
    hand_over,
    send_heartbeats,
)
from cowslipshelf_core.internal.agreement.state import ReplicaState


def command_proposed(state: ReplicaState, event: CommandProposed) -> None:
    """Append a command as the leader."""
    leadership = state.leadership
    if len(leadership.proposals) >= state.config.most_uncommitted_entries:
        state.refuse(event.proposal_id, ProposalRefusal.OVERLOADED)
        return
    entry = state.append_own(
        EntryKind.COMMAND, event.command, event.proposal_id, event.at
    )
    leadership.proposals[entry.index] = event.proposal_id


def refusal_of(state: ReplicaState) -> ProposalRefusal | None:
    """Return why this replica can't take a proposal, if so."""
    if state.failure:
        return ProposalRefusal.DISK_FAILED
    if state.leadership is not None:
        handing_over = state.leadership.transfer_to is not None
        return ProposalRefusal.TRANSFERRING if handing_over else None
    if state.leader is not None:
        return ProposalRefusal.NOT_LEADER
    return ProposalRefusal.NO_QUORUM


def read_asked(state: ReplicaState, event: ReadAsked) -> None:
    """Remember a read for the next round of heartbeats.

    The round must begin after the question: an earlier one proves only that the
    leader was still in charge before it. Earlier leaders may have committed up to
    just before the own no-op, so no read is answered from below that.
    """
    leadership = state.leadership
    if leadership is None:
        state.effects.append(ReadFailed(event.read_id, state.leader))
        return
    index = max(state.commit_index, leadership.start_index)
    read = PendingRead(event.read_id, leadership.read_round + 1, index)
    leadership.reads.append(read)


def finish_batch(state: ReplicaState) -> None:
    """Send what the events of a batch made necessary, once for all of them."""
    leadership = state.leadership
    advance_commit(state)
    if leave_if_removed(state):
        return
    promote_learner(state)
    confirm_reads(state)
    if next_round_is_wanted(state):
        leadership.read_round += 1
        confirm_reads(state)
        send_heartbeats(state)
    flush(state)


def next_round_is_wanted(state: ReplicaState) -> bool:
    """Tell whether reads wait and no round is under way for others."""
    leadership = state.leadership
    rounds = {read.read_round for read in leadership.reads}
    return bool(rounds) and min(rounds) > leadership.read_round


def confirm_reads(state: ReplicaState) -> None:
    """Answer the reads whose round a quorum has answered."""
    leadership = state.leadership
    if not leadership.reads:
        return
    waiting = []
    for read in leadership.reads:
        confirmed_by = {
            peer
            for peer, progress in leadership.peers.items()
            if progress.read_round >= read.read_round
        }
        if leadership.read_round >= read.read_round:
            confirmed_by.add(state.replica_id)
        whole = state.membership.is_quorum(confirmed_by)
        if whole and state.commit_index >= read.index:
            state.effects.append(ReadConfirmed(read.read_id, read.index))
        else:
            waiting.append(read)
    leadership.reads = waiting


def leave_if_removed(state: ReplicaState) -> bool:
    """Step down once the membership without this replica is committed."""
    if state.replica_id in state.membership.voters:
        return False
    if state.commit_index < state.log.membership_index:
        return False
    send_heartbeats(state)
    state.become_follower(state.term, None)
    return True


def step_down_without_quorum(state: ReplicaState) -> None:
    """Stop leading when no quorum has answered within the lease.

    A leader behind a partition would otherwise go on for as long as that lasts:
    its proposers wait for commits that can't come, and operators see a leader
    that isn't one. Checked at every event, since a process that was frozen wakes
    up with proposals in its queue and a lease that ended long ago.
    """
    leadership = state.leadership
    if state.now - leadership.began_at <= state.config.lease_seconds:
        return
    heard = {p for p, progress in leadership.peers.items() if is_heard(state, progress)}
    heard.add(state.replica_id)
    if not state.membership.is_quorum(heard):
        state.become_follower(state.term, None)


def transfer_leadership(state: ReplicaState) -> None:
    """Choose the voter that is furthest, and take no proposals meanwhile."""
    leadership = state.leadership
    candidates = [
        voter
        for voter in state.membership.voters
        if voter in leadership.peers and is_heard(state, leadership.peers[voter])
    ]
    if not candidates:
        return
    leadership.transfer_to = max(
        candidates, key=lambda voter: leadership.peers[voter].match_index
    )
    leadership.transfer_ends = state.now + 2 * state.config.election_seconds
    hand_over(state)


def lead_on(state: ReplicaState) -> None:
    """Do what is due at a tick."""
    leadership = state.leadership
    if leadership.transfer_to is not None:
        if state.now >= leadership.transfer_ends:
            leadership.transfer_to = None
        else:
            hand_over(state)
    if state.now >= leadership.heartbeat_due:
        send_heartbeats(state)
