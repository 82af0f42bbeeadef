"""Check how many connections a busy gateway takes on."""

from dataclasses import dataclass, field

from hypothesis import example, given
from hypothesis import strategies as st

from cowslipshelf_core.gateway import AcceptThrottle, AcceptThrottleConfig

CONFIG = AcceptThrottleConfig()
TURNS = 10
"""Turns of the event loop that a request takes."""
IDLE_TURN_SECONDS = 0.0005
DEADLINE_SECONDS = 1.0


@dataclass
class BusyLoop:
    """Simulate an event loop that gives each request a share of each turn."""

    cost: float
    """Seconds of work for one request."""
    rate: float
    """Connections per second."""
    throttle: AcceptThrottle[float] = field(
        default_factory=lambda: AcceptThrottle.from_config(CONFIG)
    )
    now: float = 0.0
    came: int = 0
    active: list[tuple[float, int]] = field(default_factory=list)
    """The time at which each request came, and the turns that it needs yet."""
    served: list[float] = field(default_factory=list)
    """Time that each request took."""
    refused: int = 0

    def run(self, end: float) -> None:
        """Run until a time."""
        while self.now < end:
            self.turn()

    def turn(self) -> None:
        """Run one turn."""
        while self.came / self.rate <= self.now:
            self.throttle.add(self.came / self.rate, self.now)
            self.came += 1
        self.now += IDLE_TURN_SECONDS + len(self.active) * self.cost / TURNS
        left = [(came, turns - 1) for came, turns in self.active]
        self.served += [self.now - came for came, turns in left if turns == 0]
        self.active = [each for each in left if each[1]]
        decision = self.throttle.decide(self.now)
        self.active += [(each.connection, TURNS) for each in decision.admitted]
        self.refused += len(decision.refused)


@given(st.floats(0.0005, 0.02), st.floats(0.2, 16.0))
@example(0.0023, 8.0)
@example(0.02, 16.0)
def test_what_is_admitted_is_served_in_time_at_any_overload(cost, overload):
    """Guards against requests that all miss their deadline since all are read."""
    loop = BusyLoop(cost, overload / cost)
    loop.run(6.0)
    assert max(loop.served) <= DEADLINE_SECONDS
    offered = min(1.0, overload) * 6.0 / cost
    assert len(loop.served) >= 0.8 * offered - 2 * CONFIG.max_per_turn


@given(st.floats(0.0005, 0.004), st.integers(1, 100))
def test_a_short_burst_on_an_idle_gateway_is_served(cost, amount):
    """Guards against refusing callers whom the gateway could serve a little later."""
    burst = min(amount, int(CONFIG.max_wait_seconds / cost))
    loop = BusyLoop(cost, 1.0)
    for _ in range(burst):
        loop.throttle.add(0.0, 0.0)
    loop.run(0.9)
    assert loop.refused == 0
    assert len(loop.served) >= burst


@given(st.floats(0.5, 60.0))
def test_a_process_that_was_stopped_serves_again_at_once(seconds):
    loop = BusyLoop(0.002, 100.0)
    loop.run(1.0)
    loop.now += seconds
    stopped_until = loop.now
    loop.run(stopped_until + 1.0)
    refused = loop.refused
    loop.run(stopped_until + 3.0)
    assert loop.refused == refused
    assert max(loop.served[-100:]) < 0.2


def test_a_loop_that_is_never_quick_still_serves():
    """Guards against a machine so slow that it admits nobody for good."""
    loop = BusyLoop(0.5, 10.0)
    loop.run(20.0)
    assert len(loop.served) >= 10


def test_a_gateway_that_is_busy_with_other_work_admits_none():
    throttle = AcceptThrottle.from_config(CONFIG)
    throttle.add("first", 0.0)
    busy = throttle.decide(0.05)
    assert busy.admitted == busy.refused == ()
    late = throttle.decide(0.15)
    assert [each.connection for each in late.refused] == ["first"]
    assert throttle.turn_seconds(1.0) == 0.0
