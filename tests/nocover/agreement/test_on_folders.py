"""Check the replicated log on real data folders."""

from pathlib import Path
from tempfile import TemporaryDirectory

import pytest

from common.agreement_walk import RandomWalk
from cowslipshelf_core.agreement import ReplicaId
from cowslipshelf_host.storage import ReplicaStorage, ReplicaStorageConfig

SMALL_SEGMENT = 400


class FolderDisk:
    """Implement a disk by a data folder that each load reopens and checks."""

    def __init__(self, root: Path, instance: str, folder: str) -> None:
        path = root / folder
        self.config = ReplicaStorageConfig(path, instance, SMALL_SEGMENT)
        self.storage = None
        self.load()

    @property
    def replica_id(self) -> ReplicaId:
        return self.stored.replica_id

    def load(self):
        if self.storage is not None:
            self.storage.close()
        self.storage = ReplicaStorage.from_config(self.config).unwrap()
        self.stored = self.storage.load().unwrap()
        return self.stored

    def write(self, effects) -> None:
        self.storage.write(effects)

    def sync(self) -> None:
        self.storage.sync()

    def lose_unsynced(self, survivors: int) -> None:
        """Lose nothing, since the system keeps the writes of a process that ended."""


@pytest.mark.parametrize("seed", range(6))
def test_long_histories_lose_nothing_on_real_folders(seed):
    """A replica restarts with a log that differs from the one it had.

    The histories are those of the in-memory tests. Each start and each check reads the
    folder as a new process would.
    """
    with TemporaryDirectory() as root:
        RandomWalk(seed, lambda *names: FolderDisk(Path(root), *names)).run()
