"""Confirm linearizable reads with a round of heartbeats (Raft's read index)."""

from cowslipshelf_core.internal.agreement.effects import ReadConfirmed, ReadFailed
from cowslipshelf_core.internal.agreement.events import ReadAsked
from cowslipshelf_core.internal.agreement.messages import (
    ReadIndexAnswered,
    ReadIndexAsked,
)
from cowslipshelf_core.internal.agreement.progress import PendingRead
from cowslipshelf_core.internal.agreement.records import ReplicaId
from cowslipshelf_core.internal.agreement.state import ForwardedRead, ReplicaState


def on_read_asked(state: ReplicaState, event: ReadAsked) -> None:
    """Queue a read as the leader, or forward it to the leader."""
    if state.leadership is not None:
        queue_read(state, event.read_id, asked_by=None)
        return
    leader = leader_replica(state)
    if leader is None or state.failure:
        state.effects.append(ReadFailed(event.read_id, state.leader))
        return
    deadline = state.now + state.config.election_seconds
    state.forwarded_reads[event.read_id] = ForwardedRead(deadline)
    state.send(leader, ReadIndexAsked, read_id=event.read_id)


def leader_replica(state: ReplicaState) -> ReplicaId | None:
    """Return the identity of the leader, or `None` if it is not known."""
    replicas = state.membership.replicas
    return next((r for r in replicas if r.instance == state.leader), None)


def queue_read(state: ReplicaState, read_id: str, asked_by: ReplicaId | None) -> None:
    """Queue a read for the next round of heartbeats.

    The round must start after the request: an earlier one proves only that this
    replica led before it. Earlier leaders may have committed entries up to just before
    the own no-op, so the read index is at least that of the no-op.
    """
    leadership = state.leadership
    index = max(state.commit_index, leadership.start_index)
    read = PendingRead(read_id, leadership.read_round + 1, index, asked_by)
    leadership.reads.append(read)


def answer_read(state: ReplicaState, read: PendingRead) -> None:
    """Confirm a read here, or send the read index to the replica that asked."""
    if read.asked_by is None:
        state.effects.append(ReadConfirmed(read.read_id, read.index))
        return
    state.send(read.asked_by, ReadIndexAnswered, read_id=read.read_id, index=read.index)


def on_read_index_answered(state: ReplicaState, message: ReadIndexAnswered) -> None:
    """Record the read index of a forwarded read."""
    read = state.forwarded_reads.get(message.read_id)
    if read is not None:
        read.index = message.index


def resolve_forwarded_reads(state: ReplicaState) -> None:
    """Confirm forwarded reads whose index is committed, and fail expired ones.

    The request or the answer may be lost, or the leader may have stepped down.
    """
    for read_id, read in list(state.forwarded_reads.items()):
        if read.index is not None and read.index <= state.commit_index:
            del state.forwarded_reads[read_id]
            state.effects.append(ReadConfirmed(read_id, read.index))
        elif state.now >= read.deadline or state.failure:
            del state.forwarded_reads[read_id]
            state.effects.append(ReadFailed(read_id, state.leader))


def needs_new_round(state: ReplicaState) -> bool:
    """Return whether reads wait for a round that has not started, and none runs."""
    leadership = state.leadership
    rounds = {read.read_round for read in leadership.reads}
    return bool(rounds) and min(rounds) > leadership.read_round


def confirm_reads(state: ReplicaState) -> None:
    """Answer the reads whose round was confirmed by a quorum."""
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
        confirmed = state.membership.is_quorum(confirmed_by)
        if confirmed and state.commit_index >= read.index:
            answer_read(state, read)
        else:
            waiting.append(read)
    leadership.reads = waiting
