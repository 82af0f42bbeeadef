"""Inject faults into a stand-in."""

from threading import Condition

import msgspec


class Faults(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Define the active faults; a missing field turns its fault off."""

    freeze: bool = False
    """Answer and compute nothing, while connections stay open."""
    slow_factor: float = 1.0
    """Slow everything down by this factor, without reporting it."""
    refuse: bool = False
    """Answer 503 to every request."""
    drop_after_events: int | None = None
    """Cut every event stream after this many events on one connection."""
    lose_cancel: bool = False
    """Confirm cancellations without carrying them out."""
    drop_before_answer: bool = False
    """Run a request, then cut its connection instead of answering."""
    end_on: str | None = None
    """Crash the process on a request whose body contains this text."""


class FaultInjector:
    """Hold the active faults, and block threads while the stand-in is frozen."""

    def __init__(self) -> None:
        self.faults = Faults()
        self.changed = Condition()

    def set(self, faults: Faults) -> None:
        """Replace the active faults."""
        with self.changed:
            self.faults = faults
            self.changed.notify_all()

    def wait_while_frozen(self) -> None:
        """Block while the stand-in is frozen."""
        if not self.faults.freeze:
            return
        with self.changed:
            self.changed.wait_for(lambda: not self.faults.freeze)

    def wait_while_frozen_unless(self, exempt: bool) -> None:
        """Block while the stand-in is frozen, except for an exempt request."""
        if not exempt:
            self.wait_while_frozen()
