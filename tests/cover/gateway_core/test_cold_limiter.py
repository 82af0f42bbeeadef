"""Check that a cold upstream gets no more requests than it sustains."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from common.cold_fleet import COLD_SECONDS, ColdFleet
from common.gateway_samples import heartbeat
from cowslipshelf_core.gateway import (
    UNLIMITED,
    ColdLimiter,
    ColdLimiterConfig,
    ColdReport,
    RegistryConfig,
    ServiceConfiguration,
    UpstreamRegistry,
    UpstreamStart,
)

SERVICE = ServiceConfiguration("s", 100, None, COLD_SECONDS, 4.0)
CONFIG = ColdLimiterConfig("10.0.0.1", 0.0, 1.0, 1.5, 5.0)
OTHERS = frozenset(f"10.0.0.{number}" for number in range(2, 6))
NUMBERS = st.integers(0, 1000)
ORDERLY_STEPS = st.one_of(
    st.tuples(st.just("wait"), st.sampled_from([0.05, 0.3, 1.0, 1.3, 3.1]), NUMBERS),
    st.tuples(st.just("send_heartbeat"), NUMBERS),
    st.tuples(st.just("send_alive"), NUMBERS),
    st.tuples(st.just("deliver_all")),
    st.tuples(st.just("restart"), NUMBERS, st.booleans()),
)
STEPS = ORDERLY_STEPS | st.one_of(
    st.tuples(st.just("deliver"), NUMBERS, st.booleans()),
    st.tuples(st.just("drop"), NUMBERS),
    st.tuples(st.just("split"), st.integers(0, 2**24 - 1)),
)


def play(fleet: ColdFleet, steps: list[tuple]) -> None:
    """Apply steps to a fleet, and let it send what it may at the end."""
    for name, *arguments in [*steps, ("wait", 1.3, 1)]:
        match name, arguments:
            case "split", [halves]:
                fleet.halves = halves
            case "deliver_all", []:
                for _ in range(len(fleet.pending)):
                    fleet.deliver(0, keep=False)
            case (("send_heartbeat" | "send_alive"), [number]):
                getattr(fleet, name)(number % fleet.gateway_count)
            case "restart", [number, hears]:
                fleet.restart(number % fleet.gateway_count)
                if hears:
                    fleet.send_heartbeat(number % fleet.gateway_count)
            case _:
                getattr(fleet, name)(*arguments)


@settings(max_examples=150)
@given(
    st.lists(STEPS, min_size=10, max_size=60),
    st.sampled_from([-100.0, -2.5, 0.0]),
    st.booleans(),
    st.booleans(),
)
def test_no_loss_restart_or_partition_exceeds_the_limit(
    steps, started_at, acquainted, knows_warm
):
    """Guards against a crash of an upstream that starts, whatever gateways know.

    There are as many gateways as the limit allows requests, and any message between
    them may be lost, doubled or late.
    """
    fleet = ColdFleet(SERVICE, 4.0, 8, knows_warm)
    fleet.start(started_at, acquainted)
    play(fleet, [("send_heartbeat", 0), ("deliver_all",), *steps])
    assert fleet.most_in_a_second() <= fleet.bound


@settings(max_examples=60)
@given(
    st.lists(
        ORDERLY_STEPS,
        min_size=10,
        max_size=40,
    ),
    st.integers(0, 2**20 - 1),
)
def test_each_half_of_a_large_fleet_keeps_to_half_of_the_limit(steps, halves):
    """Guards against a limit that counts gateways only while they hear each other.

    Of 20 gateways each half chooses its own after it has forgotten the other one.
    """
    fleet = ColdFleet(SERVICE, 4.0, 20, knows_warm=True, halves=halves)
    fleet.start(-100.0, acquainted=True)
    for number in range(20):
        fleet.send_heartbeat(number)
    play(fleet, [("deliver_all",), *steps])
    assert fleet.most_in_a_second() <= fleet.bound


def test_a_busy_fleet_uses_the_upstream_while_it_is_cold():
    """Guards against a limit that holds because nothing is sent."""
    fleet = ColdFleet(SERVICE, 4.0, 8, knows_warm=False)
    fleet.start(-100.0, acquainted=True)
    play(fleet, [("send_heartbeat", 0), ("deliver_all",), ("wait", COLD_SECONDS, 1)])
    assert len(fleet.arrivals) >= 4 * 4


class OneGateway:
    """Hold one gateway's limiter and registry."""

    def __init__(self, config: ColdLimiterConfig = CONFIG, service=SERVICE) -> None:
        self.limiter = ColdLimiter.from_config(config)
        self.registry = UpstreamRegistry.from_config(RegistryConfig(1000.0))
        self.service = service

    def hear(self, upstream_id="u-1", sequence=1, at=0.0, cold_left=None, age=0.0):
        cold = None if cold_left is None else ColdReport(sequence, at, cold_left)
        self.registry.record(heartbeat(upstream_id, sequence), at - age, cold)

    def choose(self, now: float, others=OTHERS):
        known = list(self.registry.known.values())
        return self.limiter.choose(self.service, known, others, now)

    def is_cold(self, now: float, upstream_id: str = "u-1") -> bool:
        choice = self.choose(now)
        return upstream_id in choice.cold | choice.blocked


@pytest.mark.parametrize("left", [0.0, 0.5, 3.0])
def test_an_upstream_is_cold_until_the_time_of_its_heartbeat_has_passed(left):
    one = OneGateway()
    one.hear(at=1.0, cold_left=left)
    assert one.is_cold(1.0 + left * 0.99) == (left > 0)
    assert not one.is_cold(1.0 + left)


def test_a_start_that_is_heard_later_is_cold_whatever_its_heartbeat_says():
    """Guards against full load on an upstream that reports too little cold time."""
    one = OneGateway()
    one.hear("u-1", at=2.0, cold_left=0.0)
    one.hear("u-2", at=2.1, cold_left=0.0)
    one.hear("u-3", at=2.1)
    assert not one.is_cold(2.2, "u-1")
    for upstream_id in ("u-2", "u-3"):
        assert one.is_cold(2.1 + COLD_SECONDS - 0.01, upstream_id)
        assert not one.is_cold(2.1 + COLD_SECONDS, upstream_id)


def test_a_new_start_under_the_same_name_is_cold():
    """Guards against full load on a process that restarted under its name."""
    one = OneGateway()
    one.hear(UpstreamStart("u-1", 1).upstream_id, at=0.0, cold_left=0.0)
    later = UpstreamStart("u-1", 2).upstream_id
    one.hear(later, at=50.0)
    assert one.is_cold(51.0, later)


def test_upstreams_of_a_restored_data_centre_are_cold():
    """Guards against full load on upstreams that were without any for long."""
    one = OneGateway()
    one.hear(at=1.0, cold_left=0.0)
    one.limiter.data_centre_restored("elsewhere", 50.0)
    assert not one.is_cold(50.0)
    one.limiter.data_centre_restored("here", 50.0)
    assert one.is_cold(50.0 + COLD_SECONDS - 0.01)
    assert not one.is_cold(50.0 + COLD_SECONDS)


def test_a_late_or_doubled_heartbeat_does_not_prolong_the_cold_time():
    """Guards against upstreams kept cold by copies of one heartbeat on the way."""
    one = OneGateway()
    one.hear(sequence=5, at=1.0, cold_left=2.0)
    one.hear(sequence=5, at=2.5, cold_left=2.0)
    one.hear(sequence=4, at=2.6, cold_left=5.0)
    assert not one.is_cold(3.0)
    one.hear(sequence=6, at=2.7, cold_left=5.0)
    assert one.is_cold(7.6)


def test_a_heartbeat_without_a_cold_time_leaves_the_known_one():
    """Guards against a gateway of the previous version that ends a cold time."""
    one = OneGateway()
    one.hear(sequence=5, at=1.0, cold_left=3.0)
    one.hear(sequence=6, at=2.0)
    assert one.is_cold(3.9)


def test_a_cold_time_of_a_day_is_capped():
    """Guards against an upstream that is kept nearly unused by one wrong number."""
    one = OneGateway(service=SERVICE._replace(cold_seconds=0.5))
    one.hear(at=1.0, cold_left=60.0)
    assert one.is_cold(5.9)
    assert not one.is_cold(6.0)


def test_an_upstream_has_room_again_after_the_interval():
    one = OneGateway()
    one.hear(at=10.0)
    assert one.choose(10.0).cold == {"u-1"}
    one.limiter.reserve(["u-1"])
    blocked = one.choose(10.1)
    assert blocked.blocked == {"u-1"}
    assert blocked.retry_after_seconds == pytest.approx(1.25)
    one.limiter.record_sent(["u-1"], 10.5)
    one.limiter.release(["u-1"])
    assert one.choose(11.0).retry_after_seconds == pytest.approx(0.75)
    assert one.choose(11.75).blocked == {"u-1"}
    assert one.choose(11.76).cold == {"u-1"}


def test_a_request_that_was_not_sent_takes_no_room():
    one = OneGateway()
    one.hear(at=10.0)
    one.limiter.reserve(["u-1"])
    one.limiter.release(["u-1"])
    assert one.choose(10.0).cold == {"u-1"}


def test_a_request_to_a_former_start_counts_for_the_next_one():
    """Guards against a second request to the process that now has the address."""
    one = OneGateway()
    later = UpstreamStart("u-1", 2).upstream_id
    one.limiter.record_sent([UpstreamStart("u-1", 1).upstream_id], 9.5)
    one.hear(later, at=10.0)
    assert one.choose(10.0).blocked == {later}


@pytest.mark.parametrize(("others", "now"), [(frozenset(), 50.0), (OTHERS, 2.9)])
def test_a_gateway_without_knowledge_sends_one_request_if_all_are_cold(others, now):
    """Guards against a burst from gateways that start together."""
    one = OneGateway()
    for upstream_id in ("u-1", "u-2"):
        one.hear(upstream_id, at=now, cold_left=5.0)
    assert one.choose(now, others).cold == {"u-1", "u-2"}
    one.limiter.record_sent(["u-1"], now)
    assert one.choose(now, others).blocked == {"u-1", "u-2"}
    one.hear("warm", at=0.0)
    later = min(now + 2.0, 2.95) if others else now + 2.0
    assert one.choose(later, others).blocked == {"u-1", "u-2"}


def test_a_gateway_that_just_started_waits_before_its_first_request():
    """Guards against a request from a process just before and after its restart."""
    one = OneGateway(CONFIG._replace(started_at=100.0))
    one.hear(at=100.5, cold_left=5.0)
    assert one.choose(101.25).blocked == {"u-1"}
    assert one.choose(101.26).cold == {"u-1"}


@pytest.mark.parametrize(
    ("over", "service"),
    [
        (0.0, SERVICE),
        (1.5, SERVICE._replace(cold_requests_per_second=0.0)),
        (1.5, SERVICE._replace(cold_seconds=0.0)),
    ],
)
def test_without_the_settings_nothing_is_limited(over, service):
    """Guards against a change in deployments that don't ask for the limit."""
    one = OneGateway(CONFIG._replace(over=over), service)
    one.hear(at=10.0, cold_left=5.0)
    one.limiter.reserve(["u-1"])
    one.limiter.record_sent(["u-1"], 10.0)
    assert one.choose(10.0) == UNLIMITED
