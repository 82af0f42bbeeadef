"""Bring open orders to the sidecars of their upstreams, while this entry leads."""

import time
from queue import Empty, SimpleQueue
from typing import Any, NamedTuple

from pykka import ActorDeadError, ActorRef

from cowslipshelf_core.agreement import ReplicaStatus
from cowslipshelf_core.control import ControlState, OrderGranted
from cowslipshelf_core.messages import OrderSent
from cowslipshelf_daemon.internal.actor import DaemonActor
from cowslipshelf_daemon.internal.entry.replica_actor import ControlStateQuery, leads
from cowslipshelf_daemon.internal.entry.routing_actor import FleetStatus
from cowslipshelf_daemon.internal.messenger import Messenger
from cowslipshelf_daemon.internal.ticker import Tick
from cowslipshelf_host.logs import part_logger

LOG = part_logger("orders")

SEND_SECONDS = 0.5
READ_SECONDS = 5.0


class OrderCourierParts(NamedTuple):
    """Be what the courier works with."""

    replica: ActorRef
    status: FleetStatus
    messenger: Messenger


class OrderCourier(DaemonActor):
    """Send every open order again and again until it is closed.

    An order is closed through the log by the sidecar that gave it. Sending it more
    than once is safe: the sidecar gives each fencing number once, and an isolated
    leader that still sends finds its numbers refused as old.
    """

    def __init__(self, parts: OrderCourierParts) -> None:
        super().__init__()
        self.parts = parts
        self.next_sending = 0.0

    def on_receive(self, message: Any) -> None:
        """Send what is open, from time to time."""
        now = time.monotonic()
        if isinstance(message, Tick) and now >= self.next_sending:
            self.next_sending = now + SEND_SECONDS
            for order in self.read_open_orders():
                self.send(order)

    def read_open_orders(self) -> tuple[OrderGranted, ...]:
        """Read the open orders of a leader; nobody else sends any."""
        reply: SimpleQueue[tuple[OrderGranted, ...]] = SimpleQueue()
        try:
            self.parts.replica.tell(ControlStateQuery(open_orders_of_leader, reply))
            return reply.get(timeout=READ_SECONDS)
        except (ActorDeadError, Empty):
            return ()

    def send(self, order: OrderGranted) -> None:
        """Send one order, if its upstream is known."""
        status = self.parts.status.upstreams.get(order.upstream_id)
        if status is None:
            return
        sent = OrderSent(
            order.order_id,
            order.upstream_id,
            order.kind,
            order.argument,
            order.fencing,
        )
        self.parts.messenger.send(status.mailbox_address, sent)


def open_orders_of_leader(
    state: ControlState, replica: ReplicaStatus
) -> tuple[OrderGranted, ...]:
    """Return the open orders, or none where the replica does not lead."""
    return state.open_orders() if leads(replica) else ()
