"""Check how long an answer may take before another upstream is tried."""

from hypothesis import given
from hypothesis import strategies as st

from cowslipshelf_core.gateway import AnswerTimes


def times(*seconds: float) -> AnswerTimes:
    learned = AnswerTimes()
    for each in seconds:
        learned.add("s", each)
    return learned


def test_there_is_no_timeout_before_enough_answers():
    assert times(*[0.1] * 9).answer_timeout("s") is None
    assert times().answer_timeout("s") is None


@given(st.lists(st.floats(0.01, 0.45), min_size=20, max_size=200))
def test_an_answer_within_the_usual_times_does_not_time_out(seconds):
    """Guards against requests sent twice although the first answer is about to come."""
    learned = times(*seconds)
    mean = learned.services["s"].mean
    assert learned.answer_timeout("s") >= max(0.25, mean)


def test_a_silent_upstream_times_out_long_before_the_caller():
    learned = times(*[0.05, 0.09, 0.06, 0.08] * 10)
    assert learned.answer_timeout("s") < 0.5


def test_slowness_is_relative_to_the_mean_time():
    learned = times(*[0.1] * 20)
    assert 7.9 < learned.slowness("s", 0.8) < 8.1


def test_answers_within_the_usual_spread_are_usual():
    """Guards against reports of slow upstreams where durations vary."""
    times = AnswerTimes()
    for number in range(30):
        times.add("s", 0.05 if number % 2 else 0.15)
    assert times.is_usual("s", 0.25)
    assert not times.is_usual("s", 0.6)
    assert times.is_usual("unknown", 9.0)
