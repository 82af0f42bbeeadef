"""Define what a gateway is told before it starts."""

from typing import NamedTuple, Protocol

from result import Result

from cowslipshelf_core.identifiers import DataCentre, InstanceId


class GatewaySettings(NamedTuple):
    """Be everything that one gateway is told, by the adapter of its machines."""

    instance: InstanceId
    """The machine's IP number; peers reach it there, all at the same port."""
    name: str
    data_centre: DataCentre
    peer_port: int
    seeds: tuple[InstanceId, ...]
    """Some other gateways, which may be gone by now."""
    first_start: bool
    """Whether the whole system starts for the first time, with empty disks."""
    data_folder: str | None
    """Where data outlives the process; nothing on machines without a disk."""
    max_failures: int
    """Replicas that may be lost at once."""
    callers_address: str | None
    ready_address: str | None
    control_address: str | None
    metrics_address: str | None = None
    max_descriptors: int = 1024
    upstream_heartbeat_seconds: float = 1.0
    """Time between two heartbeats of an upstream."""
    shutdown_seconds: float = 8.0
    """Time from the signal to end until the process is killed."""
    retry_budget_ratio: float = 0.2
    """Repeats that all gateways together may send, for each request."""
    retry_budget_slack: float = 10.0
    """Repeats allowed besides, in each window."""
    retry_budget_window_seconds: float = 10.0
    memory_release_seconds: float = 4.0
    """Time after the end of a request within which its engine memory must be free."""
    replica_in_memory: bool = False
    """Whether a replica is held without a disk, from the start on."""

    @property
    def holds_replica(self) -> bool:
        """Tell whether a replica is held here from the start on."""
        return self.data_folder is not None or self.replica_in_memory

    def peer_address(self, instance: InstanceId) -> str:
        """Return where a gateway listens for its peers."""
        return f"{instance}:{self.peer_port}"


class SettingsSource(Protocol):
    """Read the settings again when they have changed."""

    def load_if_changed(self) -> Result[GatewaySettings, str] | None:
        """Return new settings, or what is wrong with them; nothing if unchanged."""
