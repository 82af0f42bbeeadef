"""Export the directory of announced upstreams."""

from cowslipshelf_core.directory_events import (
    LoadUpdated,
    UnavailableReason,
    UpstreamAvailable,
    UpstreamUnavailable,
)
from cowslipshelf_core.internal.directory.config import DirectoryConfig
from cowslipshelf_core.internal.directory.directory import Directory
from cowslipshelf_core.internal.directory.events import (
    AnnounceArrived,
    DirectoryEffect,
    DirectoryEvent,
    DrainingChanged,
    MassLossBegan,
    MassLossEnded,
    ObserversChanged,
    SendSuspicion,
    SuspectArrived,
    TickElapsed,
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
    "SendSuspicion",
    "TickElapsed",
    "UnavailableReason",
    "UpstreamAvailable",
    "UpstreamUnavailable",
    "WithdrawArrived",
]
