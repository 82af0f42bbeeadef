"""Tell the other gateways what this one learns, and take in what they tell."""

import asyncio
import time

from cowslipshelf_core.dialect import Dialect
from cowslipshelf_core.identifiers import InstanceId
from cowslipshelf_core.messages import (
    FetchRoutes,
    Message,
    PeerAlive,
    RoutesDocument,
    RoutesSnapshot,
)
from cowslipshelf_core.routed import (
    HeartbeatSeen,
    HeartbeatsSeen,
    PeerNews,
    WorkChanged,
    WorkHeld,
)
from cowslipshelf_daemon.internal.gateway.control_client import ControlClient
from cowslipshelf_daemon.internal.gateway.fleet_view import FleetView
from cowslipshelf_daemon.internal.post import Delivered, Post
from cowslipshelf_host.logs import part_logger

LOG = part_logger("gossip")

ALIVE_SECONDS = 0.5
"""Pause between two words that this gateway is there."""
BATCH_SECONDS = 0.25
"""Time for which heartbeats of upstreams are collected: they come each second or so
from every upstream, and none is news."""
WORK_BATCH_SECONDS = 0.005
"""Time for which changes of work are collected; as long as a message travels."""
URGENT_REPEATS = 3
"""Times that news of an upstream is told: a message may be lost, and an upstream that
leaves must get no new work two seconds later."""
FULL_SECONDS = 1.0
"""Pause between two whole lists of upstreams, each to one other gateway by turns."""
FETCH_SECONDS = 0.3
"""Pause before the same newer configuration is asked for again."""


class Gossip:
    """Own what waits to be told."""

    def __init__(
        self, view: FleetView, post: Post, client: ControlClient, dialect: Dialect
    ) -> None:
        self.view = view
        self.post = post
        self.client = client
        self.dialect = dialect
        self.heartbeats: list[HeartbeatSeen] = []
        self.urgent: list[tuple[HeartbeatSeen, int]] = []
        self.begun: list = []
        self.first_tokens: list = []
        self.ended: list = []
        self.work_due = False
        self.heartbeats_due = False
        self.fetched_at = 0.0
        self.turn = 0

    # Telling.

    def tell_all(self, message: Message) -> None:
        """Send to every other gateway that was heard of lately."""
        for peer in self.view.peers.alive(time.monotonic()):
            self.send(peer, message)

    def send(self, peer: InstanceId, message: Message) -> None:
        """Send to one gateway."""
        self.post.send(self.view.settings.peer_address(peer), message)

    def tell_alive(self) -> None:
        """Say that this gateway is there, to all that it knows and to the seeds."""
        for peer in self.view.peers.to_tell():
            self.tell_alive_to(peer)

    def tell_alive_to(self, peer: InstanceId) -> None:
        """Say to one gateway that this one is there."""
        message = self.view.peers.own_message(self.view.document.version)
        self.send(peer, message)

    def tell_heartbeat(self, seen: HeartbeatSeen, urgent: bool) -> None:
        """Pass a heartbeat on, soon, or at once and more than once."""
        if urgent:
            self.tell_all(HeartbeatsSeen((seen,)))
            self.urgent.append((seen, URGENT_REPEATS - 1))
            return
        self.heartbeats.append(seen)
        if not self.heartbeats_due:
            self.heartbeats_due = True
            loop = asyncio.get_running_loop()
            loop.call_later(BATCH_SECONDS, self.flush_heartbeats)

    def flush_heartbeats(self) -> None:
        """Tell the heartbeats that were collected, and repeat the news."""
        self.heartbeats_due = False
        seen = [*self.heartbeats, *(each for each, _ in self.urgent)]
        self.heartbeats = []
        self.urgent = [(each, left - 1) for each, left in self.urgent if left > 1]
        if seen:
            self.tell_all(HeartbeatsSeen(tuple(seen)))

    def tell_work(self, changed: WorkChanged) -> None:
        """Collect a change of work for a moment, then tell it."""
        self.begun += changed.begun
        self.first_tokens += changed.first_tokens
        self.ended += changed.ended
        if not self.work_due:
            self.work_due = True
            loop = asyncio.get_running_loop()
            loop.call_later(WORK_BATCH_SECONDS, self.flush_work)

    def flush_work(self) -> None:
        """Tell the changes that were collected."""
        self.work_due = False
        message = WorkChanged(
            tuple(self.begun), tuple(self.first_tokens), tuple(self.ended)
        )
        self.begun, self.first_tokens, self.ended = [], [], []
        self.tell_all(message)

    def tell_everything(self) -> None:
        """Tell one other gateway, by turns, all that it may have missed."""
        peers = self.view.peers.alive(time.monotonic())
        if peers:
            self.turn += 1
            self.tell_everything_to(peers[self.turn % len(peers)])

    def tell_everything_to(self, peer: InstanceId) -> None:
        """Tell one gateway all upstreams, and what this one has on engines."""
        now = time.monotonic()
        self.send(peer, HeartbeatsSeen(self.view.all_heartbeats()))
        own = self.view.settings.instance
        self.send(peer, self.view.board.held_by(own, now))

    # Taking in.

    def receive(self, delivered: Delivered) -> None:
        """Take in a message from another gateway, or from this one's replica."""
        match delivered.message:
            case PeerAlive() as alive:
                self.heard(delivered, alive)
            case HeartbeatsSeen() as message:
                self.view.take_heartbeats(message)
            case WorkChanged() as message:
                self.view.take_work(delivered.sender, message)
            case WorkHeld() as message:
                now = time.monotonic()
                self.view.board.replace(delivered.sender, message, now)
            case FetchRoutes(have_version=have):
                if self.view.document.version > have:
                    snapshot = RoutesSnapshot(self.view.document, False)
                    self.post.send(delivered.sender_address, snapshot)
            case RoutesSnapshot(question=question) as snapshot:
                if question:
                    self.client.take_answer(snapshot)
                self.take_routes(snapshot.document)

    def heard(self, delivered: Delivered, alive: PeerAlive) -> None:
        """Note a gateway, and ask it for a newer configuration."""
        now = time.monotonic()
        sender = delivered.sender
        news = self.view.peers.heard(sender, alive, now)
        if news is PeerNews.RESTARTED:
            self.view.board.forget_owner(sender)
        if news is not PeerNews.NONE:
            LOG.info("Gateway heard.", peer=sender, news=news.name, epoch=alive.epoch)
            self.post.learn(sender, self.view.settings.peer_address(sender))
            # One that has just started waits for the configuration to serve at all.
            self.tell_alive_to(sender)
            self.tell_everything_to(sender)
        newer = alive.routes_version > self.view.document.version
        if newer and now - self.fetched_at > FETCH_SECONDS:
            self.fetched_at = now
            self.send(sender, FetchRoutes(self.view.document.version))

    def take_routes(self, document: RoutesDocument) -> None:
        """Put a newer configuration in force, and tell that it is there."""
        if document.version <= self.view.document.version:
            return
        read = self.dialect.read_configuration(document.body)
        if read.is_err():
            # It was checked before it was accepted; only a gateway of another
            # version can disagree, and it keeps what it has.
            LOG.error("Configuration not understood.", version=document.version)
            return
        if self.view.put_in_force(document, read.ok_value.configuration):
            self.tell_alive()
