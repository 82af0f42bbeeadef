"""Accept proposals as the leader, and step down without a quorum."""

from cowslipshelf_core.internal.agreement.events import CommandProposed
from cowslipshelf_core.internal.agreement.lost_replicas import (
    promote_learner,
    remove_lost_replica,
)
from cowslipshelf_core.internal.agreement.membership import heard_within_lease
from cowslipshelf_core.internal.agreement.messages import ProposalRefusal
from cowslipshelf_core.internal.agreement.read_index import (
    confirm_reads,
    needs_new_round,
)
from cowslipshelf_core.internal.agreement.records import EntryKind
from cowslipshelf_core.internal.agreement.replication import (
    advance_commit,
    send_heartbeats,
    send_pending,
    try_transfer,
)
from cowslipshelf_core.internal.agreement.state import ReplicaState


def on_command_proposed(state: ReplicaState, event: CommandProposed) -> None:
    """Append a command as the leader, unless it is already waiting for its commit.

    A proposer repeats a proposal that is not answered within a second. A large one can
    take longer, and each copy would be replicated before the proposals behind it. A
    repeat is answered when the first copy is committed.
    """
    leadership = state.leadership
    if event.proposal_id in leadership.proposals.values():
        return
    if len(leadership.proposals) >= state.config.max_uncommitted_entries:
        state.refuse(event.proposal_id, ProposalRefusal.OVERLOADED)
        return
    entry = state.append_as_leader(
        EntryKind.COMMAND, event.command, event.proposal_id, event.at
    )
    leadership.proposals[entry.index] = event.proposal_id


def refusal_reason(state: ReplicaState) -> ProposalRefusal | None:
    """Return why this replica can't accept a proposal, or `None` if it can."""
    if state.failure:
        return ProposalRefusal.DISK_FAILED
    if state.leadership is not None:
        if state.leadership.transfer_target is not None:
            return ProposalRefusal.TRANSFERRING
        # A cluster that one replica started alone has commands on one disk only, and
        # would lose them with that disk after they were acknowledged.
        if lacks_voters(state):
            return ProposalRefusal.NO_QUORUM
        return None
    if state.leader is not None:
        return ProposalRefusal.NOT_LEADER
    return ProposalRefusal.NO_QUORUM


def lacks_voters(state: ReplicaState) -> bool:
    """Return whether an open cluster has too few voters to accept commands."""
    config = state.config
    if not config.open_membership:
        return False
    reachable = min(config.min_voters, len(state.replica_instances))
    return len(state.membership.voters) < reachable


def finish_batch(state: ReplicaState) -> None:
    """Advance commits, reads and replication once for all events of a batch."""
    leadership = state.leadership
    advance_commit(state)
    if step_down_if_removed(state):
        return
    promote_learner(state)
    confirm_reads(state)
    if needs_new_round(state):
        leadership.read_round += 1
        confirm_reads(state)
        send_heartbeats(state)
    send_pending(state)


def step_down_if_removed(state: ReplicaState) -> bool:
    """Step down once the removal of this replica is committed."""
    if state.replica_id in state.membership.voters:
        return False
    if state.commit_index < state.log.membership_index:
        return False
    send_heartbeats(state)
    state.become_follower(state.term, None)
    return True


def step_down_without_quorum(state: ReplicaState) -> None:
    """Step down when no quorum has answered within the lease.

    A partitioned leader would otherwise lead until the partition ends: its proposers
    would wait for commits that can't happen, and operators would see a second
    leader. Checked at every event, since a process that was frozen can resume with
    proposals in its queue and a lease that expired long ago.
    """
    leadership = state.leadership
    if state.now - leadership.began_at <= state.lease_seconds:
        return
    heard = {
        p
        for p, progress in leadership.peers.items()
        if heard_within_lease(state, progress)
    }
    heard.add(state.replica_id)
    if not state.membership.is_quorum(heard):
        state.become_follower(state.term, None)


def transfer_leadership(state: ReplicaState) -> None:
    """Choose the most caught-up voter as successor; refuse proposals until it leads."""
    leadership = state.leadership
    candidates = [
        voter
        for voter in state.membership.voters
        if voter in leadership.peers
        and voter.instance not in state.instances_without_replica
        and heard_within_lease(state, leadership.peers[voter])
    ]
    if not candidates:
        return
    leadership.transfer_target = max(
        candidates, key=lambda voter: leadership.peers[voter].match_index
    )
    leadership.transfer_deadline = state.now + 2 * state.config.election_seconds
    try_transfer(state)


def on_tick(state: ReplicaState) -> None:
    """Send due heartbeats, and continue a transfer, or remove a lost replica."""
    leadership = state.leadership
    if leadership.transfer_target is not None:
        if state.now >= leadership.transfer_deadline:
            leadership.transfer_target = None
        else:
            try_transfer(state)
    if state.now >= leadership.heartbeat_due:
        send_heartbeats(state)
    remove_lost_replica(state)
