"""Export the simulation of gateways that share the limit of one upstream."""

from cowslipshelf_emulator.internal.limit_cases import (
    CASES,
    DIVISIONS,
    play_case,
    play_history,
)
from cowslipshelf_emulator.internal.limited_fleet import (
    UPSTREAM,
    WINDOW_SECONDS,
    LimitedFleet,
    allowed_in_window,
    name_of,
)

__all__ = [
    "CASES",
    "DIVISIONS",
    "UPSTREAM",
    "WINDOW_SECONDS",
    "LimitedFleet",
    "allowed_in_window",
    "name_of",
    "play_case",
    "play_history",
]
