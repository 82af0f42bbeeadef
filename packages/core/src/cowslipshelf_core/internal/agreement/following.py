"""Append the leader's entries as a follower."""

from cowslipshelf_core.internal.agreement.effects import Persist
from cowslipshelf_core.internal.agreement.errors import LogDivergedError
from cowslipshelf_core.internal.agreement.messages import AppendEntries, AppendRefused
from cowslipshelf_core.internal.agreement.records import Entry, ReplicaId
from cowslipshelf_core.internal.agreement.snapshots import confirm_match
from cowslipshelf_core.internal.agreement.state import ReplicaState


def on_append_entries(
    state: ReplicaState, leader: ReplicaId, message: AppendEntries
) -> None:
    """Append the entries after the previous one, or refuse if the logs differ there."""
    previous = message.previous_index
    if not contains_entry(state, previous, message.previous_term):
        conflict_term, conflict_index = state.log.conflict_at(previous)
        state.send(
            leader,
            AppendRefused,
            previous_index=previous,
            read_round=message.read_round,
            conflict_term=conflict_term,
            conflict_index=conflict_index,
        )
        return
    append_new_entries(state, message.entries)
    match_index = previous + len(message.entries)
    commit_index = min(message.commit_index, match_index)
    if commit_index > state.commit_index:
        state.commit_up_to(commit_index)
    # Entries committed here are in the log of every later leader as well.
    match_index = max(match_index, state.commit_index)
    confirm_match(state, leader, match_index, message.read_round)


def contains_entry(state: ReplicaState, index: int, term: int) -> bool:
    """Return whether the log has this entry; committed entries always match."""
    return index <= state.commit_index or state.log.term_at(index) == term


def append_new_entries(state: ReplicaState, entries: tuple[Entry, ...]) -> None:
    """Append the entries that are missing, and truncate the log at a conflict.

    Entries that match are kept with all that follows them: a delayed copy of an
    older message must not truncate entries that were confirmed since.
    """
    truncate_from = None
    for position, entry in enumerate(entries):
        if entry.index <= state.commit_index:
            check_committed_term(state, entry)
            continue
        term = state.log.term_at(entry.index)
        if term == entry.term:
            continue
        if term is not None:
            truncate_from = entry.index
            state.log.truncate_from(entry.index)
        new = tuple(entries[position:])
        state.log.append(new)
        state.effects.append(Persist(truncate_from=truncate_from, entries=new))
        return


def check_committed_term(state: ReplicaState, entry: Entry) -> None:
    """Raise an error if the leader has a different entry at a committed index."""
    term = state.log.term_at(entry.index)
    if term is not None and term != entry.term:
        raise LogDivergedError(
            f"entry {entry.index} is committed with term {term}, "
            f"but the leader sent it with term {entry.term}"
        )
