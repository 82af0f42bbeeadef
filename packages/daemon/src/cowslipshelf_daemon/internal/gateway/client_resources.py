"""Hold what the clients of all servers of a process share."""

from typing import NamedTuple, Self

from cowslipshelf_core.gateway import MemoryBudgetConfig
from cowslipshelf_daemon.internal.gateway.client_memory import ClientMemory
from cowslipshelf_daemon.internal.gateway.work_turns import WorkTurns
from cowslipshelf_host.metrics import Metrics

DEFAULT_MEMORY_BYTES = 256 * 1024 * 1024


class ClientResources(NamedTuple):
    """Hold the memory and the turns of costly work that clients share."""

    memory: ClientMemory
    turns: WorkTurns

    @classmethod
    def by_default(cls) -> Self:
        """Create the resources of a process whose settings name no memory."""
        return cls.from_process_memory(DEFAULT_MEMORY_BYTES, Metrics())

    @classmethod
    def from_process_memory(cls, memory_bytes: int, metrics: Metrics) -> Self:
        """Create the resources of a process with so much memory."""
        config = MemoryBudgetConfig.from_process_memory(memory_bytes)
        return cls(ClientMemory(config, metrics), WorkTurns())
