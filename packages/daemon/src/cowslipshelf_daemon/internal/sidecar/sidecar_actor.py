"""Run the sidecar's state machines and perform their effects."""

import time
from collections.abc import Callable
from queue import SimpleQueue
from typing import Any, NamedTuple

from cowslipshelf_core.announcing import (
    EntryChooser,
    EntryChooserConfig,
    EntryEndpoint,
)
from cowslipshelf_core.configuration_view import (
    ApplyConfiguration,
    AskForConfiguration,
    BecameServable,
    ConfigurationConflict,
    ConfigurationView,
    ConfigurationViewEvent,
    SnapshotArrived,
    VersionSeen,
)
from cowslipshelf_core.configuration_view import TickElapsed as ViewTickElapsed
from cowslipshelf_core.errors import Refusal
from cowslipshelf_core.identifiers import AttemptId, ConfigurationVersion, Epoch
from cowslipshelf_core.messages import (
    Announce,
    AnnounceAnswer,
    AttemptReserved,
    ConfigurationSnapshot,
    FencingAnswered,
    FencingAsked,
    MayHaveRun,
    NeverRan,
    OrderSent,
    Withdraw,
)
from cowslipshelf_core.prompt_parts import KvReference
from cowslipshelf_core.sidecar import (
    AnswerRevoke,
    CancelArrived,
    CancelAtUpstream,
    ConfigurationApplied,
    DropFrames,
    EndAttempt,
    FencingConfirmed,
    FirstTokenArrived,
    HandOverArrived,
    InventoryRead,
    LeavingFinished,
    LeavingStarted,
    OrderArrived,
    OrderFinished,
    OwnerSeen,
    PartsArrived,
    RefuseAttempt,
    RefuseOrder,
    ReleaseAtUpstream,
    ReportReserved,
    RequestFencing,
    RunOrder,
    SidecarEffect,
    SidecarEvent,
    SidecarState,
    StartAttempt,
    TickElapsed,
    UpstreamAccepted,
    UpstreamFinished,
    UpstreamUnreachable,
)
from cowslipshelf_core.upstream import HandOver, UpstreamDescription
from cowslipshelf_daemon.internal.actor import DaemonActor
from cowslipshelf_daemon.internal.sidecar.attempt_runner import (
    AttemptContext,
    AttemptRunner,
)
from cowslipshelf_daemon.internal.sidecar.attempts_handler import (
    HandOverRequest,
    RevokeRequest,
)
from cowslipshelf_daemon.internal.sidecar.engine_worker import EngineWorker
from cowslipshelf_daemon.internal.sidecar.frame_buffers import FrameBufferTable
from cowslipshelf_daemon.internal.sidecar.order_runner import (
    OrderContext,
    OrderRunner,
)
from cowslipshelf_daemon.internal.sidecar.part_runner import PartRunner
from cowslipshelf_daemon.internal.ticker import Tick
from cowslipshelf_fleet.mailboxes import Mailbox, Received
from cowslipshelf_host.logs import part_logger
from cowslipshelf_host.settings import DaemonSettings

LOG = part_logger("sidecar")

STATE_TICK_SECONDS = 0.25


class LeaveRequest(NamedTuple):
    """Ask the sidecar to refuse new work and leave once the running work has ended."""

    on_left: Callable[[], None]


class ConnectionsAttached(NamedTuple):
    """Hand over the connections, which can only be made after the actor started."""

    mailbox: Mailbox
    attempt_context: AttemptContext
    engine_worker: EngineWorker | None
    """None for a plain service, which has no inventory."""
    order_context: OrderContext | None
    """None for a plain service, which takes no orders."""


class SidecarParts(NamedTuple):
    """Hold the dependencies of the sidecar's actor."""

    settings: DaemonSettings
    description: UpstreamDescription
    epoch: Epoch
    state: SidecarState
    view: ConfigurationView
    buffers: FrameBufferTable


def make_chooser(settings: DaemonSettings) -> EntryChooser:
    """Make the chooser of entries to announce to, from the entries in the settings."""
    config = EntryChooserConfig(
        settings.sidecar.upstream.upstream_id,
        settings.sidecar.announce_entries,
        answer_timeout_seconds=settings.timings.lease_seconds,
    )
    entries = [
        EntryEndpoint(entry.instance, entry.mailbox_address)
        for entry in settings.entries
    ]
    return EntryChooser.from_config(config, entries)


class SidecarActor(DaemonActor):
    """Own the state of one upstream's attempts and orders."""

    def __init__(self, parts: SidecarParts) -> None:
        super().__init__()
        self.settings = parts.settings
        self.description = parts.description
        self.epoch = parts.epoch
        self.state = parts.state
        self.view = parts.view
        self.buffers = parts.buffers
        self.mailbox: Mailbox | None = None
        self.attempt_context: AttemptContext | None = None
        self.engine_worker: EngineWorker | None = None
        self.order_context: OrderContext | None = None
        self.chooser = make_chooser(parts.settings)
        self.runners: dict[AttemptId, AttemptRunner] = {}
        self.leave: LeaveRequest | None = None
        self.next_announcement = 0.0
        self.next_state_tick = 0.0

    def on_receive(self, message: Any) -> None:
        """Turn one message into an event for a state machine."""
        now = time.monotonic()
        match message:
            case Tick():
                self.tick(now)
            case ConnectionsAttached():
                self.mailbox = message.mailbox
                self.attempt_context = message.attempt_context
                self.engine_worker = message.engine_worker
                self.order_context = message.order_context
            case HandOverRequest(hand_over=hand_over, reply=reply):
                self.handle_hand_over(hand_over, reply, now)
            case RevokeRequest():
                self.handle_revoke(message, now)
            case Received():
                self.receive(message, now)
            case LeaveRequest():
                self.leave = message
                LOG.info("leaving", upstream=self.description.upstream_id)
                self.handle_event(LeavingStarted(), now)
                self.announce(now)
            case UpstreamFinished(attempt_id=attempt_id):
                self.runners.pop(attempt_id, None)
                self.handle_event(message, now)
            case UpstreamUnreachable() | InventoryRead():
                self.handle_reachability(message, now)
            case (
                UpstreamAccepted()
                | FirstTokenArrived()
                | CancelArrived()
                | PartsArrived()
                | OrderFinished()
            ):
                self.handle_event(message, now)

    def handle_event(self, event: SidecarEvent, now: float) -> None:
        """Pass an event to the sidecar's state machine and perform the effects."""
        for effect in self.state.handle(event, now):
            self.perform(effect)

    def handle_reachability(
        self, event: UpstreamUnreachable | InventoryRead, now: float
    ) -> None:
        """Handle a sign that the upstream is down or up; announce a change at once."""
        took_work = self.state.takes_work
        self.handle_event(event, now)
        if self.state.takes_work != took_work:
            LOG.info("reachability changed", takes_work=self.state.takes_work)
            self.announce(now)

    def handle_hand_over(
        self, hand_over: HandOver, reply: "SimpleQueue[Any]", now: float
    ) -> None:
        """Accept a hand-over and open its frame buffer, or refuse it."""
        self.handle_event(OwnerSeen(hand_over.owner), now)
        effects = self.state.handle(HandOverArrived(hand_over), now)
        refusals = [
            effect
            for effect in effects
            if isinstance(effect, RefuseAttempt)
            and effect.attempt_id == hand_over.attempt_id
        ]
        if not refusals:
            # The buffer must exist before the attempt writes to it.
            self.buffers.open(hand_over.attempt_id)
        for effect in effects:
            if effect not in refusals:
                self.perform(effect)
        if refusals:
            reply.put(refusals[0].refused)
        else:
            reply.put(self.buffers.find(hand_over.attempt_id))

    def handle_revoke(self, request: RevokeRequest, now: float) -> None:
        """Handle a revocation and answer it."""
        answer: NeverRan | MayHaveRun = MayHaveRun(
            request.event.attempt_id, known=False
        )
        for effect in self.state.handle(request.event, now):
            match effect:
                case AnswerRevoke():
                    answer = effect.answer
                case _:
                    self.perform(effect)
        request.reply.put(answer)

    def perform(self, effect: SidecarEffect) -> None:
        """Perform one effect."""
        match effect:
            case StartAttempt(hand_over, parts):
                self.start_attempt(hand_over, parts)
            case ReportReserved(attempt_id):
                self.buffers.find(attempt_id).append(AttemptReserved())
            case EndAttempt(attempt_id, refusal):
                self.end_attempt(attempt_id, refusal)
            case CancelAtUpstream(attempt_id) | ReleaseAtUpstream(attempt_id):
                self.cancel_at_upstream(attempt_id)
            case DropFrames(attempt_id):
                self.buffers.drop(attempt_id)
            case LeavingFinished():
                self.finish_leaving()
            case RunOrder(order):
                LOG.info("order given", order=order.order_id, fencing=order.fencing)
                OrderRunner(order, self.order_context).start()
            case RefuseOrder(order, reason, newest):
                LOG.info("order refused", order=order.order_id, why=reason, new=newest)
            case RequestFencing():
                self.request_fencing()

    def start_attempt(
        self, hand_over: HandOver, parts: tuple[KvReference, ...]
    ) -> None:
        """Start the thread that runs an attempt at the upstream."""
        buffer = self.buffers.find(hand_over.attempt_id)
        runner_class = PartRunner if hand_over.is_part else AttemptRunner
        runner = runner_class(hand_over, buffer, self.attempt_context, parts)
        self.runners[hand_over.attempt_id] = runner
        runner.start()

    def end_attempt(self, attempt_id: AttemptId, refusal: Refusal) -> None:
        """End the frames of an attempt that was given up, at whatever stage."""
        LOG.info(
            "Attempt given up.",
            attempt=attempt_id,
            code=refusal.code,
            reason=refusal.reason,
            step=refusal.step,
        )
        buffer = self.buffers.find(attempt_id)
        if buffer is not None:
            buffer.end(refusal)

    def cancel_at_upstream(self, attempt_id: AttemptId) -> None:
        """Cancel an attempt here and at the upstream."""
        runner = self.runners.get(attempt_id)
        if runner is not None:
            runner.cancel()
        if self.engine_worker is not None:
            self.engine_worker.cancel(attempt_id)

    def request_fencing(self) -> None:
        """Ask all replicas for the newest fencing number of the upstream.

        Only the leader answers, once a quorum has confirmed the number.
        """
        query = FencingAsked(self.description.upstream_id, self.epoch)
        for entry in self.settings.entries:
            if entry.replica:
                self.mailbox.send(entry.mailbox_address, query)

    def finish_leaving(self) -> None:
        """Withdraw the upstream at the entries and let the process end."""
        withdrawal = Withdraw(self.description.upstream_id, self.epoch)
        for entry in self.chooser.targets(time.monotonic()):
            self.mailbox.send(entry.mailbox_address, withdrawal)
        LOG.info("left", upstream=self.description.upstream_id)
        if self.leave is not None:
            self.leave.on_left()

    def receive(self, received: Received, now: float) -> None:
        """Handle a message from another process."""
        self.handle_event(OwnerSeen(received.sender), now)
        seen = VersionSeen(received.sender_address, received.configuration_version)
        self.handle_configuration_event(seen, now)
        match received.message:
            case AnnounceAnswer(entries=entries):
                self.chooser.add(EntryEndpoint(*entry) for entry in entries)
                self.chooser.record_answer(received.sender_address)
            case ConfigurationSnapshot() as snapshot:
                arrived = SnapshotArrived(snapshot, received.sender_address)
                self.handle_configuration_event(arrived, now)
            case OrderSent() as order if self.order_context is not None:
                self.handle_event(OrderArrived(order), now)
            case FencingAnswered(query_id=query_id, fencing=fencing):
                # An answer to a query of an earlier start may be older than the last
                # order that the earlier start ran.
                if query_id == self.epoch:
                    self.handle_event(FencingConfirmed(fencing), now)

    def handle_configuration_event(
        self, event: ConfigurationViewEvent, now: float
    ) -> None:
        """Pass an event to the configuration view and perform the effects."""
        for effect in self.view.handle(event, now):
            match effect:
                case AskForConfiguration(address, query):
                    self.mailbox.send(address, query)
                case ApplyConfiguration(configuration):
                    LOG.info("configuration in force", version=configuration.version)
                    self.handle_event(ConfigurationApplied(configuration), now)
                case BecameServable():
                    LOG.info("servable", version=self.view.in_force.version)
                    # Before the first accepted configuration none is applied. The
                    # empty one is confirmed like any other, and entries that have a
                    # newer one show its version in their messages.
                    self.handle_event(ConfigurationApplied(self.view.in_force), now)
                    self.announce(now)
                case ConfigurationConflict(version, address):
                    LOG.error(
                        "two contents of one version", version=version, peer=address
                    )

    def tick(self, now: float) -> None:
        """Do the periodic work that is due."""
        if now >= self.next_state_tick:
            self.next_state_tick = now + STATE_TICK_SECONDS
            self.handle_event(TickElapsed(), now)
            self.handle_configuration_event(ViewTickElapsed(), now)
            if self.engine_worker is not None:
                self.engine_worker.poll_inventory(now)
        if self.view.servable and now >= self.next_announcement:
            self.announce(now)

    def announce(self, now: float) -> None:
        """Renew the upstream's lease at the entries, with its current load."""
        if not self.view.servable:
            return
        timings = self.settings.timings
        self.next_announcement = now + timings.announce_seconds
        announcement = Announce(
            self.description,
            self.epoch,
            timings.lease_seconds,
            self.state.load_report(),
            leaving=not self.state.takes_work,
            entries_digest=self.chooser.entries_digest,
        )
        for entry in self.chooser.targets(now):
            self.mailbox.send(entry.mailbox_address, announcement)

    def configuration_version(self) -> ConfigurationVersion:
        """Return the version in force here; other threads call this."""
        return self.view.in_force.version
