"""Define what the view of the configuration is told, and what it wants done."""

from dataclasses import dataclass

from cowslipshelf_core.configuration import FleetConfiguration
from cowslipshelf_core.identifiers import ConfigurationVersion
from cowslipshelf_core.messages import ConfigurationSnapshot, FetchConfiguration


@dataclass(frozen=True, slots=True)
class VersionSeen:
    """Say which version a message from another process carried."""

    sender_address: str
    version: ConfigurationVersion


@dataclass(frozen=True, slots=True)
class SnapshotArrived:
    """Hand in a configuration that another process sent."""

    snapshot: ConfigurationSnapshot
    sender_address: str = ""


@dataclass(frozen=True, slots=True)
class TickElapsed:
    """Say that time has passed; sent at least once a second."""


ConfigurationViewEvent = VersionSeen | SnapshotArrived | TickElapsed


@dataclass(frozen=True, slots=True)
class AskForConfiguration:
    """Send a question for the configuration."""

    address: str
    question: FetchConfiguration


@dataclass(frozen=True, slots=True)
class ApplyConfiguration:
    """Apply a configuration, newer than any before, in the whole process."""

    configuration: FleetConfiguration


@dataclass(frozen=True, slots=True)
class BecameServable:
    """Say that a quorum has confirmed a version no older than this start."""


@dataclass(frozen=True, slots=True)
class ConfigurationConflict:
    """Report another content under the version in force; it was refused."""

    version: ConfigurationVersion
    sender_address: str


ConfigurationViewEffect = (
    AskForConfiguration | ApplyConfiguration | BecameServable | ConfigurationConflict
)
