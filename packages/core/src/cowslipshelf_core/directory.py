"""Decide which announced upstreams may be given work."""

from cowslipshelf_core.internal.directory.config import DirectoryConfig
from cowslipshelf_core.internal.directory.directory import Directory
from cowslipshelf_core.internal.directory.events import (
    AnnounceArrived,
    DirectoryEffect,
    DirectoryEvent,
    DrainingChanged,
    LoadUpdated,
    MassLossBegan,
    MassLossEnded,
    ObserversChanged,
    SuspectArrived,
    TellEntries,
    TickElapsed,
    UnavailableReason,
    UpstreamAvailable,
    UpstreamUnavailable,
    WithdrawArrived,
)

__all__ = [
    "AnnounceArrived",
    "Directory",
    "DirectoryConfig",
    "DirectoryEffect",
    "DirectoryEvent",
    "DrainingChanged",
    "LoadUpdated",
    "MassLossBegan",
    "MassLossEnded",
    "ObserversChanged",
    "SuspectArrived",
    "TellEntries",
    "TickElapsed",
    "UnavailableReason",
    "UpstreamAvailable",
    "UpstreamUnavailable",
    "WithdrawArrived",
]
