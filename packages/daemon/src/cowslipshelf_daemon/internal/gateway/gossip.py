"""Tell the other gateways what this one learns, and take in what they tell."""

import asyncio
import time
from collections.abc import Iterable

from cowslipshelf_core.dialect import Dialect
from cowslipshelf_core.gateway import (
    FetchWork,
    HeartbeatSeen,
    HeartbeatsSeen,
    PeerChange,
    Relayed,
    RequestDigest,
    SuspectRequestsTold,
    UpstreamHeartbeat,
    WorkChanged,
    WorkGapDetector,
    WorkHeld,
)
from cowslipshelf_core.identifiers import InstanceId, UpstreamId
from cowslipshelf_core.messages import (
    FetchRoutes,
    Message,
    PeerAlive,
    RoutesSnapshot,
)
from cowslipshelf_daemon.internal.gateway.control_client import ControlClient
from cowslipshelf_daemon.internal.gateway.fleet_view import FleetView
from cowslipshelf_daemon.internal.gateway.routes_exchange import RoutesExchange
from cowslipshelf_daemon.internal.messenger import Delivered, Messenger
from cowslipshelf_daemon.internal.retransmit_queue import RetransmitQueue
from cowslipshelf_daemon.internal.suspect_requests import SuspectRequests
from cowslipshelf_host.logs import part_logger
from cowslipshelf_host.metrics import Metrics

LOG = part_logger("gossip")

ALIVE_INTERVAL_SECONDS = 0.5
"""Pause between two words that this gateway is there, in its own data centre; others
get every second one. Heartbeats of upstreams are collected for as long: they come each
second or so from every upstream, and few are news."""
PEER_LIST_INTERVAL = 10
"""Words of which one lists the other gateways. Who is new gets a list at once; this
one joins groups that never heard of each other."""
WORK_BATCH_SECONDS = 0.005
"""Time for which changes of work are collected; as long as a message travels."""
URGENT_SENDS = 3
"""Times that news of an upstream is told: a message may be lost, and an upstream that
leaves must get no new work two seconds later."""
MAX_SUSPECTS_PER_SYNC = 200
"""Suspects that one gateway is told by turns, whatever it knows: some 25 kB."""
FULL_SYNC_SECONDS = 4.0
"""Pause between two whole lists of upstreams, each to one other gateway by turns. A
gateway that starts or was cut off gets one at once, and what was lost otherwise is
told again by the next heartbeat."""

Broadcast = HeartbeatsSeen | SuspectRequestsTold | WorkChanged
"""What is told to far gateways by way of one in their data centre."""


class Gossip:
    """Own what waits to be told."""

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
        self.heartbeats: set[UpstreamId] = set()
        """Upstreams that were heard and are to be told of."""
        self.urgent_upstreams: RetransmitQueue[UpstreamId] = RetransmitQueue()
        self.work_gaps = WorkGapDetector()
        self.work_number = 0
        self.ticks = 0
        self.begun: list = []
        self.first_tokens: list = []
        self.ended: list = []
        self.work_due = False
        instance = view.settings.instance
        self.suspects = SuspectRequests(instance, metrics, self.queue_suspect)
        self.changed_suspects: set[RequestDigest] = set()
        """Suspects of whom there is news that was not told yet."""
        self.urgent_suspects: RetransmitQueue[RequestDigest] = RetransmitQueue()
        self.routes = RoutesExchange(view, messenger, client, dialect, self.send_alive)
        self.sync_turn = 0

    # Telling.

    def send_to_all(self, message: Message) -> None:
        """Send to every other gateway that was heard of lately."""
        self.send_to(self.view.peers.alive(time.monotonic()), message)

    def send(self, peer: InstanceId, message: Message) -> None:
        """Send to one gateway."""
        self.send_to((peer,), message)

    def send_to(self, peers: Iterable[InstanceId], message: Message) -> None:
        """Send to some gateways."""
        settings = self.view.settings
        self.messenger.send_to_all([settings.peer_address(p) for p in peers], message)

    def broadcast(self, message: Broadcast, turn: int) -> None:
        """Send to every other gateway, to far ones by way of one in each data centre.

        Told to each of them, messages about work and heartbeats were nearly all bytes
        between data centres: 74 MB a minute with 25 gateways before 78 engines.
        """
        now = time.monotonic()
        peers = self.view.peers
        self.send_to(peers.local_peers(now), message)
        relayed = Relayed(self.view.settings.instance, message, True)
        self.send_to(peers.relays(now, turn), relayed)

    def tick(self) -> None:
        """Tell what is told at regular times."""
        self.ticks += 1
        self.send_alive(local_only=self.ticks % 2 == 1)
        self.flush_heartbeats()
        self.resend_suspects()

    def send_alive(self, local_only: bool = False) -> None:
        """Say that this gateway is there, to all that it knows and to the seeds."""
        peers = self.view.peers
        message = self.alive_message(self.ticks % PEER_LIST_INTERVAL == 0)
        self.send_to(
            peers.local_targets() if local_only else peers.gossip_targets(), message
        )

    def alive_message(self, with_peers: bool) -> PeerAlive:
        """Return a word that this gateway is there."""
        held = self.view.document
        return self.view.peers.alive_message(
            held.version, len(held.body), self.work_number, with_peers
        )

    def forward_heartbeat(self, heartbeat: UpstreamHeartbeat, urgent: bool) -> None:
        """Pass a heartbeat on, soon, or at once and more than once."""
        if urgent:
            seen = HeartbeatSeen.from_heartbeat(heartbeat, 0.0)
            self.send_to_all(HeartbeatsSeen((seen,)))
            self.urgent_upstreams.add((heartbeat.upstream_id,), URGENT_SENDS - 1)
        else:
            self.heartbeats.add(heartbeat.upstream_id)

    def flush_heartbeats(self) -> None:
        """Tell the heartbeats that were collected, and repeat the news.

        The way changes each time: one that lost them would hide the upstreams that
        are heard here from a whole data centre.
        """
        collected = self.view.heartbeats_of(self.heartbeats)
        self.heartbeats = set()
        if collected:
            self.broadcast(HeartbeatsSeen(collected), self.ticks)
        news = self.view.heartbeats_of(self.urgent_upstreams.take())
        if news:
            self.send_to_all(HeartbeatsSeen(news))

    def queue_suspect(self, digest: RequestDigest) -> None:
        """Collect news of a suspect for a moment, then tell it."""
        if not self.changed_suspects:
            loop = asyncio.get_running_loop()
            loop.call_later(WORK_BATCH_SECONDS, self.flush_suspects)
        self.changed_suspects.add(digest)

    def flush_suspects(self) -> None:
        """Tell the news of suspects, and what is urgent more than once.

        A single end is rarely the request's fault, and most news is of one.
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
        """Tell urgent news of suspects again."""
        repeated = self.urgent_suspects.take()
        if repeated:
            self.send_to_all(self.suspects.reports(repeated))

    def queue_work(self, changed: WorkChanged) -> None:
        """Collect a change of work for a moment, then tell it."""
        self.begun += changed.begun
        self.first_tokens += changed.first_tokens
        self.ended += changed.ended
        if not self.work_due:
            self.work_due = True
            loop = asyncio.get_running_loop()
            loop.call_later(WORK_BATCH_SECONDS, self.flush_work)

    def flush_work(self) -> None:
        """Tell the changes that were collected, always the same way.

        By another one the end of an attempt could come before its beginning.
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

    def tell_everything(self) -> None:
        """Tell one other gateway, by turns, all upstreams."""
        peers = self.view.peers.alive(time.monotonic())
        if peers:
            self.sync_turn += 1
            peer = peers[self.sync_turn % len(peers)]
            self.send_upstreams(peer)
            self.send_suspects(
                peer, self.suspects.most_suspect_reports(MAX_SUSPECTS_PER_SYNC)
            )

    def send_upstreams(self, peer: InstanceId) -> None:
        """Tell one gateway all upstreams."""
        self.send(peer, HeartbeatsSeen(self.view.all_heartbeats()))

    def send_full_state(self, peer: InstanceId) -> None:
        """Tell one gateway all upstreams, and what this one has on engines."""
        self.send_upstreams(peer)
        self.send_work_snapshot(peer)
        self.send_suspects(peer, self.suspects.all_reports())

    def send_suspects(self, peer: InstanceId, message: SuspectRequestsTold) -> None:
        """Tell one gateway of suspects, if there are any."""
        if message.suspects:
            self.send(peer, message)

    def send_work_snapshot(self, peer: InstanceId) -> None:
        """Tell one gateway all that this one has on engines."""
        own, now = self.view.settings.instance, time.monotonic()
        self.send(peer, self.view.engines.snapshot_of(own, now, self.work_number))

    # Taking in.

    def receive(self, delivered: Delivered) -> None:
        """Take in a message from another gateway, or from this one's replica."""
        match delivered.message:
            case PeerAlive() as alive:
                self.record_alive(delivered, alive)
            case Relayed(origin=origin, message=message) as relayed:
                self.handle_broadcast(origin, message)
                if relayed.pass_on:
                    self.relay(delivered.sender, relayed)
            case HeartbeatsSeen() | WorkChanged() | SuspectRequestsTold() as message:
                self.handle_broadcast(delivered.sender, message)
            case WorkHeld(number=number) as message:
                if self.work_gaps.record_snapshot(delivered.sender, number):
                    now = time.monotonic()
                    self.view.engines.replace(delivered.sender, message, now)
            case FetchWork():
                self.send_work_snapshot(delivered.sender)
            case FetchRoutes() as question:
                self.routes.answer(delivered.sender_address, question)
            case RoutesSnapshot() as snapshot:
                self.routes.receive_snapshot(delivered.sender, snapshot)

    def handle_broadcast(self, origin: InstanceId, message: Broadcast) -> None:
        """Take in what a gateway tells all others."""
        match message:
            case SuspectRequestsTold():
                self.suspects.merge_reports(origin, message)
            case HeartbeatsSeen():
                self.view.record_heartbeats(message)
            case WorkChanged(number=number):
                self.work_gaps.record_change(origin, number)
                self.view.record_work(origin, message)

    def relay(self, sender: InstanceId, relayed: Relayed) -> None:
        """Pass a message on in this data centre."""
        onward = Relayed(relayed.origin, relayed.message, False)
        neighbours = self.view.peers.local_peers(time.monotonic())
        known = (sender, relayed.origin)
        self.send_to([peer for peer in neighbours if peer not in known], onward)

    def record_alive(self, delivered: Delivered, alive: PeerAlive) -> None:
        """Note a gateway, and ask it for a newer configuration."""
        now = time.monotonic()
        sender = delivered.sender
        news = self.view.peers.record_alive(sender, alive, now)
        if news is PeerChange.RESTARTED:
            self.view.engines.forget_owner(sender, now)
            self.work_gaps.forget(sender)
            self.routes.fetch.restarted(sender, now)
        if news is not PeerChange.NONE:
            LOG.info("Gateway heard.", peer=sender, news=news.name, epoch=alive.epoch)
            self.messenger.add_entry(sender, self.view.settings.peer_address(sender))
            # One that has just started waits for the configuration to serve at all.
            self.send(sender, self.alive_message(True))
            self.send_full_state(sender)
        if self.work_gaps.has_gap(sender, alive.work_number):
            LOG.info("Word of work was lost.", peer=sender, told=alive.work_number)
            self.send(sender, FetchWork())
        if alive.routes_version > self.view.document.version:
            self.routes.fetch_newer()
