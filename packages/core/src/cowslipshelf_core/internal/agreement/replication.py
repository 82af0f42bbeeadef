"""Replicate the leader's log to followers, and commit what a quorum has."""

from cowslipshelf_core.internal.agreement.messages import (
    AppendEntries,
    AppendRefused,
    EntriesAppended,
    TimeoutNow,
)
from cowslipshelf_core.internal.agreement.progress import PeerProgress
from cowslipshelf_core.internal.agreement.records import ReplicaId
from cowslipshelf_core.internal.agreement.snapshots import send_chunk, start_snapshot
from cowslipshelf_core.internal.agreement.state import ReplicaState

MAX_MISSED_HEARTBEATS = 3
"""Heartbeat intervals without an answer after which a follower counts as silent."""


def send_pending(state: ReplicaState) -> None:
    """Send every follower the entries that its window allows, and the commit index."""
    for peer, progress in state.leadership.peers.items():
        fill_window(state, peer, progress)
        send_commit_index(state, peer, progress)


def send_commit_index(
    state: ReplicaState, peer: ReplicaId, progress: PeerProgress
) -> None:
    """Send a new commit index to a follower that has nothing else to receive.

    It would otherwise apply the entries only after the next heartbeat. Under load,
    the next messages with entries carry the commit index, and nothing is sent here.
    """
    committed = min(state.commit_index, state.durable_index, progress.match_index)
    if progress.probing or progress.in_flight or progress.snapshot is not None:
        return
    if progress.sent_commit_index < committed:
        send_append(state, peer, progress.match_index)


def fill_window(state: ReplicaState, peer: ReplicaId, progress: PeerProgress) -> None:
    """Send entries until the window is full or the follower has them all."""
    window = 1 if progress.probing else state.config.max_messages_in_flight
    while progress.next_index <= state.log.last_index:
        if progress.snapshot is not None or len(progress.in_flight) >= window:
            return
        if progress.next_index <= state.log.base_index:
            start_snapshot(state, peer, progress)
            return
        send_entries(state, peer, progress)
        if progress.probing:
            return


def send_entries(state: ReplicaState, peer: ReplicaId, progress: PeerProgress) -> None:
    """Send one message with the next entries."""
    entries = state.log.slice_from(
        progress.next_index,
        state.config.max_entries_per_message,
        state.config.max_bytes_per_message,
    )
    send_append(state, peer, progress.next_index - 1, tuple(entries))
    if not progress.in_flight:
        progress.last_progress_at = state.now
    progress.in_flight.append(entries[-1].index)
    if not progress.probing:
        progress.next_index = entries[-1].index + 1


def send_append(
    state: ReplicaState, peer: ReplicaId, previous: int, entries: tuple = ()
) -> None:
    """Send entries after a known index, or a heartbeat, during the leader's own sync.

    The leader and the followers then sync at the same time. After a crash, entries
    may be missing on the leader and present on followers, like any other uncommitted
    entries. This is safe under two conditions. The term must be durable, since the
    leader could otherwise reuse it for other entries. And the commit index must not
    exceed what the leader has synced; a leader that is a quorum by itself may have
    committed more.
    """
    leadership = state.leadership
    commit_index = min(state.commit_index, state.durable_index)
    sent = min(commit_index, previous + len(entries))
    leadership.peers[peer].sent_commit_index = sent
    state.send_in_term(
        state.term,
        peer,
        AppendEntries,
        before_sync=leadership.term_is_durable,
        previous_index=previous,
        previous_term=state.log.term_at(previous),
        commit_index=commit_index,
        read_round=leadership.read_round,
        entries=entries,
        sync_ms=state.sync_milliseconds,
    )


def send_heartbeats(state: ReplicaState) -> None:
    """Send a heartbeat to every follower, and retry what is unanswered for long."""
    state.leadership.heartbeat_due = state.now + state.config.heartbeat_seconds
    for peer, progress in state.leadership.peers.items():
        retry_if_stalled(state, peer, progress)
        send_append(state, peer, heartbeat_index(state, progress))


def heartbeat_index(state: ReplicaState, progress: PeerProgress) -> int:
    """Return the previous index of a heartbeat.

    It is the last index sent, so that the follower refuses the heartbeat if entries
    before it were lost. While a snapshot is sent, it is the last one confirmed. If
    that is compacted, it is zero, which is always accepted.
    """
    candidate = progress.next_index - 1
    if progress.snapshot is not None:
        candidate = progress.match_index
    return candidate if state.log.term_at(candidate) is not None else 0


def was_silent(state: ReplicaState, progress: PeerProgress) -> bool:
    """Return whether a replica has not answered several heartbeats."""
    if progress.heard_at is None:
        return False
    silence = state.now - progress.heard_at
    return silence > MAX_MISSED_HEARTBEATS * state.config.heartbeat_seconds


def retry_if_stalled(
    state: ReplicaState, peer: ReplicaId, progress: PeerProgress
) -> None:
    """Resend what has not been answered for an election timeout."""
    timeout = state.config.election_seconds + state.sync_allowance
    if state.now - progress.last_progress_at >= timeout:
        resend(state, peer, progress)


def resend(state: ReplicaState, peer: ReplicaId, progress: PeerProgress) -> None:
    """Resend the chunk or the entries that are not answered."""
    if progress.snapshot is None and not progress.in_flight:
        return
    progress.last_progress_at = state.now
    if progress.snapshot is not None:
        send_chunk(state, peer, progress)
    elif progress.probing:
        progress.in_flight.clear()
    else:
        progress.probe_from(progress.match_index + 1)


def on_entries_appended(
    state: ReplicaState, peer: ReplicaId, message: EntriesAppended
) -> None:
    """Record the progress of a follower, and commit what a quorum has."""
    progress = state.leadership.peers[peer]
    progress.confirm(message.match_index, state.now)
    if progress.snapshot is not None:
        if message.match_index < progress.snapshot.index:
            return
        progress.snapshot = None
    if progress.probing:
        progress.probing = False
        progress.in_flight.clear()
        progress.next_index = progress.match_index + 1
    advance_commit(state)


def on_append_refused(
    state: ReplicaState, peer: ReplicaId, message: AppendRefused
) -> None:
    """Step back to where the logs may match, a whole term at a time."""
    progress = state.leadership.peers[peer]
    refused = message.previous_index
    if progress.snapshot is not None or refused <= progress.match_index:
        return
    if not progress.probing:
        # All messages after a lost one are refused. Once this probes from the last
        # match, the other refusals have a different index and are ignored; answering
        # each of them would resend the window many times.
        progress.probe_from(progress.match_index + 1)
        return
    if refused != progress.next_index - 1:
        return
    candidate = message.conflict_index
    if message.conflict_term:
        common = state.log.last_index_of_term(message.conflict_term, refused - 1)
        candidate = candidate if common is None else common + 1
    progress.probe_from(max(progress.match_index + 1, min(candidate, refused)))


def advance_commit(state: ReplicaState) -> None:
    """Commit what a quorum of voters has synced.

    Only an entry of the own term is committed by counting. An older entry on a quorum
    can still be overwritten by a leader that was elected without it. It is committed
    together with the first own entry after it, which prevents such an election.
    """
    leadership = state.leadership
    if leadership is None or not state.membership.voters:
        return
    matches = sorted(
        state.log.last_index
        if voter == state.replica_id
        else leadership.peers[voter].match_index
        for voter in state.membership.voters
    )
    index = matches[-state.membership.quorum]
    if index > state.commit_index and state.log.term_at(index) == state.term:
        state.commit_up_to(index)


def try_transfer(state: ReplicaState) -> None:
    """Ask the chosen successor to start an election once it has the whole log."""
    successor = state.leadership.transfer_target
    progress = state.leadership.peers.get(successor)
    if progress is not None and progress.match_index == state.log.last_index:
        state.send(successor, TimeoutNow)
