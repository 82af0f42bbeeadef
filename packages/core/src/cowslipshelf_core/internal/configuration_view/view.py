"""Keep the version in force going forwards only, and fetch newer ones."""

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
    """Set how a process learns the configuration in force."""

    epoch: Epoch
    """Start of this process; it names the questions asked since then."""
    replica_addresses: tuple[str, ...] = ()
    """Mailbox addresses of replicas, which can ask a quorum."""
    fetch_seconds: float = 0.5
    """Time after which an unanswered question goes to another source."""
    max_outstanding: int = 2
    """Questions that wait for their answers at a time."""
    max_sources: int = 32
    """Senders remembered as places to ask."""


@dataclass(slots=True)
class Source:
    """Be a process that can be asked for the configuration."""

    address: str
    version: ConfigurationVersion = NO_CONFIGURATION
    """Newest version that it showed."""
    requested_at: float = NEVER
    awaiting_answer: bool = False


@dataclass
class ConfigurationView:
    """Hold the configuration in force in one process."""

    config: ConfigurationViewConfig
    in_force: FleetConfiguration = FleetConfiguration()
    servable: bool = False
    sources: dict[str, Source] = field(default_factory=dict)

    @classmethod
    def from_config(cls, config: ConfigurationViewConfig) -> Self:
        """Start with the empty configuration, not yet servable."""
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
        """Take in one event at `now` (monotonic seconds)."""
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
            least = min(surplus, key=lambda source: source.version)
            del self.sources[least.address]

    def _handle_snapshot(self, event: SnapshotArrived) -> list[ConfigurationViewEffect]:
        snapshot = event.snapshot
        offered = snapshot.configuration
        conflict = offered.version == self.in_force.version and offered != self.in_force
        # Two contents under one version mean that some process is broken or that two
        # fleets share a network. Taking the second would change, without a change,
        # what holds here; so the first stays and the operators are told.
        if conflict:
            self._settle_request(event, progressed=False)
            return [ConfigurationConflict(offered.version, event.sender_address)]
        # Snapshots overtake each other on the way. Only a higher version may take
        # effect, else an accepted configuration would revert.
        progressed = offered.version > self.in_force.version
        effects: list[ConfigurationViewEffect] = []
        if progressed:
            self.in_force = offered
            effects.append(ApplyConfiguration(offered))
        self._settle_request(event, progressed)
        # An answer to a question of an earlier start of this process may still be
        # under way when a new start listens at the same address, and the quorum's
        # word in it may be as old as that start. Its question gives it away.
        confirmed = (
            snapshot.confirmed_by_quorum and snapshot.question == self.config.epoch
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
        # A source that shows a version it does not hand out would be asked for ever.
        source.version = event.snapshot.configuration.version

    def _due_requests(self, now: float) -> list[ConfigurationViewEffect]:
        candidates = [
            source
            for source in self.sources.values()
            if not self.servable or source.version > self.in_force.version
        ]
        waiting = sum(self._is_pending(source, now) for source in candidates)
        rested = [
            source
            for source in candidates
            if now - source.requested_at >= self.config.fetch_seconds
        ]
        # The one asked longest ago comes first: after a silent one, another's turn.
        rested.sort(key=lambda source: (source.requested_at, -source.version))
        room = max(0, self.config.max_outstanding - waiting)
        return [self._request(source, now) for source in rested[:room]]

    def _is_pending(self, source: Source, now: float) -> bool:
        recent = now - source.requested_at < self.config.fetch_seconds
        return source.awaiting_answer and recent

    def _request(self, source: Source, now: float) -> AskForConfiguration:
        source.requested_at = now
        source.awaiting_answer = True
        question = FetchConfiguration(self.in_force.version, str(self.config.epoch))
        return AskForConfiguration(source.address, question)
