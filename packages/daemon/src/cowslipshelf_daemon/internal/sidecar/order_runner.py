"""Run one order at the engine, within the weight store's rate, and close it."""

import threading
import time
import uuid
from typing import NamedTuple

from pykka import ActorDeadError, ActorRef

from cowslipshelf_core.control import (
    AskLoadGrant,
    CloseOrder,
    LoadGranted,
    LoadGrantRefused,
    OrderClosed,
    OrderRefused,
    ReturnLoadGrant,
)
from cowslipshelf_core.identifiers import GrantId, InstanceId
from cowslipshelf_core.messages import OrderSent
from cowslipshelf_core.sidecar import OrderFinished
from cowslipshelf_daemon.internal.control_state_client import ControlStateClient
from cowslipshelf_host.logs import part_logger
from cowslipshelf_upstreams import (
    EngineClient,
    EngineOrder,
    UpstreamError,
    UpstreamLostError,
    UpstreamRefusedError,
)

LOG = part_logger("orders")

COMMAND_TIMEOUT_SECONDS = 5.0
RETRY_PAUSE_SECONDS = 0.5
ORDER_TIMEOUT_SECONDS = 600.0
LOAD_GRANT_TOKENS = 1
LOADING_ORDERS = frozenset({"load_model", "load_adapter", "load_version"})
"""Kinds of orders that load weights and need a load grant."""
MAX_CLOSE_ATTEMPTS = 20


class OrderContext(NamedTuple):
    """Hold what all orders of one sidecar share."""

    instance: InstanceId
    engine: EngineClient
    control: ControlStateClient
    sidecar: ActorRef


class OrderResult(NamedTuple):
    """Hold the result of an order at the engine."""

    succeeded: bool
    detail: str


class OrderRunner:
    """Run one order on a thread of its own."""

    def __init__(self, order: OrderSent, context: OrderContext) -> None:
        self.order = order
        self.context = context

    def start(self) -> None:
        """Start the order's thread."""
        name = f"order-{self.order.order_id}"
        threading.Thread(target=self.run, name=name, daemon=True).start()

    def run(self) -> None:
        """Run the order, report it to the actor, and close it in the control state."""
        result = self.execute()
        LOG.info("order ended", order=self.order.order_id, ok=result.succeeded)
        try:
            finished = OrderFinished(self.order.fencing, result.succeeded)
            self.context.sidecar.tell(finished)
        except ActorDeadError:
            return
        self.close(result)

    def execute(self) -> OrderResult:
        """Send the order to the engine, with a load grant if it loads weights."""
        earlier = self.earlier_result()
        if earlier is not None:
            return earlier
        if self.order.kind not in LOADING_ORDERS:
            return self.send_order()
        grant_id = GrantId(uuid.uuid4().hex)
        if not self.wait_for_grant(grant_id):
            return OrderResult(False, "no grant to load weights in time")
        try:
            return self.send_order()
        finally:
            returned = ReturnLoadGrant(grant_id, self.context.instance)
            self.context.control.commit(returned, COMMAND_TIMEOUT_SECONDS)

    def earlier_result(self) -> OrderResult | None:
        """Return the result of an order that the engine accepted before, if any.

        If a sidecar is killed after it sent an order, the order stays open, and the
        sidecar's next start gets it again. Sent twice, it would load the weights
        twice, the second time possibly while callers are served, so the engine is
        asked. None if the engine has not accepted the order or gives no answer.
        """
        limit = time.monotonic() + ORDER_TIMEOUT_SECONDS
        while time.monotonic() < limit:
            try:
                engine_orders = self.context.engine.orders()
            except UpstreamError as error:
                LOG.warning("Engine tells nothing of its orders.", error=str(error))
                return None
            if any(
                run.order_id == self.order.order_id for run in engine_orders.orders_run
            ):
                return OrderResult(True, "carried out before; not given again")
            if engine_orders.newest_fencing != self.order.fencing:
                return None
            time.sleep(RETRY_PAUSE_SECONDS)
        return OrderResult(False, "taken by the engine and not carried out in time")

    def wait_for_grant(self, grant_id: GrantId) -> bool:
        """Request a load grant until it is given; the whole fleet shares the rate."""
        request = AskLoadGrant(
            grant_id,
            self.context.instance,
            self.order.upstream_id,
            LOAD_GRANT_TOKENS,
            ORDER_TIMEOUT_SECONDS,
        )
        limit = time.monotonic() + ORDER_TIMEOUT_SECONDS
        while time.monotonic() < limit:
            match self.context.control.commit(request, COMMAND_TIMEOUT_SECONDS):
                case LoadGranted():
                    return True
                case LoadGrantRefused(retry_after_seconds=seconds):
                    time.sleep(min(seconds, RETRY_PAUSE_SECONDS))
                case _:
                    time.sleep(RETRY_PAUSE_SECONDS)
        return False

    def send_order(self) -> OrderResult:
        """Send the order to the engine, once."""
        order = EngineOrder(
            self.order.order_id,
            self.order.kind,
            self.order.argument,
            self.order.fencing,
        )
        try:
            result = self.context.engine.send_order(order)
        except (UpstreamLostError, UpstreamRefusedError) as error:
            return OrderResult(False, str(error))
        detail = "" if result.accepted else "the engine knows a newer order"
        return OrderResult(result.accepted, detail)

    def close(self, result: OrderResult) -> None:
        """Close the order in the control state; retry while there is no quorum."""
        closing = CloseOrder(
            self.order.order_id,
            self.order.upstream_id,
            self.order.fencing,
            result.succeeded,
            result.detail,
        )
        for _ in range(MAX_CLOSE_ATTEMPTS):
            outcome = self.context.control.commit(closing, COMMAND_TIMEOUT_SECONDS)
            if isinstance(outcome, OrderClosed | OrderRefused):
                return
            time.sleep(RETRY_PAUSE_SECONDS)
