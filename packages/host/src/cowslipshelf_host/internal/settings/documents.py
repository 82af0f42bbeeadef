"""Define the settings of one daemon as people write them, in JSON."""

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
    """Be a part of the settings; secrets are masked wherever it is printed."""

    def __repr__(self) -> str:
        """Show every field but the secret ones."""
        return masked_repr(self)

    def __rich_repr__(self) -> Iterator[str]:
        """Show the same to pretty printers, which would else read every field."""
        yield masked_repr(self)


class EntryAddress(SettingsDocument, frozen=True):
    """Tell where an entry instance is."""

    instance: Annotated[InstanceId, Name]
    """Name of the entry instance."""
    data_centre: Annotated[DataCentre, Name]
    """Data centre that it is in."""
    mailbox_address: PeerAddress
    """Address of its mailbox."""
    replica: bool = False
    """Whether it holds a replica of the control state."""


class LimitSettings(SettingsDocument, frozen=True):
    """Bound what callers can cost an entry."""

    largest_body_bytes: Annotated[int, between(KIBIBYTE, GIBIBYTE)] = 16 * MEBIBYTE
    """Largest body of a request, in bytes; larger ones are refused unread."""
    largest_header_bytes: Annotated[int, between(KIBIBYTE, MEBIBYTE)] = 32 * KIBIBYTE
    """Largest head of a request, in bytes."""
    most_connections: Annotated[int, between(1, 65_536)] = 1024
    """Connections of callers that wait for their next call, at a time."""
    slow_client_seconds: Annotated[float, between(0.1, 600)] = 30.0
    """Seconds that a caller may take for the next bytes, sent or read."""
    most_queued_seconds_short: Annotated[float, between(0, 3600)] = 4.0
    """Seconds of predicted work that may wait in the queue of short requests."""
    most_queued_seconds_long: Annotated[float, between(0, 3600)] = 40.0
    """Seconds of predicted work that may wait in the queue of long requests."""
    largest_stored_answer_bytes: Annotated[int, between(0, 16 * MEBIBYTE)] = (
        256 * KIBIBYTE
    )
    """Largest answer, in bytes, that is kept for resends of an idempotency key."""


class EntrySettings(SettingsDocument, frozen=True):
    """Set up the role `entry`."""

    callers_address: ListenAddress
    """Address on which callers are served."""
    operators_address: ListenAddress
    """Address on which operators are served."""
    data_folder: Folder | None = None
    """Folder for what must survive; the entry holds a replica if, and only if, set."""
    operator_key_hashes: tuple[KeyHash, ...] = ()
    """Hex SHA-256 of each operator key; without one nobody can change anything."""
    limits: LimitSettings = LimitSettings()
    """Bounds on what callers can cost."""


class UpstreamSettings(SettingsDocument, frozen=True):
    """Describe the upstream in whose slot a sidecar runs."""

    upstream_id: Annotated[UpstreamId, Name]
    """Name of the upstream instance; it keeps it over restarts."""
    service: Annotated[ServiceName, Name]
    """Service that it is part of."""
    kind: ServiceKind
    """Whether it is a model engine or a plain service."""
    address: PeerAddress
    """Address on which the engine or plain service answers HTTP."""
    models: tuple[Annotated[ModelName, Name], ...] = ()
    """Models that it holds at start; required for an engine."""
    memory_tokens: Annotated[int, between(0, 1_000_000_000)] = 0
    """Tokens of KV cache that fit its memory; zero for a plain service."""
    checks_fencing: bool = False
    """Whether the engine itself refuses orders with an old fencing number."""


class SidecarSettings(SettingsDocument, frozen=True):
    """Set up the role `sidecar`."""

    attempts_address: PeerAddress
    """Address on which entries hand over attempts."""
    upstream: UpstreamSettings
    """The upstream beside it."""
    announce_entries: Annotated[int, between(1, 400)] = 8
    """Entries that the upstream is announced to; the others do not use it."""


class TimingSettings(SettingsDocument, frozen=True):
    """Set how often things happen and after how long they count as failed."""

    announce_seconds: Annotated[float, between(0.05, 60)] = 0.5
    """Seconds between two announcements of an upstream."""
    lease_seconds: Annotated[float, between(0.1, 600)] = 3.0
    """Seconds for which an announcement holds; at least two announcements long."""
    heartbeat_seconds: Annotated[float, between(0.05, 60)] = 0.5
    """Seconds without other traffic after which a connection sends a heartbeat."""
    silence_seconds: Annotated[float, between(0.1, 600)] = 2.5
    """Seconds of silence after which a connection is lost; two heartbeats or more."""
    tick_seconds: Annotated[float, between(0.005, 1)] = 0.05
    """Seconds between two looks at what is due."""
    election_seconds: Annotated[float, between(0.1, 60)] = 1.0
    """Seconds without a leader after which a replica stands for election."""
    connect_seconds: Annotated[float, between(0.05, 60)] = 1.0
    """Seconds that setting up a connection may take."""
    shutdown_seconds: Annotated[float, between(0.1, 3600)] = 30.0
    """Seconds that running requests get to finish in a graceful shutdown."""
    owner_lease_seconds: Annotated[float, between(0.2, 600)] = 5.0
    """Seconds for which a reservation outlives the last word of its owner."""


class LogSettings(SettingsDocument, frozen=True):
    """Say how logs are written, to standard error."""

    format: LogFormat = "json"
    """One JSON object a line, or text for a console."""
    level: LogLevel = "info"
    """Least level that is written."""


class DaemonSettings(SettingsDocument, frozen=True):
    """Be everything that one daemon is told before it starts."""

    instance: Annotated[InstanceId, Name]
    """Name of this instance; no other instance has it."""
    data_centre: Annotated[DataCentre, Name]
    """Data centre that it is in."""
    data_centres: Annotated[
        tuple[Annotated[DataCentre, Name], ...], msgspec.Meta(min_length=1)
    ]
    """All data centres of the fleet."""
    role: Role
    """What this instance does."""
    cluster_key: Annotated[
        str,
        msgspec.Meta(
            min_length=MIN_CLUSTER_KEY_CHARACTERS,
            max_length=1024,
            extra={SECRET_KEY: True},
        ),
    ]
    """Secret that all instances of the fleet share; it is never printed."""
    mailbox_address: PeerAddress
    """Address on which other instances reach this one."""
    entries: tuple[EntryAddress, ...]
    """Entry instances known at start; a sidecar needs at least one."""
    entry: EntrySettings | None = None
    """Settings of the role `entry`; required there and refused elsewhere."""
    sidecar: SidecarSettings | None = None
    """Settings of the role `sidecar`; required there and refused elsewhere."""
    timings: TimingSettings = TimingSettings()
    """How often things happen and after how long they count as failed."""
    log: LogSettings = LogSettings()
    """How logs are written."""
