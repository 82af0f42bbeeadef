"""Check that the retries of all gateways stay within the budget, whatever fails."""

from hypothesis import given
from hypothesis import strategies as st

from cowslipshelf_core.gateway import ServiceRetryBudget, ServiceRetryBudgetConfig

CONFIG = ServiceRetryBudgetConfig(window_seconds=10.0, ratio=0.2, slack=20.0)


@given(
    st.lists(
        st.tuples(st.floats(0.0, 1.0), st.integers(0, 1), st.integers(1, 4)),
        max_size=200,
    )
)
def test_no_window_has_more_retries_than_the_budget_of_all_gateways(steps):
    """Guards against a failing service that is overloaded by retries.

    Several gateways retry at the same time; each may spend its own share only.
    """
    gateways = 4
    budgets = [ServiceRetryBudget.from_config(CONFIG) for _ in range(gateways)]
    now, requests, retries = 0.0, [], []
    for pause, is_request, gateway in steps:
        now += pause
        budget = budgets[gateway - 1]
        if is_request:
            budget.count_request("s", now)
            requests.append(now)
        elif budget.allow_retry("s", gateways, now):
            retries.append(now)
            window = now - CONFIG.window_seconds
            sent = sum(time >= window for time in retries)
            served = sum(time >= window for time in requests)
            assert sent <= CONFIG.ratio * served + CONFIG.slack


def test_retries_are_allowed_again_after_the_window():
    budget = ServiceRetryBudget.from_config(CONFIG)
    while budget.allow_retry("s", 1, 0.0):
        pass
    assert not budget.allow_retry("s", 1, 9.0)
    assert budget.allow_retry("s", 1, 10.5)


def test_services_do_not_spend_each_others_retries():
    budget = ServiceRetryBudget.from_config(CONFIG)
    while budget.allow_retry("s", 1, 0.0):
        pass
    assert budget.allow_retry("other", 1, 0.0)


def spend(budget: ServiceRetryBudget, gateways: int, now: float) -> int:
    """Spend all retries that a gateway may; return how many they were."""
    spent = 0
    while budget.allow_retry("s", gateways, now):
        spent += 1
    return spent


def test_gateways_that_restart_together_stay_within_the_budget():
    """Guards against shares that are spent twice, before and after a restart."""
    gateways = 4
    before = [ServiceRetryBudget.from_config(CONFIG) for _ in range(gateways)]
    after = [ServiceRetryBudget.from_config(CONFIG, 1.0) for _ in range(gateways)]
    spent = sum(spend(each, gateways, 0.9) for each in before)
    spent += sum(spend(each, gateways, 1.0) for each in after)
    assert spent <= CONFIG.slack
    assert sum(spend(each, gateways, 11.5) for each in after) >= 0.5 * CONFIG.slack
