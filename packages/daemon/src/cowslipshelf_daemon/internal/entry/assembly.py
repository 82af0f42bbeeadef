"""Assemble the parts of an entry, and start and stop them in order."""

import time
import uuid
from collections.abc import Callable
from typing import NamedTuple

from pykka import ActorRef

from cowslipshelf_callers import CallersServer, CallersServerConfig
from cowslipshelf_core.agreement import (
    TransferLeadership,
)
from cowslipshelf_core.directory import Directory, DirectoryConfig
from cowslipshelf_core.identifiers import Epoch
from cowslipshelf_core.requests import RequestConfig, RetryBudget, RetryBudgetConfig
from cowslipshelf_core.routing import Router, RouterConfig
from cowslipshelf_daemon.internal.control_state_client import (
    ControlStateClient,
    GatewayActor,
)
from cowslipshelf_daemon.internal.entry.callers_handler import (
    EntryCallersHandler,
    new_attempt_id,
)
from cowslipshelf_daemon.internal.entry.cancel_sender import CancelSender
from cowslipshelf_daemon.internal.entry.configuration_actor import (
    ConfigurationActor,
    ConfigurationParts,
)
from cowslipshelf_daemon.internal.entry.configuration_in_force import (
    ConfigurationInForce,
)
from cowslipshelf_daemon.internal.entry.entry_metrics import EntryMetrics
from cowslipshelf_daemon.internal.entry.explanations import RequestRecords
from cowslipshelf_daemon.internal.entry.message_dispatcher import MessageDispatcher
from cowslipshelf_daemon.internal.entry.operators_handler import (
    EntryOperatorsHandler,
    OperatorsParts,
)
from cowslipshelf_daemon.internal.entry.order_courier import (
    OrderCourier,
    OrderCourierParts,
)
from cowslipshelf_daemon.internal.entry.replica_start import start_replica
from cowslipshelf_daemon.internal.entry.request_driver import (
    DriverServices,
    SharedRetryBudget,
)
from cowslipshelf_daemon.internal.entry.routing_actor import (
    FleetStatus,
    RoutingActor,
    RoutingClient,
    RoutingParts,
)
from cowslipshelf_daemon.internal.entry.suspect_broadcaster import SuspectBroadcaster
from cowslipshelf_daemon.internal.messenger import Messenger
from cowslipshelf_daemon.internal.process_parts import (
    make_mailbox,
    make_messenger,
    make_proposal_client,
    make_view,
)
from cowslipshelf_daemon.internal.ticker import Ticker
from cowslipshelf_fleet.attempts import AttemptsClient, AttemptsClientConfig
from cowslipshelf_fleet.mailboxes import Mailbox
from cowslipshelf_host.memory import BodyMemory
from cowslipshelf_host.settings import DaemonSettings
from cowslipshelf_operators import OperatorKey, OperatorsServer, OperatorsServerConfig

LEADERSHIP_TRANSFER_SECONDS = 0.5
BYTES_PER_MB = 1_000_000
OPERATOR = "operator"
STOP_SECONDS = 2.0


class EntryActors(NamedTuple):
    """Hold the actors of one entry."""

    routing: ActorRef
    configuration: ActorRef
    proposal_client: ActorRef
    replica: ActorRef | None
    courier: ActorRef | None

    def running(self) -> tuple[ActorRef, ...]:
        """Return the actors that this entry runs."""
        return tuple(actor for actor in self if actor is not None)


class EntryRole(NamedTuple):
    """Run an entry: its actors, servers and mailbox."""

    settings: DaemonSettings
    actors: EntryActors
    mailbox: Mailbox
    callers: CallersServer
    callers_handler: EntryCallersHandler
    operators: OperatorsServer
    operators_handler: EntryOperatorsHandler
    ticker: Ticker

    def leave(self) -> bool:
        """Shut down gracefully; return whether every request finished in time.

        Readiness fails first, so that the load balancer sends no more requests. Then
        new requests are refused and running ones finish. Leadership is transferred
        last, since requests that finish may still have to store their answers.
        """
        self.operators_handler.draining.set()
        seconds = self.settings.timings.shutdown_seconds
        cut = self.callers_handler.open_requests.close_and_wait(seconds)
        if self.actors.replica is not None:
            self.actors.replica.tell(TransferLeadership())
            time.sleep(LEADERSHIP_TRANSFER_SECONDS)
        return cut == 0

    def running_work(self) -> int:
        """Return the number of running requests."""
        return self.callers_handler.open_requests.open

    def stop(self) -> None:
        """Stop every thread and close every socket."""
        self.callers.stop(STOP_SECONDS)
        self.operators.stop()
        self.ticker.stop()
        self.mailbox.stop()
        for actor in self.actors.running():
            actor.stop()


class EntryParts(NamedTuple):
    """Hold what the parts of one entry share."""

    settings: DaemonSettings
    epoch: Epoch
    in_force: ConfigurationInForce
    status: FleetStatus
    messenger: Messenger
    records: RequestRecords
    metrics: EntryMetrics
    router: Router
    broadcaster: SuspectBroadcaster


def make_router(settings: DaemonSettings) -> Router:
    """Create the router of an entry from its settings."""
    limits = settings.entry.limits
    default = RouterConfig()
    config = RouterConfig(
        data_centre=settings.data_centre,
        limits_short=default.limits_short._replace(
            max_queued_seconds=limits.most_queued_seconds_short
        ),
        limits_long=default.limits_long._replace(
            max_queued_seconds=limits.most_queued_seconds_long
        ),
    )
    return Router.from_config(config)


def start_entry(
    settings: DaemonSettings,
    make_router: Callable[[DaemonSettings], Router] = make_router,
) -> EntryRole:
    """Start an entry from its settings, or raise `StartError`.

    Benchmarks pass another `make_router`, to compare routers.
    """
    metrics = EntryMetrics()
    messenger = make_messenger(settings)
    parts = EntryParts(
        settings,
        Epoch(uuid.uuid4().hex),
        ConfigurationInForce(),
        FleetStatus(settings),
        messenger,
        RequestRecords(metrics),
        metrics,
        make_router(settings),
        SuspectBroadcaster(settings.instance, messenger, metrics.metrics),
    )
    actors = start_actors(parts)
    dispatch = MessageDispatcher(
        actors.routing,
        actors.configuration,
        actors.proposal_client,
        actors.replica,
        parts.in_force,
        parts.broadcaster.suspects,
    )
    mailbox = make_mailbox(
        settings, parts.epoch, dispatch.receive, parts.in_force.version
    )
    mailbox.start()
    parts.messenger.attach(mailbox, dispatch.deliver)
    ticker = Ticker(actors.running(), settings.timings.tick_seconds)
    ticker.start()
    control = ControlStateClient(
        actors.proposal_client, settings.timings.election_seconds
    )
    callers_handler = make_callers_handler(parts, actors, control)
    callers = make_callers_server(settings, callers_handler)
    operators_handler = EntryOperatorsHandler(
        OperatorsParts(
            settings,
            parts.in_force,
            parts.status,
            parts.records,
            control,
            actors.replica,
            metrics,
            mailbox,
            callers_handler.open_requests,
            parts.broadcaster.suspects,
        )
    )
    operators = make_operators_server(settings, operators_handler)
    operators.start()
    callers.start()
    return EntryRole(
        settings,
        actors,
        mailbox,
        callers,
        callers_handler,
        operators,
        operators_handler,
        ticker,
    )


def start_actors(parts: EntryParts) -> EntryActors:
    """Start the actors; an actor starts before those that send messages to it."""
    settings = parts.settings
    routing = RoutingActor.start(
        RoutingParts(
            settings,
            Directory.from_config(DirectoryConfig()),
            parts.router,
            parts.in_force,
            parts.status,
            parts.messenger,
            parts.broadcaster,
        )
    )
    configuration = ConfigurationActor.start(
        ConfigurationParts(
            make_view(settings, parts.epoch), parts.in_force, parts.messenger, routing
        )
    )
    proposal_client = GatewayActor.start(
        make_proposal_client(settings), parts.messenger
    )
    if settings.entry.data_folder is None:
        return EntryActors(routing, configuration, proposal_client, None, None)
    replica = start_replica(settings, parts.messenger, configuration, proposal_client)
    courier = OrderCourier.start(
        OrderCourierParts(replica, parts.status, parts.messenger)
    )
    return EntryActors(routing, configuration, proposal_client, replica, courier)


def make_callers_handler(
    parts: EntryParts, actors: EntryActors, control: ControlStateClient
) -> EntryCallersHandler:
    """Create the handler of callers' requests."""
    settings = parts.settings
    attempts = AttemptsClient.from_config(
        AttemptsClientConfig(
            settings.timings.connect_seconds,
            settings.timings.silence_seconds,
            settings.cluster_key.encode(),
        )
    )
    services = DriverServices(
        settings.instance,
        RoutingClient(actors.routing, parts.status),
        control,
        attempts,
        CancelSender(attempts),
        SharedRetryBudget(RetryBudget.from_config(RetryBudgetConfig())),
        new_attempt_id,
        parts.metrics,
        parts.broadcaster.suspects,
    )
    stored = settings.entry.limits.largest_stored_answer_bytes
    config = RequestConfig(max_stored_answer_bytes=stored)
    return EntryCallersHandler(parts.in_force, services, parts.records, config)


def make_callers_server(
    settings: DaemonSettings, handler: EntryCallersHandler
) -> CallersServer:
    """Create the HTTP server for callers."""
    limits = settings.entry.limits
    config = CallersServerConfig(
        settings.entry.callers_address,
        max_idle_connections=limits.most_connections,
        max_header_bytes=limits.largest_header_bytes,
        max_body_bytes=limits.largest_body_bytes,
        request_seconds=limits.slow_client_seconds,
        write_seconds=limits.slow_client_seconds,
    )
    memory = BodyMemory.from_process_memory(settings.memory_mb * BYTES_PER_MB)
    return CallersServer.from_config(config, handler, memory)


def make_operators_server(
    settings: DaemonSettings, handler: EntryOperatorsHandler
) -> OperatorsServer:
    """Create the HTTP server for operators."""
    keys = tuple(
        OperatorKey(f"{OPERATOR}-{number}", key_hash)
        for number, key_hash in enumerate(settings.entry.operator_key_hashes, 1)
    )
    config = OperatorsServerConfig(settings.entry.operators_address, keys)
    return OperatorsServer.from_config(config, handler)
