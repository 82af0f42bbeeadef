"""Bring the followers' logs up to the leader's, and commit what a quorum holds."""

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


def send_pending(state: ReplicaState) -> None:
    """Send every replica what its window allows; one call serves a whole batch."""
    for peer, progress in state.leadership.peers.items():
        fill_window(state, peer, progress)
        send_commit_index(state, peer, progress)


def send_commit_index(
    state: ReplicaState, peer: ReplicaId, progress: PeerProgress
) -> None:
    """Let a replica that is up to date apply at once what was committed.

    It would otherwise learn of it by the next heartbeat. Under load the next
    entries are under way already and bring the news, so this sends nothing then.
    """
    committed = min(state.commit_index, state.durable_index, progress.match_index)
    if progress.probing or progress.in_flight or progress.snapshot is not None:
        return
    if progress.sent_commit_index < committed:
        send_append(state, peer, progress.match_index)


def fill_window(state: ReplicaState, peer: ReplicaId, progress: PeerProgress) -> None:
    """Send entries until the window is full or the replica has them all."""
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
    """Send the next entries."""
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
    """Send entries after a known index, or a heartbeat, beside the own sync.

    The followers' syncs and the leader's then run at the same time. A crash may
    take the entries from the leader and leave them at the followers, which is as
    good as any other uncommitted entry, under two conditions: the term is durable,
    or the leader could use it again for other entries; and the commit index tells
    only of entries that the leader has synced, which a leader that is a quorum by
    itself may have run ahead of.
    """
    leadership = state.leadership
    commit_index = min(state.commit_index, state.durable_index)
    told = min(commit_index, previous + len(entries))
    leadership.peers[peer].sent_commit_index = told
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
    """Tell every replica that the leader is there, and resend what got lost."""
    state.leadership.heartbeat_due = state.now + state.config.heartbeat_seconds
    for peer, progress in state.leadership.peers.items():
        retry_if_stalled(state, peer, progress)
        send_append(state, peer, heartbeat_index(state, progress))


def heartbeat_index(state: ReplicaState, progress: PeerProgress) -> int:
    """Return the previous index that a heartbeat names.

    It is the last one sent, so that the heartbeat is refused where entries before
    it got lost. While a snapshot is sent, it is the last one confirmed; index zero
    is accepted always and stands in where that is compacted away.
    """
    candidate = progress.next_index - 1
    if progress.snapshot is not None:
        candidate = progress.match_index
    return candidate if state.log.term_at(candidate) is not None else 0


def was_silent(state: ReplicaState, progress: PeerProgress) -> bool:
    """Tell whether a replica has left several heartbeats without an answer."""
    if progress.heard_at is None:
        return False
    silence = state.now - progress.heard_at
    return silence > MAX_MISSED_HEARTBEATS * state.config.heartbeat_seconds


def retry_if_stalled(
    state: ReplicaState, peer: ReplicaId, progress: PeerProgress
) -> None:
    """Send again what has not been answered for an election timeout."""
    patience = state.config.election_seconds + state.sync_allowance
    if state.now - progress.last_progress_at >= patience:
        resend(state, peer, progress)


def resend(state: ReplicaState, peer: ReplicaId, progress: PeerProgress) -> None:
    """Send again what has not been answered."""
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
    """Take in how far a replica has come."""
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
    """Go back to where the logs may agree, a whole term at a time."""
    progress = state.leadership.peers[peer]
    refused = message.previous_index
    if progress.snapshot is not None or refused <= progress.match_index:
        return
    if not progress.probing:
        # Messages behind a lost one are all refused. Going back by one and
        # probing means that the refusals still on their way name another index
        # and are ignored; answering each would send the window many times over.
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

    Only an entry of the own term is committed by counting: an older one that a
    quorum holds can still be overwritten by a leader elected without it. It is
    committed by the first own entry after it, which rules that leader out.
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
    """Let the chosen successor stand for election once it holds the whole log."""
    successor = state.leadership.transfer_target
    progress = state.leadership.peers.get(successor)
    if progress is not None and progress.match_index == state.log.last_index:
        state.send(successor, TimeoutNow)
