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
    confirming_addresses: tuple[str, ...] = ()
    """Mailbox addresses of replicas, which can ask a quorum."""
    fetch_seconds: float = 0.5
    """Time after which an unanswered question goes to another sender."""
    most_outstanding: int = 2
    """Questions that wait for their answers at a time."""
    most_senders: int = 32
    """Senders remembered as places to ask."""


@dataclass(slots=True)
class Sender:
    """Be a process that can be asked for the configuration."""

    address: str
    version: ConfigurationVersion = NO_CONFIGURATION
    """Newest version that it showed."""
    asked_at: float = NEVER
    waited_for: bool = False


@dataclass
class ConfigurationView:
    """Hold the configuration in force in one process."""

    config: ConfigurationViewConfig
    in_force: FleetConfiguration = FleetConfiguration()
    servable: bool = False
    senders: dict[str, Sender] = field(default_factory=dict)

    @classmethod
    def from_config(cls, config: ConfigurationViewConfig) -> Self:
        """Start with the empty configuration, not yet servable."""
        view = cls(config)
        for address in config.confirming_addresses:
            view.senders[address] = Sender(address)
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
                self._remember(address, version)
                return self._questions(now)
            case SnapshotArrived():
                return self._take_snapshot(event) + self._questions(now)
            case TickElapsed():
                return self._questions(now)

    def _remember(self, address: str, version: ConfigurationVersion) -> None:
        sender = self.senders.get(address)
        if sender is None:
            sender = self.senders[address] = Sender(address)
            self._forget_surplus_sender()
        sender.version = max(sender.version, version)

    def _forget_surplus_sender(self) -> None:
        if len(self.senders) <= self.config.most_senders:
            return
        surplus = [
            sender
            for address, sender in self.senders.items()
            if address not in self.config.confirming_addresses
        ]
        if surplus:
            least = min(surplus, key=lambda sender: sender.version)
            del self.senders[least.address]

    def _take_snapshot(self, event: SnapshotArrived) -> list[ConfigurationViewEffect]:
        snapshot = event.snapshot
        offered = snapshot.configuration
        conflict = offered.version == self.in_force.version and offered != self.in_force
        # Two contents under one version mean that some process is broken or that two
        # fleets share a network. Taking the second would change, without a change,
        # what holds here; so the first stays and the operators are told.
        if conflict:
            self._settle_question(event, progressed=False)
            return [ConfigurationConflict(offered.version, event.sender_address)]
        # Snapshots overtake each other on the way. Only a higher version may take
        # effect, else an accepted configuration would revert.
        progressed = offered.version > self.in_force.version
        effects: list[ConfigurationViewEffect] = []
        if progressed:
            self.in_force = offered
            effects.append(ApplyConfiguration(offered))
        self._settle_question(event, progressed)
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

    def _settle_question(self, event: SnapshotArrived, progressed: bool) -> None:
        sender = self.senders.get(event.sender_address)
        if sender is None:
            return
        sender.waited_for = False
        if progressed:
            sender.asked_at = NEVER
        # A sender that shows a version it does not hand out would be asked for ever.
        sender.version = event.snapshot.configuration.version

    def _questions(self, now: float) -> list[ConfigurationViewEffect]:
        candidates = [
            sender
            for sender in self.senders.values()
            if not self.servable or sender.version > self.in_force.version
        ]
        waiting = sum(self._waits_for(sender, now) for sender in candidates)
        rested = [
            sender
            for sender in candidates
            if now - sender.asked_at >= self.config.fetch_seconds
        ]
        # The one asked longest ago comes first: after a silent one, another's turn.
        rested.sort(key=lambda sender: (sender.asked_at, -sender.version))
        room = max(0, self.config.most_outstanding - waiting)
        return [self._ask(sender, now) for sender in rested[:room]]

    def _waits_for(self, sender: Sender, now: float) -> bool:
        recent = now - sender.asked_at < self.config.fetch_seconds
        return sender.waited_for and recent

    def _ask(self, sender: Sender, now: float) -> AskForConfiguration:
        sender.asked_at = now
        sender.waited_for = True
        question = FetchConfiguration(self.in_force.version, str(self.config.epoch))
        return AskForConfiguration(sender.address, question)
