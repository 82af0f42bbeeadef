"""Pass orders to the upstream one at a time, in the order of fencing numbers."""

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
    """Check fencing numbers for an upstream that does not check them itself.

    A control instance that was isolated may send an order long after a newer one was
    run; an engine that does not check would go back to the older state. The gate keeps
    nothing on disk, so after a start it knows no number, and passes no order until a
    quorum has confirmed the newest one.
    """

    config: SidecarConfig
    newest: FencingNumber = NO_FENCING
    last_run: FencingNumber = NO_FENCING
    confirmed: bool = False
    running: FencedOrder | None = None
    pending: FencedOrder | None = None
    """The newest order that waits for the quorum's confirmation."""
    requested_at: float = float("-inf")

    def submit(
        self, order: FencedOrder, leaving: bool, now: float
    ) -> list[SidecarEffect]:
        """Run an order, hold it until the quorum confirms, or refuse it."""
        reason = self._refusal_reason(order, leaving)
        self.newest = max(self.newest, order.fencing)
        if reason is not None:
            return [RefuseOrder(order, reason, self.newest)]
        if self.confirmed:
            return [self._run(order)]
        replaced = self.pending
        self.pending = order
        if replaced is None or replaced.fencing == order.fencing:
            return self.request_fencing_if_due(now)
        return [self._refuse_old(replaced), *self.request_fencing_if_due(now)]

    def _refusal_reason(
        self, order: FencedOrder, leaving: bool
    ) -> OrderRefusalReason | None:
        if leaving:
            return OrderRefusalReason.LEAVING
        if order.fencing < self.newest:
            return OrderRefusalReason.OLD_NUMBER
        if order.fencing <= self.last_run:
            return OrderRefusalReason.REPEATED
        if self.running is not None:
            return OrderRefusalReason.IN_PROGRESS
        return None

    def confirm(self, number: FencingNumber) -> list[SidecarEffect]:
        """Accept the newest number from the quorum; run or refuse the held order."""
        self.newest = max(self.newest, number)
        self.confirmed = True
        order = self.pending
        self.pending = None
        if order is None:
            return []
        if order.fencing < self.newest:
            return [self._refuse_old(order)]
        return [self._run(order)]

    def finish(self, number: FencingNumber) -> None:
        """Mark the running order as finished."""
        if self.running is not None and self.running.fencing == number:
            self.running = None

    def request_fencing_if_due(self, now: float) -> list[SidecarEffect]:
        """Request the quorum's confirmation if an order waits for it."""
        repeat_due = now - self.requested_at >= self.config.fencing_retry_seconds
        if self.pending is None or not repeat_due:
            return []
        self.requested_at = now
        return [RequestFencing(self.config.description.upstream_id)]

    def refuse_pending(self) -> list[SidecarEffect]:
        """Refuse the held order, because the upstream leaves."""
        order = self.pending
        self.pending = None
        if order is None:
            return []
        return [RefuseOrder(order, OrderRefusalReason.LEAVING, self.newest)]

    def _run(self, order: FencedOrder) -> RunOrder:
        self.running = order
        self.last_run = order.fencing
        return RunOrder(order)

    def _refuse_old(self, order: FencedOrder) -> RefuseOrder:
        return RefuseOrder(order, OrderRefusalReason.OLD_NUMBER, self.newest)
