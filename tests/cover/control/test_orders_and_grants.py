"""Check fencing numbers and load grants, over arbitrary histories."""

from hypothesis import strategies as st
from hypothesis.stateful import invariant, rule

from common.control import MACHINE_SETTINGS, ReplicasMachine
from cowslipshelf_core.configuration import Model, Service, WeightStoreLimits
from cowslipshelf_core.control import (
    AskLoadGrant,
    Change,
    CloseOrder,
    ConfirmPlan,
    LoadGranted,
    OrderClosed,
    OrderGranted,
    OrderRefused,
    RecordPlan,
    RequestOrder,
    ReturnLoadGrant,
)
from cowslipshelf_core.upstream import UpstreamDescription

LIMITS = WeightStoreLimits(burst_tokens=2, most_open_grants=3)
GRANT_SECONDS = 90.0
ROUNDING = 1e-6
UPSTREAM_IDS = st.sampled_from(["up-1", "up-2"])
GRANT_IDS = st.sampled_from([f"grant-{number}" for number in range(8)])
HOLDERS = st.sampled_from(["instance-1", "instance-2"])
UPSTREAMS = tuple(
    UpstreamDescription(name, "dc", "scribe", "model", (), 100, True, "[::1]:1")
    for name in ("up-1", "up-2")
)


class OrderMachine(ReplicasMachine):
    """Open orders by plans and by requests, close them, and resend both."""

    def __init__(self) -> None:
        super().__init__()
        self.fencing: dict[str, int] = {}
        self.orders: list[OrderGranted] = []

    @rule(models=st.sampled_from([("wide",), ("wide", "tall"), ("tall", "deep")]))
    def confirm_a_plan(self, models: tuple[str, ...]) -> None:
        change = Change(
            put_models=tuple(Model(name, str(self.index)) for name in models),
            put_services=(Service("scribe", "model", models),),
        )
        version = self.state.configuration.version
        change_id = f"change-{self.index}"
        command = RecordPlan(change_id, "rita", version, change, UPSTREAMS)
        open_before = self.state.open_orders()
        plan = self.apply(command).plan
        assert self.state.open_orders() == open_before
        confirmed = self.apply(ConfirmPlan(plan.plan_id, "rita"))
        for order in confirmed.opened:
            self.track_order(order)
        assert all(order in self.state.open_orders() for order in open_before)

    @rule(number=st.integers(0, 5), upstream=UPSTREAM_IDS)
    def request_order(self, number: int, upstream: str) -> None:
        command = RequestOrder(
            f"order-{number}", "rita", upstream, "change_role", "prefill"
        )
        outcome = self.apply(command)
        if isinstance(outcome, OrderGranted):
            repeated = outcome in self.orders
            assert repeated or outcome.fencing == self.index
            if not repeated:
                self.track_order(outcome)
            assert outcome in self.state.open_orders()

    def track_order(self, order: OrderGranted) -> None:
        """Check that the fencing numbers of an upstream only grow."""
        assert order.fencing > self.fencing.get(order.upstream_id, 0)
        self.fencing[order.upstream_id] = order.fencing
        self.orders.append(order)

    @rule(data=st.data(), wrong_fencing=st.booleans())
    def close_order(self, data: st.DataObject, wrong_fencing: bool) -> None:
        if not self.orders:
            return
        order = data.draw(st.sampled_from(self.orders[-3:]))
        open_before = self.state.open_orders()
        outcome = self.apply(
            CloseOrder(
                order.order_id, order.upstream_id, order.fencing - wrong_fencing, True
            )
        )
        others = [item for item in open_before if item != order]
        present = self.state.open_orders()
        assert all(item in present for item in others)
        if order in open_before and wrong_fencing:
            assert isinstance(outcome, OrderRefused)
            assert order in present
        elif order in open_before:
            assert isinstance(outcome, OrderClosed)
            assert order not in present
            if outcome.next_order is not None:
                self.track_order(outcome.next_order)

    @invariant()
    def fencing_numbers_are_the_newest_orders(self) -> None:
        for upstream, number in self.fencing.items():
            assert self.state.current_fencing(upstream) == number


class GrantMachine(ReplicasMachine):
    """Request load grants and return them, by holders and others."""

    def __init__(self) -> None:
        super().__init__()
        self.spent: list[tuple[float, int]] = []
        change = Change(weight_store=LIMITS)
        plan = self.apply(RecordPlan("limits", "rita", 0, change)).plan
        self.apply(ConfirmPlan(plan.plan_id, "rita"))

    @rule(grant_id=GRANT_IDS, holder=HOLDERS, tokens=st.sampled_from([0, 1, 1, 2, 3]))
    def ask_grant(self, grant_id: str, holder: str, tokens: int) -> None:
        command = AskLoadGrant(grant_id, holder, "up-1", tokens, GRANT_SECONDS)
        outcome = self.apply(command)
        open_now = {grant.grant_id: grant for grant in self.state.open_grants()}
        assert len(open_now) <= LIMITS.most_open_grants
        assert all(grant.expires_at > self.now() for grant in open_now.values())
        if isinstance(outcome, LoadGranted):
            assert open_now[grant_id].holder == holder
            if self.state.audit(self.index - 1, 1):
                self.spent.append((self.now(), tokens))
        else:
            assert outcome.retry_after_seconds >= 0
        self.check_rate()

    def check_rate(self) -> None:
        """Check the rate over every interval that ends now."""
        total = 0
        for when, tokens in reversed(self.spent):
            total += tokens
            allowed = (self.now() - when) * LIMITS.tokens_per_second
            assert total <= LIMITS.burst_tokens + allowed + ROUNDING

    @rule(grant_id=GRANT_IDS, holder=HOLDERS)
    def return_grant(self, grant_id: str, holder: str) -> None:
        before = self.state.open_grants()
        outcome = self.apply(ReturnLoadGrant(grant_id, holder))
        left = self.state.open_grants()
        gone = [grant for grant in before if grant not in left]
        assert [(grant.grant_id, grant.holder) for grant in gone] == (
            [(grant_id, holder)] if outcome.was_open else []
        )


TestOrderMachine = OrderMachine.TestCase
TestOrderMachine.settings = MACHINE_SETTINGS
TestGrantMachine = GrantMachine.TestCase
TestGrantMachine.settings = MACHINE_SETTINGS
