"""Notice that word of another gateway's work was lost on its way.

Changes of work are told once, and in other data centres by way of one gateway there.
When that one dies or is cut off, what it was to pass on is lost: an attempt whose end
is not heard of would keep everybody off its engine. So changes are numbered, and each
gateway says with its signs of life how far it has counted.
"""

from dataclasses import dataclass, field

from cowslipshelf_core.identifiers import InstanceId


@dataclass(slots=True)
class Progress:
    """Be how far the word of one gateway has come here."""

    whole: int = 0
    """All changes up to this number are known."""
    ahead: set[int] = field(default_factory=set)
    """Changes beyond a gap."""
    told: int = 0
    """Number that the gateway gave with its last sign of life."""


@dataclass(slots=True)
class WorkGapDetector:
    """Hold the progress of each gateway."""

    of_owner: dict[InstanceId, Progress] = field(default_factory=dict)

    def progress(self, owner: InstanceId) -> Progress:
        """Return a gateway's progress, none at first."""
        return self.of_owner.setdefault(owner, Progress())

    def note_change(self, owner: InstanceId, number: int) -> None:
        """Note a change."""
        progress = self.progress(owner)
        progress.ahead.add(number)
        self.close_gap(progress)

    def note_snapshot(self, owner: InstanceId, number: int) -> bool:
        """Note all work of a gateway up to a change; tell whether it is new enough.

        Word of later changes may have come first, by the other way.
        """
        progress = self.progress(owner)
        if number < max(progress.ahead, default=progress.whole):
            return False
        progress.whole = number
        self.close_gap(progress)
        return True

    def close_gap(self, progress: Progress) -> None:
        """Count on as far as nothing is missing."""
        progress.ahead = {n for n in progress.ahead if n > progress.whole}
        while progress.whole + 1 in progress.ahead:
            progress.whole += 1
            progress.ahead.remove(progress.whole)

    def has_gap(self, owner: InstanceId, told: int) -> bool:
        """Take in a sign of life; tell whether something told before never came.

        Its newest changes may still be on their way, which is longer than that of a
        sign of life; those before the last sign of life are not.
        """
        progress = self.progress(owner)
        behind = progress.whole < progress.told
        progress.told = told
        return behind

    def forget(self, owner: InstanceId) -> None:
        """Begin anew with a gateway that counts from the beginning."""
        self.of_owner.pop(owner, None)
