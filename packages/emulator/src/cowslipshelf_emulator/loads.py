"""Offer the users' fleets, their engines and what they are asked."""

from cowslipshelf_emulator.internal.load import (
    COOPERATIVE,
    COOPERATIVE_GROWN,
    ENGINE,
    FLEETS,
    NILEGATE,
    NILEGATE_GROWN,
    NILEGATE_LARGE,
    Arrival,
    Fleet,
    Kind,
    draw,
)

__all__ = [
    "COOPERATIVE",
    "COOPERATIVE_GROWN",
    "ENGINE",
    "FLEETS",
    "NILEGATE",
    "NILEGATE_GROWN",
    "NILEGATE_LARGE",
    "Arrival",
    "Fleet",
    "Kind",
    "draw",
]
