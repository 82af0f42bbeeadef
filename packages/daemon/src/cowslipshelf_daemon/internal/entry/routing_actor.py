"""Own the directory of upstreams and the router of one entry."""

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
    """Tell what an entry knows of one upstream."""

    description: UpstreamDescription
    mailbox_address: str
    epoch: str
    leaving: bool
    reserved_tokens: int
    running: int
    configuration_version: ConfigurationVersion
    version_since: float
    """Seconds since 1970 at which the sidecar first showed that version here."""
    heard_at: float


class EntryStatus(NamedTuple):
    """Tell what an entry knows of another one, from its last word."""

    data_centre: str
    holds_replica: bool
    configuration_version: ConfigurationVersion
    in_force_since: float
    heard_at: float
    epoch: str = ""


class PlacementRequest(NamedTuple):
    """Ask for a placement, with the place for its one answer."""

    asked: PlacementAsked
    reply: "SimpleQueue[PlacementAnswered]"


class RoutingClient:
    """Offer the routing actor's decisions to the threads that carry requests."""

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
        """Wait for a placement, until the deadline; None where none came."""
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
        asked = PlacementAsked(placement_id, facts, excluded)
        try:
            self.actor.tell(PlacementRequest(asked, reply))
            return reply.get(timeout=max(0.0, seconds) + REPLY_MARGIN_SECONDS)
        except (ActorDeadError, Empty):
            self.withdraw(placement_id)
            return None

    def withdraw(self, placement_id: PlacementId) -> None:
        """Say that nobody waits for a placement any more."""
        try:
            self.actor.tell(PlacementWithdrawn(placement_id))
        except ActorDeadError:
            return

    def report(self, event: RouterFeedback) -> None:
        """Tell the router what came of its choice."""
        try:
            self.actor.tell(event)
        except ActorDeadError:
            return

    def entry_is_alive(self, instance: InstanceId) -> bool:
        """Tell whether an entry instance was heard lately, or is this one."""
        return self.status.entry_is_alive(instance, time.time())

    def attempts_address(self, upstream_id: UpstreamId) -> str:
        """Return where an upstream's sidecar takes attempts; empty if unknown."""
        status = self.status.upstreams.get(upstream_id)
        return status.description.attempts_address if status else ""


class FleetStatus:
    """Hold what this entry knows of the fleet; the routing actor alone writes it."""

    def __init__(self, settings: DaemonSettings) -> None:
        self.instance = settings.instance
        self.gone_seconds = settings.timings.owner_lease_seconds
        self.started_at = time.time()
        self.upstreams: dict[UpstreamId, UpstreamStatus] = {}
        self.entries: dict[InstanceId, EntryStatus] = {}

    def entry_is_alive(self, instance: InstanceId, at: float) -> bool:
        """Tell whether an entry was heard within the owner's lease."""
        if instance == self.instance:
            return True
        entry = self.entries.get(instance)
        # Just after a start nobody was heard yet: that is no sign of anyone's death.
        heard_at = self.started_at if entry is None else entry.heard_at
        return at - heard_at < self.gone_seconds

    def was_heard(self, instance: InstanceId, epoch: str, at: float) -> bool:
        """Tell whether this start of an entry was heard within the owner's lease."""
        entry = self.entries.get(instance)
        if entry is None or entry.epoch != epoch:
            return False
        return at - entry.heard_at < self.gone_seconds

    def living_entries(self, at: float) -> frozenset[InstanceId]:
        """Return the other entries heard lately."""
        return frozenset(
            instance
            for instance, entry in self.entries.items()
            if at - entry.heard_at < self.gone_seconds
        )

    def note_announcement(self, announce: Announce, received: Received) -> None:
        """Keep what a sidecar said, and since when it has its configuration."""
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
    """Be what the routing actor works with."""

    settings: DaemonSettings
    directory: Directory
    router: Router
    in_force: ConfigurationInForce
    status: FleetStatus
    messenger: Messenger
    news: SuspectBroadcaster


class RoutingActor(DaemonActor):
    """Decide where attempts go; the only owner of that state."""

    def __init__(self, parts: RoutingParts) -> None:
        super().__init__()
        self.settings = parts.settings
        self.directory = parts.directory
        self.router = parts.router
        self.in_force = parts.in_force
        self.status = parts.status
        self.messenger = parts.messenger
        self.news = parts.news
        self.random = random.Random()
        self.replies: dict[PlacementId, SimpleQueue[PlacementAnswered]] = {}
        self.next_directory_tick = 0.0
        self.next_word = 0.0

    def on_receive(self, message: Any) -> None:
        """Turn one message into an event for a decider."""
        now = time.monotonic()
        match message:
            case Tick():
                self.tick(now)
            case PlacementRequest(asked=asked, reply=reply):
                self.replies[asked.placement_id] = reply
                self.route(asked, now)
            case PlacementWithdrawn(placement_id=placement_id):
                self.replies.pop(placement_id, None)
                self.route(message, now)
            case Received():
                self.receive(message, now)
            case FleetConfiguration():
                self.apply(message, now)
            case _:
                self.route(message, now)

    def tick(self, now: float) -> None:
        """Look at what is due."""
        self.route(RouterTick(), now)
        if now < self.next_directory_tick:
            return
        self.next_directory_tick = now + DIRECTORY_TICK_SECONDS
        observers = self.status.living_entries(time.time())
        self.direct(ObserversChanged(observers), now)
        self.direct(DirectoryTick(), now)
        self.forget_silent_upstreams()
        if now >= self.next_word:
            self.next_word = now + self.settings.timings.heartbeat_seconds
            self.tell_others()

    def tell_others(self) -> None:
        """Tell the other entries that this one is there."""
        index = self.in_force.index
        alive = EntryAlive(
            self.settings.data_centre,
            self.settings.entry.data_folder is not None,
            index.configuration.version,
            index.since,
        )
        self.messenger.send_to_other_entries(alive)
        self.news.repeat()

    def forget_silent_upstreams(self) -> None:
        """Drop from the status what has not been heard for many leases."""
        limit = time.time() - self.settings.timings.lease_seconds * FORGET_AFTER_LEASES
        for upstream_id, status in list(self.status.upstreams.items()):
            if status.heard_at < limit:
                del self.status.upstreams[upstream_id]

    def receive(self, received: Received, now: float) -> None:
        """Take one message from another process."""
        match received.message:
            case Announce() as announce:
                self.status.note_announcement(announce, received)
                self.answer_announcement(announce, received.sender_address)
                event = AnnounceArrived(
                    announce, received.sender, received.sender_address
                )
                self.direct(event, now)
            case Withdraw() as withdraw:
                self.direct(WithdrawArrived(withdraw), now)
            case Suspect() as suspect:
                self.direct(SuspectArrived(received.sender, suspect), now)
            case EntryAlive() as alive:
                self.messenger.add_entry(received.sender, received.sender_address)
                self.greet(received)
                self.status.entries[received.sender] = EntryStatus(
                    alive.data_centre,
                    alive.holds_replica,
                    alive.configuration_version,
                    alive.in_force_since,
                    time.time(),
                    received.sender_epoch,
                )

    def greet(self, received: Received) -> None:
        """Tell an entry that was not heard for a while what it may have missed."""
        sender, epoch = received.sender, received.sender_epoch
        if not self.status.was_heard(sender, epoch, time.time()):
            self.news.tell_all_to(received.sender_address)

    def answer_announcement(self, announce: Announce, address: str) -> None:
        """Tell a sidecar which entries there are."""
        upstream_id = announce.description.upstream_id
        news = (
            ()
            if announce.entries_digest == self.messenger.entries_digest
            else self.messenger.entries()
        )
        answer = AnnounceAnswer(upstream_id, news)
        self.messenger.send(address, answer)

    def apply(self, configuration: FleetConfiguration, now: float) -> None:
        """Take over a newer configuration."""
        self.direct(DrainingChanged(frozenset(configuration.draining)), now)
        self.route(ConfigurationApplied(configuration), now)

    def direct(self, event: DirectoryEvent, now: float) -> None:
        """Give the directory an event and pass on what it says."""
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
                    self.route(effect, now)
                case UpstreamUnavailable(upstream_id, reason):
                    LOG.info("upstream unavailable", upstream=upstream_id, why=reason)
                    self.route(effect, now)
                case LoadUpdated():
                    self.route(effect, now)

    def route(self, event: RouterEvent, now: float) -> None:
        """Give the router an event and deliver its answers."""
        for answered in self.router.handle(event, now, self.random):
            reply = self.replies.pop(answered.placement_id, None)
            if reply is not None:
                reply.put(answered)


FORGET_AFTER_LEASES = 20
