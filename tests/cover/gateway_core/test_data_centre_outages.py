"""Check when a gateway takes the losses of upstreams for the loss of a data centre."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cowslipshelf_core.gateway import (
    DataCentreOutages,
    OutageBegan,
    OutageEnded,
    OutagesConfig,
)

SIZE = 21
"""Upstreams of each data centre, unless a test says otherwise."""
LOST_AT = 10.0


def outages_of(sizes: dict[str, int]) -> DataCentreOutages:
    """Return the state of a gateway in "own" that knows upstreams of data centres."""
    outages = DataCentreOutages.from_config(OutagesConfig("me", "own", 4.0))
    for data_centre, size in sizes.items():
        for number in range(size):
            outages.record_heartbeat(f"{data_centre}-{number}", data_centre, 1, 9.0)
    return outages


@pytest.fixture
def outages() -> DataCentreOutages:
    return outages_of({"own": SIZE, "far": SIZE, "third": SIZE})


def lose(
    outages: DataCentreOutages,
    numbers,
    reporter: str = "me",
    seen_in: str = "own",
    at: float = LOST_AT,
    data_centre: str = "far",
) -> None:
    """Record that a gateway lost some upstreams of a data centre."""
    for number in numbers:
        outages.record_loss(f"{data_centre}-{number}", reporter, seen_in, at, at)


def doubtful(outages: DataCentreOutages, now: float = LOST_AT) -> int:
    """Count the upstreams of all data centres that are doubtful."""
    return sum(outages.is_doubtful(each, now) for each in outages.upstreams)


def hear(outages: DataCentreOutages, numbers, at: float, sequence: int = 2) -> None:
    for number in numbers:
        outages.record_heartbeat(f"far-{number}", "far", sequence, at)


def test_three_losses_within_a_second_make_the_whole_data_centre_doubtful(outages):
    """Guards against requests that find the dead upstreams one by one."""
    lose(outages, [0, 1])
    assert doubtful(outages) == 0
    lose(outages, [2])
    assert doubtful(outages) == SIZE
    assert not outages.is_doubtful("own-0", LOST_AT)


def test_losses_further_apart_are_single_crashes(outages):
    """Guards against an alarm for upstreams that crash one after the other."""
    for number in range(6):
        lose(outages, [number], at=LOST_AT + 0.6 * number)
        assert doubtful(outages, LOST_AT + 0.6 * number) == 0


def test_a_large_data_centre_needs_a_tenth_of_its_upstreams_to_be_lost():
    """Guards against an alarm for three crashes among a hundred upstreams."""
    outages = outages_of({"far": 112})
    lose(outages, range(11))
    assert doubtful(outages) == 0
    lose(outages, [11])
    assert doubtful(outages) == 112


@pytest.mark.parametrize("size", [1, 2])
def test_a_data_centre_of_two_upstreams_is_never_doubtful(size):
    """Guards against avoiding a sound upstream for the crash of its neighbour."""
    outages = outages_of({"far": size, "own": 3})
    for repeat in range(5):
        lose(outages, range(size), at=LOST_AT + 0.1 * repeat)
    assert doubtful(outages) == 0


def test_upstreams_that_are_silent_for_long_do_not_count():
    """Guards against an outage unseen beside many upstreams that are gone for good."""
    outages = outages_of({"far": 100})
    hear(outages, range(20), at=16.0)
    lose(outages, range(3), at=16.5)
    assert doubtful(outages, 16.5) == 20


@pytest.mark.parametrize("heard", ["answer", "heartbeat"])
def test_a_lost_upstream_that_was_heard_since_does_not_count(outages, heard):
    """Guards against an alarm for connections that were reset by live upstreams."""
    lose(outages, [0, 1], at=LOST_AT)
    if heard == "answer":
        outages.record_answer("far-0", LOST_AT + 0.1)
    else:
        hear(outages, [0], at=LOST_AT + 0.4)
    lose(outages, [2], at=LOST_AT + 0.5)
    assert doubtful(outages, LOST_AT + 0.5) == 0


@pytest.mark.parametrize(
    ("reports", "believed"),
    [
        pytest.param([("x1", "third", range(20))], False, id="one gateway elsewhere"),
        pytest.param(
            [(f"x{n}", "third", range(20)) for n in range(9)],
            False,
            id="all gateways of one other data centre",
        ),
        pytest.param(
            [("x1", "third", [0, 1]), ("y1", "fourth", [2, 3])],
            True,
            id="gateways of two other data centres",
        ),
        pytest.param([("f1", "far", [0, 1, 2])], True, id="a gateway concerned"),
        pytest.param([("o1", "own", range(20))], False, id="one gateway next to it"),
        pytest.param(
            [("o1", "own", [0, 1, 2]), ("o2", "own", [1, 2])],
            True,
            id="two gateways next to it",
        ),
        pytest.param(
            [("o1", "own", range(20)), ("o2", "own", [0])],
            False,
            id="a cut gateway, and a crash that another one saw",
        ),
        pytest.param(
            [("x1", "third", range(20)), ("me", "own", [0])],
            False,
            id="a cut between two others, and a crash seen here",
        ),
        pytest.param(
            [("x1", "third", [0, 1]), ("me", "own", [2, 3])],
            True,
            id="seen here and elsewhere",
        ),
    ],
)
def test_losses_count_by_who_saw_them(outages, reports, believed):
    """Guards against an alarm for a cut link of those who report."""
    for reporter, seen_in, numbers in reports:
        lose(outages, numbers, reporter, seen_in)
    assert (doubtful(outages) == SIZE) is believed


def test_a_suspected_reporter_in_the_data_centre_needs_confirmation(outages):
    """Guards against one gateway without a link that speaks for its data centre."""
    for number in range(6):
        outages.record_loss(f"far-{number}", "g", "far", LOST_AT, LOST_AT, True)
    assert doubtful(outages) == 0
    lose(outages, [7, 8], reporter="h", seen_in="far")
    assert doubtful(outages) == SIZE


def test_an_upstream_that_answered_before_the_losses_were_told_is_believed(outages):
    """Guards against avoiding what is known to be alive when a late report arrives."""
    outages.record_answer("far-5", LOST_AT + 0.2)
    for number in range(3):
        outages.record_loss(f"far-{number}", "me", "own", LOST_AT, LOST_AT + 0.3)
    assert doubtful(outages, LOST_AT + 0.3) == SIZE - 1
    assert not outages.is_doubtful("far-5", LOST_AT + 0.3)


def test_what_was_heard_after_the_losses_is_believed_at_once(outages):
    """Guards against avoiding sound upstreams, and believing old heartbeats."""
    lose(outages, range(3))
    hear(outages, [3], at=LOST_AT + 0.4)
    hear(outages, [4], at=LOST_AT + 0.2)
    outages.record_answer("far-5", LOST_AT + 0.1)
    outages.record_answer("far-6", LOST_AT - 0.1)
    outages.record_heartbeat("far-new", "far", 1, LOST_AT + 0.1)
    now = LOST_AT + 0.5
    believed = {
        each for each in outages.upstreams if not outages.is_doubtful(each, now)
    }
    assert {each for each in believed if each.startswith("far")} == {
        "far-3",
        "far-5",
        "far-new",
    }


def test_a_delayed_copy_of_a_heartbeat_is_no_sign_of_life(outages):
    """Guards against belief in the dead, since copies seem younger than they are."""
    lose(outages, range(3))
    hear(outages, range(SIZE), at=LOST_AT + 0.5, sequence=1)
    assert doubtful(outages, LOST_AT + 0.5) == SIZE


def test_an_upstream_that_is_lost_again_is_doubtful_again(outages):
    """Guards against a heartbeat from before the end of an upstream."""
    lose(outages, range(3))
    hear(outages, [5], at=LOST_AT + 0.4)
    lose(outages, [6, 5], at=LOST_AT + 0.6)
    assert outages.is_doubtful("far-5", LOST_AT + 0.7)


def test_a_heartbeat_counts_from_the_own_loss_of_an_upstream(outages):
    """Guards against belief in one that ended a little after the others."""
    lose(outages, range(3))
    lose(outages, [5], at=LOST_AT + 0.05)
    hear(outages, [5, 6], at=LOST_AT + 0.32)
    assert outages.is_doubtful("far-5", LOST_AT + 0.4)
    assert not outages.is_doubtful("far-6", LOST_AT + 0.4)


def test_a_doubtful_data_centre_is_tried_again_two_seconds_after_the_last_loss(outages):
    """Guards against a data centre that is never used again."""
    lose(outages, range(3))
    lose(outages, [3], at=LOST_AT + 1.0)
    assert doubtful(outages, LOST_AT + 2.9) == SIZE
    assert doubtful(outages, LOST_AT + 3.1) == 0


def test_each_recurrence_doubles_the_doubt_up_to_eight_seconds(outages):
    """Guards against a try of the same dead upstreams every two seconds."""
    now, lasted = LOST_AT, []
    for sequence in range(2, 6):
        lose(outages, range(3), at=now)
        lasted.append(outages.ongoing["far"].doubt_seconds)
        now += lasted[-1]
        outages.take_changes(now)
        hear(outages, range(SIZE), at=now + 0.5, sequence=sequence)
        now += 1.0
    assert lasted == [2.0, 4.0, 8.0, 8.0]


def test_an_outage_long_after_the_last_one_begins_anew(outages):
    """Guards against a pause that grows from day to day."""
    for began in (LOST_AT, LOST_AT + 60.0):
        hear(outages, range(SIZE), at=began - 1.0, sequence=int(began))
        lose(outages, range(3), at=began)
        assert outages.ongoing["far"].doubt_seconds == 2.0
        outages.take_changes(began + 2.1)


def test_losses_of_the_second_before_the_end_do_not_begin_another_outage(outages):
    """Guards against an outage that lasts on with the losses that began it."""
    lose(outages, range(3))
    hear(outages, range(3, SIZE), at=LOST_AT + 0.4)
    lose(outages, range(3), "f1", "far", at=LOST_AT + 0.6)
    assert doubtful(outages, LOST_AT + 0.6) == 0


def test_crashes_under_one_prompt_are_forgiven_with_the_next_heartbeats(outages):
    """Guards against a costly alarm when three engines end with one prompt."""
    lose(outages, range(3))
    hear(outages, range(3, 3 + SIZE // 2), at=LOST_AT + 0.5)
    assert doubtful(outages, LOST_AT + 0.5) > 0
    hear(outages, [20], at=LOST_AT + 0.6)
    assert doubtful(outages, LOST_AT + 0.6) == 0
    began, ended = outages.take_changes(LOST_AT + 0.6)
    assert (began.avoided, ended.heard) == (SIZE, SIZE // 2 + 1)


def test_a_rolling_release_that_is_announced_raises_no_alarm(outages):
    """Guards against an alarm for upstreams that say that they leave."""
    for number in range(6):
        outages.forget(f"far-{number}")
        lose(outages, [number])
        outages.record_heartbeat(f"far-{number}#2", "far", 1, LOST_AT + 0.5)
    assert doubtful(outages) == 0
    assert not outages.changes


def test_an_unannounced_release_is_forgiven_as_its_upstreams_begin_again(outages):
    """Guards against sound upstreams avoided for a release by kills."""
    lose(outages, range(5))
    assert doubtful(outages) == SIZE
    for number in range(5):
        outages.forget(f"far-{number}")
        outages.record_heartbeat(f"far-{number}#2", "far", 1, LOST_AT + 0.3)
    assert not outages.is_doubtful("far-0#2", LOST_AT + 0.3)
    hear(outages, range(5, 12), at=LOST_AT + 0.6)
    assert doubtful(outages, LOST_AT + 0.6) == 0


def test_a_gateway_cut_from_everything_gets_its_upstreams_back():
    """Guards against doubt that stays after the own link is back."""
    outages = outages_of({"own": 5, "far": 5})
    for data_centre in ("own", "far"):
        lose(outages, range(5), data_centre=data_centre)
    assert doubtful(outages) == 10
    assert doubtful(outages, LOST_AT + 2.1) == 0


SOURCES = st.sampled_from(["own", "far", "third", "fourth"])
LOSSES = st.tuples(st.integers(0, 9), st.integers(0, 4), st.floats(0.0, 3.0))


@given(st.lists(LOSSES, max_size=60), st.integers(0, 9))
def test_gateways_of_one_other_data_centre_alone_never_raise_an_alarm(losses, size):
    """Guards against a partition between two others that takes one out of use here."""
    outages = outages_of({"far": size, "own": 3})
    now = LOST_AT
    for number, reporter, pause in losses:
        now += pause / 30
        lose(outages, [number], f"x{reporter}", "third", at=now)
        assert doubtful(outages, now) == 0


@given(
    st.lists(
        st.tuples(SOURCES, LOSSES, st.sampled_from(["lost", "heard", "answered"])),
        max_size=80,
    )
)
def test_every_outage_ends_once_the_losses_have(events):
    """Guards against a data centre out of use without an end."""
    outages = outages_of({"far": 10})
    now, sequence = LOST_AT, 1
    for seen_in, (number, reporter, pause), kind in events:
        now, sequence = now + pause / 10, sequence + 1
        if kind == "lost":
            lose(outages, [number], f"{seen_in}-{reporter}", seen_in, at=now)
        elif kind == "heard":
            hear(outages, [number], at=now, sequence=sequence)
        else:
            outages.record_answer(f"far-{number}", now)
    assert doubtful(outages, now + 8.1) == 0
    changes = outages.take_changes(now + 8.1)
    assert not outages.ongoing
    kinds = [type(each) for each in changes]
    assert kinds == [OutageBegan, OutageEnded] * (len(kinds) // 2)
