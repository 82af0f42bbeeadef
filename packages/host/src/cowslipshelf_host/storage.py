"""Store a replica's log, hard state and snapshots durably."""

from cowslipshelf_host.internal.storage.errors import StorageError
from cowslipshelf_host.internal.storage.files import (
    read_record_file,
    replace_record_file,
)
from cowslipshelf_host.internal.storage.recovery import (
    ForcedMembership,
    force_members_in_folder,
)
from cowslipshelf_host.internal.storage.replica_storage import (
    ReplicaStorage,
    ReplicaStorageConfig,
    new_identity,
)
from cowslipshelf_host.internal.storage.volatile_storage import VolatileStorage

__all__ = [
    "ForcedMembership",
    "ReplicaStorage",
    "ReplicaStorageConfig",
    "StorageError",
    "VolatileStorage",
    "force_members_in_folder",
    "new_identity",
    "read_record_file",
    "replace_record_file",
]
