"""Test that retries cannot multiply load."""

from hypothesis import example, given, settings
from hypothesis import strategies as st

from cowslipshelf_core.requests import RetryBudget, RetryBudgetConfig

WINDOW = 10.0


@given(
    ratio=st.sampled_from([0.0, 0.1, 0.5]),
    least=st.integers(0, 5),
    steps=st.lists(
        st.tuples(st.floats(-1.0, 3.0), st.integers(0, 20), st.integers(0, 20)),
        max_size=40,
    ),
)
@example(
    ratio=0.0,
    least=1,
    steps=[
        (0.0, 0, 1),
        (3.0, 0, 0),
        (3.0, 0, 0),
        (3.0, 0, 0),
        (2.0, 1, 0),
        (-1.0, 0, 1),
    ],
)
@settings(deadline=None, derandomize=True)
def test_retries_stay_below_their_share_of_any_window(ratio, least, steps):
    """Upstreams fail, and each request wants another attempt just as capacity shrinks.

    Any window, wherever it starts, holds no more retries than the ratio of its first
    attempts allows, plus the constant number that is always allowed. If the clock steps
    back, the latest time seen is used.
    """
    budget = RetryBudget.from_config(RetryBudgetConfig(ratio, WINDOW, least))
    now = seen = 1000.0
    firsts: list[float] = []
    retries: list[float] = []
    for seconds, asked_first, asked_retries in steps:
        now = max(now + seconds, 1000.0)
        seen = max(seen, now)
        for _ in range(asked_first):
            budget.count_first_attempt(now)
            firsts.append(seen)
        for _ in range(asked_retries):
            if budget.try_retry(now):
                retries.append(seen)
                begin = seen - WINDOW
                first_count = sum(begin <= at for at in firsts)
                retry_count = sum(begin <= at for at in retries)
                assert retry_count <= least + ratio * first_count


def test_a_quiet_process_can_retry_and_recovers_its_budget():
    """One request an hour must be able to retry each time."""
    budget = RetryBudget.from_config(RetryBudgetConfig(0.1, WINDOW, 1))
    assert budget.try_retry(0.0)
    assert not budget.try_retry(1.0)
    assert budget.try_retry(3600.0)
