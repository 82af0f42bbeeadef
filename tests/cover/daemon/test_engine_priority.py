"""Check the priority of attempts at an engine."""

from hypothesis import given
from hypothesis import strategies as st

from common.sidecars import hand_over
from cowslipshelf_daemon.internal.sidecar.attempt_runner import with_engine_priority

SLACKS = st.integers(0, 40_000)
MOMENTS = st.floats(0.0, 1e7)


@given(long_slack=SLACKS, short_slack=SLACKS, start=MOMENTS)
def test_an_attempt_that_waits_comes_before_every_one_that_arrives_after_its_slack(
    long_slack, short_slack, start
):
    """Guards against starvation of a long prompt at a busy engine.

    Short prompts that keep arriving have less slack each. If priorities compared slack
    alone, all of them would be served first, and the long one never.
    """
    waiting = with_engine_priority(hand_over(1)._replace(priority=long_slack), start)
    later = start + long_slack / 1000 + 0.002
    arriving = with_engine_priority(hand_over(2)._replace(priority=short_slack), later)
    assert waiting.priority < arriving.priority
