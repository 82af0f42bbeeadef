"""Expose the view of the configuration in force in a process."""

from cowslipshelf_core.internal.configuration_view.events import (
    ApplyConfiguration,
    AskForConfiguration,
    BecameServable,
    ConfigurationConflict,
    ConfigurationViewEffect,
    ConfigurationViewEvent,
    SnapshotArrived,
    TickElapsed,
    VersionSeen,
)
from cowslipshelf_core.internal.configuration_view.view import (
    ConfigurationView,
    ConfigurationViewConfig,
)

__all__ = [
    "AskForConfiguration",
    "BecameServable",
    "ConfigurationConflict",
    "ConfigurationView",
    "ConfigurationViewConfig",
    "ConfigurationViewEffect",
    "ConfigurationViewEvent",
    "ApplyConfiguration",
    "SnapshotArrived",
    "TickElapsed",
    "VersionSeen",
]
