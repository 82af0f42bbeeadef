"""Check which orders reach an upstream that does not look at fencing numbers."""

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
    """Be an order, as far as its place among others goes."""

    fencing: int


class OrderMachine(RuleBasedStateMachine):
    """Let orders come late and doubled to a sidecar that restarts."""

    @initialize()
    def begin(self):
        self.now = 0.0
        self.newest = 1
        self.given = 0
        self.running = None
        self.state = sidecar()
        self.asked = False

    @rule()
    def restart(self):
        """Start anew; what the engine was doing is over when the sidecar is back."""
        self.state = sidecar()
        self.running = None
        self.asked = False

    @rule()
    def open_an_order(self):
        self.newest += 1

    @rule(age=st.integers(0, 3))
    def deliver_an_order(self, age):
        self.take(OrderArrived(NumberedOrder(max(1, self.newest - age))))

    @precondition(lambda self: self.asked)
    @rule()
    def hear_from_the_quorum(self):
        self.take(FencingConfirmed(self.newest))

    @rule(age=st.integers(0, 1))
    def finish(self, age):
        if self.running is not None:
            self.take(OrderFinished(self.running - age, True))
            self.running = self.running if age else None

    @rule()
    def pass_time(self):
        self.now += 1.0
        self.take(TickElapsed())

    def take(self, event):
        for effect in self.state.handle(event, self.now):
            match effect:
                case RequestFencing():
                    self.asked = True
                case RunOrder(order):
                    assert self.asked
                    assert self.running is None
                    assert order.fencing >= self.given
                    self.given = self.running = order.fencing

    def teardown(self):
        """Deliver the newest order until it is given, or was given before."""
        self.finish(0)
        for _ in range(5):
            self.deliver_an_order(0)
            if self.asked:
                self.hear_from_the_quorum()
            self.pass_time()
        assert self.given == self.newest


def test_orders_reach_the_upstream_one_at_a_time_and_never_go_back():
    """Check that a late or doubled order never undoes a newer one.

    An engine goes back to the model of last week. A control instance that was cut off
    sends its old order after the newer one was carried out, perhaps to a sidecar that
    has restarted since and remembers no number.
    """
    run_state_machine_as_test(
        OrderMachine,
        settings=settings(
            max_examples=300, stateful_step_count=30, derandomize=True, deadline=None
        ),
    )
