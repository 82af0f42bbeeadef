"""Store a replica's identity, hard state, log and snapshot in one data folder."""

import os
import secrets
from collections.abc import Iterable
from pathlib import Path
from typing import NamedTuple

import msgspec
from result import Err, Ok, Result

from cowslipshelf_core.agreement import (
    Entry,
    HardState,
    Persist,
    ReplicaId,
    SaveSnapshot,
    Snapshot,
    StoredState,
)
from cowslipshelf_core.identifiers import InstanceId
from cowslipshelf_host.internal.storage.errors import StorageError
from cowslipshelf_host.internal.storage.files import (
    TEMPORARY_SUFFIX,
    lock_folder,
    read_record_file,
    replace_record_file,
    sync_folder,
)
from cowslipshelf_host.internal.storage.segments import (
    SEGMENT_PATTERN,
    SegmentedLog,
)

IDENTITY_NAME = "identity"
HARD_STATE_NAME = "hard_state"
LOCK_NAME = "lock"
SNAPSHOT_PATTERN = "snapshot-*"
SNAPSHOT_NAME = "snapshot-{index:020d}"
IDENTITY_BYTES = 6


class ReplicaStorageConfig(NamedTuple):
    """Configure the data folder of a replica."""

    folder: Path
    instance: InstanceId
    segment_bytes: int = 8 * 1024 * 1024


def new_identity() -> str:
    """Return a random identity for a data folder or a forced cluster."""
    return secrets.token_hex(IDENTITY_BYTES)


class ReplicaStorage:
    """Load, write and sync one data folder, which is locked for this process."""

    def __init__(self, config: ReplicaStorageConfig, lock: int) -> None:
        self.config = config
        self.lock: int | None = lock
        self.log = SegmentedLog(config.folder, config.segment_bytes)
        self.failure: StorageError | None = None

    @classmethod
    def from_config(
        cls, config: ReplicaStorageConfig
    ) -> Result["ReplicaStorage", StorageError]:
        """Create the data folder if it is missing, and lock it."""
        try:
            config.folder.mkdir(parents=True, exist_ok=True)
            return Ok(cls(config, lock_folder(config.folder / LOCK_NAME)))
        except StorageError as error:
            return Err(error)
        except OSError as error:
            return Err(StorageError("open", config.folder, str(error)))

    def load(self) -> Result[StoredState, StorageError]:
        """Read the folder; an empty one is initialised with a new identity first."""
        try:
            return Ok(self.read_folder())
        except StorageError as error:
            self.failure = error
        except OSError as error:
            self.failure = StorageError("load", self.config.folder, str(error))
        return Err(self.failure)

    def read_folder(self) -> StoredState:
        """Read the whole folder, or raise an error."""
        folder = self.config.folder
        for leftover in folder.glob("*" + TEMPORARY_SUFFIX):
            leftover.unlink()
        if not (folder / IDENTITY_NAME).exists():
            self.prepare_folder()
        replica_id = read_document(folder / IDENTITY_NAME, ReplicaId)
        if replica_id.instance != self.config.instance:
            detail = f"this folder belongs to instance {replica_id.instance}"
            raise StorageError("load", folder, detail)
        hard_state = read_document(folder / HARD_STATE_NAME, HardState)
        snapshot = self.read_snapshot()
        entries = self.read_log(snapshot)
        return StoredState(replica_id, hard_state, snapshot, entries)

    def prepare_folder(self) -> None:
        """Initialise an empty folder; writing the identity last makes it valid.

        A folder with data but without its identity is refused: the identity under which
        it voted is unknown, and a new one is safe for an empty folder only.
        """
        folder = self.config.folder
        segments = list(folder.glob(SEGMENT_PATTERN))
        used = any(path.stat().st_size for path in segments)
        if used or any(folder.glob(SNAPSHOT_PATTERN)):
            raise StorageError.corrupt(folder / IDENTITY_NAME, "the file is missing")
        for path in segments:
            path.unlink()
        self.log.create(first_index=1)
        self.log.close()
        self.log.segments.clear()
        write_document(folder / HARD_STATE_NAME, HardState())
        identity = ReplicaId(self.config.instance, new_identity())
        write_document(folder / IDENTITY_NAME, identity)

    def read_snapshot(self) -> Snapshot | None:
        """Read the latest snapshot and remove older ones."""
        paths = sorted(self.config.folder.glob(SNAPSHOT_PATTERN))
        if not paths:
            return None
        snapshot = read_document(paths[-1], Snapshot)
        for path in paths[:-1]:
            path.unlink()
        return snapshot

    def read_log(self, snapshot: Snapshot | None) -> tuple[Entry, ...]:
        """Read the entries; discard a log that conflicts with the snapshot.

        A snapshot from the leader is saved before the conflicting log is discarded.
        After a crash in between, the log ends before the snapshot's index or has
        another term there, and none of its entries is valid any more.
        """
        if snapshot is None:
            return self.log.load(0)
        entries = self.log.load(snapshot.index)
        covered = [entry for entry in entries if entry.index <= snapshot.index]
        starts_after = self.log.segments[0].first_index == snapshot.index + 1
        reaches = bool(covered) and covered[-1].index == snapshot.index
        if starts_after or (reaches and covered[-1].term == snapshot.term):
            return entries
        self.log.reset(snapshot.index + 1)
        return ()

    def write(self, effects: Iterable[Persist | SaveSnapshot]) -> None:
        """Write effects in order; entries are durable only after `sync`.

        Raises `StorageError`, and so does every later call: it is unknown which bytes a
        failed sync has lost, and a second sync may falsely report success.
        """
        with FailureGuard(self, "write"):
            effects = list(effects)
            self.save_hard_state(effects)
            for effect in effects:
                match effect:
                    case Persist():
                        self.persist(effect)
                    case SaveSnapshot():
                        self.save_snapshot(effect)
            self.log.flush()

    def sync(self) -> None:
        """Make everything written durable, or raise `StorageError`."""
        with FailureGuard(self, "sync"):
            self.log.sync()

    def save_hard_state(self, effects: list[Persist | SaveSnapshot]) -> None:
        """Durably write a batch's last hard state; no peer has seen earlier ones."""
        states = [e.hard_state for e in effects if isinstance(e, Persist)]
        changed = [state for state in states if state is not None]
        if changed:
            write_document(self.config.folder / HARD_STATE_NAME, changed[-1])

    def persist(self, effect: Persist) -> None:
        """Truncate the log if asked to, then append entries."""
        if effect.truncate_from is not None:
            self.log.truncate_from(effect.truncate_from)
        self.log.append(effect.entries)

    def save_snapshot(self, effect: SaveSnapshot) -> None:
        """Save a snapshot durably, then drop the log and snapshots that it replaces."""
        self.log.sync()
        snapshot = effect.snapshot
        path = self.config.folder / SNAPSHOT_NAME.format(index=snapshot.index)
        write_document(path, snapshot)
        if effect.discard_log:
            self.log.reset(effect.keep_from)
        else:
            self.log.drop_before(effect.keep_from)
        for older in self.config.folder.glob(SNAPSHOT_PATTERN):
            if older.name < path.name:
                older.unlink()
        sync_folder(self.config.folder)

    def close(self) -> None:
        """Close the files and release the lock of the folder."""
        self.log.close()
        if self.lock is not None:
            os.close(self.lock)
            self.lock = None


class FailureGuard:
    """Turn an `OSError` into a permanent failure of the storage."""

    def __init__(self, storage: ReplicaStorage, step: str) -> None:
        self.storage = storage
        self.step = step

    def __enter__(self) -> None:
        if self.storage.failure is not None:
            raise self.storage.failure

    def __exit__(self, kind, error, traceback) -> None:
        if isinstance(error, OSError):
            path = self.storage.config.folder
            self.storage.failure = StorageError(self.step, path, str(error))
            raise self.storage.failure from error


def write_document(path: Path, document: object) -> None:
    """Encode a document and replace its file, durably."""
    replace_record_file(path, msgspec.msgpack.encode(document))


def read_document(path: Path, kind: type):
    """Read and decode the document in a file, or raise `StorageError`."""
    if not path.exists():
        raise StorageError.corrupt(path, "the file is missing")
    try:
        return msgspec.msgpack.decode(read_record_file(path), type=kind)
    except msgspec.DecodeError as error:
        raise StorageError.corrupt(path, f"wrong content: {error}") from error
