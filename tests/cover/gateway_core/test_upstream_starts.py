"""Check what is believed of upstreams that start again under the name they had."""

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


def word(began_ms: int, sequence: int, **changes) -> UpstreamHeartbeat:
    """Make a heartbeat of one start of the upstream u-1."""
    start = UpstreamStart("u-1", began_ms)
    return heartbeat(start.upstream_id, sequence, **changes)


def in_use(known: UpstreamRegistry, now: float) -> list[str]:
    return [each.upstream_id for each in known.ready_upstreams("s", now)]


def test_the_id_of_a_start_holds_its_name_and_time():
    start = UpstreamStart("u-1", FIRST)
    assert UpstreamStart.of(start.upstream_id) == start
    untold = UpstreamStart("u-1")
    assert untold.upstream_id == "u-1"
    assert UpstreamStart.of("u-1") == untold


@pytest.mark.parametrize("last", [50, 500])
def test_a_new_start_is_used_at_its_first_heartbeat(last):
    """A sound upstream gets no work for minutes.

    It crashed and started again under its name. It counts its heartbeats anew, and
    all below the last number of its former start were taken for late ones.
    """
    known = registry()
    known.record(word(FIRST, last), 0.0)
    assert known.record(word(SECOND, 1), 60.0)
    assert in_use(known, 60.0) == [f"u-1#{SECOND}"]
    assert len(known.known) == 1


@pytest.mark.parametrize("phase", [UpstreamPhase.LEAVING, UpstreamPhase.LEFT])
def test_one_that_was_leaving_returns_with_its_next_start(phase):
    known = registry()
    known.record(word(FIRST, 7, phase=phase), 0.0)
    assert known.record(word(SECOND, 1), 1.0)
    assert in_use(known, 1.0) == [f"u-1#{SECOND}"]


@pytest.mark.parametrize("phase", list(UpstreamPhase))
def test_late_word_of_a_former_start_changes_nothing(phase):
    """A sound upstream is taken out of use, or one that is gone gets requests.

    Heartbeats of the former start, held up by a cut, arrive after the new start's.
    """
    known = registry()
    known.record(word(SECOND, 1), 1.0)
    assert not known.record(word(FIRST, 99, phase=phase, address="10.0.0.2:80"), 2.0)
    known.leave(UpstreamStart("u-1", FIRST), 2.0)
    [left] = known.ready_upstreams("s", 2.0)
    assert left == word(SECOND, 1)


def test_word_of_an_entry_that_knows_no_starts_counts_for_the_latest_one():
    """An upstream is lost while the entries are updated one by one.

    Entries of the version before pass its heartbeats on without its start.
    """
    known = registry()
    known.record(word(SECOND, 3), 0.0)
    known.record(heartbeat("u-1", 4), SILENCE)
    assert in_use(known, SILENCE + 1.0) == [f"u-1#{SECOND}"]
    known.record(heartbeat("u-1", 5, UpstreamPhase.LEAVING), SILENCE)
    assert in_use(known, SILENCE + 1.0) == []


def test_an_upstream_that_never_tells_its_start_is_known_by_its_name():
    known = registry()
    assert known.record(heartbeat("u-1", 4), 0.0)
    assert not known.record(heartbeat("u-1", 5), 1.0)
    assert in_use(known, 1.0) == ["u-1"]


def test_late_word_does_not_hide_the_upstream_that_began_later_at_its_address():
    """Requests are refused as meant for somebody else, until the next heartbeat.

    An upstream crashed behind a cut, another one began at its address, and a
    heartbeat of the former one arrives after the cut.
    """
    known = registry()
    gone = heartbeat(UpstreamStart("gone", FIRST).upstream_id)
    there = heartbeat(UpstreamStart("there", SECOND).upstream_id)
    known.record(there, 1.0)
    known.record(gone, 2.0)
    assert in_use(known, 2.0) == [there.upstream_id]


def test_entries_of_both_versions_read_each_others_word():
    class SeenBefore(msgspec.Struct, frozen=True, array_like=True):
        heartbeat: UpstreamHeartbeat
        age_seconds: float

    told = HeartbeatSeen.from_heartbeat(word(SECOND, 3), 0.5)
    read = msgspec.msgpack.decode(msgspec.msgpack.encode(told), type=SeenBefore)
    assert read == SeenBefore(heartbeat("u-1", 3), 0.5)
    back = msgspec.msgpack.decode(msgspec.msgpack.encode(read), type=HeartbeatSeen)
    assert back.with_start_id == heartbeat("u-1", 3)
    same = msgspec.msgpack.decode(msgspec.msgpack.encode(told), type=HeartbeatSeen)
    assert same.with_start_id == word(SECOND, 3)


SAID = st.builds(
    lambda name, began, number, phase: heartbeat(
        UpstreamStart(name, began).upstream_id, number, phase, address=f"{name}:1"
    ),
    st.sampled_from(["u-1", "u-2"]),
    st.sampled_from([FIRST, SECOND]),
    st.integers(1, 4),
    st.sampled_from(UpstreamPhase),
)
"""Heartbeats in any phase, also phases that come back, as foreign word has them."""


def beliefs(known: UpstreamRegistry) -> dict:
    return {
        upstream_id: (each.heartbeat, each.heard_at)
        for upstream_id, each in known.known.items()
    }


@given(
    st.lists(SAID, max_size=8).flatmap(
        lambda s: st.tuples(st.just(s), st.permutations(s))
    )
)
def test_what_is_believed_depends_on_what_was_said_and_not_on_its_order(both):
    said, turned = both
    first, second = registry(), registry()
    for each in said:
        first.record(each, 1.0)
    for each in turned:
        second.record(each, 1.0)
    assert beliefs(first) == beliefs(second)


@given(
    st.lists(st.tuples(st.integers(0, 2), SAID), max_size=12),
    st.data(),
)
def test_entries_that_tell_each_other_everything_believe_the_same(said, data):
    """Each word reaches one of three; passed on, it is lost, late or doubled."""
    entries = [registry() for _ in range(3)]
    passed_on = []
    for at, each in said:
        entries[at].record(each, 1.0)
        passed_on += [(to, each) for to in range(3) if to != at]
    arriving = data.draw(st.lists(st.sampled_from(passed_on))) if passed_on else []
    for to, each in arriving:
        entries[to].record(each, 1.0)
    for teller in entries:
        for listener in entries:
            for seen in teller.all_heartbeats(1.0):
                listener.record(seen.with_start_id, 1.0)
    assert beliefs(entries[0]) == beliefs(entries[1]) == beliefs(entries[2])


def test_a_start_with_an_earlier_time_is_taken_up_once_the_former_is_forgotten():
    """An upstream whose clock was put back starts again, and seems older than before.

    Its word can't be told from late word of a dead process, so it stays out; but not
    for good.
    """
    known = registry()
    known.record(word(SECOND, 5), 0.0)
    assert not known.record(word(FIRST, 1), 1.0)
    known.forget_old(121.0)
    assert known.record(word(FIRST, 100), 121.0)
    assert in_use(known, 121.0) == [f"u-1#{FIRST}"]
