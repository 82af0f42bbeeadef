"""Provide the storage of a replica on a machine without a disk."""

from collections.abc import Iterable

from result import Ok, Result

from cowslipshelf_core.agreement import (
    HardState,
    Persist,
    ReplicaId,
    SaveSnapshot,
    StoredState,
)
from cowslipshelf_core.identifiers import InstanceId
from cowslipshelf_host.internal.storage.errors import StorageError
from cowslipshelf_host.internal.storage.replica_storage import new_identity


class VolatileStorage:
    """Store nothing; the replica's state is in memory and is lost with its process.

    Each start gets a new identity, as with an empty disk, so that a replica that has
    lost its votes never votes again under the identity that cast them.
    """

    def __init__(self, instance: InstanceId) -> None:
        self.instance = instance
        self.failure: StorageError | None = None

    def load(self) -> Result[StoredState, StorageError]:
        """Return an empty state with a new identity."""
        identity = ReplicaId(self.instance, new_identity())
        return Ok(StoredState(identity, HardState(), None, ()))

    def write(self, effects: Iterable[Persist | SaveSnapshot]) -> None:
        """Do nothing, as nothing is stored."""

    def sync(self) -> None:
        """Do nothing, as nothing is stored."""

    def close(self) -> None:
        """Do nothing, as no file is open."""
