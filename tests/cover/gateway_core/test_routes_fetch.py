"""Check which peer a gateway asks for a newer configuration, and how long it waits.

With a fixed timeout, a gateway whose copy took longer asked again and again, got the
same configuration up to six times, and filled its link with it.
"""

from hypothesis import given
from hypothesis import strategies as st

from cowslipshelf_core.gateway import RoutesFetch

HOLDERS = ("near-1", "near-2", "far-1")
SIZE = 100_000
GATHER_DELAY = 0.03


def fetch_with_open_request(now: float = 10.0, size: int = SIZE) -> RoutesFetch:
    """Return a fetch whose first request has just been sent."""
    fetch = RoutesFetch()
    assert fetch.next_peer(HOLDERS, size, False, now - GATHER_DELAY) is None
    assert fetch.next_peer(HOLDERS, size, False, now) == "near-1"
    return fetch


def test_a_request_waits_for_reports_of_all_replicas():
    fetch = RoutesFetch()
    assert fetch.next_peer(HOLDERS[2:], SIZE, False, 10.0) is None
    assert fetch.next_peer(HOLDERS, SIZE, False, 10.0 + GATHER_DELAY) == "near-1"


def test_a_gateway_without_configuration_asks_at_once():
    assert RoutesFetch().next_peer(HOLDERS[2:], SIZE, True, 10.0) == "far-1"


def test_no_peer_is_asked_if_none_has_a_newer_configuration():
    assert RoutesFetch().next_peer((), 0, True, 10.0) is None


def test_the_next_holder_is_asked_after_a_growing_timeout():
    fetch = fetch_with_open_request()
    timeout = fetch.answer_timeout(SIZE)
    later = 10.0 + timeout
    assert fetch.next_peer(HOLDERS, SIZE, False, later - 0.01) is None
    assert fetch.next_peer(HOLDERS, SIZE, False, later) == "near-2"
    later += 2 * timeout
    assert fetch.next_peer(HOLDERS, SIZE, False, later - 0.01) is None
    assert fetch.next_peer(HOLDERS, SIZE, False, later) == "far-1"
    later += 4 * timeout
    assert fetch.next_peer(HOLDERS, SIZE, False, later) == "near-1"


def test_another_peer_is_asked_at_once_if_the_one_asked_is_gone():
    fetch = fetch_with_open_request()
    assert fetch.next_peer(HOLDERS[1:], SIZE, False, 10.1) == "near-2"


def test_another_peer_is_asked_at_once_if_the_one_asked_has_restarted():
    fetch = fetch_with_open_request()
    fetch.restarted("far-1", 10.1)
    assert fetch.next_peer(HOLDERS, SIZE, False, 10.1) is None
    fetch.restarted("near-1", 10.1)
    assert fetch.next_peer(HOLDERS, SIZE, False, 10.1) == "near-2"


def test_a_slow_copy_raises_the_next_timeout_and_fast_ones_lower_it():
    fetch = fetch_with_open_request()
    fetch.record_copy(SIZE, 14.0)
    assert fetch.answer_timeout(SIZE) > 3 * 4.0
    for start in range(20, 40):
        fetch.next_peer(HOLDERS, SIZE, False, start)
        fetch.next_peer(HOLDERS, SIZE, False, start + GATHER_DELAY)
        fetch.record_copy(SIZE, start + GATHER_DELAY + 0.1)
    assert fetch.answer_timeout(SIZE) < 1.0


def test_a_newer_configuration_meanwhile_opens_no_second_request():
    fetch = fetch_with_open_request()
    assert fetch.next_peer(("near-2", *HOLDERS), 2 * SIZE, False, 10.2) is None


@given(
    size=st.integers(1, 10**7),
    seconds=st.floats(0.001, 20.0),
    steps=st.lists(st.floats(0.01, 0.5), min_size=1, max_size=200),
)
def test_no_copy_is_requested_twice_within_twice_the_last_time(size, seconds, steps):
    """Whatever the size and rate, a copy may take twice as long as the last one."""
    fetch = fetch_with_open_request(size=size)
    fetch.record_copy(size, 10.0 + seconds)
    now = 100.0
    fetch.next_peer(HOLDERS, size, False, now)
    now += GATHER_DELAY
    assert fetch.next_peer(HOLDERS, size, False, now) is not None
    arrives = now + 2 * seconds
    for step in steps:
        now += step
        if now >= arrives:
            break
        assert fetch.next_peer(HOLDERS, size, False, now) is None


def test_a_fetch_waits_while_the_peer_asked_is_alive_and_in_time():
    fetch = fetch_with_open_request()
    assert fetch.is_waiting(lambda peer: peer == "near-1", 10.1)
    assert not fetch.is_waiting(lambda peer: peer != "near-1", 10.1)
    assert not fetch.is_waiting(lambda _peer: True, 10.0 + fetch.answer_timeout(SIZE))
    assert not RoutesFetch().is_waiting(lambda _peer: True, 10.0)
