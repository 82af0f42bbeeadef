"""Send open orders to the sidecars of their upstreams while this entry leads."""

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

RESEND_SECONDS = 0.5
READ_SECONDS = 5.0


class OrderCourierParts(NamedTuple):
    """Hold the dependencies of the courier."""

    replica: ActorRef
    status: FleetStatus
    messenger: Messenger


class OrderCourier(DaemonActor):
    """Send every open order repeatedly until it is closed.

    The sidecar that ran an order closes it through the replicated log. Sending an order
    more than once is safe: the sidecar runs each fencing number once, and an isolated
    leader that still sends has its numbers refused as old.
    """

    def __init__(self, parts: OrderCourierParts) -> None:
        super().__init__()
        self.parts = parts
        self.next_send = 0.0

    def on_receive(self, message: Any) -> None:
        """Send all open orders every `RESEND_SECONDS`."""
        now = time.monotonic()
        if isinstance(message, Tick) and now >= self.next_send:
            self.next_send = now + RESEND_SECONDS
            for order in self.read_open_orders():
                self.send(order)

    def read_open_orders(self) -> tuple[OrderGranted, ...]:
        """Read the open orders if this replica leads; only the leader sends any."""
        reply: SimpleQueue[tuple[OrderGranted, ...]] = SimpleQueue()
        try:
            self.parts.replica.tell(ControlStateQuery(open_orders_of_leader, reply))
            return reply.get(timeout=READ_SECONDS)
        except (ActorDeadError, Empty):
            return ()

    def send(self, order: OrderGranted) -> None:
        """Send one order if its upstream is known."""
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
    """Return the open orders, or none if the replica does not lead."""
    return state.open_orders() if leads(replica) else ()
