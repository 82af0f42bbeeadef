"""Exchange the limits of upstreams, and the permits for them, with other gateways."""

import time
from collections.abc import Collection, Iterable

from cowslipshelf_core.gateway import (
    LimitChange,
    LimitMessage,
    LimitsTold,
    PermitsBooked,
)
from cowslipshelf_core.identifiers import InstanceId, UpstreamId
from cowslipshelf_daemon.internal.gateway.boot_time import boot_seconds
from cowslipshelf_daemon.internal.gateway.fleet_view import FleetView
from cowslipshelf_daemon.internal.messenger import Messenger
from cowslipshelf_daemon.internal.retransmit_queue import RetransmitQueue
from cowslipshelf_host.logs import part_logger
from cowslipshelf_host.metrics import Metrics

LOG = part_logger("limits")

CHANGE_SENDS = 3
"""Times that a changed limit is sent: a message may be lost."""
CHANGES_METRIC = "cowslipshelf_limit_changes_total"


class LimitsExchange:
    """Send and receive the messages about limits; runs on the event loop."""

    def __init__(self, view: FleetView, messenger: Messenger, metrics: Metrics) -> None:
        self.view = view
        self.messenger = messenger
        self.metrics = metrics
        self.changed: RetransmitQueue[UpstreamId] = RetransmitQueue()
        view.limits.send = self.send
        view.limits.on_changed = self.record_change

    def send(self, peer: InstanceId, message: LimitMessage) -> None:
        """Send to one gateway, or deliver to this one."""
        address = self.view.settings.peer_address(peer)
        self.messenger.send_to_all((address,), message)

    def receive(self, sender: InstanceId, message: LimitMessage) -> None:
        """Handle a message about limits, and wake the requests that wait for it."""
        self.view.limits.receive(sender, message, boot_seconds())
        if isinstance(message, PermitsBooked) and self.view.permit_waiters:
            self.view.notify_waiters()

    def record_change(self, change: LimitChange) -> None:
        """Log a changed limit; send one that was learned here to all gateways."""
        before, state = change.before, change.state
        LOG.info(
            "Limit changed.",
            upstream=state.upstream_id,
            limit=state.requests_per_second,
            before=before and before.requests_per_second,
            revision=state.revision,
            source=change.source,
            issuer=self.view.limits.issuer_of(state.upstream_id),
            share=round(self.view.limits.share(state.upstream_id), 3),
        )
        self.metrics.count(CHANGES_METRIC)
        self.view.notify_waiters()
        if change.is_new:
            self.tell(self.view.peers.alive(time.monotonic()), [state.upstream_id])
            self.changed.add((state.upstream_id,), CHANGE_SENDS - 1)

    def tick(self) -> None:
        """Update which gateways are alive, and send the latest changes again."""
        alive = self.view.peers.alive(time.monotonic())
        self.view.limits.gateways.update(alive, boot_seconds())
        self.tell(alive, self.changed.take())

    def tell_everything(self, peer: InstanceId) -> None:
        """Send all known limits to one gateway, ended ones too."""
        self.tell((peer,), self.view.limits.states)

    def tell_newcomer(self, peer: InstanceId) -> None:
        """Send all known limits and gateways to a gateway that started or returned."""
        limits = self.view.limits
        heard = limits.gateways.heard(boot_seconds())
        self.send(peer, LimitsTold(tuple(limits.states.values()), heard))

    def tell(
        self, peers: Collection[InstanceId], upstream_ids: Iterable[UpstreamId]
    ) -> None:
        """Send the limits of some upstreams to some gateways, if there are any."""
        states = self.view.limits.states
        told = tuple(states[each] for each in upstream_ids if each in states)
        if told and peers:
            addresses = [self.view.settings.peer_address(peer) for peer in peers]
            self.messenger.send_to_all(addresses, LimitsTold(told))
