"""Check that gateways together keep the limits that upstreams name."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cowslipshelf_core.dialect import LimitNamed, LimitUnreadable, NoLimit
from cowslipshelf_core.gateway import (
    AskPermits,
    LimitsTold,
    PermitIssuer,
    PermitsReturned,
)
from cowslipshelf_emulator.limits import (
    CASES,
    UPSTREAM,
    LimitedFleet,
    allowed_in_window,
    name_of,
    play_case,
)

LIMITS = st.sampled_from([0.25, 1.0, 4.0, 30.0])
NUMBERS = st.integers(0, 1000)
SECONDS = st.sampled_from([0.3, 1.0, 2.5, 6.0])
STEPS = st.one_of(
    st.tuples(st.just("wait"), st.sampled_from([0.1, 0.5, 1.0, 3.5])),
    st.tuples(st.just("drop"), NUMBERS),
    st.tuples(st.just("delay"), NUMBERS, SECONDS),
    st.tuples(st.just("double"), NUMBERS, SECONDS),
    st.tuples(st.just("restart"), NUMBERS),
    st.tuples(st.just("freeze"), NUMBERS, SECONDS),
    st.tuples(st.just("split"), NUMBERS),
)


@settings(max_examples=150)
@given(st.lists(STEPS, min_size=5, max_size=40), st.integers(1, 8), LIMITS)
def test_no_order_loss_restart_freeze_or_partition_exceeds_the_limit(
    steps, count, limit
):
    """Guards against a limit that holds only while all gateways hear each other."""
    fleet = LimitedFleet(count, limit)
    fleet.start()
    fleet.wait(3.0)
    for name, *arguments in [*steps, ("wait", 5.0)]:
        getattr(fleet, name)(*arguments)
    assert fleet.most_in_a_window() <= allowed_in_window(limit)


@settings(max_examples=40)
@given(st.integers(1, 8), LIMITS, st.integers(1, 255))
def test_nearly_all_of_a_limit_is_used_wherever_work_waits(count, limit, working):
    """Guards against a limit that holds because little is sent."""
    fleet = LimitedFleet(count, limit)
    fleet.start()
    for number, gateway in enumerate(fleet.gateways):
        gateway.has_work = bool(working >> number & 1)
    fleet.gateways[0].has_work |= not any(g.has_work for g in fleet.gateways)
    seconds = max(20.0, 20.0 / limit)
    fleet.wait(4.0)
    before = len(fleet.arrivals)
    fleet.wait(seconds)
    assert len(fleet.arrivals) - before >= 0.9 * limit * seconds - 1
    assert fleet.most_in_a_window() <= allowed_in_window(limit)


def test_a_permit_that_one_gateway_does_not_use_goes_to_another():
    """Guards against shares that lie idle where no work is."""
    fleet = LimitedFleet(3, 2.0)
    fleet.start()
    fleet.gateways[1].has_work = fleet.gateways[2].has_work = False
    fleet.wait(4.0)
    for gateway in fleet.gateways[1:]:
        gateway.limits.choose((UPSTREAM,), 0, fleet.now)
    before = len(fleet.arrivals)
    fleet.wait(3.0)
    assert len(fleet.arrivals) - before >= 5


@pytest.mark.parametrize("later", [None, 20.0])
def test_a_limit_that_ends_or_rises_is_used_by_all(later):
    """Guards against an upstream that is limited for good."""
    fleet = LimitedFleet(4, 1.0)
    fleet.start()
    fleet.wait(4.0)
    fleet.name_limit(later)
    fleet.wait(6.0)
    rates = {gateway.limits.rate_of(UPSTREAM) for gateway in fleet.gateways}
    assert rates == {later}


def test_an_upstream_that_takes_nothing_is_tried_now_and_then():
    """Guards against a limit of zero that holds for ever."""
    fleet = LimitedFleet(4, 0.0)
    fleet.start()
    fleet.wait(30.0)
    assert 1 <= len(fleet.arrivals) <= 4
    fleet.name_limit(None)
    fleet.wait(15.0)
    assert fleet.gateways[3].limits.rate_of(UPSTREAM) is None


def test_a_late_word_does_not_bring_an_old_limit_back():
    """Guards against messages that arrive late, twice or in another order."""
    fleet = LimitedFleet(2, 1.0)
    fleet.start()
    fleet.wait(4.0)
    first, second = (gateway.limits for gateway in fleet.gateways)
    old = LimitsTold(tuple(first.states.values()))
    fleet.name_limit(None)
    fleet.wait(6.0)
    second.receive(name_of(0), old, fleet.now)
    assert second.rate_of(UPSTREAM) is None


def test_a_higher_limit_of_an_answer_under_no_permit_or_an_old_one_is_ignored():
    """Guards against an answer that was on its way while the limit fell."""
    fleet = LimitedFleet(1, 1.0)
    fleet.start()
    fleet.wait(4.0)
    limits = fleet.gateways[0].limits
    fleet.wait_for_permit()
    permit = limits.take(UPSTREAM, fleet.now)
    limits.record_answer(UPSTREAM, LimitNamed(9.0), None, fleet.now)
    limits.record_answer(UPSTREAM, LimitNamed(0.5), None, fleet.now + 0.1)
    limits.record_answer(UPSTREAM, NoLimit(), permit, fleet.now + 0.2)
    fleet.wait(0.5)
    assert limits.rate_of(UPSTREAM) == 0.5


def test_an_unreadable_limit_leaves_the_one_in_force():
    """Guards against an upstream that is unlimited, or unused, by mistake."""
    fleet = LimitedFleet(1, 1.0)
    fleet.start()
    limits = fleet.gateways[0].limits
    limits.record_answer(UPSTREAM, LimitUnreadable("3,5"), None, 1.0)
    assert limits.rate_of(UPSTREAM) == 1.0
    limits.record_answer("u-2", LimitUnreadable("NaN"), None, 1.0)
    assert limits.rate_of("u-2") is None


def test_the_next_start_of_an_upstream_has_no_limit():
    """Guards against a limit that outlives the process that named it."""
    fleet = LimitedFleet(1, 1.0)
    fleet.start()
    limits = fleet.gateways[0].limits
    later = "u-1#1700000009999"
    assert limits.rate_of(later) is None
    assert not limits.choose((later,), 0, 1.0).blocked
    limits.forget(UPSTREAM)
    assert limits.rate_of(UPSTREAM) is None


def test_a_gateway_that_hears_no_other_issues_less_than_an_even_share():
    """Guards against a gateway that was cut off at its start and counts itself only."""
    fleet = LimitedFleet(3, 10.0)
    fleet.start()
    fleet.split(1)
    fleet.restart(0)
    alone = fleet.gateways[0].limits
    alone.record_answer(UPSTREAM, LimitNamed(10.0), None, fleet.now)
    assert alone.share(UPSTREAM) == pytest.approx(1 / 6)


def test_questions_and_returned_permits_that_are_doubled_count_once():
    """Guards against permits that are issued twice, or for which nobody asked."""
    limits = PermitIssuer()
    asked = AskPermits(UPSTREAM, 1, 3, waiting=True)
    booked = limits.book("10.0.0.1", asked, 10.0, 5.0)
    assert booked.count == 3
    assert limits.book("10.0.0.1", asked, 10.0, 5.0) is None
    next_at = limits.issued[UPSTREAM].next_at
    for _ in range(3):
        limits.take_back("10.0.0.1", PermitsReturned(UPSTREAM, 1, 1), 10.0, 5.0)
        limits.take_back("10.0.0.2", PermitsReturned(UPSTREAM, 1, 1), 10.0, 5.0)
    limits.take_back("10.0.0.1", PermitsReturned(UPSTREAM, 1, 1), 10.0, 5.0)
    assert limits.issued[UPSTREAM].next_at == pytest.approx(next_at - 0.3)


def test_the_next_permit_goes_to_the_gateway_that_waits_for_longest():
    """Guards against the issuer's own requests that always come first."""
    issuer = PermitIssuer()

    def book(sender: str, number: int, now: float) -> int:
        asked = AskPermits(UPSTREAM, number, 1, waiting=True)
        return issuer.book(sender, asked, 1.0, now).count

    assert book("near", 1, 0.0) == 1
    assert book("far", 1, 0.01) == 0
    assert book("near", 2, 1.005) == 0
    assert book("far", 2, 1.02) == 1


@pytest.mark.parametrize("case", CASES, ids=lambda case: case.name)
def test_the_emulated_cases_keep_the_limit_and_use_it(case):
    """Guards against figures of the emulator that the product no longer reaches."""
    played = play_case(LimitedFleet, case, seed=1)
    assert played.fullest <= 1.0
    assert played.used >= (0.5 if "halves" in case.name else 0.9)
