"""Exchange heartbeats, engine work and suspect requests with the other gateways."""

import asyncio
import time
from collections import Counter
from collections.abc import Iterable

from cowslipshelf_core.dialect import Dialect
from cowslipshelf_core.gateway import (
    AskPermits,
    EvidenceKey,
    FetchWork,
    HeartbeatsSeen,
    LimitLifted,
    LimitsTold,
    PeerChange,
    PermitsBooked,
    PermitsReturned,
    PromptPartsTold,
    Relayed,
    RequestDigest,
    SuspectRequestsTold,
    UpstreamHeartbeat,
    UpstreamObservations,
    WorkChanged,
    WorkGapDetector,
    WorkHeld,
)
from cowslipshelf_core.identifiers import InstanceId, UpstreamId
from cowslipshelf_core.messages import (
    EvacuationState,
    FetchRoutes,
    Message,
    PeerAlive,
    RoutesSnapshot,
)
from cowslipshelf_daemon.internal.gateway.control_client import ControlClient
from cowslipshelf_daemon.internal.gateway.fleet_view import FleetView
from cowslipshelf_daemon.internal.gateway.limits_exchange import LimitsExchange
from cowslipshelf_daemon.internal.gateway.routes_exchange import RoutesExchange
from cowslipshelf_daemon.internal.messenger import Delivered, Messenger
from cowslipshelf_daemon.internal.retransmit_queue import RetransmitQueue
from cowslipshelf_daemon.internal.suspect_requests import SuspectRequests
from cowslipshelf_host.logs import part_logger
from cowslipshelf_host.metrics import Metrics

LOG = part_logger("gossip")

ALIVE_INTERVAL_SECONDS = 0.5
"""Interval of alive messages within the data centre; others get every second one.
Upstream heartbeats are batched for as long: each upstream sends one about every second,
and few report a change."""
PEER_LIST_INTERVAL = 10
"""Every so many alive messages, one lists the known gateways. New gateways get a list
at once; this one merges groups that don't know of each other."""
WORK_BATCH_SECONDS = 0.005
"""Time for which work changes are batched; about the latency of one message."""
OBSERVATIONS_BATCH_SECONDS = 0.02
"""Time for which failures, losses and new slowness of upstreams are batched: a slow
engine shows itself in many streams at once, and what is decided by them changes in
tenths of a second."""
CONFIRMATIONS_BATCH_SECONDS = 0.2
"""Time for which answers that confirm what is known of upstreams are batched. They are
frequent while an upstream is marked, and change little."""
OBSERVATIONS_METRIC = "cowslipshelf_upstream_observations_total"
DROPPED_METRIC = "cowslipshelf_upstream_observations_dropped_total"
URGENT_SENDS = 3
"""Times that a changed upstream is sent: a message may be lost, and an upstream that
leaves must get no new work two seconds later."""
ANSWERS_DELAY_SECONDS = 0.2
"""Longest time for which the answers of prompt parts wait for others' reports."""
MAX_SUSPECTS_PER_SYNC = 200
"""Suspects in each periodic full list to one gateway: some 25 kB."""
EVACUATED_METRIC = "cowslipshelf_evacuated_data_centres"
FULL_SYNC_SECONDS = 4.0
"""Interval between full lists of upstreams, each to one other gateway in turn. A
gateway that starts or was partitioned gets one at once, and the next heartbeat makes up
for other losses."""

Broadcast = HeartbeatsSeen | SuspectRequestsTold | UpstreamObservations | WorkChanged
"""Messages relayed to remote gateways through one in their data centre."""


class Gossip:
    """Hold the updates to be sent, and handle messages from other gateways."""

    def __init__(
        self,
        view: FleetView,
        messenger: Messenger,
        client: ControlClient,
        dialect: Dialect,
        metrics: Metrics,
    ) -> None:
        self.view = view
        self.messenger = messenger
        self.metrics = metrics
        metrics.gauge(EVACUATED_METRIC, 0)
        self.heartbeats: set[UpstreamId] = set()
        """Upstreams whose heartbeats wait to be sent."""
        self.urgent_upstreams: RetransmitQueue[UpstreamId] = RetransmitQueue()
        self.work_gaps = WorkGapDetector()
        self.work_number = 0
        self.ticks = 0
        self.begun: list = []
        self.first_tokens: list = []
        self.ended: list = []
        self.work_due = False
        self.observations_timer: asyncio.TimerHandle | None = None
        instance = view.settings.instance
        self.suspects = SuspectRequests(
            instance, metrics, self.queue_suspect, self.queue_parts
        )
        self.changed_suspects: set[RequestDigest] = set()
        """Suspects with changes that were not sent yet."""
        self.urgent_suspects: RetransmitQueue[RequestDigest] = RetransmitQueue()
        self.parts_due = False
        self.answers_due = False
        self.urgent_parts: RetransmitQueue[EvidenceKey] = RetransmitQueue()
        self.routes = RoutesExchange(view, messenger, client, dialect, self.send_alive)
        self.limits = LimitsExchange(view, messenger, metrics)
        self.sync_turn = 0

    # Sending.

    def send_to_all(self, message: Message) -> None:
        """Send to every other gateway that is alive."""
        self.send_to(self.view.peers.alive(time.monotonic()), message)

    def send(self, peer: InstanceId, message: Message) -> None:
        """Send to one gateway."""
        self.send_to((peer,), message)

    def send_to(self, peers: Iterable[InstanceId], message: Message) -> None:
        """Send to some gateways."""
        settings = self.view.settings
        self.messenger.send_to_all([settings.peer_address(p) for p in peers], message)

    def broadcast(self, message: Broadcast, turn: int) -> None:
        """Send to all gateways, to remote ones through one relay in each data centre.

        Sent to each gateway separately, work and heartbeat messages were nearly all
        traffic between data centres: 74 MB a minute with 25 gateways and 78 engines.
        """
        now = time.monotonic()
        peers = self.view.peers
        self.send_to(peers.local_peers(now), message)
        relayed = Relayed(self.view.settings.instance, message, True)
        self.send_to(peers.relays(now, turn), relayed)

    def tick(self) -> None:
        """Send the periodic messages."""
        self.ticks += 1
        self.send_alive(local_only=self.ticks % 2 == 1)
        self.flush_heartbeats()
        self.resend_suspects()
        self.limits.tick()

    def send_alive(self, local_only: bool = False) -> None:
        """Send an alive message to all known gateways and the seeds."""
        peers = self.view.peers
        message = self.alive_message(self.ticks % PEER_LIST_INTERVAL == 0)
        self.send_to(
            peers.local_targets() if local_only else peers.gossip_targets(), message
        )

    def alive_message(self, with_peers: bool) -> PeerAlive:
        """Return the alive message of this gateway."""
        held = self.view.document
        return self.view.peers.alive_message(
            held.version,
            len(held.body),
            self.work_number,
            with_peers,
            self.view.evacuations.state,
        )

    def forward_heartbeat(self, heartbeat: UpstreamHeartbeat, urgent: bool) -> None:
        """Forward a heartbeat in the next batch; if urgent, at once and repeatedly."""
        if urgent:
            seen = self.view.heartbeat_to_send(heartbeat)
            self.send_to_all(HeartbeatsSeen((seen,)))
            self.urgent_upstreams.add((heartbeat.upstream_id,), URGENT_SENDS - 1)
        else:
            self.heartbeats.add(heartbeat.upstream_id)

    def flush_heartbeats(self) -> None:
        """Send the batched heartbeats, and repeat the urgent ones.

        The relay changes each time: a fixed one that lost messages would hide upstreams
        that report here from a whole data centre.
        """
        collected = self.view.heartbeats_of(self.heartbeats)
        self.heartbeats = set()
        if collected:
            self.broadcast(HeartbeatsSeen(collected), self.ticks)
        news = self.view.heartbeats_of(self.urgent_upstreams.take())
        if news:
            self.send_to_all(HeartbeatsSeen(news))

    def queue_suspect(self, digest: RequestDigest) -> None:
        """Add a changed suspect to the next batch."""
        if not self.changed_suspects:
            loop = asyncio.get_running_loop()
            loop.call_later(WORK_BATCH_SECONDS, self.flush_suspects)
        self.changed_suspects.add(digest)

    def flush_suspects(self) -> None:
        """Send the changed suspects, urgent ones repeatedly.

        A single exit of an upstream is rarely the request's fault, and most changes
        report one.
        """
        quarantine = self.suspects.quarantine
        changed, self.changed_suspects = self.changed_suspects, set()
        urgent = frozenset(filter(quarantine.is_urgent, changed))
        self.urgent_suspects.add(urgent, URGENT_SENDS - 1)
        if urgent:
            self.send_to_all(self.suspects.reports(urgent))
        if changed - urgent:
            self.broadcast(self.suspects.reports(changed - urgent), self.ticks)

    def resend_suspects(self) -> None:
        """Send urgent changes of suspects again."""
        repeated = self.urgent_suspects.take()
        if repeated:
            self.send_to_all(self.suspects.reports(repeated))
        repeated_parts = self.urgent_parts.take()
        if repeated_parts:
            self.send_to_all(self.suspects.parts.report(repeated_parts))

    def queue_parts(self) -> None:
        """Add what changed of prompt parts to the next batch.

        Most gateways have answered the parts of an exit lately, and the report of one
        is enough. Their delays differ, so that the first one spares the others theirs.
        """
        loop = asyncio.get_running_loop()
        quarantine = self.suspects.parts.quarantine
        if quarantine.changed and not self.parts_due:
            self.parts_due = True
            loop.call_later(WORK_BATCH_SECONDS, self.flush_parts)
        if quarantine.unconfirmed_answers and not self.answers_due:
            self.answers_due = True
            delay = self.view.random.uniform(0.0, ANSWERS_DELAY_SECONDS)
            loop.call_later(delay, self.flush_answers)

    def flush_parts(self) -> None:
        """Send what changed of prompt parts, repeatedly."""
        self.parts_due = False
        keys = self.suspects.parts.take_changed()
        self.urgent_parts.add(keys, URGENT_SENDS - 1)
        self.send_to_all(self.suspects.parts.report(keys))

    def flush_answers(self) -> None:
        """Send the answers of prompt parts that no other gateway has reported."""
        self.answers_due = False
        keys = self.suspects.parts.take_unconfirmed_answers()
        if keys:
            self.send_to_all(self.suspects.parts.report(keys))

    def queue_work(self, changed: WorkChanged) -> None:
        """Add a work change to the next batch."""
        self.begun += changed.begun
        self.first_tokens += changed.first_tokens
        self.ended += changed.ended
        if not self.work_due:
            self.work_due = True
            loop = asyncio.get_running_loop()
            loop.call_later(WORK_BATCH_SECONDS, self.flush_work)

    def flush_work(self) -> None:
        """Send the batched work changes, always through the same relays.

        Through another relay, an attempt's end could overtake its beginning.
        """
        self.work_due = False
        self.work_number += 1
        message = WorkChanged(
            tuple(self.begun),
            tuple(self.first_tokens),
            tuple(self.ended),
            self.work_number,
        )
        self.begun, self.first_tokens, self.ended = [], [], []
        self.broadcast(message, 0)

    def queue_observations(self) -> None:
        """Send the observations of upstreams with the next batch, soon if urgent."""
        urgent = self.view.observer.shared_health.urgent
        delay = OBSERVATIONS_BATCH_SECONDS if urgent else CONFIRMATIONS_BATCH_SECONDS
        loop = asyncio.get_running_loop()
        due_at, timer = loop.time() + delay, self.observations_timer
        if timer is not None:
            if timer.when() <= due_at:
                return
            timer.cancel()
        self.observations_timer = loop.call_at(due_at, self.flush_observations)

    def flush_observations(self) -> None:
        """Send the collected observations of upstreams.

        The relays change, as for heartbeats: the order of observations matters little.
        """
        self.observations_timer = None
        shared = self.view.observer.shared_health
        if shared.dropped:
            self.metrics.count(DROPPED_METRIC, shared.dropped)
        message = shared.take(time.monotonic())
        self.count_observations("sent", message)
        self.broadcast(message, self.ticks)

    def count_observations(self, fate: str, message: UpstreamObservations) -> None:
        """Count observations of upstreams by what became of them."""
        outcomes = Counter(each.outcome for each in message.observations)
        for outcome, amount in outcomes.items():
            self.metrics.count(
                OBSERVATIONS_METRIC, amount, fate=fate, outcome=str(outcome)
            )

    def receive_observations(
        self, origin: InstanceId, message: UpstreamObservations
    ) -> None:
        """Record what another gateway observed of upstreams."""
        fate = self.view.observer.record_observations(origin, message)
        self.count_observations(str(fate), message)

    def tell_everything(self) -> None:
        """Send all upstreams, limits and the worst suspects to one peer, in turn."""
        peers = self.view.peers.alive(time.monotonic())
        if peers:
            self.sync_turn += 1
            peer = peers[self.sync_turn % len(peers)]
            self.send_upstreams(peer)
            self.limits.tell_everything(peer)
            self.send_suspects(
                peer, self.suspects.most_suspect_reports(MAX_SUSPECTS_PER_SYNC)
            )
            self.send_parts(peer, self.suspects.parts.recent_report())

    def send_upstreams(self, peer: InstanceId) -> None:
        """Send all upstreams to one gateway."""
        self.send(peer, HeartbeatsSeen(self.view.all_heartbeats()))

    def send_full_state(self, peer: InstanceId) -> None:
        """Send all upstreams, limits, engine work and suspects to one gateway."""
        self.send_upstreams(peer)
        self.limits.tell_newcomer(peer)
        self.send_work_snapshot(peer)
        self.send_suspects(peer, self.suspects.all_reports())
        self.send_parts(peer, self.suspects.parts.full_report())

    def send_suspects(self, peer: InstanceId, message: SuspectRequestsTold) -> None:
        """Send suspects to one gateway, if there are any."""
        if message.suspects:
            self.send(peer, message)

    def send_parts(self, peer: InstanceId, message: PromptPartsTold) -> None:
        """Send evidence on prompt parts to one gateway, if there is any."""
        if message.exits or message.parts:
            self.send(peer, message)

    def send_work_snapshot(self, peer: InstanceId) -> None:
        """Send this gateway's work on engines to one gateway."""
        own, now = self.view.settings.instance, time.monotonic()
        self.send(peer, self.view.engines.snapshot_of(own, now, self.work_number))

    # Receiving.

    def receive(self, delivered: Delivered) -> None:
        """Handle a message from another gateway, or from this one's replica."""
        match delivered.message:
            case PeerAlive() as alive:
                self.record_alive(delivered, alive)
            case Relayed(origin=origin, message=message) as relayed:
                self.handle_broadcast(origin, message)
                if relayed.pass_on:
                    self.relay(delivered.sender, relayed)
            case (
                HeartbeatsSeen()
                | WorkChanged()
                | SuspectRequestsTold()
                | UpstreamObservations()
            ) as message:
                self.handle_broadcast(delivered.sender, message)
            case WorkHeld(number=number) as message:
                if self.work_gaps.record_snapshot(delivered.sender, number):
                    now = time.monotonic()
                    self.view.engines.replace(delivered.sender, message, now)
            case PromptPartsTold() as told:
                self.suspects.parts.merge_report(delivered.sender, told)
            case FetchWork():
                self.send_work_snapshot(delivered.sender)
            case FetchRoutes() as query:
                self.routes.answer(delivered.sender_address, query)
            case EvacuationState() as reported:
                self.apply_evacuations(delivered.sender, reported)
            case (
                LimitsTold()
                | AskPermits()
                | PermitsBooked()
                | PermitsReturned()
                | LimitLifted()
            ) as message:
                self.limits.receive(delivered.sender, message)
            case RoutesSnapshot() as snapshot:
                self.routes.receive_snapshot(delivered.sender, snapshot)

    def handle_broadcast(self, origin: InstanceId, message: Broadcast) -> None:
        """Handle a message that a gateway sends to all others."""
        match message:
            case SuspectRequestsTold():
                self.suspects.merge_reports(origin, message)
            case HeartbeatsSeen():
                self.view.record_heartbeats(message)
            case UpstreamObservations():
                self.receive_observations(origin, message)
            case WorkChanged(number=number):
                self.work_gaps.record_change(origin, number)
                self.view.record_work(origin, message)

    def apply_evacuations(self, source: InstanceId, reported: EvacuationState) -> None:
        """Put newer evacuations in force, and announce them at once."""
        if not self.view.apply_evacuations(source, reported):
            return
        self.metrics.gauge(EVACUATED_METRIC, len(reported.data_centres))
        self.send_alive()

    def relay(self, sender: InstanceId, relayed: Relayed) -> None:
        """Relay a message to the gateways of this data centre."""
        onward = Relayed(relayed.origin, relayed.message, False)
        local_peers = self.view.peers.local_peers(time.monotonic())
        known = (sender, relayed.origin)
        self.send_to([peer for peer in local_peers if peer not in known], onward)

    def record_alive(self, delivered: Delivered, alive: PeerAlive) -> None:
        """Record that a gateway is alive; fetch its configuration if newer."""
        now = time.monotonic()
        sender = delivered.sender
        # Before its configuration, since a gateway serves from the first one on.
        self.apply_evacuations(
            sender, EvacuationState(alive.evacuation_revision, alive.evacuated)
        )
        news = self.view.peers.record_alive(sender, alive, now)
        if news is PeerChange.RESTARTED:
            self.view.engines.forget_owner(sender, now)
            self.work_gaps.forget(sender)
            self.routes.fetch.restarted(sender, now)
        if news is not PeerChange.NONE:
            LOG.info("Gateway heard.", peer=sender, news=news.name, epoch=alive.epoch)
            self.messenger.add_entry(sender, self.view.settings.peer_address(sender))
            # A gateway that has just started can't serve without the configuration.
            self.send(sender, self.alive_message(True))
            self.send_full_state(sender)
        if self.work_gaps.has_gap(sender, alive.work_number):
            LOG.info("Word of work was lost.", peer=sender, told=alive.work_number)
            self.send(sender, FetchWork())
        if alive.routes_version > self.view.document.version:
            self.routes.fetch_newer()
