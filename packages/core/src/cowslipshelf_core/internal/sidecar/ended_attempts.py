"""Remember attempts that have ended here, or that must never start."""

from collections import OrderedDict
from dataclasses import dataclass, field
from enum import Enum, auto
from typing import NamedTuple

from cowslipshelf_core.identifiers import AttemptId

NO_WATERMARK = -1
UNKNOWN_SEQUENCE = 0
"""Load sequence of an attempt whose sender does not know it; real ones start at one."""


class ExecutionStatus(Enum):
    """Define what is known about the execution of an attempt that is not live here."""

    UNKNOWN = auto()
    """It never arrived."""
    NEVER_RAN = auto()
    """A tombstone: it was not handed to the upstream and never will be."""
    MAY_HAVE_RUN = auto()


class EndedAttempt(NamedTuple):
    """Hold what is remembered of one ended attempt."""

    status: ExecutionStatus
    load_sequence: int
    """Upper bound on the load sequence of every copy of its hand-over."""


@dataclass
class EndedAttempts:
    """Hold a bounded number of ended attempts, without breaking earlier guarantees.

    If an attempt were simply forgotten, a late copy of its hand-over could run after a
    guarantee that it never would. So each evicted attempt raises a watermark to its
    load sequence, and hand-overs with that sequence or a lower one are refused. Load
    sequences are counted by the sidecar itself, and all copies of a hand-over carry the
    same one, so this is independent of clocks and holds for any delay.
    """

    max_count: int
    records: OrderedDict[AttemptId, EndedAttempt] = field(default_factory=OrderedDict)
    tombstone_watermark: int = NO_WATERMARK
    ran_watermark: int = NO_WATERMARK

    def record(
        self, attempt_id: AttemptId, status: ExecutionStatus, load_sequence: int
    ) -> None:
        """Record the status of an attempt; evict the oldest if there are too many."""
        self.records[attempt_id] = EndedAttempt(status, load_sequence)
        if len(self.records) > self.max_count:
            self._evict_oldest()

    def status_of(self, attempt_id: AttemptId, load_sequence: int) -> ExecutionStatus:
        """Return what is known of an attempt with that load sequence."""
        ended = self.records.get(attempt_id)
        if ended is not None:
            return ended.status
        if load_sequence <= self.ran_watermark:
            return ExecutionStatus.MAY_HAVE_RUN
        if load_sequence <= self.tombstone_watermark:
            return ExecutionStatus.NEVER_RAN
        return ExecutionStatus.UNKNOWN

    def rejects_copies(self, attempt_id: AttemptId, load_sequence: int) -> bool:
        """Return whether every late copy of an attempt's hand-over is refused.

        The watermark only decides for attempts whose load sequence is known. One with
        an unknown sequence may have a higher one, and its copy would run after the
        guarantee that it never would.
        """
        if attempt_id in self.records:
            return True
        watermark = max(self.ran_watermark, self.tombstone_watermark)
        return UNKNOWN_SEQUENCE < load_sequence <= watermark

    def _evict_oldest(self) -> None:
        _, ended = self.records.popitem(last=False)
        if ended.status is ExecutionStatus.MAY_HAVE_RUN:
            self.ran_watermark = max(self.ran_watermark, ended.load_sequence)
        else:
            self.tombstone_watermark = max(
                self.tombstone_watermark, ended.load_sequence
            )
