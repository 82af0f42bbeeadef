"""Play the users' loads on emulated engines, and check what their callers get."""

from collections import Counter

import pytest

from cowslipshelf_emulator.internal.fleet import build
from cowslipshelf_emulator.internal.load import (
    COOPERATIVE,
    NILEGATE,
    Fleet,
    draw_arrivals,
)
from cowslipshelf_emulator.internal.policies import POLICIES
from cowslipshelf_emulator.internal.statistics import Figures, summarize

SECONDS = 20.0
SEED = 1


def play(fleet: Fleet, policy: str, load: float = 1.0) -> Figures:
    arrivals = draw_arrivals(fleet, SECONDS, load, SEED)
    return summarize(build(fleet, POLICIES[policy], SEED).run(arrivals))


def test_every_request_ends_exactly_once_and_leaves_nothing_behind():
    fleet = build(NILEGATE, POLICIES["least-harm"], SEED)
    arrivals = draw_arrivals(NILEGATE, SECONDS, 1.5, SEED)
    outcomes = fleet.run(arrivals)
    ended = Counter(outcome.arrival.request for outcome in outcomes)
    assert set(ended) == {arrival.request for arrival in arrivals}
    assert set(ended.values()) == {1}
    assert all(outcome.end for outcome in outcomes)
    assert not fleet.running
    for engine in fleet.engines.values():
        assert not (
            engine.prefills
            or engine.helper_prefills
            or engine.decodes
            or engine.slot_holders
        )
    assert not any(policy.tracker.placed for policy in fleet.policies)


def test_the_same_seed_gives_the_same_figures():
    assert play(NILEGATE, "least-harm") == play(NILEGATE, "least-harm")


@pytest.mark.parametrize("fleet", [NILEGATE, COOPERATIVE], ids=lambda each: each.name)
def test_weighing_harm_serves_all_kinds_better_than_counting_requests(fleet):
    """Dossiers take seven seconds where four are wanted, and questions stall.

    Routers that look at the number of requests read a long prompt on one engine, and
    put questions beside it. Measured in this play, Nilegate and the cooperative: worth
    0.75 and 0.67 with least outstanding, 0.99 and 0.96 with what gateways do.
    """
    counted, weighed = play(fleet, "least-outstanding"), play(fleet, "least-harm")
    assert weighed.value > counted.value + 0.1
    assert weighed.kinds["long"].in_time > counted.kinds["long"].in_time
    assert weighed.kinds["short"].in_time > counted.kinds["short"].in_time
    assert weighed.kinds["short"].in_time > 0.95


def test_short_questions_hardly_notice_long_prompts():
    """A question is answered as fast beside dossiers as without any."""
    only_short = NILEGATE._replace(
        rate_factors=tuple(
            (short, 0.0001, 0.0001) for short, _, _ in NILEGATE.rate_factors
        )
    )
    alone, beside = play(only_short, "least-harm"), play(NILEGATE, "least-harm")
    assert beside.kinds["short"].first_p95 < 1.2 * alone.kinds["short"].first_p95
