"""Check the state of upstreams that restart under the same name."""

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from common.gateway_samples import heartbeat
from cowslipshelf_core.gateway import (
    HeartbeatSeen,
    RegistryConfig,
    UpstreamHeartbeat,
    UpstreamPhase,
    UpstreamRegistry,
    UpstreamStart,
)

SILENCE = 5.0
FIRST, SECOND = 1_764_700_000_000, 1_764_700_060_000
"""Times of two starts, a minute apart."""


def registry() -> UpstreamRegistry:
    return UpstreamRegistry.from_config(RegistryConfig(SILENCE))


def start_heartbeat(began_ms: int, sequence: int, **changes) -> UpstreamHeartbeat:
    """Create a heartbeat of one start of the upstream u-1."""
    start = UpstreamStart("u-1", began_ms)
    return heartbeat(start.upstream_id, sequence, **changes)


def used_ids(known: UpstreamRegistry, now: float) -> list[str]:
    return [each.upstream_id for each in known.ready_upstreams("s", now)]


def test_the_id_of_a_start_contains_its_name_and_time():
    start = UpstreamStart("u-1", FIRST)
    assert UpstreamStart.of(start.upstream_id) == start
    unknown = UpstreamStart("u-1")
    assert unknown.upstream_id == "u-1"
    assert UpstreamStart.of("u-1") == unknown


@pytest.mark.parametrize("last", [50, 500])
def test_a_new_start_is_used_at_its_first_heartbeat(last):
    """Guards against a healthy upstream that gets no requests for minutes.

    It crashed and restarted under its name. It numbers its heartbeats from one again,
    and all up to the last number of its former start were taken for late ones.
    """
    known = registry()
    known.record(start_heartbeat(FIRST, last), 0.0)
    assert known.record(start_heartbeat(SECOND, 1), 60.0)
    assert used_ids(known, 60.0) == [f"u-1#{SECOND}"]
    assert len(known.known) == 1


@pytest.mark.parametrize("phase", [UpstreamPhase.LEAVING, UpstreamPhase.LEFT])
def test_a_leaving_upstream_returns_with_its_next_start(phase):
    known = registry()
    known.record(start_heartbeat(FIRST, 7, phase=phase), 0.0)
    assert known.record(start_heartbeat(SECOND, 1), 1.0)
    assert used_ids(known, 1.0) == [f"u-1#{SECOND}"]


@pytest.mark.parametrize("phase", list(UpstreamPhase))
def test_late_heartbeats_of_a_former_start_change_nothing(phase):
    """Guards against requests to a dead upstream, or none to a healthy one.

    Heartbeats of the former start, delayed by a partition, arrive after those of the
    new start.
    """
    known = registry()
    known.record(start_heartbeat(SECOND, 1), 1.0)
    assert not known.record(
        start_heartbeat(FIRST, 99, phase=phase, address="10.0.0.2:80"), 2.0
    )
    known.leave(UpstreamStart("u-1", FIRST), 2.0)
    [left] = known.ready_upstreams("s", 2.0)
    assert left == start_heartbeat(SECOND, 1)


def test_heartbeats_without_a_start_count_for_the_latest_one():
    """Guards against an upstream that is lost during a rolling update of the gateways.

    Gateways of the previous version forward its heartbeats without the start time.
    """
    known = registry()
    known.record(start_heartbeat(SECOND, 3), 0.0)
    known.record(heartbeat("u-1", 4), SILENCE)
    assert used_ids(known, SILENCE + 1.0) == [f"u-1#{SECOND}"]
    known.record(heartbeat("u-1", 5, UpstreamPhase.LEAVING), SILENCE)
    assert used_ids(known, SILENCE + 1.0) == []


def test_an_upstream_without_a_start_time_is_identified_by_its_name():
    known = registry()
    assert known.record(heartbeat("u-1", 4), 0.0)
    assert not known.record(heartbeat("u-1", 5), 1.0)
    assert used_ids(known, 1.0) == ["u-1"]


def test_a_late_heartbeat_does_not_hide_a_later_upstream_at_its_address():
    """Guards against requests that an address refuses as meant for another upstream.

    An upstream crashed behind a partition, another one started at its address, and a
    heartbeat of the former one arrives after the partition.
    """
    known = registry()
    gone = heartbeat(UpstreamStart("gone", FIRST).upstream_id)
    there = heartbeat(UpstreamStart("there", SECOND).upstream_id)
    known.record(there, 1.0)
    known.record(gone, 2.0)
    assert used_ids(known, 2.0) == [there.upstream_id]


def test_gateways_of_both_versions_read_each_others_heartbeats():
    class PreviousHeartbeatSeen(msgspec.Struct, frozen=True, array_like=True):
        heartbeat: UpstreamHeartbeat
        age_seconds: float

    sent = HeartbeatSeen.from_heartbeat(start_heartbeat(SECOND, 3), 0.5)
    read = msgspec.msgpack.decode(
        msgspec.msgpack.encode(sent), type=PreviousHeartbeatSeen
    )
    assert read == PreviousHeartbeatSeen(heartbeat("u-1", 3), 0.5)
    back = msgspec.msgpack.decode(msgspec.msgpack.encode(read), type=HeartbeatSeen)
    assert back.with_start_id == heartbeat("u-1", 3)
    same = msgspec.msgpack.decode(msgspec.msgpack.encode(sent), type=HeartbeatSeen)
    assert same.with_start_id == start_heartbeat(SECOND, 3)


HEARTBEATS = st.builds(
    lambda name, began, number, phase: heartbeat(
        UpstreamStart(name, began).upstream_id, number, phase, address=f"{name}:1"
    ),
    st.sampled_from(["u-1", "u-2"]),
    st.sampled_from([FIRST, SECOND]),
    st.integers(1, 4),
    st.sampled_from(UpstreamPhase),
)
"""Heartbeats in any order of phases, as they may come if another sender uses the id."""


def state(known: UpstreamRegistry) -> dict:
    return {
        upstream_id: (each.heartbeat, each.heard_at)
        for upstream_id, each in known.known.items()
    }


@given(
    st.lists(HEARTBEATS, max_size=8).flatmap(
        lambda s: st.tuples(st.just(s), st.permutations(s))
    )
)
def test_the_state_depends_on_the_heartbeats_and_not_on_their_order(both):
    heartbeats, reordered = both
    first, second = registry(), registry()
    for each in heartbeats:
        first.record(each, 1.0)
    for each in reordered:
        second.record(each, 1.0)
    assert state(first) == state(second)


@given(
    st.lists(st.tuples(st.integers(0, 2), HEARTBEATS), max_size=12),
    st.data(),
)
def test_gateways_that_exchange_all_heartbeats_reach_the_same_state(heartbeats, data):
    """Each heartbeat reaches one of three; forwarding may lose, delay or repeat it."""
    gateways = [registry() for _ in range(3)]
    forwarded = []
    for at, each in heartbeats:
        gateways[at].record(each, 1.0)
        forwarded += [(to, each) for to in range(3) if to != at]
    arriving = data.draw(st.lists(st.sampled_from(forwarded))) if forwarded else []
    for to, each in arriving:
        gateways[to].record(each, 1.0)
    for sender in gateways:
        for receiver in gateways:
            for seen in sender.all_heartbeats(1.0):
                receiver.record(seen.with_start_id, 1.0)
    assert state(gateways[0]) == state(gateways[1]) == state(gateways[2])


def test_a_start_with_an_earlier_time_counts_once_the_former_is_forgotten():
    """Covers an upstream that restarts after its clock was set back.

    Its heartbeats look like late ones of a dead process, so it is not used, but not for
    ever.
    """
    known = registry()
    known.record(start_heartbeat(SECOND, 5), 0.0)
    assert not known.record(start_heartbeat(FIRST, 1), 1.0)
    known.forget_old(121.0)
    assert known.record(start_heartbeat(FIRST, 100), 121.0)
    assert used_ids(known, 121.0) == [f"u-1#{FIRST}"]
