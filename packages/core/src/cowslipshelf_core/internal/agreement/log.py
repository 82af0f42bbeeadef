"""Keep the recent part of the replicated log in memory."""

from dataclasses import dataclass, field

from cowslipshelf_core.internal.agreement.records import (
    Entry,
    EntryKind,
    Membership,
    Snapshot,
    StoredState,
    decode_membership,
)


@dataclass(slots=True)
class ReplicaLog:
    """Hold the entries after a base entry, and the memberships in them.

    The base is the entry just before the first one held. Its term is kept, so that
    the first entry held can still be compared with a leader's log.
    """

    base_index: int = 0
    base_term: int = 0
    snapshot: Snapshot | None = None
    entries: list[Entry] = field(default_factory=list)
    memberships: list[tuple[int, Membership]] = field(default_factory=list)
    held_bytes: int = 0
    """Payloads of the entries held."""

    @classmethod
    def from_stored(cls, stored: StoredState) -> "ReplicaLog":
        """Build the log from the content of a data folder."""
        log = cls()
        entries = stored.entries
        if stored.snapshot is not None:
            log.reset_to_snapshot(stored.snapshot)
            entries = tuple(e for e in entries if e.index > stored.snapshot.index)
        log.append(entries)
        return log

    @property
    def snapshot_index(self) -> int:
        """Return the last index that the snapshot covers, or zero without one."""
        return self.snapshot.index if self.snapshot else 0

    @property
    def last_index(self) -> int:
        """Return the index of the last entry."""
        return self.base_index + len(self.entries)

    @property
    def last_term(self) -> int:
        """Return the term of the last entry."""
        return self.entries[-1].term if self.entries else self.base_term

    @property
    def last_at(self) -> float:
        """Return the timestamp of the last entry."""
        if self.entries:
            return self.entries[-1].at
        return self.snapshot.at if self.snapshot else 0.0

    @property
    def membership(self) -> Membership:
        """Return the current membership: the last appended, committed or not."""
        return self.memberships[-1][1] if self.memberships else Membership()

    @property
    def previous_membership(self) -> Membership:
        """Return the membership before the current one."""
        return self.memberships[-2][1] if len(self.memberships) > 1 else Membership()

    @property
    def membership_index(self) -> int:
        """Return the index of the entry with the current membership."""
        return self.memberships[-1][0] if self.memberships else 0

    def term_at(self, index: int) -> int | None:
        """Return the term of an entry, or `None` if it isn't held.

        Every log starts after index zero, which has term zero.
        """
        if index == 0:
            return 0
        if index == self.base_index:
            return self.base_term
        if self.base_index < index <= self.last_index:
            return self.entry_at(index).term
        return None

    def entry_at(self, index: int) -> Entry:
        """Return the entry at an index, which must be held."""
        return self.entries[index - self.base_index - 1]

    def slice_from(self, index: int, max_entries: int, max_bytes: int) -> list[Entry]:
        """Return entries from an index on, at least one, within the limits."""
        start = index - self.base_index - 1
        chosen = []
        size = 0
        for entry in self.entries[start : start + max_entries]:
            size += len(entry.payload)
            if chosen and size > max_bytes:
                break
            chosen.append(entry)
        return chosen

    def append(self, entries: tuple[Entry, ...]) -> None:
        """Append entries; a membership among them takes effect at once."""
        for entry in entries:
            self.entries.append(entry)
            self.held_bytes += len(entry.payload)
            if entry.kind is EntryKind.MEMBERSHIP:
                self.memberships.append((entry.index, decode_membership(entry.payload)))

    def truncate_from(self, index: int) -> None:
        """Drop an entry and all after it, and roll back memberships among them."""
        position = index - self.base_index - 1
        self.held_bytes -= payload_bytes(self.entries[position:])
        del self.entries[position:]
        self.memberships = [m for m in self.memberships if m[0] < index]

    def membership_at(self, index: int) -> Membership:
        """Return the membership that was current at an index."""
        known = [m for at, m in self.memberships if at <= index]
        return known[-1] if known else Membership()

    def first_index_within(self, max_bytes: int, last_index: int) -> int:
        """Return the first index from which entries up to the last fit in a size."""
        size = 0
        for index in range(last_index, self.base_index, -1):
            size += len(self.entry_at(index).payload)
            if size > max_bytes:
                return index + 1
        return self.base_index + 1

    def compact(self, snapshot: Snapshot, keep_from: int) -> None:
        """Set a snapshot of the own state, and drop the entries before an index."""
        self.snapshot = snapshot
        base = max(keep_from - 1, self.base_index)
        base_term = self.term_at(base)
        dropped = base - self.base_index
        self.held_bytes -= payload_bytes(self.entries[:dropped])
        del self.entries[:dropped]
        self.base_index = base
        self.base_term = base_term
        later = [m for m in self.memberships if m[0] > snapshot.index]
        self.memberships = [(snapshot.index, snapshot.membership), *later]

    def reset_to_snapshot(self, snapshot: Snapshot) -> None:
        """Replace the whole log by a snapshot."""
        self.snapshot = snapshot
        self.entries = []
        self.held_bytes = 0
        self.base_index = snapshot.index
        self.base_term = snapshot.term
        self.memberships = [(snapshot.index, snapshot.membership)]

    def conflict_at(self, index: int) -> tuple[int, int]:
        """Return the term at an index and the first index of that term."""
        term = self.term_at(index)
        if term is None:
            return 0, self.last_index + 1
        first = index
        while first - 1 > self.base_index and self.term_at(first - 1) == term:
            first -= 1
        return term, first

    def last_index_of_term(self, term: int, max_index: int) -> int | None:
        """Return the last index up to `max_index` with a term, or `None`."""
        for index in range(min(max_index, self.last_index), self.base_index - 1, -1):
            found = self.term_at(index)
            if found == term:
                return index
            if found < term:
                return None
        return None


def payload_bytes(entries: list[Entry]) -> int:
    """Return the size of the payloads of some entries."""
    return sum(len(entry.payload) for entry in entries)
