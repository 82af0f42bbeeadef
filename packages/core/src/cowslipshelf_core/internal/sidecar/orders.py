"""Let orders to the upstream through one at a time, and never backwards."""

from dataclasses import dataclass

from cowslipshelf_core.identifiers import FencingNumber
from cowslipshelf_core.internal.sidecar.config import SidecarConfig
from cowslipshelf_core.internal.sidecar.effects import (
    OrderRefusalReason,
    RefuseOrder,
    RequestFencing,
    RunOrder,
    SidecarEffect,
)
from cowslipshelf_core.internal.sidecar.events import FencedOrder

NO_FENCING = FencingNumber(0)


@dataclass
class OrderGate:
    """Protect an upstream that does not look at fencing numbers itself.

    A control instance that was isolated may send an order long after a newer one was
    carried out; an engine that does not check would go back to the older state. This
    gate checks in its place. It has no disk, so after a start it knows no number, and
    gives nothing until a quorum has told the newest one.
    """

    config: SidecarConfig
    newest: FencingNumber = NO_FENCING
    given: FencingNumber = NO_FENCING
    confirmed: bool = False
    running: FencedOrder | None = None
    pending: FencedOrder | None = None
    """The newest order that waits for the quorum's word."""
    asked_at: float = float("-inf")

    def take(
        self, order: FencedOrder, leaving: bool, now: float
    ) -> list[SidecarEffect]:
        """Give an order, keep it for the quorum's word, or refuse it."""
        reason = self._refusal_reason(order, leaving)
        self.newest = max(self.newest, order.fencing)
        if reason is not None:
            return [RefuseOrder(order, reason, self.newest)]
        if self.confirmed:
            return [self._give(order)]
        replaced = self.pending
        self.pending = order
        if replaced is None or replaced.fencing == order.fencing:
            return self.ask_if_due(now)
        return [self._refuse_old(replaced), *self.ask_if_due(now)]

    def _refusal_reason(
        self, order: FencedOrder, leaving: bool
    ) -> OrderRefusalReason | None:
        if leaving:
            return OrderRefusalReason.LEAVING
        if order.fencing < self.newest:
            return OrderRefusalReason.OLD_NUMBER
        if order.fencing <= self.given:
            return OrderRefusalReason.REPEATED
        if self.running is not None:
            return OrderRefusalReason.IN_PROGRESS
        return None

    def confirm(self, number: FencingNumber) -> list[SidecarEffect]:
        """Take the quorum's word on the newest number."""
        self.newest = max(self.newest, number)
        self.confirmed = True
        order = self.pending
        self.pending = None
        if order is None:
            return []
        if order.fencing < self.newest:
            return [self._refuse_old(order)]
        return [self._give(order)]

    def finish(self, number: FencingNumber) -> None:
        """Make room for the next order."""
        if self.running is not None and self.running.fencing == number:
            self.running = None

    def ask_if_due(self, now: float) -> list[SidecarEffect]:
        """Ask for the quorum's word while an order waits for it."""
        rested = now - self.asked_at >= self.config.fencing_retry_seconds
        if self.pending is None or not rested:
            return []
        self.asked_at = now
        return [RequestFencing(self.config.description.upstream_id)]

    def refuse_pending(self) -> list[SidecarEffect]:
        """Refuse what waits, because the upstream leaves."""
        order = self.pending
        self.pending = None
        if order is None:
            return []
        return [RefuseOrder(order, OrderRefusalReason.LEAVING, self.newest)]

    def _give(self, order: FencedOrder) -> RunOrder:
        self.running = order
        self.given = order.fencing
        return RunOrder(order)

    def _refuse_old(self, order: FencedOrder) -> RefuseOrder:
        return RefuseOrder(order, OrderRefusalReason.OLD_NUMBER, self.newest)
