"""Check what must always hold of the agreement, whatever fails and when."""

from hypothesis import given, settings
from hypothesis import strategies as st

from common.agreement_machine import AgreementMachine
from common.agreement_walk import Walk

TestAgreement = AgreementMachine.TestCase
TestAgreement.settings = settings(
    max_examples=40, stateful_step_count=50, deadline=None, derandomize=True
)


@given(seed=st.integers(0, 2**32))
@settings(max_examples=250, deadline=None, derandomize=True)
def test_long_histories_lose_nothing_and_settle(seed):
    """Changes are lost, doubled or refused for good after rare orders of failures.

    Histories are long here, since the rare orders need a leader, a log and a
    repair under way; the checks are those of the cluster after each step.
    """
    Walk(seed).run()
