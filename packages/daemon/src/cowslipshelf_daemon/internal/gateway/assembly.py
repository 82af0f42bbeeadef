"""Assemble a gateway, run it, and shut it down without cutting requests."""

import asyncio
import signal
import socket
import time
from collections.abc import Callable
from dataclasses import dataclass

from pykka import ActorRef

from cowslipshelf_core.agreement import (
    LeaderSeen,
    ProposalClient,
    ProposalClientConfig,
    ProposalResult,
)
from cowslipshelf_core.dialect import Dialect
from cowslipshelf_core.gateway import (
    AskPermits,
    CallerLimits,
    FetchWork,
    HeartbeatsSeen,
    LimitLifted,
    LimitsTold,
    PermitsBooked,
    PermitsReturned,
    PromptPartsTold,
    Relayed,
    SuspectRequestsTold,
    UpstreamObservations,
    WorkChanged,
    WorkHeld,
)
from cowslipshelf_core.identifiers import UpstreamId
from cowslipshelf_core.messages import (
    FetchRoutes,
    PeerAlive,
    RoutesSnapshot,
)
from cowslipshelf_daemon.internal.control_state_client import GatewayActor
from cowslipshelf_daemon.internal.gateway.attempt import AttemptRunner
from cowslipshelf_daemon.internal.gateway.boot_time import boot_seconds
from cowslipshelf_daemon.internal.gateway.client_resources import ClientResources
from cowslipshelf_daemon.internal.gateway.control_client import ControlClient
from cowslipshelf_daemon.internal.gateway.control_handler import ControlHandler
from cowslipshelf_daemon.internal.gateway.fleet_view import FleetView
from cowslipshelf_daemon.internal.gateway.gossip import (
    ALIVE_INTERVAL_SECONDS,
    FULL_SYNC_SECONDS,
    Gossip,
)
from cowslipshelf_daemon.internal.gateway.http_exchange import (
    HttpRequest,
    Responder,
)
from cowslipshelf_daemon.internal.gateway.http_server import HttpServer
from cowslipshelf_daemon.internal.gateway.loop_inbox import LoopInbox
from cowslipshelf_daemon.internal.gateway.loop_watchdog import LoopWatchdog
from cowslipshelf_daemon.internal.gateway.replica_supervisor import ReplicaSupervisor
from cowslipshelf_daemon.internal.gateway.request_handler import RequestHandler
from cowslipshelf_daemon.internal.gateway.settings import (
    GatewaySettings,
    SettingsSource,
)
from cowslipshelf_daemon.internal.gateway.suspect_requests_file import (
    SuspectRequestsFile,
)
from cowslipshelf_daemon.internal.gateway.upstream_pool import UpstreamPool
from cowslipshelf_daemon.internal.gateway.upstreams_file import UpstreamsFile
from cowslipshelf_daemon.internal.messenger import Delivered, Messenger
from cowslipshelf_daemon.internal.ticker import Tick
from cowslipshelf_daemon.internal.wire import MailboxMessage
from cowslipshelf_fleet.mailboxes import Mailbox, MailboxConfig, Received
from cowslipshelf_host.logs import part_logger
from cowslipshelf_host.metrics import Metrics

LOG = part_logger("gateway")

CLUSTER_KEY = b"cowslipshelf-gateways"
"""Marks messages of this system. The machines provide no secret shared by all
gateways, so it keeps out misdirected messages, not attackers; see
docs/QUESTIONS.md."""
MAILBOX_HEARTBEAT_SECONDS = 1.0
MAILBOX_SILENCE_SECONDS = 3.0
FLUSH_SECONDS = 0.1
"""Wait for peers to acknowledge the last messages at shutdown: several round trips
within a region. A peer that has not answered by then is gone; peers that miss the last
message detect the end of this gateway by its silence."""
TICK_SECONDS = 0.05
FORGET_INTERVAL_SECONDS = 5.0
UPSTREAMS_WRITE_SECONDS = 1.0
"""Interval between writes of the upstreams file, and so the age of what a restart
restores. Each upstream that left since costs one attempt that times out."""
SUSPECTS_WRITE_SECONDS = 0.2
"""Interval between checks whether the suspect requests changed since the last write.
A suspect that all gateways forget at once ends three more upstreams."""
COLD_REPORT_SECONDS = 0.5
"""Interval between reports of upstreams that became cold or warm; cold times last
seconds."""
RELOAD_INTERVAL_SECONDS = 1.0
"""Interval between checks of the settings file, which may change without a signal."""
RESERVED_DESCRIPTORS = 600
"""File descriptors reserved for upstreams, peers, files and logs."""
CONTROL_CONNECTIONS = 256
LEAVE_ROTATION_SECONDS = 2.5
"""Time after the signal during which new connections are still accepted: the load
balancer checks readiness each second and removes a gateway after two failures."""
SHUTDOWN_MARGIN_SECONDS = 0.7
"""Time reserved at the end of the shutdown to close connections before the kill."""
DRAIN_CHECK_SECONDS = 0.05
DOUBTFUL = "cowslipshelf_doubtful_data_centres"
METRICS_PATH = "/metrics"
METRICS_TYPE = (b"content-type", b"text/plain; version=0.0.4")
CONTROL_BODY_BYTES = 32 * 1024 * 1024
"""Largest configuration body; one hundred thousand routes take about as much."""


@dataclass(slots=True)
class PeriodicTask:
    """Hold an action that is repeated after a pause, in seconds."""

    pause: float
    act: Callable[[], None]
    due: float = 0.0

    def run_when_due(self, now: float, metrics: Metrics) -> None:
        """Run the action if its pause has passed.

        One that fails runs again at its next turn: the cause, such as an upstream's
        heartbeat that can't be forwarded, must not end a process that serves requests.
        """
        if now < self.due:
            return
        self.due = now + self.pause
        try:
            self.act()
        except Exception:
            metrics.count("cowslipshelf_duties_failed_total")
            LOG.exception("Duty failed.", duty=self.act.__qualname__)


class Gateway:
    """Hold the parts of one gateway, which run on one event loop."""

    def __init__(
        self, settings: GatewaySettings, source: SettingsSource, dialect: Dialect
    ) -> None:
        self.settings = settings
        self.source = source
        self.dialect = dialect
        self.loop = asyncio.get_running_loop()
        self.metrics = Metrics()
        self.view = FleetView.from_settings(settings)
        self.pool = UpstreamPool(self.metrics, self.view.idle_connections)
        own_address = settings.peer_address(settings.instance)
        self.messenger = Messenger(settings.instance, own_address)
        for seed in settings.seeds:
            self.messenger.add_entry(seed, settings.peer_address(seed))
        proposals = ProposalClient.from_config(ProposalClientConfig(()))
        self.proposal_client: ActorRef = GatewayActor.start(proposals, self.messenger)
        self.client = ControlClient(self.proposal_client, self.messenger)
        self.gossip = Gossip(
            self.view, self.messenger, self.client, dialect, self.metrics
        )
        self.view.on_work_changed = self.gossip.queue_work
        self.view.observer.on_observed = self.gossip.queue_observations
        self.inbox = LoopInbox(self.loop, self.gossip.receive, self.metrics)
        self.supervisor = ReplicaSupervisor(
            self.view, self.messenger, self.inbox, self.proposal_client, self.metrics
        )
        self.suspects = self.gossip.suspects
        self.upstreams_file: UpstreamsFile | None = None
        self.suspects_file: SuspectRequestsFile | None = None
        if settings.data_folder is not None:
            self.upstreams_file = UpstreamsFile(settings.data_folder)
            self.view.restore(self.upstreams_file.read())
            self.suspects_file = SuspectRequestsFile(settings.data_folder)
            stored = self.suspects_file.read()
            self.suspects.merge_reports(settings.instance, stored.requests)
            self.suspects.parts.merge_report(settings.instance, stored.parts)
        self.mailbox = self.make_mailbox(own_address)
        self.cold_upstreams: frozenset[UpstreamId] = frozenset()
        """Upstreams that were last reported as cold."""
        self.leaving = False
        self.ended = asyncio.Event()
        runner = AttemptRunner(self.view, self.pool, dialect)
        self.view.on_start_replaced = runner.drop_replaced_start
        resources = ClientResources.from_process_memory(
            settings.memory_bytes, self.metrics
        )
        self.client_memory = resources.memory
        self.callers = HttpServer(
            "callers",
            RequestHandler(self.view, runner, dialect, self.metrics, self.suspects),
            self.limits,
            max(64, (settings.max_descriptors - RESERVED_DESCRIPTORS) // 2),
            self.metrics,
            resources,
        )
        self.control = HttpServer(
            "control",
            ControlHandler(self.view, self.client, self.gossip, dialect, self.metrics),
            lambda: CallerLimits(body_bytes=CONTROL_BODY_BYTES),
            CONTROL_CONNECTIONS,
            resources=resources,
        )
        self.ready = HttpServer(
            "ready",
            self.answer_ready,
            CallerLimits,
            CONTROL_CONNECTIONS,
            resources=resources,
        )
        self.metrics_server = HttpServer(
            "metrics",
            self.answer_metrics,
            CallerLimits,
            CONTROL_CONNECTIONS,
            resources=resources,
        )

    def make_mailbox(self, address: str) -> Mailbox:
        """Create the mailbox for messages between gateways."""
        config = MailboxConfig(
            instance=self.settings.instance,
            epoch=self.view.peers.config.epoch,
            listen_address=address,
            cluster_key=CLUSTER_KEY,
            heartbeat_seconds=MAILBOX_HEARTBEAT_SECONDS,
            silence_seconds=MAILBOX_SILENCE_SECONDS,
            message_types=MailboxMessage,
            idle_seconds=20.0,
            flush_seconds=FLUSH_SECONDS,
        )
        return Mailbox.from_config(
            config, self.receive, lambda: self.view.document.version
        )

    def receive(self, received: Received) -> None:
        """Handle a message on the mailbox's thread."""
        sender, address = received.sender, received.sender_address
        self.deliver(Delivered(sender, address, received.message))

    def deliver(self, delivered: Delivered) -> None:
        """Dispatch a message to its handler; may be called from any thread."""
        match delivered.message:
            case (
                PeerAlive()
                | HeartbeatsSeen()
                | Relayed()
                | FetchWork()
                | WorkChanged()
                | WorkHeld()
                | RoutesSnapshot()
                | SuspectRequestsTold()
                | PromptPartsTold()
                | UpstreamObservations()
                | FetchRoutes(query_id="")
                | LimitsTold()
                | AskPermits()
                | PermitsBooked()
                | PermitsReturned()
                | LimitLifted()
            ):
                self.inbox.tell(delivered)
            case ProposalResult() | LeaderSeen():
                self.proposal_client.tell(delivered)
            case _:
                actor = self.supervisor.actor
                if actor is not None and actor.is_alive():
                    actor.tell(delivered)

    def limits(self) -> CallerLimits:
        """Return the caller limits of the configuration in force."""
        table = self.view.table
        return CallerLimits() if table is None else table.configuration.limits

    async def answer_ready(self, request: HttpRequest, responder: Responder) -> None:
        """Answer the load balancer's readiness probe."""
        if self.dialect.is_readiness_probe(request.method, request.path):
            await responder.respond(200 if self.is_ready() else 503, [])
        else:
            await responder.respond(404, [])

    async def answer_metrics(self, request: HttpRequest, responder: Responder) -> None:
        """Answer with the metrics in the Prometheus text format."""
        if request.path != METRICS_PATH:
            await responder.respond(404, [])
            return
        lossy = len(self.view.lossy_data_centres())
        self.metrics.gauge("cowslipshelf_lossy_links", lossy)
        limited = len(self.view.limits.limited())
        self.metrics.gauge("cowslipshelf_limited_upstreams", limited)
        self.client_memory.report()
        text = self.metrics.prometheus_text()
        await responder.respond(200, [METRICS_TYPE], text.encode())

    def is_ready(self) -> bool:
        """Return whether the gateway can serve requests."""
        return not self.leaving and self.view.table is not None

    async def start(self, early_listener: socket.socket | None) -> None:
        """Listen on every address and start to contact the other gateways."""
        self.mailbox.start()
        self.messenger.attach(self.mailbox, self.deliver)
        settings = self.settings
        if settings.control_address is not None:
            await self.control.start(settings.control_address)
        if settings.ready_address is not None:
            await self.ready.start(settings.ready_address)
        if settings.metrics_address is not None:
            await self.metrics_server.start(settings.metrics_address)
        if settings.callers_address is not None:
            await self.callers.start(settings.callers_address, early_listener)

    async def run(self, watchdog: LoopWatchdog) -> None:
        """Run the periodic tasks until the gateway has shut down."""
        tasks = self.periodic_tasks()
        while not self.ended.is_set():
            watchdog.record_turn()
            now = time.monotonic()
            for task in tasks:
                task.run_when_due(now, self.metrics)
            await asyncio.sleep(TICK_SECONDS)

    def periodic_tasks(self) -> list[PeriodicTask]:
        """List the periodic tasks in the order in which they run."""
        tasks = [
            PeriodicTask(0.0, self.tick),
            PeriodicTask(ALIVE_INTERVAL_SECONDS, self.gossip.tick),
            PeriodicTask(RELOAD_INTERVAL_SECONDS, self.reload),
            PeriodicTask(FULL_SYNC_SECONDS, self.gossip.tell_everything),
            PeriodicTask(FORGET_INTERVAL_SECONDS, self.forget_old),
            PeriodicTask(COLD_REPORT_SECONDS, self.report_cold),
        ]
        if self.upstreams_file is not None:
            tasks.append(PeriodicTask(UPSTREAMS_WRITE_SECONDS, self.write_upstreams))
            tasks.append(PeriodicTask(SUSPECTS_WRITE_SECONDS, self.write_suspects))
        return tasks

    def tick(self) -> None:
        """Advance the replica, pending commands, configuration fetches and outages."""
        self.supervisor.tick()
        self.proposal_client.tell(Tick())
        self.gossip.routes.fetch_when_due()
        self.view.limits.tick(boot_seconds())
        self.view.observer.log_outages()
        self.metrics.gauge(DOUBTFUL, len(self.view.outages.ongoing))

    def forget_old(self) -> None:
        """Drop expired state and close connections that will not be reused."""
        self.view.forget_old()
        self.suspects.forget_old()
        self.pool.close_stale()

    def report_cold(self) -> None:
        """Log which upstreams became cold or warm, and count the cold ones."""
        cold = self.view.cold_upstreams()
        if cold != self.cold_upstreams:
            became_cold = sorted(cold - self.cold_upstreams)
            became_warm = sorted(self.cold_upstreams - cold)
            LOG.info("Cold upstreams changed.", cold=became_cold, warm=became_warm)
            self.metrics.gauge("cowslipshelf_cold_upstreams", len(cold))
        self.cold_upstreams = cold

    def write_upstreams(self) -> None:
        """Write the known upstreams for a restart, if they changed."""
        self.upstreams_file.write_soon(self.view.all_heartbeats())

    def write_suspects(self) -> None:
        """Write the suspect requests for a restart, if they changed."""
        parts = self.suspects.parts
        changes = self.suspects.change_count + parts.change_count
        if self.suspects_file.needs_write(changes):
            self.suspects_file.write_soon(
                self.suspects.all_reports(), parts.full_report(), changes
            )

    def reload(self) -> None:
        """Apply changed settings, as far as they may change at run time."""
        loaded = self.source.load_if_changed()
        if loaded is None:
            return
        if loaded.is_err():
            LOG.error("Settings not reloaded.", error=loaded.err_value)
            return
        settings = loaded.ok_value
        LOG.info("Settings reloaded.", seeds=settings.seeds)
        self.settings = settings
        self.view.use_settings(settings)

    async def shut_down(self) -> None:
        """Drain the running requests, then end.

        Readiness fails first, so that the load balancer removes this gateway;
        connections are accepted until it has done so, and then idle ones are closed.
        """
        self.leaving = True
        began = time.monotonic()
        LOG.info("Leaving.", requests=self.callers.busy)
        self.callers.closing = True
        self.supervisor.leave()
        self.gossip.send_alive()
        await asyncio.sleep(LEAVE_ROTATION_SECONDS)
        self.callers.stop_listening()
        self.callers.close_idle()
        end = began + self.settings.shutdown_seconds - SHUTDOWN_MARGIN_SECONDS
        while self.callers.busy and time.monotonic() < end:
            await asyncio.sleep(DRAIN_CHECK_SECONDS)
            self.callers.close_idle()
        LOG.info("Left.", cut=self.callers.busy)
        self.ended.set()

    def stop(self) -> None:
        """Close everything that is left, without waiting for a disk.

        What must survive the process was synced before it was acted on. Waiting for a
        stalled disk would exceed the shutdown grace period.
        """
        for server in (self.callers, self.control, self.ready, self.metrics_server):
            server.stop_listening()
            server.abort_all()
        self.pool.close_all()
        self.supervisor.stop()
        self.proposal_client.stop(block=False)
        self.mailbox.stop()


async def serve(
    settings: GatewaySettings,
    source: SettingsSource,
    dialect: Dialect,
    on_endless_turn: Callable[[], object],
    early_listener: socket.socket | None = None,
) -> None:
    """Run a gateway until a signal asks it to end and it has shut down.

    `on_endless_turn` is called in another thread if the event loop is stuck.
    """
    gateway = Gateway(settings, source, dialect)
    shutdown: list[asyncio.Task[None]] = []

    def begin_shutdown() -> None:
        if not shutdown:
            shutdown.append(gateway.loop.create_task(gateway.shut_down()))

    for number in (signal.SIGTERM, signal.SIGINT):
        gateway.loop.add_signal_handler(number, begin_shutdown)
    gateway.loop.add_signal_handler(signal.SIGHUP, gateway.reload)
    await gateway.start(early_listener)
    LOG.info(
        "Started.",
        instance=settings.instance,
        name=settings.name,
        replica=settings.holds_replica,
        disk=settings.data_folder is not None,
        first_start=settings.first_start,
        seeds=settings.seeds,
    )
    watchdog = LoopWatchdog(on_endless_turn)
    watchdog.start()
    try:
        await gateway.run(watchdog)
    finally:
        watchdog.stop()
        gateway.stop()
    LOG.info("Ended.")
