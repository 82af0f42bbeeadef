"""Check how long an answer is waited for before another upstream is asked."""

from hypothesis import given
from hypothesis import strategies as st

from cowslipshelf_core.gateway import AnswerTimes


def times(*seconds: float) -> AnswerTimes:
    learnt = AnswerTimes()
    for each in seconds:
        learnt.add("s", each)
    return learnt


def test_nothing_is_given_up_before_the_usual_time_is_known():
    assert times(*[0.1] * 9).answer_timeout("s") is None
    assert times().answer_timeout("s") is None


@given(st.lists(st.floats(0.01, 0.45), min_size=20, max_size=200))
def test_an_answer_within_the_usual_times_is_waited_for(seconds):
    """Bookings are sent twice although the first upstream was about to answer."""
    learnt = times(*seconds)
    mean = learnt.services["s"].mean
    assert learnt.answer_timeout("s") >= max(0.25, mean)


def test_a_silent_upstream_is_given_up_long_before_the_caller_gives_up():
    learnt = times(*[0.05, 0.09, 0.06, 0.08] * 10)
    assert learnt.answer_timeout("s") < 0.5


def test_slowness_is_told_against_the_usual_time():
    learnt = times(*[0.1] * 20)
    assert 7.9 < learnt.slowness("s", 0.8) < 8.1
