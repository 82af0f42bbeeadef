"""Check that a data folder returns what was synced, or reports corruption."""

import errno
import os
import tempfile
from contextlib import contextmanager
from pathlib import Path
from random import Random

import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from cowslipshelf_core.agreement import (
    Entry,
    EntryKind,
    HardState,
    Membership,
    Persist,
    Replica,
    ReplicaConfig,
    ReplicaId,
    Role,
    SaveSnapshot,
    Snapshot,
    TickElapsed,
)
from cowslipshelf_host.internal.storage.segments import SegmentedLog
from cowslipshelf_host.storage import (
    ReplicaStorage,
    ReplicaStorageConfig,
    StorageError,
    force_members_in_folder,
)

PAYLOADS = st.lists(st.binary(max_size=120), min_size=1, max_size=12)
SMALL_SEGMENT = 300
FAST = settings(max_examples=60, deadline=None, derandomize=True)


def entries_from(first: int, payloads: list[bytes], term: int = 1) -> tuple:
    return tuple(
        Entry(index, term, 1.0, EntryKind.COMMAND, payload, f"p{index}")
        for index, payload in enumerate(payloads, start=first)
    )


def open_storage(folder: Path, segment_bytes: int = SMALL_SEGMENT) -> ReplicaStorage:
    config = ReplicaStorageConfig(folder, "entry-0", segment_bytes)
    return ReplicaStorage.from_config(config).unwrap()


@contextmanager
def data_folder():
    with tempfile.TemporaryDirectory() as name:
        yield Path(name)


def write_synced(folder: Path, entries: tuple, batch: int, segment_bytes: int) -> None:
    storage = open_storage(folder, segment_bytes)
    storage.load().unwrap()
    for start in range(0, len(entries), batch):
        storage.write([Persist(entries=entries[start : start + batch])])
        storage.sync()
    storage.close()


def load(folder: Path):
    storage = open_storage(folder)
    loaded = storage.load()
    storage.close()
    return loaded


class StorageMachine(RuleBasedStateMachine):
    """Append, truncate, snapshot and restart, and compare with what was synced."""

    @initialize()
    def start(self):
        self.scratch = tempfile.TemporaryDirectory()
        self.folder = Path(self.scratch.name)
        self.storage = open_storage(self.folder)
        stored = self.storage.load().unwrap()
        self.replica_id = stored.replica_id
        self.hard_state = HardState()
        self.entries = []
        self.snapshot = None
        self.base = 0
        self.term = 1

    def last(self):
        return self.entries[-1].index if self.entries else self.base

    def perform(self, effect):
        self.storage.write([effect])
        self.storage.sync()

    @rule(payloads=PAYLOADS)
    def append(self, payloads):
        entries = entries_from(self.last() + 1, payloads, self.term)
        self.perform(Persist(entries=entries))
        self.entries += entries

    @rule(position=st.integers(0, 1000), payloads=PAYLOADS)
    def cut_and_append(self, position, payloads):
        first = self.base + 1 + position % (len(self.entries) + 1)
        self.term += 1
        entries = entries_from(first, payloads, self.term)
        self.perform(Persist(truncate_from=first, entries=entries))
        self.entries = [e for e in self.entries if e.index < first] + list(entries)

    @rule(term=st.integers(0, 99))
    def vote(self, term):
        self.hard_state = HardState(term, self.replica_id, "cluster-1")
        self.perform(Persist(hard_state=self.hard_state))

    @rule(position=st.integers(0, 1000), kept=st.integers(0, 5))
    def compact(self, position, kept):
        if not self.entries:
            return
        at = self.entries[position % len(self.entries)]
        self.snapshot = Snapshot(at.index, at.term, 1.0, Membership(), b"state")
        keep_from = max(1, at.index + 1 - kept)
        self.perform(SaveSnapshot(self.snapshot, keep_from))
        self.base = at.index
        self.entries = [e for e in self.entries if e.index > at.index]

    @rule(ahead=st.integers(1, 5))
    def install(self, ahead):
        index = self.last() + ahead
        self.term += 1
        self.snapshot = Snapshot(index, self.term, 1.0, Membership(), b"other")
        self.perform(SaveSnapshot(self.snapshot, index + 1, discard_log=True))
        self.base = index
        self.entries = []

    @rule()
    def restart(self):
        self.storage.close()
        self.storage = open_storage(self.folder)
        stored = self.storage.load().unwrap()
        assert stored.replica_id == self.replica_id
        assert stored.hard_state == self.hard_state
        assert stored.snapshot == self.snapshot
        assert [e for e in stored.entries if e.index > self.base] == self.entries

    @invariant()
    def keeps_few_files(self):
        if hasattr(self, "folder"):
            assert len(list(self.folder.glob("snapshot-*"))) <= 1

    def teardown(self):
        if hasattr(self, "storage"):
            self.restart()
            self.storage.close()
            self.scratch.cleanup()


TestStorage = StorageMachine.TestCase
TestStorage.settings = settings(
    max_examples=30, stateful_step_count=25, deadline=None, derandomize=True
)


@given(
    synced=PAYLOADS,
    unsynced=PAYLOADS,
    kept=st.integers(0, 2000),
    zeros=st.integers(0, 3000),
)
@FAST
def test_a_torn_tail_is_cut_and_nothing_synced_with_it(synced, unsynced, kept, zeros):
    """Guard against a replica that refuses to start after a power failure.

    It may not lose synced entries either. Records were written but not synced when the
    power failed; a part of them reached the disk, and the file may be longer than that,
    filled with zeros.
    """
    with data_folder() as folder:
        whole = entries_from(1, synced)
        write_synced(folder, whole, 3, 1_000_000)
        path = next(folder.glob("log-*"))
        length = path.stat().st_size
        later = entries_from(len(whole) + 1, unsynced)
        storage = open_storage(folder, 1_000_000)
        storage.load().unwrap()
        storage.write([Persist(entries=later)])
        storage.close()
        data = path.read_bytes()
        cut = length + kept % (len(data) - length + 1)
        if cut < len(data) and zeros > 600:
            path.write_bytes(data[:cut] + bytes(zeros))
        else:
            path.write_bytes(data[:cut])
        found = load(folder).unwrap().entries
        assert found[: len(whole)] == whole
        assert found == (whole + later)[: len(found)]
        assert load(folder).unwrap().entries == found


@given(payloads=PAYLOADS, batch=st.integers(1, 12), position=st.integers(0, 10**6))
@example(payloads=[b"last"], batch=1, position=0)
@FAST
def test_a_flipped_bit_is_never_taken_for_a_torn_tail(payloads, batch, position):
    """Guard against the silent loss of accepted changes.

    A bit of a synced record flips on the disk. If it were truncated as a torn tail, the
    record and all after it would be lost silently. Instead, the error must name the
    file and offset, and say that the replica must be rebuilt from another.
    """
    with data_folder() as folder:
        payloads = [payload.replace(b"\0", b"\1") for payload in payloads]
        write_synced(folder, entries_from(1, payloads), batch, SMALL_SEGMENT)
        files = [f for f in sorted(folder.iterdir()) if f.stat().st_size]
        path = files[position % len(files)]
        data = bytearray(path.read_bytes())
        offset = position // 8 % len(data)
        data[offset] ^= 1 << position % 8
        path.write_bytes(data)
        error = load(folder).unwrap_err()
        assert error.path == path
        assert error.offset <= offset
        assert "rebuilt from another" in str(error)


@given(payloads=st.lists(st.binary(min_size=300, max_size=600), min_size=5))
@FAST
def test_sectors_of_zeros_amid_synced_records_are_damage(payloads):
    """Guard against the loss of all entries after a lost sector in the log.

    Zeros look like a tail that was never written; the later records, written when these
    bytes were already synced, prove the corruption.
    """
    with data_folder() as folder:
        write_synced(folder, entries_from(1, payloads), 1, 1_000_000)
        path = next(folder.glob("log-*"))
        data = path.read_bytes()
        path.write_bytes(bytes(1024) + data[1024:])
        assert "rebuilt from another" in str(load(folder).unwrap_err())


@pytest.mark.parametrize("name", ["identity", "hard_state", "log-*"])
def test_a_missing_file_is_not_replaced_by_an_empty_one(tmp_path, name):
    """Guard against a replica that votes twice in one term.

    Someone removed a file of the data folder. If the replica started with an empty file
    under its old identity, it would have lost its votes and could cast them again.
    """
    write_synced(tmp_path, entries_from(1, [b"a"] * 9), 3, SMALL_SEGMENT)
    sorted(tmp_path.glob(name))[0].unlink()
    assert "rebuilt from another" in str(load(tmp_path).unwrap_err())


def test_two_processes_never_share_a_folder(tmp_path):
    """Guard against lost entries when a process starts before the old one ended."""
    first = open_storage(tmp_path)
    config = ReplicaStorageConfig(tmp_path, "entry-0")
    refused = ReplicaStorage.from_config(config).unwrap_err()
    assert refused.step == "lock"
    first.close()
    open_storage(tmp_path).close()


def test_a_stopped_replica_leads_alone_after_its_members_were_forced(tmp_path):
    """Guard against a cluster that accepts no changes after the loss of a quorum.

    The operator forces the membership in the folder of the remaining replica. This must
    be refused while a process still uses the folder.
    """
    write_synced(tmp_path, entries_from(1, [b"kept"]), 1, SMALL_SEGMENT)
    config = ReplicaStorageConfig(tmp_path, "entry-0")
    running = open_storage(tmp_path)
    assert force_members_in_folder(config, "operator", 9.0).unwrap_err().step == "lock"
    running.close()
    forced = force_members_in_folder(config, "operator", 9.0).unwrap()
    stored = load(tmp_path).unwrap()
    assert (stored.entries[-1].index, stored.hard_state.term) == (2, forced.term)
    replica = Replica.from_config(ReplicaConfig(("entry-0", "entry-1")), stored)
    for seconds in (0.0, 9.0):
        replica.handle(TickElapsed(), seconds, Random(0))
    assert replica.status().role is Role.LEADER
    assert replica.status().commit_index == 3


def test_an_empty_folder_is_never_forced(tmp_path):
    """Guard against forcing the membership of a wiped replica by mistake.

    It would become a cluster of its own with an empty configuration.
    """
    config = ReplicaStorageConfig(tmp_path, "entry-0")
    error = force_members_in_folder(config, "operator", 9.0).unwrap_err()
    assert error.step == "force members"
    assert load(tmp_path).unwrap().entries == ()


def test_a_folder_of_another_instance_is_refused(tmp_path):
    """Guard against a copied data folder that votes for the original instance."""
    load(tmp_path).unwrap()
    config = ReplicaStorageConfig(tmp_path, "entry-1")
    storage = ReplicaStorage.from_config(config).unwrap()
    assert "belongs to instance entry-0" in str(storage.load().unwrap_err())
    storage.close()


@pytest.mark.parametrize("call", ["write", "fdatasync"])
def test_a_disk_that_failed_once_is_never_trusted_again(tmp_path, monkeypatch, call):
    """Guard against the loss of an acknowledged change after a failed sync.

    The disk is full or fails temporarily. The bytes that the failed call should have
    written are lost, and a later call may report success.
    """
    storage = open_storage(tmp_path)
    storage.load().unwrap()

    def fail(*arguments):
        raise OSError(errno.ENOSPC, "no space left")

    with monkeypatch.context() as patch:
        patch.setattr(os, call, fail)
        with pytest.raises(StorageError) as failure:
            storage.write([Persist(entries=entries_from(1, [b"a"]))])
            storage.sync()
        assert "no space left" in str(failure.value)
    with pytest.raises(StorageError):
        storage.sync()
    with pytest.raises(StorageError):
        storage.write([])
    storage.close()


def test_a_crash_while_a_snapshot_replaces_the_log_is_finished_at_the_start(
    tmp_path, monkeypatch
):
    """Guard against a replica that can't start, or starts with outdated entries.

    It has installed a snapshot, and its process ends before the conflicting log is
    removed: before any one of the files is removed, or before the new one is created.
    """

    class CrashedError(Exception):
        pass

    def crashing(call, allowed):
        def counted(*arguments, **options):
            nonlocal allowed
            allowed -= 1
            if allowed < 0:
                raise CrashedError
            return call(*arguments, **options)

        return counted

    def crash_at(folder: Path, kind: type, name: str, allowed: int) -> bool:
        write_synced(folder, entries_from(1, [b"old" * 50] * 12), 3, SMALL_SEGMENT)
        storage = open_storage(folder)
        identity = storage.load().unwrap().replica_id
        snapshot = Snapshot(10, 7, 1.0, Membership((ReplicaId("a", "b"),)), b"new")
        crashed = False
        with monkeypatch.context() as patch:
            patch.setattr(kind, name, crashing(getattr(kind, name), allowed))
            try:
                storage.write([SaveSnapshot(snapshot, 11, discard_log=True)])
            except CrashedError:
                crashed = True
        storage.close()
        for _ in range(2):
            stored = load(folder).unwrap()
            assert (stored.replica_id, stored.snapshot) == (identity, snapshot)
            assert stored.entries == ()
        new = entries_from(11, [b"new"], 7)
        write_synced(folder, new, 1, SMALL_SEGMENT)
        assert load(folder).unwrap().entries == new
        return crashed

    assert crash_at(tmp_path / "create", SegmentedLog, "create", 0)
    removals = 0
    while crash_at(tmp_path / f"unlink-{removals}", Path, "unlink", removals):
        removals += 1
    assert removals >= 3
