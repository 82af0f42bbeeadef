"""Check the invariants of the replicated log under random failures."""

from hypothesis import given, settings
from hypothesis import strategies as st

from common.agreement_machine import AgreementMachine
from common.agreement_walk import RandomWalk

TestAgreement = AgreementMachine.TestCase
TestAgreement.settings = settings(
    max_examples=40, stateful_step_count=50, deadline=None, derandomize=True
)


@given(seed=st.integers(0, 2**32))
@settings(max_examples=250, deadline=None, derandomize=True)
def test_long_histories_lose_nothing_and_settle(seed):
    """Rare sequences of failures lose, repeat or permanently refuse changes.

    Histories are long, since such sequences need a leader, a log and a running
    membership change. The cluster checks its invariants after each step.
    """
    RandomWalk(seed).run()
