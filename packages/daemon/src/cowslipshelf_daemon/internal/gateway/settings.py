"""Define the settings of a gateway."""

from typing import NamedTuple, Protocol

from result import Result

from cowslipshelf_core.identifiers import DataCentre, InstanceId


class GatewaySettings(NamedTuple):
    """Hold the settings of one gateway, as its adapter reads them."""

    instance: InstanceId
    """The machine's IP address; peers connect to it, all on the same port."""
    name: str
    data_centre: DataCentre
    peer_port: int
    seeds: tuple[InstanceId, ...]
    """Some other gateways, which may no longer exist."""
    first_start: bool
    """Whether the whole system starts for the first time, with empty disks."""
    data_folder: str | None
    """Folder of persistent data; None on machines without a disk."""
    max_failures: int
    """Replicas that may fail at the same time."""
    callers_address: str | None
    ready_address: str | None
    control_address: str | None
    metrics_address: str | None = None
    max_descriptors: int = 1024
    memory_bytes: int = 256 * 1024 * 1024
    """Memory that the process may use, with what has come for it and is unread."""
    upstream_heartbeat_seconds: float = 1.0
    """Interval between heartbeats of an upstream."""
    shutdown_seconds: float = 8.0
    """Time from the shutdown signal until the process is killed."""
    retry_budget_ratio: float = 0.2
    """Retries that all gateways together may send per request."""
    retry_budget_slack: float = 10.0
    """Retries allowed in addition, per window."""
    retry_budget_window_seconds: float = 10.0
    memory_release_seconds: float = 4.0
    """Time after the end of a request by which its engine memory must be released."""
    replica_in_memory: bool = False
    """Whether this gateway holds a replica without a disk from the start."""

    max_data_centre_failures: int = 0
    """Data centres that may fail at the same time; zero if none is expected to."""
    shares_health: bool = False
    """Whether gateways report failing and slow upstreams to each other."""
    crossing_cost: float = 0.0
    """Cost of an answer that crosses data centres, in units of the value of a short
    prompt's answer; zero if the distance does not matter."""
    data_centres: tuple[DataCentre, ...] = ()
    """Data centres of the deployment; empty if the settings don't list them."""
    cold_over: float = 0.0
    """Requests that a cold upstream may get in a second from all gateways together, as
    a multiple of what it sustains; zero: no limit."""
    cold_slack: float = 0.0
    """Requests allowed in addition, per second."""

    @property
    def holds_replica(self) -> bool:
        """Return whether this gateway holds a replica from the start."""
        return self.data_folder is not None or self.replica_in_memory

    def peer_address(self, instance: InstanceId) -> str:
        """Return the address on which a gateway listens for peers."""
        return f"{instance}:{self.peer_port}"


class SettingsSource(Protocol):
    """Reload the settings when they have changed."""

    def load_if_changed(self) -> Result[GatewaySettings, str] | None:
        """Return new settings or what is wrong with them, or None if unchanged."""
