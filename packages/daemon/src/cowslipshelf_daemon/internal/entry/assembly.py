"""Put an entry together, start it and take it apart in order."""

import time
import uuid
from collections.abc import Callable
from pathlib import Path
from typing import NamedTuple

from pykka import ActorRef
from result import Err, Ok

from cowslipshelf_callers import CallersServer, CallersServerConfig
from cowslipshelf_core.agreement import (
    ProposalClient,
    ProposalClientConfig,
    Replica,
    ReplicaConfig,
    StoredState,
    TransferLeadership,
)
from cowslipshelf_core.configuration_view import (
    ConfigurationView,
    ConfigurationViewConfig,
)
from cowslipshelf_core.control import ControlState
from cowslipshelf_core.directory import Directory, DirectoryConfig
from cowslipshelf_core.identifiers import ConfigurationVersion, Epoch, InstanceId
from cowslipshelf_core.requests import RequestConfig, RetryBudget, RetryBudgetConfig
from cowslipshelf_core.routing import Router, RouterConfig
from cowslipshelf_daemon.internal.control_gateway import (
    ControlGateway,
    GatewayActor,
)
from cowslipshelf_daemon.internal.entry.callers_handler import (
    EntryCallersHandler,
    new_attempt_id,
)
from cowslipshelf_daemon.internal.entry.cancel_desk import CancelDesk
from cowslipshelf_daemon.internal.entry.configuration_actor import (
    ConfigurationActor,
    ConfigurationParts,
)
from cowslipshelf_daemon.internal.entry.dispatch import Dispatch
from cowslipshelf_daemon.internal.entry.entry_metrics import EntryMetrics
from cowslipshelf_daemon.internal.entry.explanations import RequestRecords
from cowslipshelf_daemon.internal.entry.in_force import ConfigurationInForce
from cowslipshelf_daemon.internal.entry.operators_handler import (
    EntryOperatorsHandler,
    OperatorsParts,
)
from cowslipshelf_daemon.internal.entry.order_courier import (
    OrderCourier,
    OrderCourierParts,
)
from cowslipshelf_daemon.internal.entry.replica_actor import (
    ReplicaActor,
    ReplicaParts,
)
from cowslipshelf_daemon.internal.entry.request_driver import (
    DriverServices,
    SharedRetryBudget,
)
from cowslipshelf_daemon.internal.entry.routing_actor import (
    FleetStatus,
    RoutingActor,
    RoutingDesk,
    RoutingParts,
)
from cowslipshelf_daemon.internal.post import Post
from cowslipshelf_daemon.internal.ticker import Ticker
from cowslipshelf_daemon.internal.wire import MailboxMessage
from cowslipshelf_fleet import (
    AttemptsClient,
    AttemptsClientConfig,
    Mailbox,
    MailboxConfig,
)
from cowslipshelf_operators import OperatorKey, OperatorsServer, OperatorsServerConfig
from cowslipshelf_platform.settings import DaemonSettings
from cowslipshelf_platform.storage import ReplicaStorage, ReplicaStorageConfig

HEARTBEATS_PER_ELECTION = 5
HAND_OVER_LEADERSHIP_SECONDS = 1.0
OPERATOR = "operator"
STOP_SECONDS = 2.0


class StartError(Exception):
    """Say at which step a daemon could not start."""

    def __init__(self, step: str, detail: str) -> None:
        super().__init__(f"{step}: {detail}")
        self.step = step
        self.detail = detail


class EntryActors(NamedTuple):
    """Be the actors of one entry."""

    routing: ActorRef
    configuration: ActorRef
    gateway: ActorRef
    replica: ActorRef | None
    courier: ActorRef | None

    def running(self) -> tuple[ActorRef, ...]:
        """Return those that there are."""
        return tuple(actor for actor in self if actor is not None)


class EntryRole(NamedTuple):
    """Be an entry that runs."""

    settings: DaemonSettings
    actors: EntryActors
    mailbox: Mailbox
    callers: CallersServer
    callers_handler: EntryCallersHandler
    operators: OperatorsServer
    operators_handler: EntryOperatorsHandler
    ticker: Ticker

    def leave(self) -> bool:
        """Finish what runs and go; return whether all of it finished in time.

        Readiness goes first, so that the balancer sends nothing more; then the door
        closes and running requests finish; the leader hands over last, since requests
        that finish may still have to store their answers.
        """
        self.operators_handler.draining.set()
        seconds = self.settings.timings.shutdown_seconds
        cut = self.callers_handler.open_requests.close_and_wait(seconds)
        if self.actors.replica is not None:
            self.actors.replica.tell(TransferLeadership())
            time.sleep(HAND_OVER_LEADERSHIP_SECONDS / 2)
        return cut == 0

    def running_work(self) -> int:
        """Return how many requests run."""
        return self.callers_handler.open_requests.open

    def stop(self) -> None:
        """End every thread and socket."""
        self.callers.stop(STOP_SECONDS)
        self.operators.stop()
        self.ticker.stop()
        self.mailbox.stop()
        for actor in self.actors.running():
            actor.stop()


class EntryParts(NamedTuple):
    """Be what the parts of one entry share."""

    settings: DaemonSettings
    epoch: Epoch
    in_force: ConfigurationInForce
    status: FleetStatus
    post: Post
    records: RequestRecords
    metrics: EntryMetrics
    router: Router


def make_router(settings: DaemonSettings) -> Router:
    """Make the router of an entry."""
    return Router.from_config(RouterConfig(data_centre=settings.data_centre))


def start_entry(
    settings: DaemonSettings,
    make_router: Callable[[DaemonSettings], Router] = make_router,
) -> EntryRole:
    """Start an entry from its settings, or raise `StartError`.

    A measurement gives another way to make the router, to compare the two.
    """
    metrics = EntryMetrics()
    parts = EntryParts(
        settings,
        Epoch(uuid.uuid4().hex),
        ConfigurationInForce(),
        FleetStatus(settings),
        make_post(settings),
        RequestRecords(metrics),
        metrics,
        make_router(settings),
    )
    actors = start_actors(parts)
    dispatch = Dispatch(
        actors.routing,
        actors.configuration,
        actors.gateway,
        actors.replica,
        parts.in_force,
    )
    mailbox = make_mailbox(parts, dispatch)
    mailbox.start()
    parts.post.attach(mailbox, dispatch.deliver)
    ticker = Ticker(actors.running(), settings.timings.tick_seconds)
    ticker.start()
    gateway = ControlGateway(actors.gateway)
    callers_handler = make_callers_handler(parts, actors, gateway)
    callers = make_callers_server(settings, callers_handler)
    operators_handler = EntryOperatorsHandler(
        OperatorsParts(
            settings,
            parts.in_force,
            parts.status,
            parts.records,
            gateway,
            actors.replica,
            metrics,
            mailbox,
            callers_handler.open_requests,
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


def make_post(settings: DaemonSettings) -> Post:
    """Make the post, which begins with the entries of the settings."""
    post = Post(settings.instance, settings.mailbox_address)
    for entry in settings.entries:
        post.learn(entry.instance, entry.mailbox_address)
    return post


def start_actors(parts: EntryParts) -> EntryActors:
    """Start the actors; one that is told about needs to be started before."""
    settings = parts.settings
    replicas = replica_instances(settings)
    routing = RoutingActor.start(
        RoutingParts(
            settings,
            Directory.from_config(DirectoryConfig()),
            parts.router,
            parts.in_force,
            parts.status,
            parts.post,
        )
    )
    configuration = ConfigurationActor.start(
        ConfigurationParts(make_view(parts), parts.in_force, parts.post, routing)
    )
    client = ProposalClient.from_config(ProposalClientConfig(replicas))
    gateway = GatewayActor.start(client, parts.post)
    if settings.entry.data_folder is None:
        return EntryActors(routing, configuration, gateway, None, None)
    replica = start_replica(parts, configuration, gateway)
    courier = OrderCourier.start(OrderCourierParts(replica, parts.status, parts.post))
    return EntryActors(routing, configuration, gateway, replica, courier)


def replica_instances(settings: DaemonSettings) -> tuple[InstanceId, ...]:
    """Return the instances that hold replicas, as the settings list them."""
    return tuple(entry.instance for entry in settings.entries if entry.replica)


def make_view(parts: EntryParts) -> ConfigurationView:
    """Make the view of the configuration, which asks the replicas."""
    addresses = tuple(
        entry.mailbox_address for entry in parts.settings.entries if entry.replica
    )
    config = ConfigurationViewConfig(parts.epoch, addresses)
    return ConfigurationView.from_config(config)


def start_replica(
    parts: EntryParts, configuration: ActorRef, gateway: ActorRef
) -> ActorRef:
    """Load the data folder and start the replica that it holds."""
    settings = parts.settings
    storage = open_storage(settings)
    stored = load_stored(storage)
    election = settings.timings.election_seconds
    config = ReplicaConfig(
        replica_instances(settings),
        heartbeat_seconds=election / HEARTBEATS_PER_ELECTION,
        election_seconds=election,
        lease_seconds=election,
    )
    state = ControlState()
    if stored.snapshot is not None:
        state = ControlState.from_snapshot(stored.snapshot.state)
    replica = Replica.from_config(config, stored)
    return ReplicaActor.start(
        ReplicaParts(replica, storage, state, parts.post, configuration, gateway)
    )


def open_storage(settings: DaemonSettings) -> ReplicaStorage:
    """Open the data folder, or raise `StartError`."""
    folder = Path(settings.entry.data_folder)
    config = ReplicaStorageConfig(folder, settings.instance)
    match ReplicaStorage.from_config(config):
        case Ok(storage):
            return storage
        case Err(error):
            raise StartError("open data folder", str(error))


def load_stored(storage: ReplicaStorage) -> StoredState:
    """Load what the data folder holds, or raise `StartError`."""
    match storage.load():
        case Ok(stored):
            return stored
        case Err(error):
            raise StartError("load data folder", str(error))


def make_mailbox(parts: EntryParts, dispatch: Dispatch) -> Mailbox:
    """Make the mailbox, whose messages go to the actors."""
    settings = parts.settings
    config = MailboxConfig(
        instance=settings.instance,
        epoch=parts.epoch,
        listen_address=settings.mailbox_address,
        cluster_key=settings.cluster_key.encode(),
        heartbeat_seconds=settings.timings.heartbeat_seconds,
        silence_seconds=settings.timings.silence_seconds,
        message_types=MailboxMessage,
    )

    def version() -> ConfigurationVersion:
        return parts.in_force.index.configuration.version

    return Mailbox.from_config(config, dispatch.receive, version)


def make_callers_handler(
    parts: EntryParts, actors: EntryActors, gateway: ControlGateway
) -> EntryCallersHandler:
    """Make what answers the callers."""
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
        RoutingDesk(actors.routing, parts.status),
        gateway,
        attempts,
        CancelDesk(attempts),
        SharedRetryBudget(RetryBudget.from_config(RetryBudgetConfig())),
        new_attempt_id,
        parts.metrics,
    )
    stored = settings.entry.limits.largest_stored_answer_bytes
    config = RequestConfig(stored_answer_bytes=stored)
    return EntryCallersHandler(parts.in_force, services, parts.records, config)


def make_callers_server(
    settings: DaemonSettings, handler: EntryCallersHandler
) -> CallersServer:
    """Make the server that callers reach."""
    limits = settings.entry.limits
    config = CallersServerConfig(
        settings.entry.callers_address,
        most_header_bytes=limits.largest_header_bytes,
        most_body_bytes=limits.largest_body_bytes,
        request_seconds=limits.slow_client_seconds,
        write_seconds=limits.slow_client_seconds,
    )
    return CallersServer.from_config(config, handler)


def make_operators_server(
    settings: DaemonSettings, handler: EntryOperatorsHandler
) -> OperatorsServer:
    """Make the server that operators reach."""
    keys = tuple(
        OperatorKey(f"{OPERATOR}-{number}", key_hash)
        for number, key_hash in enumerate(settings.entry.operator_key_hashes, 1)
    )
    config = OperatorsServerConfig(settings.entry.operators_address, keys)
    return OperatorsServer.from_config(config, handler)
