"""Store a replica's log, hard state and snapshots durably."""

from cowslipshelf_platform.internal.storage.errors import StorageError
from cowslipshelf_platform.internal.storage.replica_storage import (
    ReplicaStorage,
    ReplicaStorageConfig,
    new_identity,
)

__all__ = ["ReplicaStorage", "ReplicaStorageConfig", "StorageError", "new_identity"]
