"""Be the storage of a replica whose machine has no disk."""

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
    """Keep nothing: the replica has it in memory, and ends with its process.

    Each start has a new identity, like an empty disk, so that a replica which has
    forgotten its votes never votes under the name that cast them.
    """

    def __init__(self, instance: InstanceId) -> None:
        self.instance = instance
        self.failure: StorageError | None = None

    def load(self) -> Result[StoredState, StorageError]:
        """Begin with nothing."""
        identity = ReplicaId(self.instance, new_identity())
        return Ok(StoredState(identity, HardState(), None, ()))

    def write(self, effects: Iterable[Persist | SaveSnapshot]) -> None:
        """Write nothing."""

    def sync(self) -> None:
        """Wait for nothing."""

    def close(self) -> None:
        """Close nothing."""
