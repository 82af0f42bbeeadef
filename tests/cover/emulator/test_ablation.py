"""Check that an ablation disables its mechanism, and only while it lasts."""

from functools import cache
from statistics import mean

import pytest

from cowslipshelf_emulator.internal.ablation import (
    ABLATIONS,
    ALL_ON,
    mechanism_disabled,
    simulate_without,
)
from cowslipshelf_emulator.internal.fleet import build
from cowslipshelf_emulator.internal.load import CODELIJN, draw_arrivals
from cowslipshelf_emulator.internal.policies import LeastHarm
from cowslipshelf_emulator.internal.statistics import summarize

SECONDS, LOAD, SEED = 20.0, 1.2, 1
LONG_SECONDS, LONG_LOAD, SEEDS = 40.0, 1.1, (1, 2, 3, 4)


def baseline():
    arrivals = draw_arrivals(CODELIJN, SECONDS, LOAD, SEED)
    return summarize(build(CODELIJN, LeastHarm, SEED).run(arrivals))


@pytest.mark.parametrize("off", ABLATIONS)
def test_every_ablation_can_be_applied_and_is_undone(off):
    with mechanism_disabled(ABLATIONS[off]):
        pass
    assert simulate_without(CODELIJN, ALL_ON, SECONDS, LOAD, SEED) == baseline()


@pytest.mark.parametrize(
    "off",
    [
        "several engines for one prompt",
        "harm to those who write",
        "harm to those who wait",
        "word of work between gateways",
    ],
)
def test_disabling_a_main_mechanism_lowers_the_value(off):
    """Each ablation loses 0.03 to 0.35 of the value, averaged over four seeds.

    One seed of 20 s has a dozen long prompts, and a single late one outweighs a
    mechanism.
    """
    assert mean_value(off) < mean_value(ALL_ON)


@cache
def mean_value(off: str) -> float:
    """Return the share of the value that is earned, averaged over the seeds."""
    return mean(
        simulate_without(CODELIJN, off, LONG_SECONDS, LONG_LOAD, seed).value
        for seed in SEEDS
    )
