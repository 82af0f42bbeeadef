"""Check whom a gateway asks for a newer configuration, and how long it waits.

With a fixed patience, a gateway whose copy took longer than that asked again and again,
got the same configuration up to six times, and filled its link with it.
"""

from hypothesis import given
from hypothesis import strategies as st

from cowslipshelf_core.gateway import RoutesFetch

HOLDERS = ("near-1", "near-2", "far-1")
SIZE = 100_000
GATHERED = 0.03


def asked_first(now: float = 10.0, size: int = SIZE) -> RoutesFetch:
    """Return a fetch whose first question is open since a moment."""
    fetch = RoutesFetch()
    assert fetch.next_peer(HOLDERS, size, False, now - GATHERED) is None
    assert fetch.next_peer(HOLDERS, size, False, now) == "near-1"
    return fetch


def test_the_replicas_that_tell_together_are_gathered_first():
    fetch = RoutesFetch()
    assert fetch.next_peer(HOLDERS[2:], SIZE, False, 10.0) is None
    assert fetch.next_peer(HOLDERS, SIZE, False, 10.0 + GATHERED) == "near-1"


def test_who_has_no_configuration_asks_at_once():
    assert RoutesFetch().next_peer(HOLDERS[2:], SIZE, True, 10.0) == "far-1"


def test_nobody_is_asked_where_nobody_holds_a_newer_one():
    assert RoutesFetch().next_peer((), 0, True, 10.0) is None


def test_the_next_holder_is_asked_after_a_patience_that_grows():
    fetch = asked_first()
    patience = fetch.answer_timeout(SIZE)
    later = 10.0 + patience
    assert fetch.next_peer(HOLDERS, SIZE, False, later - 0.01) is None
    assert fetch.next_peer(HOLDERS, SIZE, False, later) == "near-2"
    later += 2 * patience
    assert fetch.next_peer(HOLDERS, SIZE, False, later - 0.01) is None
    assert fetch.next_peer(HOLDERS, SIZE, False, later) == "far-1"
    later += 4 * patience
    assert fetch.next_peer(HOLDERS, SIZE, False, later) == "near-1"


def test_another_is_asked_at_once_where_the_one_asked_is_gone():
    fetch = asked_first()
    assert fetch.next_peer(HOLDERS[1:], SIZE, False, 10.1) == "near-2"


def test_another_is_asked_at_once_where_the_one_asked_has_started_anew():
    fetch = asked_first()
    fetch.restarted("far-1", 10.1)
    assert fetch.next_peer(HOLDERS, SIZE, False, 10.1) is None
    fetch.restarted("near-1", 10.1)
    assert fetch.next_peer(HOLDERS, SIZE, False, 10.1) == "near-2"


def test_a_slow_copy_makes_the_next_patience_longer_and_fast_ones_shorter_again():
    fetch = asked_first()
    fetch.record_copy(SIZE, 14.0)
    assert fetch.answer_timeout(SIZE) > 3 * 4.0
    for start in range(20, 40):
        fetch.next_peer(HOLDERS, SIZE, False, start)
        fetch.next_peer(HOLDERS, SIZE, False, start + GATHERED)
        fetch.record_copy(SIZE, start + GATHERED + 0.1)
    assert fetch.answer_timeout(SIZE) < 1.0


def test_a_newer_configuration_meanwhile_opens_no_second_question():
    fetch = asked_first()
    assert fetch.next_peer(("near-2", *HOLDERS), 2 * SIZE, False, 10.2) is None


@given(
    size=st.integers(1, 10**7),
    took=st.floats(0.001, 20.0),
    steps=st.lists(st.floats(0.01, 0.5), min_size=1, max_size=200),
)
def test_no_copy_is_asked_for_twice_that_comes_as_fast_as_the_last_but_two(
    size, took, steps
):
    """Whatever the size and pace are, a copy is awaited for twice the last time."""
    fetch = asked_first(size=size)
    fetch.record_copy(size, 10.0 + took)
    now = 100.0
    fetch.next_peer(HOLDERS, size, False, now)
    now += GATHERED
    assert fetch.next_peer(HOLDERS, size, False, now) is not None
    comes = now + 2 * took
    for step in steps:
        now += step
        if now >= comes:
            break
        assert fetch.next_peer(HOLDERS, size, False, now) is None


def test_what_is_awaited_from_one_that_is_still_heard_needs_no_other_question():
    fetch = asked_first()
    assert fetch.is_waiting(lambda peer: peer == "near-1", 10.1)
    assert not fetch.is_waiting(lambda peer: peer != "near-1", 10.1)
    assert not fetch.is_waiting(lambda _peer: True, 10.0 + fetch.answer_timeout(SIZE))
    assert not RoutesFetch().is_waiting(lambda _peer: True, 10.0)
