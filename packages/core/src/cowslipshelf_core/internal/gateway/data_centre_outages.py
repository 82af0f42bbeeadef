"""Detect that a whole data centre has failed from the losses of its upstreams.

A few losses at different gateways stand for many upstreams that no gateway has tried
yet. Until they are heard again, they are a last choice.
"""

import math
from collections import Counter
from dataclasses import dataclass, field
from typing import NamedTuple, Self

from cowslipshelf_core.identifiers import DataCentre, InstanceId, UpstreamId

WINDOW_SECONDS = 1.0
"""Time within which losses count as one event; reports of other gateways are batched
and relayed once."""
MIN_LOST = 3
"""Fewest lost upstreams; one or two at once are ordinary crashes."""
LOST_SHARE = 0.1
"""Share of the data centre's upstreams that must be lost: in a large one, three crash
within a second now and then."""
MIN_CONFIRMING = 2
"""Upstreams that others must report as lost to confirm one source of reports. One is
not enough: a single crash would confirm a gateway that has lost its own link."""
HEARTBEAT_MARGIN_SECONDS = 0.3
"""A heartbeat proves life if it was sent this long after a loss; an earlier one may
have been on its way when the upstream ended."""
FIRST_DOUBT_SECONDS = 2.0
"""Time after the last loss until the data centre is tried again: two heartbeats."""
MAX_DOUBT_SECONDS = 8.0
RECURRENCE_SECONDS = 10.0
"""An outage that begins this soon after the end of the last one lasts twice as long."""
RECOUNT_SECONDS = 0.1
"""Interval of losses that extend an outage. Counting each of 3,136 (112 upstreams lost
by 28 gateways) took 0.46 s of processor time."""
NEVER = -math.inf


class OutagesConfig(NamedTuple):
    """Configure the identity of this gateway, and when an upstream is silent."""

    instance: InstanceId
    data_centre: DataCentre
    silence_seconds: float
    """Time without heartbeats after which an upstream is not counted."""


class OutageBegan(NamedTuple):
    """Report that a data centre became doubtful."""

    data_centre: DataCentre
    lost: tuple[UpstreamId, ...]
    avoided: int
    """Number of upstreams that are avoided."""
    doubt_seconds: float


class OutageEnded(NamedTuple):
    """Report that a data centre is no longer doubtful."""

    data_centre: DataCentre
    seconds: float
    avoided: int
    heard: int
    """Number of the avoided upstreams that were heard meanwhile."""


OutageChange = OutageBegan | OutageEnded


class LossSource(NamedTuple):
    """Identify reporters that one fault of their own may deceive together.

    Gateways of another data centre are one source, since they may have lost their link
    together. A gateway of the own data centre is a source of its own.
    """

    data_centre: DataCentre
    instance: InstanceId | None = None
    trusted: bool = False
    """Whether its losses count without confirmation by other sources."""


@dataclass(slots=True)
class WatchedUpstream:
    """Hold when one start of an upstream was heard and lost."""

    data_centre: DataCentre
    sequence: int
    sent_at: float
    """Time at which the newest heartbeat was sent."""
    answered_at: float = NEVER
    lost_at: float = NEVER
    down: bool = False
    """Whether it stayed lost when an outage ended because the others were heard. Until
    it is heard, further losses of it are no sign of another outage."""

    def was_heard_since(self, loss_at: float) -> bool:
        """Return whether the upstream has been alive after a loss."""
        heartbeat_proves = self.sent_at > loss_at + HEARTBEAT_MARGIN_SECONDS
        return heartbeat_proves or self.answered_at > loss_at


@dataclass(slots=True)
class Outage:
    """Hold the state of a data centre that is doubtful."""

    began_at: float
    """Time of the loss that made the data centre doubtful."""
    last_loss_at: float
    doubt_seconds: float
    avoided: frozenset[UpstreamId]
    unheard: set[UpstreamId]
    """Avoided upstreams that have not been heard since."""

    @property
    def ends_at(self) -> float:
        """Return when the outage ends unless there are further losses."""
        return self.last_loss_at + self.doubt_seconds

    @property
    def heard(self) -> int:
        """Return how many of the avoided upstreams have been heard."""
        return len(self.avoided) - len(self.unheard)

    @property
    def is_disproved(self) -> bool:
        """Return whether half of the avoided upstreams have been heard."""
        return 2 * self.heard >= len(self.avoided)

    def covers(self, upstream_id: UpstreamId, lost_at: float) -> bool:
        """Return whether a loss tells nothing new."""
        is_late = lost_at >= self.last_loss_at + RECOUNT_SECONDS
        return upstream_id in self.unheard and not is_late


class PastOutage(NamedTuple):
    """Hold the end of a data centre's last outage."""

    ended_at: float
    doubt_seconds: float


@dataclass(slots=True)
class DataCentreOutages:
    """Decide which data centres are doubtful for one gateway."""

    config: OutagesConfig
    upstreams: dict[UpstreamId, WatchedUpstream] = field(default_factory=dict)
    losses: dict[DataCentre, dict[LossSource, dict[UpstreamId, float]]] = field(
        default_factory=dict
    )
    """Recent losses of each data centre's upstreams, with their times."""
    ongoing: dict[DataCentre, Outage] = field(default_factory=dict)
    past: dict[DataCentre, PastOutage] = field(default_factory=dict)
    changes: list[OutageChange] = field(default_factory=list)
    """Changes that were not taken yet."""

    @classmethod
    def from_config(cls, config: OutagesConfig) -> Self:
        """Create the state of a gateway that knows no upstream."""
        return cls(config)

    def record_heartbeat(
        self,
        upstream_id: UpstreamId,
        data_centre: DataCentre,
        sequence: int,
        sent_at: float,
    ) -> None:
        """Record a heartbeat of an upstream that accepts requests.

        A copy of a known heartbeat changes nothing: it seems younger than it is by the
        time that the copy was on its way.
        """
        known = self.upstreams.get(upstream_id)
        if known is None:
            known = WatchedUpstream(data_centre, sequence, sent_at)
            self.upstreams[upstream_id] = known
        if sequence > known.sequence:
            known.sequence = sequence
            known.sent_at = max(known.sent_at, sent_at)
        self.update_unheard(upstream_id, known)

    def record_answer(self, upstream_id: UpstreamId, answered_at: float) -> None:
        """Record that an upstream answered this or another gateway."""
        known = self.upstreams.get(upstream_id)
        if known is not None:
            known.answered_at = max(known.answered_at, answered_at)
            self.update_unheard(upstream_id, known)

    def update_unheard(self, upstream_id: UpstreamId, known: WatchedUpstream) -> None:
        """Stop avoiding an upstream that has been heard."""
        if known.down and known.was_heard_since(known.lost_at):
            known.down = False
        outage = self.ongoing.get(known.data_centre)
        if outage is None or upstream_id not in outage.unheard:
            return
        if known.was_heard_since(max(outage.began_at, known.lost_at)):
            outage.unheard.discard(upstream_id)

    def forget(self, upstream_id: UpstreamId) -> None:
        """Forget a start that leaves, was replaced by another, or has gone.

        One that leaves or was replaced has been heard, so an outage does not wait for
        it.
        """
        known = self.upstreams.pop(upstream_id, None)
        outage = self.ongoing.get(known.data_centre) if known else None
        if outage is not None:
            outage.unheard.discard(upstream_id)

    def record_loss(
        self,
        upstream_id: UpstreamId,
        reporter: InstanceId,
        reporter_data_centre: DataCentre,
        lost_at: float,
        now: float,
        suspected: bool = False,
    ) -> None:
        """Record that a gateway could not reach an upstream, or lost its answer.

        Losses of unknown upstreams are ignored, and so are those of upstreams that
        leave: their end was announced. Losses of a reporter whose own link is suspected
        need confirmation, whatever its data centre.
        """
        known = self.upstreams.get(upstream_id)
        if known is None or known.was_heard_since(lost_at):
            return
        self.end_outages(now)
        data_centre = known.data_centre
        if suspected:
            source = LossSource(reporter_data_centre, reporter)
        else:
            source = self.source_of(reporter, reporter_data_centre, data_centre)
        lost = self.losses.setdefault(data_centre, {}).setdefault(source, {})
        lost[upstream_id] = max(lost.get(upstream_id, NEVER), min(lost_at, now))
        if source.trusted:
            known.lost_at = max(known.lost_at, lost[upstream_id])
        outage = self.ongoing.get(data_centre)
        if outage is not None and outage.covers(upstream_id, lost_at):
            return
        counted = self.counted_losses(data_centre, now)
        for each, at in counted.items():
            self.upstreams[each].lost_at = max(self.upstreams[each].lost_at, at)
        if outage is not None:
            self.extend(outage, counted)
        else:
            self.begin_if_lost(data_centre, counted, now)

    def source_of(
        self,
        reporter: InstanceId,
        reporter_data_centre: DataCentre,
        data_centre: DataCentre,
    ) -> LossSource:
        """Return the source that a reporter of losses in a data centre belongs to."""
        if reporter == self.config.instance or reporter_data_centre == data_centre:
            return LossSource(data_centre, trusted=True)
        if reporter_data_centre == self.config.data_centre:
            return LossSource(reporter_data_centre, reporter)
        return LossSource(reporter_data_centre)

    def counted_losses(
        self, data_centre: DataCentre, now: float
    ) -> dict[UpstreamId, float]:
        """Return the upstreams that count as lost, with the time of the last loss.

        The losses of a source that is not trusted count only if the other sources
        report enough upstreams.
        """
        sources = {
            source: recent
            for source, lost in self.losses.get(data_centre, {}).items()
            if (recent := self.recent_losses(lost, now))
        }
        self.losses[data_centre] = sources
        reports = Counter(each for lost in sources.values() for each in lost)
        counted: dict[UpstreamId, float] = {}
        for source, lost in sources.items():
            confirming = sum(count > (each in lost) for each, count in reports.items())
            if not source.trusted and confirming < MIN_CONFIRMING:
                continue
            for each, at in lost.items():
                counted[each] = max(counted.get(each, NEVER), at)
        return counted

    def recent_losses(
        self, lost: dict[UpstreamId, float], now: float
    ) -> dict[UpstreamId, float]:
        """Return the losses within the window of upstreams not heard since."""
        recent = {}
        for upstream_id, at in lost.items():
            known = self.upstreams.get(upstream_id)
            if known is None or at < now - WINDOW_SECONDS:
                continue
            if not known.was_heard_since(at):
                recent[upstream_id] = at
        return recent

    def extend(self, outage: Outage, counted: dict[UpstreamId, float]) -> None:
        """Let an outage last until some time after the newest losses."""
        outage.last_loss_at = max(outage.last_loss_at, *counted.values(), NEVER)
        outage.unheard |= outage.avoided & counted.keys()

    def begin_if_lost(
        self, data_centre: DataCentre, counted: dict[UpstreamId, float], now: float
    ) -> None:
        """Make a data centre doubtful if enough of its upstreams are lost."""
        lost = {
            each: at for each, at in counted.items() if not self.upstreams[each].down
        }
        oldest = now - self.config.silence_seconds
        avoided = frozenset(
            upstream_id
            for upstream_id, known in self.upstreams.items()
            if known.data_centre == data_centre
            and (known.sent_at >= oldest or upstream_id in lost)
        )
        if len(lost) < max(MIN_LOST, LOST_SHARE * len(avoided)):
            return
        seconds = FIRST_DOUBT_SECONDS
        past = self.past.get(data_centre)
        if past is not None and now - past.ended_at < RECURRENCE_SECONDS:
            seconds = min(MAX_DOUBT_SECONDS, 2.0 * past.doubt_seconds)
        began_at = max(lost.values())
        unheard = {
            each
            for each in avoided
            if not self.upstreams[each].was_heard_since(
                max(began_at, self.upstreams[each].lost_at)
            )
        }
        self.ongoing[data_centre] = Outage(
            began_at, began_at, seconds, avoided, unheard
        )
        self.changes.append(
            OutageBegan(data_centre, tuple(sorted(lost)), len(avoided), seconds)
        )

    def end_outages(self, now: float) -> None:
        """End the outages whose time has passed or that were disproved.

        The losses that led to an outage never lead to another one.
        """
        for data_centre, outage in list(self.ongoing.items()):
            if now < outage.ends_at and not outage.is_disproved:
                continue
            del self.ongoing[data_centre]
            self.losses.pop(data_centre, None)
            self.past[data_centre] = PastOutage(now, outage.doubt_seconds)
            if outage.is_disproved:
                for upstream_id in outage.unheard:
                    self.upstreams[upstream_id].down = True
            self.changes.append(
                OutageEnded(
                    data_centre,
                    now - outage.began_at,
                    len(outage.avoided),
                    outage.heard,
                )
            )

    def is_doubtful(self, upstream_id: UpstreamId, now: float) -> bool:
        """Return whether an upstream is to be avoided because of an outage."""
        return self.doubt_seconds(upstream_id, now) > 0.0

    def doubt_seconds(self, upstream_id: UpstreamId, now: float) -> float:
        """Return how much longer an upstream is to be avoided, at most."""
        if not self.ongoing:
            return 0.0
        known = self.upstreams.get(upstream_id)
        outage = self.ongoing.get(known.data_centre) if known else None
        if outage is None or outage.is_disproved or upstream_id not in outage.unheard:
            return 0.0
        return max(0.0, outage.ends_at - now)

    def take_changes(self, now: float) -> list[OutageChange]:
        """End outages that are over, and return the changes since the last call."""
        self.end_outages(now)
        changes, self.changes = self.changes, []
        return changes
