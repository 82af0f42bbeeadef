"""Check the state of upstreams whose heartbeats arrive late or not at all."""

from hypothesis import given
from hypothesis import strategies as st

from common.gateway_samples import heartbeat
from cowslipshelf_core.gateway import (
    RegistryConfig,
    UpstreamPhase,
    UpstreamRegistry,
    UpstreamStart,
)

SILENCE = 5.0


def registry() -> UpstreamRegistry:
    return UpstreamRegistry.from_config(RegistryConfig(SILENCE))


def ids(known: UpstreamRegistry, now: float) -> list[str]:
    return [each.upstream_id for each in known.ready_upstreams("s", now)]


def test_an_upstream_that_left_is_not_brought_back_by_a_late_heartbeat():
    """Guards against requests to an upstream that is gone.

    It announces that it leaves, and exits. An earlier heartbeat, delayed by a
    partition, arrives seconds later at another gateway and is forwarded.
    """
    known = registry()
    known.record(heartbeat(sequence=4), 0.0)
    known.leave(UpstreamStart("u-1"), 1.0)
    assert not known.record(heartbeat(sequence=5), 2.0)
    assert ids(known, 2.0) == []


def test_an_upstream_that_leaves_before_its_first_heartbeat_is_not_used():
    known = registry()
    known.leave(UpstreamStart("u-1"), 1.0)
    known.record(heartbeat(sequence=5), 2.0)
    assert ids(known, 2.0) == []


def test_a_leaving_upstream_gets_no_requests_whatever_it_sends_later():
    known = registry()
    known.record(heartbeat(sequence=1), 0.0)
    assert known.record(heartbeat(sequence=2, phase=UpstreamPhase.LEAVING), 1.0)
    known.record(heartbeat(sequence=3), 2.0)
    assert ids(known, 2.0) == []


def test_a_dead_upstream_is_replaced_by_the_next_one_at_its_address():
    """Guards against requests that an address refuses as meant for another upstream.

    An upstream crashed and restarted at its address under another id. The last
    heartbeat of the old id still counts for some seconds.
    """
    known = registry()
    known.record(heartbeat("old", sequence=9), 0.0)
    known.record(heartbeat("new", sequence=1), 1.0)
    assert ids(known, 1.0) == ["new"]


def test_a_silent_upstream_is_not_used():
    known = registry()
    known.record(heartbeat(), 0.0)
    assert ids(known, SILENCE) == ["u-1"]
    assert ids(known, SILENCE + 0.1) == []


@given(st.permutations(range(6)), st.integers(0, 5))
def test_the_order_in_which_heartbeats_arrive_does_not_matter(order, leaving):
    phases = [
        UpstreamPhase.LEAVING if number >= leaving else UpstreamPhase.READY
        for number in range(6)
    ]
    known = registry()
    for number in order:
        known.record(heartbeat(sequence=number, phase=phases[number]), 1.0)
    assert known.known["u-1"].heartbeat.sequence == 5
    assert ids(known, 1.0) == []


@given(st.lists(st.tuples(st.sampled_from("abc"), st.integers(0, 3)), max_size=12))
def test_all_heartbeats_bring_another_gateway_to_the_same_state(heartbeats):
    first, second = registry(), registry()
    for now, (upstream_id, sequence) in enumerate(heartbeats):
        first.record(heartbeat(upstream_id, sequence, address=upstream_id), float(now))
    now = float(len(heartbeats))
    for seen in first.all_heartbeats(now):
        second.record(seen.heartbeat, now - seen.age_seconds)
    assert sorted(ids(first, now)) == sorted(ids(second, now))
