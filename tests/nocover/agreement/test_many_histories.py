"""Check the agreement along many more histories than the fast tests do."""

import pytest
from hypothesis import settings
from hypothesis.stateful import run_state_machine_as_test

from common.agreement_machine import AgreementMachine
from common.agreement_walk import Walk

HISTORIES = 300


@pytest.mark.parametrize("part", range(4))
def test_many_long_histories_lose_nothing_and_settle(part):
    """A failure that needs three faults in one order shows once in a year."""
    for seed in range(part * HISTORIES, (part + 1) * HISTORIES):
        Walk(seed).run()


def test_long_chosen_histories_hold():
    """The same, with the steps chosen and shrunk by Hypothesis."""
    run_state_machine_as_test(
        AgreementMachine,
        settings=settings(
            max_examples=60, stateful_step_count=150, deadline=None, derandomize=True
        ),
    )
