"""Detect lost messages about the attempts of other gateways.

A change is sent once, and to other data centres through a relay there. If the relay
dies or is partitioned, the change is lost: an attempt whose end was not received would
keep all gateways off its engine. So changes are numbered, and each gateway reports the
number of its last change in its alive messages.
"""

from dataclasses import dataclass, field

from cowslipshelf_core.identifiers import InstanceId


@dataclass(slots=True)
class Progress:
    """Hold which changes of one gateway have arrived."""

    contiguous: int = 0
    """All changes up to this number have arrived."""
    beyond_gap: set[int] = field(default_factory=set)
    """Changes that arrived beyond a gap."""
    announced: int = 0
    """Number of the gateway's last change by its last alive message."""


@dataclass(slots=True)
class WorkGapDetector:
    """Track the changes that have arrived from each gateway."""

    of_owner: dict[InstanceId, Progress] = field(default_factory=dict)

    def progress(self, owner: InstanceId) -> Progress:
        """Return a gateway's progress, which is empty at first."""
        return self.of_owner.setdefault(owner, Progress())

    def record_change(self, owner: InstanceId, number: int) -> None:
        """Record that a change arrived."""
        progress = self.progress(owner)
        progress.beyond_gap.add(number)
        self.close_gap(progress)

    def record_snapshot(self, owner: InstanceId, number: int) -> bool:
        """Record a snapshot up to a change; return whether it is recent enough to use.

        Later changes may have arrived before it, through a relay.
        """
        progress = self.progress(owner)
        if number < max(progress.beyond_gap, default=progress.contiguous):
            return False
        progress.contiguous = number
        self.close_gap(progress)
        return True

    def close_gap(self, progress: Progress) -> None:
        """Advance to the next gap."""
        progress.beyond_gap = {
            n for n in progress.beyond_gap if n > progress.contiguous
        }
        while progress.contiguous + 1 in progress.beyond_gap:
            progress.contiguous += 1
            progress.beyond_gap.remove(progress.contiguous)

    def has_gap(self, owner: InstanceId, announced: int) -> bool:
        """Record an alive message; return whether an earlier change is missing.

        The newest changes may still be in transit, since relays take longer than alive
        messages; those before the last alive message are not.
        """
        progress = self.progress(owner)
        behind = progress.contiguous < progress.announced
        progress.announced = announced
        return behind

    def forget(self, owner: InstanceId) -> None:
        """Reset the progress of a gateway that has restarted and counts from one."""
        self.of_owner.pop(owner, None)
