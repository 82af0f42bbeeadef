"""Check the replicated log on many more random histories than the fast tests."""

import pytest
from hypothesis import settings
from hypothesis.stateful import run_state_machine_as_test

from common.agreement_machine import AgreementMachine
from common.agreement_walk import RandomWalk

HISTORIES = 300


@pytest.mark.parametrize("part", range(4))
def test_many_long_histories_lose_nothing_and_settle(part):
    """A failure that needs three faults in a certain order occurs once a year."""
    for seed in range(part * HISTORIES, (part + 1) * HISTORIES):
        RandomWalk(seed).run()


def test_long_chosen_histories_hold():
    """The same, with steps that Hypothesis chooses and shrinks."""
    run_state_machine_as_test(
        AgreementMachine,
        settings=settings(
            max_examples=60, stateful_step_count=150, deadline=None, derandomize=True
        ),
    )
