"""Define the events and effects of the configuration view."""

from dataclasses import dataclass

from cowslipshelf_core.configuration import FleetConfiguration
from cowslipshelf_core.identifiers import ConfigurationVersion
from cowslipshelf_core.messages import ConfigurationSnapshot, FetchConfiguration


@dataclass(frozen=True, slots=True)
class VersionSeen:
    """Report the version that a message from another process carried."""

    sender_address: str
    version: ConfigurationVersion


@dataclass(frozen=True, slots=True)
class SnapshotArrived:
    """Carry a configuration that another process sent."""

    snapshot: ConfigurationSnapshot
    sender_address: str = ""


@dataclass(frozen=True, slots=True)
class TickElapsed:
    """Report that time has passed, at least once a second."""


ConfigurationViewEvent = VersionSeen | SnapshotArrived | TickElapsed


@dataclass(frozen=True, slots=True)
class AskForConfiguration:
    """Send a request for the configuration."""

    address: str
    message: FetchConfiguration


@dataclass(frozen=True, slots=True)
class ApplyConfiguration:
    """Apply a configuration newer than any before in the whole process."""

    configuration: FleetConfiguration


@dataclass(frozen=True, slots=True)
class BecameServable:
    """Report that a quorum has confirmed the version since this process started."""


@dataclass(frozen=True, slots=True)
class ConfigurationConflict:
    """Report that other content under the version in force was refused."""

    version: ConfigurationVersion
    sender_address: str


ConfigurationViewEffect = (
    AskForConfiguration | ApplyConfiguration | BecameServable | ConfigurationConflict
)
