"""Detect links between data centres that lose packets, from the pauses of streams.

A retransmitted packet arrives about 0.2 s late. A pause that is longer by that much may
have other causes, which are told apart here: a slow engine makes consecutive pauses
long, passes that prefill are known from the work that gateways report, a slow caller
shows in the time that forwarding takes, and a gateway that stalls sees the same in its
own data centre.
"""

import math
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from statistics import median
from typing import NamedTuple

from cowslipshelf_core.identifiers import DataCentre

WINDOW_SECONDS = 4.0
"""Age up to which pauses count."""
BUCKET_SECONDS = 0.25
"""Pauses are counted by intervals of this length, so that memory is bounded."""
MIN_EXCESS_SECONDS = 0.18
"""A retransmission costs at least 0.2 s; its packet may have been due a little later
than the usual pass says."""
MAX_EXCESS_SECONDS = 0.6
"""A longer excess is a repeated retransmission, which is rare, or no lost packet."""
MIN_LATE_PAUSES = 4
MIN_PAUSES = 50
MIN_LATE_SHARE = 0.02
"""Share of late pauses from which a link matters: with it, half of the streams of 35
events have one, and are late where such a pause is not allowed."""
REFERENCE_SHARE_FACTOR = 3.0
"""Multiple of the own data centre's share that another one needs: a share as high as
the own one comes from this gateway or its engines, not from a link between them."""
USUAL_PAUSES = 7
"""Latest pauses of a stream whose median is its usual pass; three of them may be late
or joined without an effect."""
MIN_USUAL_PAUSES = 3
MAX_FORWARD_SECONDS = 0.05
"""Longest time to forward events to a caller after which the next pause counts: one
pass of an engine. The next event may have waited in the gateway after a longer one."""
LOSSY_LINK_COST = 0.5
"""Cost of an engine behind a lossy link, in units of the value of a short prompt's
answer: less than that of an engine without a free slot (0.9)."""
SENSITIVE_PAUSE_SECONDS = 0.5
"""Streams with a shorter allowed pause avoid lossy links. A retransmission makes a
pause of 0.25 to 0.3 s, which streams with a longer one tolerate."""


def link_surcharge(pause_seconds: float | None, lossy: bool) -> float:
    """Return the surcharge of an engine for a stream with an allowed pause."""
    sensitive = pause_seconds is not None and pause_seconds < SENSITIVE_PAUSE_SECONDS
    return LOSSY_LINK_COST if lossy and sensitive else 0.0


@dataclass(slots=True)
class StreamPauses:
    """Hold what is needed to judge the next pause of one stream."""

    data_centre: DataCentre
    """Where the engine is."""
    recent: deque[float] = field(default_factory=lambda: deque(maxlen=USUAL_PAUSES))
    last_arrived_at: float | None = None
    held_up: bool = False
    """Whether forwarding the last events took so long that the next may have waited."""
    suspected: bool = False
    """Whether the last pause counts as late if the next one is a usual one."""
    last_was_long: bool = False

    def usual_seconds(self) -> float | None:
        """Return the usual pause, or None while too few are known."""
        if len(self.recent) < MIN_USUAL_PAUSES:
            return None
        return median(self.recent)


class PauseCount(NamedTuple):
    """Count the pauses of one interval."""

    began: float
    pauses: int
    late: int


@dataclass(slots=True)
class LinkLoss:
    """Track the share of late pauses by the data centre of the engines."""

    counts: dict[DataCentre, deque[PauseCount]] = field(default_factory=dict)
    lossy: frozenset[DataCentre] = frozenset()
    """As of the last update."""

    def record_event(
        self,
        stream: StreamPauses,
        arrived_at: float,
        forwarded_at: float,
        has_prefilled: Callable[[float, float], bool],
    ) -> None:
        """Record when events of a stream arrived, and were forwarded to the caller.

        `has_prefilled` tells whether the engine prefilled between two times.
        """
        since, held_up = stream.last_arrived_at, stream.held_up
        stream.last_arrived_at = arrived_at
        stream.held_up = forwarded_at - arrived_at > MAX_FORWARD_SECONDS
        if held_up:
            stream.suspected = stream.last_was_long = False
        elif since is not None:
            self.record_pause(stream, since, arrived_at, has_prefilled)

    def record_pause(
        self,
        stream: StreamPauses,
        since: float,
        now: float,
        has_prefilled: Callable[[float, float], bool],
    ) -> None:
        """Record a pause between events.

        A long one counts as late only if a usual one follows: an engine that has become
        slow makes one long pause after the other.
        """
        pause, usual = now - since, stream.usual_seconds()
        stream.recent.append(pause)
        if usual is None:
            return
        excess = pause - usual
        long = excess >= MIN_EXCESS_SECONDS
        if stream.suspected:
            self.count(stream.data_centre, excess < MIN_EXCESS_SECONDS / 2, now)
        if not long:
            self.count(stream.data_centre, False, now)
        stream.suspected = (
            long
            and excess <= MAX_EXCESS_SECONDS
            and not stream.last_was_long
            and not has_prefilled(since, now)
        )
        stream.last_was_long = long

    def count(self, data_centre: DataCentre, is_late: bool, now: float) -> None:
        """Add one pause to the present interval."""
        began = math.floor(now / BUCKET_SECONDS) * BUCKET_SECONDS
        counts = self.counts.setdefault(data_centre, deque())
        if not counts or counts[-1].began != began:
            counts.append(PauseCount(began, 0, 0))
        _, pauses, late = counts[-1]
        counts[-1] = PauseCount(began, pauses + 1, late + is_late)
        self.drop_old(counts, now)

    def drop_old(self, counts: deque[PauseCount], now: float) -> None:
        """Drop the intervals that have left the window."""
        while counts and counts[0].began <= now - WINDOW_SECONDS:
            counts.popleft()

    def totals(self, data_centre: DataCentre, now: float) -> tuple[int, int]:
        """Return how many pauses the window holds, and how many were late."""
        counts = self.counts.get(data_centre, deque())
        self.drop_old(counts, now)
        return sum(each.pauses for each in counts), sum(each.late for each in counts)

    def late_share(self, data_centre: DataCentre, now: float) -> float | None:
        """Return the share of late pauses, or None with too few pauses."""
        pauses, late = self.totals(data_centre, now)
        return late / pauses if pauses >= MIN_PAUSES else None

    def reference_share(self, own: DataCentre, now: float) -> float | None:
        """Return the share of late pauses that does not come from a lossy link.

        That is the own data centre's. If it has too few pauses, a stall of the gateway
        shows in the lowest share of the others.
        """
        own_share = self.late_share(own, now)
        if own_share is not None:
            return own_share
        shares = [self.late_share(other, now) for other in self.counts if other != own]
        return min((share for share in shares if share is not None), default=None)

    def update(self, own: DataCentre, now: float) -> frozenset[DataCentre]:
        """Return the data centres whose links to the own one lose packets."""
        reference = self.reference_share(own, now)
        self.lossy = frozenset(
            other
            for other in self.counts
            if other != own
            and reference is not None
            and self.is_lossy(other, reference, now)
        )
        return self.lossy

    def is_lossy(self, other: DataCentre, reference: float, now: float) -> bool:
        """Return whether the link to another data centre loses packets."""
        pauses, late = self.totals(other, now)
        if pauses < MIN_PAUSES or late < MIN_LATE_PAUSES:
            return False
        share = late / pauses
        return share > MIN_LATE_SHARE and share >= REFERENCE_SHARE_FACTOR * reference
