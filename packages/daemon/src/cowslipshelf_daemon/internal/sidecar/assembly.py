"""Put a sidecar together, start it and take it apart in order."""

import threading
import time
import uuid
from typing import NamedTuple

from pykka import ActorRef

from cowslipshelf_core.agreement import (
    ProposalResult,
)
from cowslipshelf_core.configuration_view import (
    ConfigurationView,
)
from cowslipshelf_core.identifiers import Epoch
from cowslipshelf_core.sidecar import SidecarConfig, SidecarState
from cowslipshelf_core.upstream import UpstreamDescription
from cowslipshelf_daemon.internal.control_state_client import (
    ControlStateClient,
    GatewayActor,
)
from cowslipshelf_daemon.internal.messenger import Delivered
from cowslipshelf_daemon.internal.process_parts import (
    make_mailbox,
    make_messenger,
    make_proposal_client,
    make_view,
)
from cowslipshelf_daemon.internal.sidecar.attempt_log import AttemptLog
from cowslipshelf_daemon.internal.sidecar.attempt_runner import AttemptServices
from cowslipshelf_daemon.internal.sidecar.attempts_handler import (
    SidecarAttemptsHandler,
)
from cowslipshelf_daemon.internal.sidecar.order_runner import OrderServices
from cowslipshelf_daemon.internal.sidecar.sidecar_actor import (
    LeaveAsked,
    PeersAttached,
    SidecarActor,
    SidecarParts,
)
from cowslipshelf_daemon.internal.sidecar.upstream_keeper import UpstreamKeeper
from cowslipshelf_daemon.internal.ticker import Ticker
from cowslipshelf_fleet.attempts import AttemptsServer, AttemptsServerConfig
from cowslipshelf_fleet.mailboxes import Mailbox, Received
from cowslipshelf_host.logs import part_logger
from cowslipshelf_host.settings import DaemonSettings, UpstreamSettings
from cowslipshelf_upstreams import (
    EngineClient,
    EngineClientConfig,
    PlainClient,
    PlainClientConfig,
)

LOG = part_logger("sidecar")

READERS_SECONDS = 3.0
POLL_SECONDS = 0.02


class SidecarRole(NamedTuple):
    """Be a sidecar that runs."""

    settings: DaemonSettings
    actor: ActorRef
    gateway: ActorRef
    mailbox: Mailbox
    server: AttemptsServer
    ticker: Ticker
    left: threading.Event
    view_of_state: SidecarState
    attempts: AttemptLog

    def leave(self) -> bool:
        """Finish what runs and go; return whether all of it finished in time."""
        self.actor.tell(LeaveAsked(self.left.set))
        finished = self.left.wait(self.settings.timings.shutdown_seconds)
        self.wait_for_readers()
        return finished

    def wait_for_readers(self) -> None:
        """Let the entries read what has just finished at the upstream.

        The last attempt ends at the upstream before its entry has its last frames. A
        server that stops in between cuts a stream that was whole. An entry that never
        reads again must not hold the process up, so the wait is short.
        """
        limit = time.monotonic() + READERS_SECONDS
        while self.attempts.unread() and time.monotonic() < limit:
            time.sleep(POLL_SECONDS)

    def running_work(self) -> int:
        """Return how many attempts run."""
        return self.view_of_state.load_report().running

    def stop(self) -> None:
        """End every thread and socket."""
        self.ticker.stop()
        self.server.stop()
        self.mailbox.stop()
        self.actor.stop()
        self.gateway.stop()


def start_sidecar(settings: DaemonSettings) -> SidecarRole:
    """Start a sidecar from its settings."""
    epoch = Epoch(uuid.uuid4().hex)
    view = make_view(settings, epoch)
    parts = make_parts(settings, epoch, view)
    actor = SidecarActor.start(parts)
    messenger = make_messenger(settings)
    gateway = GatewayActor.start(make_proposal_client(settings), messenger)
    dispatch = SidecarDispatch(actor, gateway)
    mailbox = make_mailbox(settings, epoch, dispatch.receive, view.version)
    services = AttemptServices(
        make_client(settings.sidecar.upstream),
        actor,
        settings.sidecar.upstream.upstream_id,
    )
    keeper = make_keeper(services, actor)
    server = make_server(settings, actor, parts.attempts)
    ticker = Ticker((actor, gateway), settings.timings.tick_seconds)
    orders = make_order_services(settings, services, gateway, actor)
    mailbox.start()
    messenger.attach(mailbox, drop_own_message)
    actor.tell(PeersAttached(mailbox, services, keeper, orders))
    server.start()
    ticker.start()
    return SidecarRole(
        settings,
        actor,
        gateway,
        mailbox,
        server,
        ticker,
        threading.Event(),
        parts.state,
        parts.attempts,
    )


def make_parts(
    settings: DaemonSettings, epoch: Epoch, view: ConfigurationView
) -> SidecarParts:
    """Make what the sidecar's actor works with."""
    upstream = settings.sidecar.upstream
    description = UpstreamDescription(
        upstream.upstream_id,
        settings.data_centre,
        upstream.service,
        upstream.kind,
        upstream.models,
        upstream.memory_tokens,
        upstream.checks_fencing,
        settings.sidecar.attempts_address,
    )
    state = SidecarState.from_config(
        SidecarConfig(
            description, epoch, owner_lease_seconds=settings.timings.owner_lease_seconds
        )
    )
    return SidecarParts(settings, description, epoch, state, view, AttemptLog())


class SidecarDispatch(NamedTuple):
    """Know the actors of one sidecar."""

    sidecar: ActorRef
    gateway: ActorRef

    def receive(self, received: Received) -> None:
        """Take a message from another process; runs on the mailbox's thread."""
        match received.message:
            case ProposalResult() as result:
                sender, address = received.sender, received.sender_address
                self.gateway.tell(Delivered(sender, address, result))
            case _:
                self.sidecar.tell(received)


def drop_own_message(delivered: Delivered) -> None:
    """Take a message to this process itself, which a sidecar never sends."""
    LOG.warning("message to itself", type=type(delivered.message).__name__)


def make_order_services(
    settings: DaemonSettings,
    services: AttemptServices,
    gateway: ActorRef,
    actor: ActorRef,
) -> OrderServices | None:
    """Make what orders to an engine need; a plain service takes none."""
    match services.client:
        case EngineClient() as engine:
            control = ControlStateClient(gateway, settings.timings.election_seconds)
            return OrderServices(settings.instance, engine, control, actor)
        case PlainClient():
            return None


def make_client(upstream: UpstreamSettings) -> EngineClient | PlainClient:
    """Make the client that speaks to the upstream."""
    base_url = f"http://{upstream.address}"
    match upstream.kind:
        case "model":
            return EngineClient.from_config(EngineClientConfig(base_url))
        case "plain":
            return PlainClient.from_config(PlainClientConfig(base_url))


def make_keeper(services: AttemptServices, actor: ActorRef) -> UpstreamKeeper | None:
    """Make and start the keeper of an engine; a plain service has none."""
    match services.client:
        case EngineClient() as engine:
            keeper = UpstreamKeeper(engine, actor)
            keeper.start()
            return keeper
        case PlainClient():
            return None


def make_server(
    settings: DaemonSettings, actor: ActorRef, log: AttemptLog
) -> AttemptsServer:
    """Make the server that takes attempts."""
    config = AttemptsServerConfig(
        listen_address=settings.sidecar.attempts_address,
        cluster_key=settings.cluster_key.encode(),
        heartbeat_seconds=settings.timings.heartbeat_seconds,
    )
    return AttemptsServer.from_config(config, SidecarAttemptsHandler(actor, log))
