"""Store the orders to upstreams: one open per upstream, with a fencing number."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

from cowslipshelf_core.identifiers import FencingNumber, OrderId, UpstreamId
from cowslipshelf_core.internal.control.commands import CloseOrder, RequestOrder
from cowslipshelf_core.internal.control.limits import (
    MAX_ORDER_SLOTS,
    MAX_REMEMBERED_ORDERS,
    MAX_WAITING_ORDERS,
)
from cowslipshelf_core.internal.control.outcomes import (
    OrderClosed,
    OrderGranted,
    OrderRefused,
)
from cowslipshelf_core.internal.control.plans import OrderKind, PlannedOrder


class WaitingOrder(NamedTuple):
    """Hold an order of a confirmed plan that waits for the open order to end."""

    order_id: OrderId
    kind: OrderKind
    argument: str


class OrderSlot(NamedTuple):
    """Hold the open, waiting and recently ended orders of one upstream."""

    upstream_id: UpstreamId
    fencing: FencingNumber = FencingNumber(0)
    """Number of the newest order; the upstream must refuse any lower one."""
    open_order: OrderGranted | None = None
    waiting: tuple[WaitingOrder, ...] = ()
    ended: tuple[OrderId, ...] = ()
    """Most recent orders that were closed or superseded."""


@dataclass
class OrderTable:
    """Grant one order at a time to each upstream, fenced by its log index.

    The index grows with every order, under any leader. If an isolated control instance
    still sends an old order, its number is lower than that of the order which the
    majority has granted since, and the upstream or its sidecar refuses it.
    """

    slots: dict[UpstreamId, OrderSlot] = field(default_factory=dict)
    dropped_fencing: FencingNumber = FencingNumber(0)
    """Highest number among the idle slots that were evicted."""

    def request(self, command: RequestOrder, index: int) -> OrderGranted | OrderRefused:
        """Open an order, which supersedes the open one."""
        slot = self.slot(command.upstream_id)
        if slot.open_order is not None and slot.open_order.order_id == command.order_id:
            return repeat_answer(slot.open_order, command)
        if command.order_id in slot.ended:
            # A delayed copy of an ended order must not supersede its successor.
            return OrderRefused(command.order_id, "this order has ended")
        if not self.ensure_capacity(command.upstream_id):
            return OrderRefused(command.order_id, "too many upstreams have open orders")
        order = WaitingOrder(command.order_id, command.kind, command.argument)
        return self.open_in_slot(slot, order, index)

    def open_planned(
        self, planned: Iterable[PlannedOrder], plan_id: str, index: int
    ) -> tuple[OrderGranted, ...]:
        """Open or queue the orders of a confirmed plan.

        The number of orders is bounded, as a plan covers announced upstreams only.
        """
        opened: list[OrderGranted] = []
        for number, order in enumerate(planned, start=1):
            order_id = OrderId(f"{plan_id}-order-{number}")
            waiting = WaitingOrder(order_id, order.kind, order.argument)
            slot = self.slot(order.upstream_id)
            if slot.open_order is None:
                self.ensure_capacity(order.upstream_id)
                opened.append(self.open_in_slot(slot, waiting, index))
            else:
                self.store(enqueue(slot, waiting))
        return tuple(opened)

    def close(self, command: CloseOrder, index: int) -> OrderClosed | OrderRefused:
        """End the open order, and open the next waiting one."""
        slot = self.slot(command.upstream_id)
        if command.order_id in slot.ended:
            return OrderClosed(command.order_id, slot.open_order)
        order = slot.open_order
        if order is None or order.order_id != command.order_id:
            return OrderRefused(command.order_id, "this order is not open")
        if order.fencing != command.fencing:
            return OrderRefused(
                command.order_id, f"its fencing number is {order.fencing}"
            )
        slot = end_open_order(slot)
        self.store(slot)
        if not slot.waiting:
            return OrderClosed(command.order_id, None)
        following = slot._replace(waiting=slot.waiting[1:])
        return OrderClosed(
            command.order_id, self.open_in_slot(following, slot.waiting[0], index)
        )

    def current_fencing(self, upstream_id: UpstreamId) -> FencingNumber:
        """Return the number below which no order to the upstream is valid."""
        slot = self.slots.get(upstream_id)
        return self.dropped_fencing if slot is None else slot.fencing

    def open_orders(self) -> tuple[OrderGranted, ...]:
        """Return all open orders."""
        orders = (slot.open_order for slot in self.slots.values())
        return tuple(order for order in orders if order is not None)

    def slot(self, upstream_id: UpstreamId) -> OrderSlot:
        """Return the slot of an upstream, or an empty one if it has none."""
        empty = OrderSlot(upstream_id, self.dropped_fencing)
        return self.slots.get(upstream_id, empty)

    def store(self, slot: OrderSlot) -> None:
        """Store a slot as the most recently used."""
        self.slots.pop(slot.upstream_id, None)
        self.slots[slot.upstream_id] = slot

    def open_in_slot(
        self, slot: OrderSlot, order: WaitingOrder, index: int
    ) -> OrderGranted:
        """Open an order in a slot, ending the one that is open."""
        fencing = FencingNumber(index)
        granted = OrderGranted(
            order.order_id, slot.upstream_id, order.kind, order.argument, fencing
        )
        if slot.open_order is not None:
            slot = end_open_order(slot)
        self.store(slot._replace(open_order=granted, fencing=fencing))
        return granted

    def ensure_capacity(self, upstream_id: UpstreamId) -> bool:
        """Make room for a slot by evicting the least recently used idle one.

        Its number is retained in `dropped_fencing`. Without it, an upstream would be
        told that a number below that of its last order is current.
        """
        if upstream_id in self.slots or len(self.slots) < MAX_ORDER_SLOTS:
            return True
        idle = (
            slot
            for slot in self.slots.values()
            if slot.open_order is None and not slot.waiting
        )
        dropped = next(idle, None)
        if dropped is None:
            return False
        del self.slots[dropped.upstream_id]
        self.dropped_fencing = max(self.dropped_fencing, dropped.fencing)
        return True

    def restore(self, slots: Iterable[OrderSlot]) -> None:
        """Load the slots of a snapshot."""
        self.slots = {slot.upstream_id: slot for slot in slots}


def enqueue(slot: OrderSlot, order: WaitingOrder) -> OrderSlot:
    """Queue an order, dropping a waiting one for the same model and the oldest surplus.

    Only the newest plan determines which version of a model is loaded.
    """
    others = (
        entry
        for entry in slot.waiting
        if model_of(entry.argument) != model_of(order.argument)
    )
    waiting = (*others, order)
    return slot._replace(waiting=waiting[-MAX_WAITING_ORDERS:])


def model_of(argument: str) -> str:
    """Return the model name of `name@version`."""
    return argument.partition("@")[0]


def end_open_order(slot: OrderSlot) -> OrderSlot:
    """End the open order of a slot, and remember its id to recognise resends."""
    remembered = (*slot.ended, slot.open_order.order_id)[-MAX_REMEMBERED_ORDERS:]
    return slot._replace(open_order=None, ended=remembered)


def repeat_answer(
    granted: OrderGranted, command: RequestOrder
) -> OrderGranted | OrderRefused:
    """Repeat the answer to a resend, or refuse another order under the same id."""
    if (granted.kind, granted.argument) == (command.kind, command.argument):
        return granted
    return OrderRefused(command.order_id, "this order id was used for another order")
