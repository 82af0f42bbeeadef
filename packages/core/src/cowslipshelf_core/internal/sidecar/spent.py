"""Remember attempts that have ended here, or that must never begin."""

from collections import OrderedDict
from dataclasses import dataclass, field
from enum import Enum, auto
from typing import NamedTuple

from cowslipshelf_core.identifiers import AttemptId

NOTHING_FORGOTTEN = -1
NOT_KNOWN = 0
"""Stands for the load report of an attempt whose asker does not know it; reports are
counted from one."""


class Fate(Enum):
    """Say what is known of an attempt that is not alive here."""

    UNKNOWN = auto()
    """It never arrived."""
    NEVER_RAN = auto()
    """A tombstone: it was not handed to the upstream and never will be."""
    MAY_HAVE_RUN = auto()


class SpentAttempt(NamedTuple):
    """Be the memory of one attempt."""

    fate: Fate
    load_sequence: int
    """No copy of its hand-over was chosen on a later load report than this."""


@dataclass
class SpentAttempts:
    """Keep the fates of ended attempts, bounded in number, and never lie for it.

    Forgetting an attempt could let a late copy run after a promise that it never will.
    So whatever is forgotten raises a watermark to the load report on which the attempt
    was chosen, and a hand-over chosen on that report or an earlier one is not taken. A
    sidecar's load reports are counted by itself and every copy of a hand-over carries
    the same number, so this holds without any clock and for any delay.
    """

    most: int
    fates: OrderedDict[AttemptId, SpentAttempt] = field(default_factory=OrderedDict)
    tombstone_watermark: int = NOTHING_FORGOTTEN
    ran_watermark: int = NOTHING_FORGOTTEN

    def remember(self, attempt_id: AttemptId, fate: Fate, load_sequence: int) -> None:
        """Keep the fate of an attempt, and forget the oldest where there are many."""
        self.fates[attempt_id] = SpentAttempt(fate, load_sequence)
        if len(self.fates) > self.most:
            self._forget_oldest()

    def fate_of(self, attempt_id: AttemptId, load_sequence: int) -> Fate:
        """Return what is known of an attempt chosen on that load report."""
        spent = self.fates.get(attempt_id)
        if spent is not None:
            return spent.fate
        if load_sequence <= self.ran_watermark:
            return Fate.MAY_HAVE_RUN
        if load_sequence <= self.tombstone_watermark:
            return Fate.NEVER_RAN
        return Fate.UNKNOWN

    def keeps_out(self, attempt_id: AttemptId, load_sequence: int) -> bool:
        """Tell whether no late copy of an attempt's hand-over would be taken.

        A watermark says so only of an attempt whose load report is known: one that is
        not may have been chosen on a later report, and its copy would run after the
        promise that it never will.
        """
        if attempt_id in self.fates:
            return True
        watermark = max(self.ran_watermark, self.tombstone_watermark)
        return NOT_KNOWN < load_sequence <= watermark

    def _forget_oldest(self) -> None:
        _, spent = self.fates.popitem(last=False)
        if spent.fate is Fate.MAY_HAVE_RUN:
            self.ran_watermark = max(self.ran_watermark, spent.load_sequence)
        else:
            self.tombstone_watermark = max(
                self.tombstone_watermark, spent.load_sequence
            )
