"""Assemble a sidecar from its settings, start it and stop it."""

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
from cowslipshelf_daemon.internal.sidecar.attempt_runner import AttemptContext
from cowslipshelf_daemon.internal.sidecar.attempts_handler import (
    SidecarAttemptsHandler,
)
from cowslipshelf_daemon.internal.sidecar.engine_worker import EngineWorker
from cowslipshelf_daemon.internal.sidecar.frame_buffers import FrameBufferTable
from cowslipshelf_daemon.internal.sidecar.order_runner import OrderContext
from cowslipshelf_daemon.internal.sidecar.sidecar_actor import (
    ConnectionsAttached,
    LeaveRequest,
    SidecarActor,
    SidecarParts,
)
from cowslipshelf_daemon.internal.ticker import Ticker
from cowslipshelf_fleet.attempts import AttemptsServer, AttemptsServerConfig
from cowslipshelf_fleet.mailboxes import Mailbox, Received
from cowslipshelf_host.logs import part_logger
from cowslipshelf_host.memory import BodyMemory
from cowslipshelf_host.settings import DaemonSettings, UpstreamSettings
from cowslipshelf_upstreams import (
    EngineClient,
    EngineClientConfig,
    PlainClient,
    PlainClientConfig,
)

LOG = part_logger("sidecar")

BYTES_PER_MB = 1_000_000

MAX_READER_WAIT_SECONDS = 3.0
"""Time that entries get to read finished streams before the server stops."""
READER_POLL_SECONDS = 0.02


class SidecarRole(NamedTuple):
    """Hold the parts of a running sidecar."""

    settings: DaemonSettings
    actor: ActorRef
    control_actor: ActorRef
    mailbox: Mailbox
    server: AttemptsServer
    ticker: Ticker
    left: threading.Event
    state: SidecarState
    buffers: FrameBufferTable

    def leave(self) -> bool:
        """Finish the running attempts; return whether all finished in time."""
        self.actor.tell(LeaveRequest(self.left.set))
        finished = self.left.wait(self.settings.timings.shutdown_seconds)
        self.wait_for_readers()
        return finished

    def wait_for_readers(self) -> None:
        """Wait until the entries have read the streams that have just finished.

        The last attempt ends at the upstream before its entry has the last frames. A
        server that stopped in between would cut a complete stream. The wait is short,
        because an entry that never reads again must not delay the exit.
        """
        limit = time.monotonic() + MAX_READER_WAIT_SECONDS
        while self.buffers.unread() and time.monotonic() < limit:
            time.sleep(READER_POLL_SECONDS)

    def running_work(self) -> int:
        """Return the number of running attempts."""
        return self.state.load_report().running

    def stop(self) -> None:
        """Stop all threads and close all sockets."""
        self.ticker.stop()
        self.server.stop()
        self.mailbox.stop()
        self.actor.stop()
        self.control_actor.stop()


def start_sidecar(settings: DaemonSettings) -> SidecarRole:
    """Start a sidecar from its settings."""
    epoch = Epoch(uuid.uuid4().hex)
    view = make_view(settings, epoch)
    parts = make_parts(settings, epoch, view)
    actor = SidecarActor.start(parts)
    messenger = make_messenger(settings)
    control_actor = GatewayActor.start(make_proposal_client(settings), messenger)
    dispatcher = SidecarDispatcher(actor, control_actor)
    mailbox = make_mailbox(settings, epoch, dispatcher.receive, view.version)
    context = AttemptContext(
        make_client(settings.sidecar.upstream),
        actor,
        settings.sidecar.upstream.upstream_id,
    )
    engine_worker = start_engine_worker(context, actor)
    server = make_server(settings, actor, parts.buffers)
    ticker = Ticker((actor, control_actor), settings.timings.tick_seconds)
    orders = make_order_context(settings, context, control_actor, actor)
    mailbox.start()
    messenger.attach(mailbox, drop_own_message)
    actor.tell(ConnectionsAttached(mailbox, context, engine_worker, orders))
    server.start()
    ticker.start()
    return SidecarRole(
        settings,
        actor,
        control_actor,
        mailbox,
        server,
        ticker,
        threading.Event(),
        parts.state,
        parts.buffers,
    )


def make_parts(
    settings: DaemonSettings, epoch: Epoch, view: ConfigurationView
) -> SidecarParts:
    """Make the parts of the sidecar's actor."""
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
    return SidecarParts(settings, description, epoch, state, view, FrameBufferTable())


class SidecarDispatcher(NamedTuple):
    """Pass incoming messages to the actors of one sidecar."""

    sidecar: ActorRef
    control_actor: ActorRef

    def receive(self, received: Received) -> None:
        """Dispatch a message from another process; called on the mailbox's thread."""
        match received.message:
            case ProposalResult() as result:
                sender, address = received.sender, received.sender_address
                self.control_actor.tell(Delivered(sender, address, result))
            case _:
                self.sidecar.tell(received)


def drop_own_message(delivered: Delivered) -> None:
    """Drop a message that this process sent to itself; no sidecar sends one."""
    LOG.warning("message to itself", type=type(delivered.message).__name__)


def make_order_context(
    settings: DaemonSettings,
    context: AttemptContext,
    control_actor: ActorRef,
    actor: ActorRef,
) -> OrderContext | None:
    """Make the context of orders to an engine; a plain service takes no orders."""
    match context.client:
        case EngineClient() as engine:
            control = ControlStateClient(
                control_actor, settings.timings.election_seconds
            )
            return OrderContext(settings.instance, engine, control, actor)
        case PlainClient():
            return None


def make_client(upstream: UpstreamSettings) -> EngineClient | PlainClient:
    """Make the HTTP client of the upstream."""
    base_url = f"http://{upstream.address}"
    match upstream.kind:
        case "model":
            return EngineClient.from_config(EngineClientConfig(base_url))
        case "plain":
            return PlainClient.from_config(PlainClientConfig(base_url))


def start_engine_worker(
    context: AttemptContext, actor: ActorRef
) -> EngineWorker | None:
    """Start the worker that calls an engine; a plain service has none."""
    match context.client:
        case EngineClient() as engine:
            engine_worker = EngineWorker(engine, actor)
            engine_worker.start()
            return engine_worker
        case PlainClient():
            return None


def make_server(
    settings: DaemonSettings, actor: ActorRef, buffers: FrameBufferTable
) -> AttemptsServer:
    """Make the server that accepts attempts from entries."""
    config = AttemptsServerConfig(
        listen_address=settings.sidecar.attempts_address,
        cluster_key=settings.cluster_key.encode(),
        heartbeat_seconds=settings.timings.heartbeat_seconds,
    )
    memory = BodyMemory.from_process_memory(settings.memory_mb * BYTES_PER_MB)
    handler = SidecarAttemptsHandler(actor, buffers)
    return AttemptsServer.from_config(config, handler, memory)
