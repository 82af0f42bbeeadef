"""Fetch newer configurations, and never go back to an older version."""

from dataclasses import dataclass, field
from typing import NamedTuple, Self

from cowslipshelf_core.configuration import FleetConfiguration
from cowslipshelf_core.identifiers import (
    NO_CONFIGURATION,
    ConfigurationVersion,
    Epoch,
)
from cowslipshelf_core.internal.configuration_view.events import (
    ApplyConfiguration,
    AskForConfiguration,
    BecameServable,
    ConfigurationConflict,
    ConfigurationViewEffect,
    ConfigurationViewEvent,
    SnapshotArrived,
    TickElapsed,
    VersionSeen,
)
from cowslipshelf_core.messages import FetchConfiguration

NEVER = float("-inf")


class ConfigurationViewConfig(NamedTuple):
    """Configure how a process fetches the configuration in force."""

    epoch: Epoch
    """Identifies this start of the process, and the requests sent since then."""
    replica_addresses: tuple[str, ...] = ()
    """Mailbox addresses of the replicas, which can confirm a version by quorum."""
    fetch_seconds: float = 0.5
    """Time after which an unanswered request is sent to another source."""
    max_outstanding: int = 2
    """Requests that may wait for their answers at the same time."""
    max_sources: int = 32
    """Processes remembered as sources; replicas are never evicted."""


@dataclass(slots=True)
class Source:
    """Track a process from which the configuration can be fetched."""

    address: str
    version: ConfigurationVersion = NO_CONFIGURATION
    """Newest version that it reported or sent."""
    requested_at: float = NEVER
    awaiting_answer: bool = False


@dataclass
class ConfigurationView:
    """Track the configuration in force in one process."""

    config: ConfigurationViewConfig
    in_force: FleetConfiguration = FleetConfiguration()
    servable: bool = False
    """Whether a quorum has confirmed a version since this process started."""
    sources: dict[str, Source] = field(default_factory=dict)

    @classmethod
    def from_config(cls, config: ConfigurationViewConfig) -> Self:
        """Create a view with the empty configuration, not yet servable."""
        view = cls(config)
        for address in config.replica_addresses:
            view.sources[address] = Source(address)
        return view

    def version(self) -> ConfigurationVersion:
        """Return the version in force."""
        return self.in_force.version

    def handle(
        self, event: ConfigurationViewEvent, now: float
    ) -> list[ConfigurationViewEffect]:
        """Handle one event at `now`, a monotonic time in seconds."""
        match event:
            case VersionSeen(address, version):
                self._record_version(address, version)
                return self._due_requests(now)
            case SnapshotArrived():
                return self._handle_snapshot(event) + self._due_requests(now)
            case TickElapsed():
                return self._due_requests(now)

    def _record_version(self, address: str, version: ConfigurationVersion) -> None:
        source = self.sources.get(address)
        if source is None:
            source = self.sources[address] = Source(address)
            self._evict_surplus_source()
        source.version = max(source.version, version)

    def _evict_surplus_source(self) -> None:
        if len(self.sources) <= self.config.max_sources:
            return
        surplus = [
            source
            for address, source in self.sources.items()
            if address not in self.config.replica_addresses
        ]
        if surplus:
            oldest = min(surplus, key=lambda source: source.version)
            del self.sources[oldest.address]

    def _handle_snapshot(self, event: SnapshotArrived) -> list[ConfigurationViewEffect]:
        snapshot = event.snapshot
        offered = snapshot.configuration
        conflict = offered.version == self.in_force.version and offered != self.in_force
        # Different contents under one version mean that a process is faulty or that
        # two fleets share a network. Accepting the second would alter the configuration
        # without an accepted change, so the first stays and operators are told.
        if conflict:
            self._settle_request(event, progressed=False)
            return [ConfigurationConflict(offered.version, event.sender_address)]
        # Snapshots can arrive out of order. Only a higher version may take effect;
        # otherwise an accepted configuration would revert.
        progressed = offered.version > self.in_force.version
        effects: list[ConfigurationViewEffect] = []
        if progressed:
            self.in_force = offered
            effects.append(ApplyConfiguration(offered))
        self._settle_request(event, progressed)
        # After a restart at the same address, an answer to a request of the earlier
        # start may still arrive. The quorum may have confirmed it before the restart,
        # so it only counts if the answer repeats the epoch of this start.
        confirmed = (
            snapshot.confirmed_by_quorum and snapshot.query_id == self.config.epoch
        )
        if confirmed and not self.servable:
            self.servable = True
            effects.append(BecameServable())
        return effects

    def _settle_request(self, event: SnapshotArrived, progressed: bool) -> None:
        source = self.sources.get(event.sender_address)
        if source is None:
            return
        source.awaiting_answer = False
        if progressed:
            source.requested_at = NEVER
        # Otherwise a source that reports a version it does not send would be asked
        # for ever.
        source.version = event.snapshot.configuration.version

    def _due_requests(self, now: float) -> list[ConfigurationViewEffect]:
        candidates = [
            source
            for source in self.sources.values()
            if not self.servable or source.version > self.in_force.version
        ]
        waiting = sum(self._is_pending(source, now) for source in candidates)
        due = [
            source
            for source in candidates
            if now - source.requested_at >= self.config.fetch_seconds
        ]
        # The source asked longest ago comes first, so that a silent one is not retried
        # before the others.
        due.sort(key=lambda source: (source.requested_at, -source.version))
        free = max(0, self.config.max_outstanding - waiting)
        return [self._request(source, now) for source in due[:free]]

    def _is_pending(self, source: Source, now: float) -> bool:
        recent = now - source.requested_at < self.config.fetch_seconds
        return source.awaiting_answer and recent

    def _request(self, source: Source, now: float) -> AskForConfiguration:
        source.requested_at = now
        source.awaiting_answer = True
        message = FetchConfiguration(self.in_force.version, str(self.config.epoch))
        return AskForConfiguration(source.address, message)
