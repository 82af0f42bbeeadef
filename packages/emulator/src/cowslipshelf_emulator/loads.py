"""Export the users' fleets, their engines and their loads."""

from cowslipshelf_emulator.internal.load import (
    COOPERATIVE,
    COOPERATIVE_GROWN,
    ENGINE,
    FLEETS,
    NILEGATE,
    NILEGATE_GROWN,
    NILEGATE_LARGE,
    NILEGATE_SHIFTED,
    Arrival,
    Fleet,
    RequestKind,
    draw_arrivals,
)

__all__ = [
    "COOPERATIVE",
    "COOPERATIVE_GROWN",
    "ENGINE",
    "FLEETS",
    "NILEGATE",
    "NILEGATE_GROWN",
    "NILEGATE_LARGE",
    "NILEGATE_SHIFTED",
    "Arrival",
    "Fleet",
    "RequestKind",
    "draw_arrivals",
]
