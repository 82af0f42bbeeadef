"""Define what one entry knows about one upstream."""

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
    """Define how new an announcement is compared with the known state."""

    LATE = auto()
    """Older than what is known; it is ignored."""
    CURRENT = auto()
    """From the current start of the sidecar, and not late."""
    RESTARTED = auto()
    """From another start of the sidecar, which replaces the current one."""


class PublishedState(NamedTuple):
    """Hold what was last published to the router of an available upstream."""

    epoch: Epoch
    description: UpstreamDescription
    doubtful: bool


class Departure(Enum):
    """Define how an upstream left the directory."""

    SILENT = auto()
    WITHDRAWN = auto()


@dataclass(slots=True)
class UpstreamRecord:
    """Hold the state of one upstream as seen by this entry."""

    announce: Announce
    heard_at: float
    leaving: bool = False
    silent_since: float | None = None
    departure: Departure | None = None
    departed_at: float = NEVER
    retired_epochs: dict[Epoch, int] = field(default_factory=dict)
    """Earlier epochs, each with the last load sequence received from it."""
    suspicions: dict[InstanceId, float] = field(default_factory=dict)
    """Other entries that suspect this epoch, with the time of their last message."""
    suspicion_sent_at: float = NEVER
    flap_count: int = 0
    last_flap_at: float = NEVER
    held_until: float = NEVER
    part_of_mass_loss: bool = False
    published: PublishedState | None = None
    published_reason: UnavailableReason | None = None

    @classmethod
    def from_announce(cls, announce: Announce, now: float) -> Self:
        """Create the record from the first announcement of an upstream."""
        return cls(announce, now, announce.leaving)

    @property
    def epoch(self) -> Epoch:
        """Return the epoch that is considered the current start of the sidecar."""
        return self.announce.epoch

    @property
    def is_absent(self) -> bool:
        """Return whether the upstream is silent or removed."""
        return self.silent_since is not None or self.departure is not None

    @property
    def is_excluded(self) -> bool:
        """Return whether the upstream is removed or leaving, so not counted."""
        return self.departure is not None or self.leaving

    def lease_end(self, config: DirectoryConfig) -> float:
        """Return the time at which the upstream counts as silent."""
        return self.heard_at + config.max_silence_seconds(self.announce.lease_seconds)

    def silent_seconds(self, now: float) -> float:
        """Return the time since the lease ended; zero while it lasts."""
        return 0.0 if self.silent_since is None else now - self.silent_since

    def freshness(self, announce: Announce) -> Freshness:
        """Return how new an announcement is compared with the known state.

        Epochs are random, so they are ordered only by when they were first seen. A late
        copy from a retired epoch is ignored. A late copy from an epoch that was never
        seen here displaces the live start, which is then retired. But the live start
        continues to announce with rising sequence numbers, so it is accepted again as
        soon as the displacing epoch has fallen silent.
        """
        sequence = announce.load.sequence
        if announce.epoch == self.epoch:
            withdrawn = self.departure is Departure.WITHDRAWN
            late = sequence < self.announce.load.sequence
            return Freshness.LATE if withdrawn or late else Freshness.CURRENT
        if announce.epoch not in self.retired_epochs:
            return Freshness.RESTARTED
        still_alive = sequence > self.retired_epochs[announce.epoch]
        if self.is_absent and still_alive:
            return Freshness.RESTARTED
        return Freshness.LATE

    def retire_epoch(self, kept: int) -> None:
        """Move the current epoch to the earlier ones; remember `kept` of them."""
        self.retired_epochs[self.epoch] = self.announce.load.sequence
        while len(self.retired_epochs) > kept:
            del self.retired_epochs[next(iter(self.retired_epochs))]

    def update(self, announce: Announce, now: float) -> None:
        """Apply an announcement that is not late."""
        if announce.epoch != self.epoch:
            self.retired_epochs.pop(announce.epoch, None)
            self.suspicions.clear()
        self.announce = announce
        self.heard_at = now
        self.leaving = announce.leaving
        self.silent_since = None
        self.departure = None

    def depart(self, departure: Departure, now: float) -> None:
        """Mark the upstream as removed; the record is kept to recognise its return."""
        self.departure = departure
        self.departed_at = now
        self.silent_since = None

    def record_flap(self, config: DirectoryConfig, now: float) -> None:
        """Count a return of the upstream, and delay its use longer each time.

        Without the delays, an upstream that crashes on its first requests would get new
        requests with every return, and some of them would fail each time.
        """
        if now - self.last_flap_at > config.flap_reset_seconds:
            self.flap_count = 0
        self.flap_count += 1
        self.last_flap_at = now
        if self.flap_count > 1:
            pause = config.flap_pause_seconds * 2.0 ** min(self.flap_count - 2, 16)
            self.held_until = now + min(pause, config.max_flap_pause_seconds)

    def is_confirmed(self, config: DirectoryConfig, now: float) -> bool:
        """Return whether another entry suspects the upstream too."""
        oldest = now - config.suspicion_max_age_seconds
        return any(suspected_at >= oldest for suspected_at in self.suspicions.values())
