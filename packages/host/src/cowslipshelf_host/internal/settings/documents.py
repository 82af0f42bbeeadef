"""Define the settings of one daemon, which operators write as JSON."""

from collections.abc import Iterator
from typing import Annotated, Literal

import msgspec

from cowslipshelf_core.configuration import ServiceKind
from cowslipshelf_core.identifiers import (
    DataCentre,
    InstanceId,
    ModelName,
    ServiceName,
    UpstreamId,
)
from cowslipshelf_host.internal.settings.field_formats import (
    SECRET_KEY,
    Folder,
    KeyHash,
    ListenAddress,
    Name,
    PeerAddress,
    between,
)
from cowslipshelf_host.internal.settings.masking import masked_repr

Role = Literal["entry", "sidecar"]
LogFormat = Literal["json", "console"]
LogLevel = Literal["debug", "info", "warning", "error"]

MIN_CLUSTER_KEY_CHARACTERS = 16
KIBIBYTE = 1024
MEBIBYTE = 1024 * KIBIBYTE
GIBIBYTE = 1024 * MEBIBYTE


class SettingsDocument(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Define a section of the settings; secrets are masked when it is printed."""

    def __repr__(self) -> str:
        """Return all fields, with the secret ones masked."""
        return masked_repr(self)

    def __rich_repr__(self) -> Iterator[str]:
        """Yield the masked repr; pretty printers would otherwise read every field."""
        yield masked_repr(self)


class EntryAddress(SettingsDocument, frozen=True):
    """Describe one entry instance."""

    instance: Annotated[InstanceId, Name]
    """Name of the entry instance."""
    data_centre: Annotated[DataCentre, Name]
    """Data centre of the entry instance."""
    mailbox_address: PeerAddress
    """Address to which other instances send it messages."""
    replica: bool = False
    """Whether it holds a replica of the control state."""


class LimitSettings(SettingsDocument, frozen=True):
    """Limit the resources that callers can take from an entry."""

    largest_body_bytes: Annotated[int, between(KIBIBYTE, GIBIBYTE)] = 16 * MEBIBYTE
    """Maximum size of a request body, in bytes; larger ones are refused unread."""
    largest_header_bytes: Annotated[int, between(KIBIBYTE, MEBIBYTE)] = 32 * KIBIBYTE
    """Maximum size of a request's line and headers, in bytes."""
    most_connections: Annotated[int, between(1, 65_536)] = 1024
    """Maximum number of idle keep-alive connections of callers."""
    slow_client_seconds: Annotated[float, between(0.1, 600)] = 30.0
    """Seconds that a caller may take to send or read the next bytes."""
    most_queued_seconds_short: Annotated[float, between(0, 3600)] = 4.0
    """Maximum predicted work in the queue of short requests, in seconds."""
    most_queued_seconds_long: Annotated[float, between(0, 3600)] = 40.0
    """Maximum predicted work in the queue of long requests, in seconds."""
    largest_stored_answer_bytes: Annotated[int, between(0, 16 * MEBIBYTE)] = (
        256 * KIBIBYTE
    )
    """Maximum size of answers stored for retries of an idempotency key, in bytes."""


class EntrySettings(SettingsDocument, frozen=True):
    """Configure the role `entry`."""

    callers_address: ListenAddress
    """Address on which callers are served."""
    operators_address: ListenAddress
    """Address on which operators are served."""
    data_folder: Folder | None = None
    """Folder for durable data; the entry holds a replica if and only if it is set."""
    operator_key_hashes: tuple[KeyHash, ...] = ()
    """Hex SHA-256 of each operator key; without any, all changes are refused."""
    limits: LimitSettings = LimitSettings()
    """Limits on the resources that callers can take."""


class UpstreamSettings(SettingsDocument, frozen=True):
    """Describe the upstream that a sidecar serves."""

    upstream_id: Annotated[UpstreamId, Name]
    """Name of the upstream instance; it stays the same across restarts."""
    service: Annotated[ServiceName, Name]
    """Service that the upstream belongs to."""
    kind: ServiceKind
    """Whether it is a model engine or a plain service."""
    address: PeerAddress
    """HTTP address of the engine or plain service."""
    models: tuple[Annotated[ModelName, Name], ...] = ()
    """Models loaded at start; required for an engine."""
    memory_tokens: Annotated[int, between(0, 1_000_000_000)] = 0
    """Capacity of its KV cache, in tokens; zero for a plain service."""
    checks_fencing: bool = False
    """Whether the engine itself refuses orders with an outdated fencing number."""


class SidecarSettings(SettingsDocument, frozen=True):
    """Configure the role `sidecar`."""

    attempts_address: PeerAddress
    """Address on which entries hand over attempts to run requests."""
    upstream: UpstreamSettings
    """The upstream that this sidecar serves."""
    announce_entries: Annotated[int, between(1, 400)] = 8
    """Number of entries that the upstream is announced to; others don't use it."""


class TimingSettings(SettingsDocument, frozen=True):
    """Configure intervals and timeouts."""

    announce_seconds: Annotated[float, between(0.05, 60)] = 0.5
    """Seconds between two announcements of an upstream."""
    lease_seconds: Annotated[float, between(0.1, 600)] = 3.0
    """Seconds for which an announcement is valid; at least two announce intervals."""
    heartbeat_seconds: Annotated[float, between(0.05, 60)] = 0.5
    """Seconds without other traffic after which a connection sends a heartbeat."""
    silence_seconds: Annotated[float, between(0.1, 600)] = 2.5
    """Seconds of silence after which a connection is lost; at least two heartbeats."""
    tick_seconds: Annotated[float, between(0.005, 1)] = 0.05
    """Seconds between two checks for due timers."""
    election_seconds: Annotated[float, between(0.1, 60)] = 1.0
    """Election timeout: seconds without a leader before a replica seeks votes."""
    connect_seconds: Annotated[float, between(0.05, 60)] = 1.0
    """Timeout for setting up a connection, in seconds."""
    shutdown_seconds: Annotated[float, between(0.1, 3600)] = 30.0
    """Seconds that running requests get to finish in a graceful shutdown."""
    owner_lease_seconds: Annotated[float, between(0.2, 600)] = 5.0
    """Seconds for which a reservation stays valid after its owner was last heard."""


class LogSettings(SettingsDocument, frozen=True):
    """Configure the logs, which are written to standard error."""

    format: LogFormat = "json"
    """One JSON object per line, or plain text for a console."""
    level: LogLevel = "info"
    """Minimum level that is written."""


class DaemonSettings(SettingsDocument, frozen=True):
    """Hold all settings of one daemon."""

    instance: Annotated[InstanceId, Name]
    """Name of this instance, unique in the fleet."""
    data_centre: Annotated[DataCentre, Name]
    """Data centre of this instance."""
    data_centres: Annotated[
        tuple[Annotated[DataCentre, Name], ...], msgspec.Meta(min_length=1)
    ]
    """All data centres of the fleet."""
    role: Role
    """Whether this instance is an entry or a sidecar."""
    cluster_key: Annotated[
        str,
        msgspec.Meta(
            min_length=MIN_CLUSTER_KEY_CHARACTERS,
            max_length=1024,
            extra={SECRET_KEY: True},
        ),
    ]
    """Key that all instances of the fleet share; it is never printed."""
    mailbox_address: PeerAddress
    """Address to which other instances send messages to this one."""
    entries: tuple[EntryAddress, ...]
    """Entry instances known at start; a sidecar needs at least one."""
    entry: EntrySettings | None = None
    """Settings of the role `entry`: required for that role, refused for others."""
    sidecar: SidecarSettings | None = None
    """Settings of the role `sidecar`: required for that role, refused for others."""
    timings: TimingSettings = TimingSettings()
    """Intervals and timeouts."""
    log: LogSettings = LogSettings()
    """Format and level of the logs."""
    memory_mb: Annotated[int, between(64, 1_000_000)] = 256
    """Memory that the process may use, in MB; bodies of requests take 0.35 of it."""
