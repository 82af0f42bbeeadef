"""Take snapshots, send them in chunks and install them."""

from cowslipshelf_core.internal.agreement.effects import InstallState, SaveSnapshot
from cowslipshelf_core.internal.agreement.events import SnapshotTaken
from cowslipshelf_core.internal.agreement.messages import (
    EntriesAppended,
    InstallSnapshot,
    SnapshotReceived,
)
from cowslipshelf_core.internal.agreement.progress import PeerProgress
from cowslipshelf_core.internal.agreement.records import ReplicaId, Snapshot
from cowslipshelf_core.internal.agreement.state import IncomingSnapshot, ReplicaState


def on_snapshot_taken(state: ReplicaState, event: SnapshotTaken) -> None:
    """Save a snapshot of the own state, and compact the log."""
    state.snapshot_wanted = False
    term = state.log.term_at(event.index)
    if event.index <= state.log.snapshot_index or term is None:
        return
    snapshot = Snapshot(
        index=event.index,
        term=term,
        at=state.log.entry_at(event.index).at,
        membership=state.log.membership_at(event.index),
        state=event.state,
    )
    keep_from = max(
        event.index + 1 - state.config.entries_kept,
        state.log.first_index_within(state.config.max_log_bytes // 2, event.index),
    )
    state.log.compact(snapshot, keep_from)
    state.effects.append(SaveSnapshot(snapshot, state.log.base_index + 1))


def start_snapshot(
    state: ReplicaState, peer: ReplicaId, progress: PeerProgress
) -> None:
    """Start sending the latest snapshot to a follower that misses dropped entries."""
    progress.snapshot = state.log.snapshot
    progress.snapshot_offset = 0
    progress.in_flight.clear()
    progress.last_progress_at = state.now
    send_chunk(state, peer, progress)


def send_chunk(state: ReplicaState, peer: ReplicaId, progress: PeerProgress) -> None:
    """Send the chunk at the current offset."""
    snapshot = progress.snapshot
    end = progress.snapshot_offset + state.config.max_bytes_per_message
    state.send(
        peer,
        InstallSnapshot,
        snapshot_index=snapshot.index,
        snapshot_term=snapshot.term,
        snapshot_at=snapshot.at,
        membership=snapshot.membership,
        read_round=state.leadership.read_round,
        offset=progress.snapshot_offset,
        data=snapshot.state[progress.snapshot_offset : end],
        last=end >= len(snapshot.state),
    )


def on_snapshot_received(
    state: ReplicaState, peer: ReplicaId, message: SnapshotReceived
) -> None:
    """Send the chunk that the follower asks for next."""
    progress = state.leadership.peers[peer]
    snapshot = progress.snapshot
    if snapshot is None or snapshot.index != message.snapshot_index:
        return
    # A duplicate answer asks for the chunk that was already sent. Sending it again
    # would double the rest of the transfer.
    if message.next_offset == progress.snapshot_offset:
        return
    progress.snapshot_offset = message.next_offset
    progress.last_progress_at = state.now
    send_chunk(state, peer, progress)


def on_install_snapshot(
    state: ReplicaState, peer: ReplicaId, message: InstallSnapshot
) -> None:
    """Append a chunk, and install the snapshot after the last one."""
    if message.snapshot_index <= state.commit_index:
        confirm_match(state, peer, state.commit_index, message.read_round)
        return
    incoming = state.incoming
    name = (message.snapshot_index, message.snapshot_term)
    if incoming is None or (incoming.index, incoming.term) != name:
        incoming = state.incoming = IncomingSnapshot(*name)
    if message.offset == len(incoming.data):
        incoming.data += message.data
        if message.last:
            install_snapshot(state, message, bytes(incoming.data))
            confirm_match(state, peer, message.snapshot_index, message.read_round)
            return
    state.send(
        peer,
        SnapshotReceived,
        snapshot_index=message.snapshot_index,
        next_offset=len(incoming.data),
        read_round=message.read_round,
    )


def install_snapshot(
    state: ReplicaState, message: InstallSnapshot, data: bytes
) -> None:
    """Replace log and state by a complete snapshot.

    If the log has the snapshot's last entry, commit up to it instead.
    """
    state.incoming = None
    index = message.snapshot_index
    if state.log.term_at(index) == message.snapshot_term:
        state.commit_up_to(index)
        return
    snapshot = Snapshot(
        index, message.snapshot_term, message.snapshot_at, message.membership, data
    )
    state.log.reset_to_snapshot(snapshot)
    state.commit_index = index
    state.snapshot_wanted = False
    state.effects.append(SaveSnapshot(snapshot, index + 1, discard_log=True))
    state.effects.append(InstallState(data, index))


def confirm_match(
    state: ReplicaState, peer: ReplicaId, match_index: int, read_round: int
) -> None:
    """Send the leader the index up to which the logs are equal."""
    state.send(
        peer,
        EntriesAppended,
        match_index=match_index,
        read_round=read_round,
        sync_ms=state.sync_milliseconds,
    )
