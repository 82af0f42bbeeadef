"""Check that a mechanism that is switched off is off, and on again afterwards."""

import pytest

from cowslipshelf_emulator.internal.ablation import (
    ABLATIONS,
    ALL_ON,
    mechanism_disabled,
    play_without,
)
from cowslipshelf_emulator.internal.fleet import build
from cowslipshelf_emulator.internal.load import CODELIJN, draw_arrivals
from cowslipshelf_emulator.internal.policies import LeastHarm
from cowslipshelf_emulator.internal.statistics import summarize

SECONDS, LOAD, SEED = 20.0, 1.2, 1


def usual():
    arrivals = draw_arrivals(CODELIJN, SECONDS, LOAD, SEED)
    return summarize(build(CODELIJN, LeastHarm, SEED).run(arrivals))


@pytest.mark.parametrize("off", ABLATIONS)
def test_every_switch_can_be_thrown_and_leaves_nothing_behind(off):
    with mechanism_disabled(ABLATIONS[off]):
        pass
    assert play_without(CODELIJN, ALL_ON, SECONDS, LOAD, SEED) == usual()


@pytest.mark.parametrize(
    "off",
    [
        "several engines for one prompt",
        "harm to those who write",
        "harm to those who wait",
        "word of work between gateways",
    ],
)
def test_what_carries_the_load_is_missed_where_it_is_off(off):
    """Callers lose between 0.03 and 0.35 of the worth (four seeds, 40 s, 1.1 times).

    With everything on 0.905 of it is earned; 0.823 without several engines for one
    prompt, 0.768 without weighing harm to those who write, 0.847 to those who wait,
    0.582 where gateways don't tell each other.
    """
    without = play_without(CODELIJN, off, SECONDS, LOAD, SEED)
    assert without.value < usual().value
