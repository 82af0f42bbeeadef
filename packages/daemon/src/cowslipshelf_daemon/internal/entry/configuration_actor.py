"""Run the actor that keeps the configuration of one entry up to date."""

import time
from typing import Any, NamedTuple

from pykka import ActorRef

from cowslipshelf_core.configuration_view import (
    ApplyConfiguration,
    AskForConfiguration,
    BecameServable,
    ConfigurationConflict,
    ConfigurationView,
    ConfigurationViewEvent,
    SnapshotArrived,
    TickElapsed,
    VersionSeen,
)
from cowslipshelf_core.messages import ConfigurationSnapshot, FetchConfiguration
from cowslipshelf_daemon.internal.actor import DaemonActor
from cowslipshelf_daemon.internal.entry.configuration_in_force import (
    ConfigurationInForce,
)
from cowslipshelf_daemon.internal.messenger import Delivered, Messenger
from cowslipshelf_daemon.internal.ticker import Tick
from cowslipshelf_host.logs import part_logger

LOG = part_logger("configuration")

TICK_SECONDS = 0.1


class ConfigurationParts(NamedTuple):
    """Hold the dependencies of the configuration actor."""

    view: ConfigurationView
    in_force: ConfigurationInForce
    messenger: Messenger
    routing: ActorRef


class ConfigurationActor(DaemonActor):
    """Apply newer configurations in this process, and never older ones."""

    def __init__(self, parts: ConfigurationParts) -> None:
        super().__init__()
        self.view = parts.view
        self.in_force = parts.in_force
        self.messenger = parts.messenger
        self.routing = parts.routing
        self.next_tick = 0.0

    def on_receive(self, message: Any) -> None:
        """Turn one message into an event for the configuration view."""
        now = time.monotonic()
        match message:
            case Tick() if now >= self.next_tick:
                self.next_tick = now + TICK_SECONDS
                self.handle(TickElapsed(), now)
            case VersionSeen():
                self.handle(message, now)
            case Delivered(message=ConfigurationSnapshot() as snapshot):
                self.handle(SnapshotArrived(snapshot, message.sender_address), now)
            case Delivered(message=FetchConfiguration() as query):
                self.answer(query, message.sender_address)

    def handle(self, event: ConfigurationViewEvent, now: float) -> None:
        """Pass an event to the configuration view and perform its effects."""
        for effect in self.view.handle(event, now):
            match effect:
                case AskForConfiguration(address, query):
                    self.messenger.send(address, query)
                case ApplyConfiguration(configuration):
                    self.in_force.replace(configuration)
                    self.routing.tell(configuration)
                    LOG.info("in force", version=configuration.version)
                case BecameServable():
                    self.in_force.servable = True
                    LOG.info("servable", version=self.view.in_force.version)
                case ConfigurationConflict(version, address):
                    LOG.error(
                        "two contents of one version", version=version, peer=address
                    )

    def answer(self, query: FetchConfiguration, address: str) -> None:
        """Answer with the configuration in force here, unconfirmed by a quorum."""
        snapshot = ConfigurationSnapshot(
            self.view.in_force, confirmed_by_quorum=False, query_id=query.query_id
        )
        self.messenger.send(address, snapshot)
