"""Rewrite a stopped replica's data folder after the loss of a quorum."""

from typing import NamedTuple

from result import Err, Ok, Result

from cowslipshelf_core.agreement import ReplicaId, force_members
from cowslipshelf_host.internal.storage.errors import StorageError
from cowslipshelf_host.internal.storage.replica_storage import (
    ReplicaStorage,
    ReplicaStorageConfig,
    new_identity,
)


class ForcedMembership(NamedTuple):
    """Report the forced membership of a data folder to the operator."""

    replica_id: ReplicaId
    term: int
    last_index: int
    """Index of the log entry that makes this replica the only member."""
    warning: str


def force_members_in_folder(
    config: ReplicaStorageConfig, operator: str, at: float
) -> Result[ForcedMembership, StorageError]:
    """Make the replica of a folder the only member of a new cluster, durably.

    Taking the folder's lock ensures that no other process uses the folder. `at` is in
    seconds since 1970.
    """
    return ReplicaStorage.from_config(config).and_then(
        lambda storage: force_in_storage(storage, operator, at)
    )


def force_in_storage(
    storage: ReplicaStorage, operator: str, at: float
) -> Result[ForcedMembership, StorageError]:
    """Write the forced membership to a storage, then close it."""
    try:
        stored = storage.load()
        if isinstance(stored, Err):
            return stored
        if stored.ok_value.snapshot is None and not stored.ok_value.entries:
            # A cluster formed from an empty folder would have an empty configuration.
            detail = "it holds no state; choose the folder of another replica"
            return Err(StorageError("force members", storage.config.folder, detail))
        replica_id = stored.ok_value.replica_id
        forced = force_members(stored.ok_value, new_identity(), operator, at)
        storage.write([forced.persist])
        storage.sync()
    except StorageError as error:
        return Err(error)
    finally:
        storage.close()
    entry = forced.persist.entries[-1]
    return Ok(ForcedMembership(replica_id, entry.term, entry.index, forced.warning))
