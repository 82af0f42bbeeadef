"""Simulate the disk and the process of a replica in memory."""

from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple

from cowslipshelf_core.agreement import (
    Persist,
    Replica,
    ReplicaId,
    Role,
    SaveSnapshot,
    StoredState,
)
from cowslipshelf_core.identifiers import InstanceId


class CrashPoint(Enum):
    """Define when a process crashes while it handles a batch."""

    BEFORE_SYNC = "before sync"
    """Some writes of the batch are lost, and no effects after the sync happen."""
    AFTER_SYNC = "after sync"
    """All writes are durable, and no effects after the sync happen."""
    AMID_EFFECTS = "amid effects"
    """All writes are durable, and only the first effects are performed."""


class Crash(NamedTuple):
    """Describe when a process crashes and how much it still does."""

    point: CrashPoint
    survivors: int = 0
    """Writes that reach the disk, or effects that are still performed."""


class MemoryDisk:
    """Hold synced state, and unsynced writes that a crash may lose."""

    def __init__(self, instance: InstanceId, folder: str) -> None:
        self.stored = StoredState(ReplicaId(instance, folder))
        self.unsynced: list[Persist | SaveSnapshot] = []

    def load(self) -> StoredState:
        return self.stored

    def write(self, effects: Sequence[Persist | SaveSnapshot]) -> None:
        for effect in effects:
            if isinstance(effect, Persist):
                self.unsynced += [Persist(entries=(e,)) for e in effect.entries]
                if effect.truncate_from is not None:
                    cut = len(self.unsynced) - len(effect.entries)
                    cutting = Persist(truncate_from=effect.truncate_from)
                    self.unsynced.insert(cut, cutting)
                if effect.hard_state is not None:
                    self.store(Persist(hard_state=effect.hard_state))
            else:
                self.unsynced.append(effect)

    def sync(self) -> None:
        for effect in self.unsynced:
            self.store(effect)
        self.unsynced.clear()

    def lose_unsynced(self, survivors: int) -> None:
        self.unsynced = self.unsynced[:survivors]
        self.sync()

    def store(self, effect: Persist | SaveSnapshot) -> None:
        stored = self.stored
        if isinstance(effect, SaveSnapshot):
            kept = () if effect.discard_log else stored.entries
            kept = tuple(e for e in kept if e.index >= effect.keep_from)
            self.stored = stored._replace(snapshot=effect.snapshot, entries=kept)
            return
        entries = stored.entries
        if effect.truncate_from is not None:
            entries = tuple(e for e in entries if e.index < effect.truncate_from)
        self.stored = stored._replace(
            hard_state=effect.hard_state or stored.hard_state,
            entries=entries + effect.entries,
        )


@dataclass
class Node:
    """Hold one instance: its disk, its replica while it runs, and what it applied."""

    instance: InstanceId
    disk: MemoryDisk
    replica: Replica | None = None
    applied_index: int = 0
    commands: list[str] = field(default_factory=list)
    """Proposal ids of the applied commands, in order."""
    waiting: set[str] = field(default_factory=set)
    """Proposals made at this instance that are not answered yet."""
    clock: float = 0.0

    @property
    def running(self) -> bool:
        return self.replica is not None

    @property
    def leads(self) -> bool:
        return self.running and self.replica.status().role is Role.LEADER
