"""Check which orders reach an upstream that does not check fencing numbers."""

from typing import NamedTuple

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    precondition,
    rule,
    run_state_machine_as_test,
)

from common.sidecars import sidecar
from cowslipshelf_core.sidecar import (
    FencingConfirmed,
    OrderArrived,
    OrderFinished,
    RequestFencing,
    RunOrder,
    TickElapsed,
)


class NumberedOrder(NamedTuple):
    """Provide the fencing number of an order, which is all that is needed here."""

    fencing: int


class OrderMachine(RuleBasedStateMachine):
    """Deliver orders late and duplicated to a sidecar that restarts."""

    @initialize()
    def begin(self):
        self.now = 0.0
        self.newest = 1
        self.last_run = 0
        self.running = None
        self.state = sidecar()
        self.requested = False

    @rule()
    def restart(self):
        """Restart the sidecar; an order that was running has ended by then."""
        self.state = sidecar()
        self.running = None
        self.requested = False

    @rule()
    def open_an_order(self):
        self.newest += 1

    @rule(age=st.integers(0, 3))
    def deliver_an_order(self, age):
        self.handle(OrderArrived(NumberedOrder(max(1, self.newest - age))))

    @precondition(lambda self: self.requested)
    @rule()
    def confirm_by_the_quorum(self):
        self.handle(FencingConfirmed(self.newest))

    @rule(age=st.integers(0, 1))
    def finish(self, age):
        if self.running is not None:
            self.handle(OrderFinished(self.running - age, True))
            self.running = self.running if age else None

    @rule()
    def pass_time(self):
        self.now += 1.0
        self.handle(TickElapsed())

    def handle(self, event):
        for effect in self.state.handle(event, self.now):
            match effect:
                case RequestFencing():
                    self.requested = True
                case RunOrder(order):
                    assert self.requested
                    assert self.running is None
                    assert order.fencing >= self.last_run
                    self.last_run = self.running = order.fencing

    def teardown(self):
        """Deliver the newest order until it is run, unless it was run before."""
        self.finish(0)
        for _ in range(5):
            self.deliver_an_order(0)
            if self.requested:
                self.confirm_by_the_quorum()
            self.pass_time()
        assert self.last_run == self.newest


def test_orders_reach_the_upstream_one_at_a_time_and_never_go_back():
    """Guards against a late or duplicated order that undoes a newer one.

    A control instance that was partitioned sends its old order after a newer one was
    run, possibly to a sidecar that has restarted since and remembers no fencing number.
    The engine would then load an outdated model.
    """
    run_state_machine_as_test(
        OrderMachine,
        settings=settings(
            max_examples=300, stateful_step_count=30, derandomize=True, deadline=None
        ),
    )
