"""Keep what one entry knows of one upstream."""

from dataclasses import dataclass, field
from enum import Enum, auto
from typing import NamedTuple, Self

from cowslipshelf_core.directory_events import UnavailableReason
from cowslipshelf_core.identifiers import Epoch, InstanceId
from cowslipshelf_core.internal.directory.config import DirectoryConfig
from cowslipshelf_core.messages import Announce
from cowslipshelf_core.upstream import UpstreamDescription

NEVER = float("-inf")


class Freshness(Enum):
    """Say what an announcement is worth against what is known already."""

    LATE = auto()
    CURRENT = auto()
    RESTARTED = auto()


class Shown(NamedTuple):
    """Be what the router was last told of an available upstream."""

    epoch: Epoch
    description: UpstreamDescription
    doubtful: bool


class Departure(Enum):
    """Say how an upstream left the directory."""

    SILENT = auto()
    WITHDRAWN = auto()


@dataclass(slots=True)
class UpstreamRecord:
    """Be an upstream as this entry sees it."""

    announce: Announce
    heard_at: float
    leaving: bool = False
    silent_since: float | None = None
    departure: Departure | None = None
    departed_at: float = NEVER
    retired: dict[Epoch, int] = field(default_factory=dict)
    """Earlier epochs, each with the last load sequence heard from it."""
    suspicions: dict[InstanceId, float] = field(default_factory=dict)
    """Other observers that suspect this epoch, with when they last said so."""
    told_at: float = NEVER
    flaps: int = 0
    flapped_at: float = NEVER
    held_until: float = NEVER
    lost_in_mass: bool = False
    shown: Shown | None = None
    shown_reason: UnavailableReason | None = None

    @classmethod
    def from_announce(cls, announce: Announce, now: float) -> Self:
        """Begin with the first announcement of an upstream."""
        return cls(announce, now, announce.leaving)

    @property
    def epoch(self) -> Epoch:
        """Return the start of the sidecar that is taken for the present one."""
        return self.announce.epoch

    @property
    def is_absent(self) -> bool:
        """Return whether the upstream is silent or gone."""
        return self.silent_since is not None or self.departure is not None

    @property
    def is_uncounted(self) -> bool:
        """Return whether the upstream is no part of the fleet any more, or soon."""
        return self.departure is not None or self.leaving

    def lease_end(self, config: DirectoryConfig) -> float:
        """Return the time at which the upstream counts as silent."""
        return self.heard_at + config.max_silence_seconds(self.announce.lease_seconds)

    def silent_seconds(self, now: float) -> float:
        """Return the time since the lease ended."""
        return 0.0 if self.silent_since is None else now - self.silent_since

    def freshness(self, announce: Announce) -> Freshness:
        """Tell whether an announcement is newer than what is known.

        Epochs are random, so only their first sight orders them. Two late copies could
        mislead: one of a retired epoch, which is ignored, or one of an epoch that was
        never seen here, which then displaces the living start. The living one is then
        retired, but goes on announcing with growing sequence numbers, so it gets its
        place back as soon as the displacing epoch has fallen silent.
        """
        sequence = announce.load.sequence
        if announce.epoch == self.epoch:
            withdrawn = self.departure is Departure.WITHDRAWN
            late = sequence < self.announce.load.sequence
            return Freshness.LATE if withdrawn or late else Freshness.CURRENT
        if announce.epoch not in self.retired:
            return Freshness.RESTARTED
        still_alive = sequence > self.retired[announce.epoch]
        if self.is_absent and still_alive:
            return Freshness.RESTARTED
        return Freshness.LATE

    def retire_epoch(self, kept: int) -> None:
        """Remember the present epoch as an earlier one."""
        self.retired[self.epoch] = self.announce.load.sequence
        while len(self.retired) > kept:
            del self.retired[next(iter(self.retired))]

    def take(self, announce: Announce, now: float) -> None:
        """Take in an announcement that is not late."""
        if announce.epoch != self.epoch:
            self.retired.pop(announce.epoch, None)
            self.suspicions.clear()
        self.announce = announce
        self.heard_at = now
        self.leaving = announce.leaving
        self.silent_since = None
        self.departure = None

    def depart(self, departure: Departure, now: float) -> None:
        """Remove the upstream; the record stays for a while to know it by."""
        self.departure = departure
        self.departed_at = now
        self.silent_since = None

    def note_flap(self, config: DirectoryConfig, now: float) -> None:
        """Count a return, and hold the upstream back longer each time.

        Without the pauses an upstream that dies under its first requests would get
        fresh ones with every return, and each round would fail some of them.
        """
        if now - self.flapped_at > config.flap_reset_seconds:
            self.flaps = 0
        self.flaps += 1
        self.flapped_at = now
        if self.flaps > 1:
            pause = config.flap_pause_seconds * 2.0 ** min(self.flaps - 2, 16)
            self.held_until = now + min(pause, config.max_flap_pause_seconds)

    def is_confirmed(self, config: DirectoryConfig, now: float) -> bool:
        """Return whether another observer suspects the upstream too."""
        oldest = now - config.suspicion_max_age_seconds
        return any(said_at >= oldest for said_at in self.suspicions.values())
