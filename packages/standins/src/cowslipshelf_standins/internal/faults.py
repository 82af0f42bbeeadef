"""Switch the faults that a stand-in plays."""

from threading import Condition

import msgspec


class Faults(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Say which faults a stand-in plays; a field left out is switched off."""

    freeze: bool = False
    """Answer nothing and compute nothing, while connections stay open."""
    slow_factor: float = 1.0
    """Take this many times longer for everything, without saying so."""
    refuse: bool = False
    """Answer 503 to every request."""
    drop_after_events: int | None = None
    """Cut every event stream after this many events on one connection."""
    lose_cancel: bool = False
    """Confirm cancellations and do not carry them out."""
    drop_before_answer: bool = False
    """Run a request, then cut its connection instead of answering."""
    end_on: str | None = None
    """End the process under a request whose body has this text."""


class FaultInjector:
    """Hold the faults in play and block threads while the stand-in is frozen."""

    def __init__(self) -> None:
        self.faults = Faults()
        self.changed = Condition()

    def set(self, faults: Faults) -> None:
        """Put these faults in place of all earlier ones."""
        with self.changed:
            self.faults = faults
            self.changed.notify_all()

    def wait_while_frozen(self) -> None:
        """Return once the stand-in is not frozen."""
        if not self.faults.freeze:
            return
        with self.changed:
            self.changed.wait_for(lambda: not self.faults.freeze)

    def wait_while_frozen_unless(self, exempt: bool) -> None:
        """Return at once for an exempt request, else once nothing is frozen."""
        if not exempt:
            self.wait_while_frozen()
