"""Run the actor that keeps the directory and the router of one entry."""

import random
import time
from queue import Empty, SimpleQueue
from typing import Any, NamedTuple

from pykka import ActorDeadError, ActorRef

from cowslipshelf_core.configuration import FleetConfiguration
from cowslipshelf_core.directory import (
    AnnounceArrived,
    Directory,
    DirectoryEvent,
    DrainingChanged,
    LoadUpdated,
    MassLossBegan,
    MassLossEnded,
    ObserversChanged,
    SendSuspicion,
    SuspectArrived,
    UpstreamAvailable,
    UpstreamUnavailable,
    WithdrawArrived,
)
from cowslipshelf_core.directory import TickElapsed as DirectoryTick
from cowslipshelf_core.identifiers import (
    AttemptId,
    ConfigurationVersion,
    InstanceId,
    UpstreamId,
)
from cowslipshelf_core.messages import (
    Announce,
    AnnounceAnswer,
    EntryAlive,
    Suspect,
    Withdraw,
)
from cowslipshelf_core.requests import CallerRequest, RouterFeedback
from cowslipshelf_core.routing import (
    ConfigurationApplied,
    PlacementAnswered,
    PlacementAsked,
    PlacementFacts,
    PlacementId,
    PlacementWithdrawn,
    Router,
    RouterEvent,
)
from cowslipshelf_core.routing import TickElapsed as RouterTick
from cowslipshelf_core.upstream import UpstreamDescription
from cowslipshelf_daemon.internal.actor import DaemonActor
from cowslipshelf_daemon.internal.entry.configuration_in_force import (
    ConfigurationInForce,
)
from cowslipshelf_daemon.internal.entry.suspect_broadcaster import SuspectBroadcaster
from cowslipshelf_daemon.internal.messenger import Messenger
from cowslipshelf_daemon.internal.ticker import Tick
from cowslipshelf_fleet.mailboxes import Received
from cowslipshelf_host.logs import part_logger
from cowslipshelf_host.settings import DaemonSettings

LOG = part_logger("routing")

DIRECTORY_TICK_SECONDS = 0.25
REPLY_MARGIN_SECONDS = 1.0


class UpstreamStatus(NamedTuple):
    """Hold what an entry knows of one upstream."""

    description: UpstreamDescription
    mailbox_address: str
    epoch: str
    leaving: bool
    reserved_tokens: int
    running: int
    configuration_version: ConfigurationVersion
    version_since: float
    """Unix time in seconds at which the sidecar first reported that version."""
    heard_at: float


class EntryStatus(NamedTuple):
    """Hold what an entry knows of another entry, from its last `EntryAlive`."""

    data_centre: str
    holds_replica: bool
    configuration_version: ConfigurationVersion
    in_force_since: float
    heard_at: float
    epoch: str = ""


class PlacementRequest(NamedTuple):
    """Ask the routing actor for a placement; the answer is put on `reply`."""

    event: PlacementAsked
    reply: "SimpleQueue[PlacementAnswered]"


class RoutingClient:
    """Give the threads of requests access to the routing actor."""

    def __init__(self, actor: ActorRef, status: "FleetStatus") -> None:
        self.actor = actor
        self.status = status

    def place(
        self,
        request: CallerRequest,
        attempt_id: AttemptId,
        excluded: frozenset[UpstreamId],
        seconds: float,
    ) -> PlacementAnswered | None:
        """Wait for a placement; return None if none came by the deadline."""
        reply: SimpleQueue[PlacementAnswered] = SimpleQueue()
        facts = PlacementFacts(
            request.request_id,
            attempt_id,
            request.customer,
            request.service,
            request.model,
            request.prompt_tokens,
            request.max_output_tokens,
            request.prefix_hash,
            seconds,
        )
        placement_id = PlacementId(attempt_id)
        event = PlacementAsked(placement_id, facts, excluded)
        try:
            self.actor.tell(PlacementRequest(event, reply))
            return reply.get(timeout=max(0.0, seconds) + REPLY_MARGIN_SECONDS)
        except (ActorDeadError, Empty):
            self.withdraw(placement_id)
            return None

    def withdraw(self, placement_id: PlacementId) -> None:
        """Withdraw a request for a placement."""
        try:
            self.actor.tell(PlacementWithdrawn(placement_id))
        except ActorDeadError:
            return

    def report(self, event: RouterFeedback) -> None:
        """Report the result of a placement to the router."""
        try:
            self.actor.tell(event)
        except ActorDeadError:
            return

    def entry_is_alive(self, instance: InstanceId) -> bool:
        """Tell whether an entry was heard within the owner's lease, or is this one."""
        return self.status.entry_is_alive(instance, time.time())

    def attempts_address(self, upstream_id: UpstreamId) -> str:
        """Return the attempts address of an upstream's sidecar; empty if unknown."""
        status = self.status.upstreams.get(upstream_id)
        return status.description.attempts_address if status else ""


class FleetStatus:
    """Hold what this entry knows of the fleet; written by the routing actor alone."""

    def __init__(self, settings: DaemonSettings) -> None:
        self.instance = settings.instance
        self.owner_lease_seconds = settings.timings.owner_lease_seconds
        self.started_at = time.time()
        self.upstreams: dict[UpstreamId, UpstreamStatus] = {}
        self.entries: dict[InstanceId, EntryStatus] = {}

    def entry_is_alive(self, instance: InstanceId, at: float) -> bool:
        """Tell whether an entry was heard within the owner's lease, or is this one."""
        if instance == self.instance:
            return True
        entry = self.entries.get(instance)
        # Right after a start no entry was heard yet, which does not mean it is dead.
        heard_at = self.started_at if entry is None else entry.heard_at
        return at - heard_at < self.owner_lease_seconds

    def was_heard(self, instance: InstanceId, epoch: str, at: float) -> bool:
        """Tell whether an entry with this epoch was heard within the owner's lease."""
        entry = self.entries.get(instance)
        if entry is None or entry.epoch != epoch:
            return False
        return at - entry.heard_at < self.owner_lease_seconds

    def live_entries(self, at: float) -> frozenset[InstanceId]:
        """Return the other entries heard within the owner's lease."""
        return frozenset(
            instance
            for instance, entry in self.entries.items()
            if at - entry.heard_at < self.owner_lease_seconds
        )

    def record_announcement(self, announce: Announce, received: Received) -> None:
        """Record a sidecar's announcement, and since when it has its configuration."""
        at = time.time()
        version = received.configuration_version
        upstream_id = announce.description.upstream_id
        before = self.upstreams.get(upstream_id)
        unchanged = before is not None and before.configuration_version == version
        self.upstreams[upstream_id] = UpstreamStatus(
            announce.description,
            received.sender_address,
            announce.epoch,
            announce.leaving,
            announce.load.reserved_tokens,
            announce.load.running,
            version,
            before.version_since if unchanged else at,
            at,
        )


class RoutingParts(NamedTuple):
    """Hold the dependencies of the routing actor."""

    settings: DaemonSettings
    directory: Directory
    router: Router
    in_force: ConfigurationInForce
    status: FleetStatus
    messenger: Messenger
    broadcaster: SuspectBroadcaster


class RoutingActor(DaemonActor):
    """Place attempts on upstreams; the only owner of directory and router."""

    def __init__(self, parts: RoutingParts) -> None:
        super().__init__()
        self.settings = parts.settings
        self.directory = parts.directory
        self.router = parts.router
        self.in_force = parts.in_force
        self.status = parts.status
        self.messenger = parts.messenger
        self.broadcaster = parts.broadcaster
        self.random = random.Random()
        self.replies: dict[PlacementId, SimpleQueue[PlacementAnswered]] = {}
        self.next_directory_tick = 0.0
        self.next_heartbeat = 0.0

    def on_receive(self, message: Any) -> None:
        """Turn one message into an event for the directory or the router."""
        now = time.monotonic()
        match message:
            case Tick():
                self.tick(now)
            case PlacementRequest(event=event, reply=reply):
                self.replies[event.placement_id] = reply
                self.handle_router_event(event, now)
            case PlacementWithdrawn(placement_id=placement_id):
                self.replies.pop(placement_id, None)
                self.handle_router_event(message, now)
            case Received():
                self.receive(message, now)
            case FleetConfiguration():
                self.apply(message, now)
            case _:
                self.handle_router_event(message, now)

    def tick(self, now: float) -> None:
        """Look at what is due."""
        self.handle_router_event(RouterTick(), now)
        if now < self.next_directory_tick:
            return
        self.next_directory_tick = now + DIRECTORY_TICK_SECONDS
        observers = self.status.live_entries(time.time())
        self.handle_directory_event(ObserversChanged(observers), now)
        self.handle_directory_event(DirectoryTick(), now)
        self.forget_silent_upstreams()
        if now >= self.next_heartbeat:
            self.next_heartbeat = now + self.settings.timings.heartbeat_seconds
            self.send_heartbeat()

    def send_heartbeat(self) -> None:
        """Tell the other entries that this one is alive; resend suspect reports."""
        index = self.in_force.index
        alive = EntryAlive(
            self.settings.data_centre,
            self.settings.entry.data_folder is not None,
            index.configuration.version,
            index.since,
        )
        self.messenger.send_to_other_entries(alive)
        self.broadcaster.rebroadcast()

    def forget_silent_upstreams(self) -> None:
        """Drop upstreams that were silent for `FORGET_AFTER_LEASES` leases."""
        limit = time.time() - self.settings.timings.lease_seconds * FORGET_AFTER_LEASES
        for upstream_id, status in list(self.status.upstreams.items()):
            if status.heard_at < limit:
                del self.status.upstreams[upstream_id]

    def receive(self, received: Received, now: float) -> None:
        """Handle one message from another process."""
        match received.message:
            case Announce() as announce:
                self.status.record_announcement(announce, received)
                self.answer_announcement(announce, received.sender_address)
                event = AnnounceArrived(
                    announce, received.sender, received.sender_address
                )
                self.handle_directory_event(event, now)
            case Withdraw() as withdraw:
                self.handle_directory_event(WithdrawArrived(withdraw), now)
            case Suspect() as suspect:
                self.handle_directory_event(
                    SuspectArrived(received.sender, suspect), now
                )
            case EntryAlive() as alive:
                self.messenger.add_entry(received.sender, received.sender_address)
                self.send_missed_reports(received)
                self.status.entries[received.sender] = EntryStatus(
                    alive.data_centre,
                    alive.holds_replica,
                    alive.configuration_version,
                    alive.in_force_since,
                    time.time(),
                    received.sender_epoch,
                )

    def send_missed_reports(self, received: Received) -> None:
        """Send all suspect reports to an entry that is new or was silent."""
        sender, epoch = received.sender, received.sender_epoch
        if not self.status.was_heard(sender, epoch, time.time()):
            self.broadcaster.send_all_to(received.sender_address)

    def answer_announcement(self, announce: Announce, address: str) -> None:
        """Answer a sidecar, with the list of entries if the sidecar's is outdated."""
        upstream_id = announce.description.upstream_id
        entries = (
            ()
            if announce.entries_digest == self.messenger.entries_digest
            else self.messenger.entries()
        )
        answer = AnnounceAnswer(upstream_id, entries)
        self.messenger.send(address, answer)

    def apply(self, configuration: FleetConfiguration, now: float) -> None:
        """Apply a newer configuration to the directory and the router."""
        self.handle_directory_event(
            DrainingChanged(frozenset(configuration.draining)), now
        )
        self.handle_router_event(ConfigurationApplied(configuration), now)

    def handle_directory_event(self, event: DirectoryEvent, now: float) -> None:
        """Pass an event to the directory and perform its effects."""
        for effect in self.directory.handle(event, now):
            match effect:
                case SendSuspicion(suspect):
                    self.messenger.send_to_other_entries(suspect)
                case MassLossBegan(silent, known):
                    LOG.warning("most upstreams silent", silent=silent, known=known)
                case MassLossEnded(silent, known):
                    LOG.info("upstreams heard again", silent=silent, known=known)
                case UpstreamAvailable(description=description):
                    LOG.info("upstream available", upstream=description.upstream_id)
                    self.handle_router_event(effect, now)
                case UpstreamUnavailable(upstream_id, reason):
                    LOG.info("upstream unavailable", upstream=upstream_id, why=reason)
                    self.handle_router_event(effect, now)
                case LoadUpdated():
                    self.handle_router_event(effect, now)

    def handle_router_event(self, event: RouterEvent, now: float) -> None:
        """Pass an event to the router and deliver its answers."""
        for answered in self.router.handle(event, now, self.random):
            reply = self.replies.pop(answered.placement_id, None)
            if reply is not None:
                reply.put(answered)


FORGET_AFTER_LEASES = 20
