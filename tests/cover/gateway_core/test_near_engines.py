"""Check that prompts prefer engines in the gateway's own data centre."""

from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from common.gateway_samples import ENGINE
from cowslipshelf_core.gateway import (
    Distance,
    EngineCandidate,
    EnginePart,
    EngineTracker,
    EngineWork,
    PromptSize,
    PromptToPlace,
    place_prompt,
)

SHORT = PromptToPlace("short", PromptSize(5_000, 1_300), 0.3, 0.25, 10.0)
LONG = PromptToPlace("long", PromptSize(250_000, 700), 4.0, 1.0, 10.0)
NEAR = Distance("near", 0.05)


def engines(near: int, far: int, **fields) -> list[EngineCandidate]:
    return [
        EngineCandidate(f"near-{number}", data_centre="near") for number in range(near)
    ] + [
        EngineCandidate(f"far-{number}", data_centre="far", **fields)
        for number in range(far)
    ]


def place(prompt, candidates, distance, seed=0, tracker=None, now=0.2):
    return place_prompt(
        prompt,
        candidates,
        ENGINE,
        tracker or EngineTracker(),
        now,
        Random(seed),
        distance,
    )


def busy_tracker(engine_ids, seconds: float) -> EngineTracker:
    """Create a tracker of engines that prefill a part for some seconds."""
    tracker = EngineTracker()
    for engine_id in engine_ids:
        part = EnginePart(engine_id, seconds, 20, decodes=False)
        work = EngineWork(f"w-{engine_id}", (part,), 1.0, 4.0, 1.0)
        tracker.begin(work, "g", 0.0)
    return tracker


@pytest.mark.parametrize("seed", range(10))
def test_a_near_engine_is_chosen_if_forecasts_are_alike(seed):
    """Guards against events that cross data centres, and their links' losses."""
    candidates = engines(near=20, far=40)
    assert place(SHORT, candidates, NEAR, seed).upstream_id.startswith("near")


@pytest.mark.parametrize("seed", range(10))
def test_a_far_engine_is_chosen_if_near_ones_are_late(seed):
    """Guards against late answers from near engines beside free ones elsewhere."""
    candidates = engines(near=20, far=40)
    late = busy_tracker([f"near-{number}" for number in range(20)], 0.6)
    chosen = place(SHORT, candidates, NEAR, seed, late)
    assert chosen.upstream_id.startswith("far")
    assert chosen.first_token_seconds < 0.3


@pytest.mark.parametrize("seed", range(10))
def test_helpers_are_in_the_data_centre_of_the_decoder(seed):
    """Guards against parts of prompts that cross data centres without a gain."""
    chosen = place(LONG, engines(near=10, far=10), NEAR, seed)
    assert chosen.upstream_id.startswith("near")
    assert chosen.helpers
    assert all(helper.startswith("near") for helper in chosen.helpers)
    late = busy_tracker([f"near-{number}" for number in range(10)], 4.0)
    elsewhere = place(LONG, engines(near=10, far=10), NEAR, seed, late)
    assert elsewhere.helpers
    used = [elsewhere.upstream_id, *elsewhere.helpers]
    assert all(engine.startswith("far") for engine in used)


@given(
    st.integers(0, 2**32),
    st.integers(0, 30),
    st.integers(1, 30),
    st.sampled_from([SHORT, LONG]),
)
def test_without_a_crossing_cost_choices_and_random_draws_are_as_before(
    seed, near, far, prompt
):
    """Guards against deployments that are served differently without asking for it."""
    with_places, without = Random(seed), Random(seed)
    tracker = busy_tracker([f"far-{number}" for number in range(5)], 0.3)
    placed = [
        place_prompt(prompt, candidates, ENGINE, tracker, 0.2, random, *distance)
        for candidates, random, distance in (
            (engines(near, far), with_places, (Distance("near", 0.0),)),
            (
                [each._replace(data_centre="") for each in engines(near, far)],
                without,
                (),
            ),
        )
    ]
    assert placed[0] == placed[1]
    assert with_places.getstate() == without.getstate()
    expected = Random(seed)
    most = 8 if prompt is SHORT else 24
    expected.sample(range(near + far), min(most, near + far))
    assert without.getstate() == expected.getstate()


@given(st.integers(0, 2**32), st.integers(0, 12), st.integers(0, 12))
def test_a_short_prompt_is_placed_whatever_engines_are_near(seed, near, far):
    """Guards against a sample that asks for more engines than a data centre has."""
    candidates = engines(near, far)
    chosen = place(SHORT, candidates, NEAR, seed)
    if near:
        assert chosen.upstream_id.startswith("near")
    elif far:
        assert chosen.upstream_id.startswith("far")


@pytest.mark.parametrize("seed", range(10))
def test_an_engine_behind_a_lossy_link_is_used_only_if_others_have_no_room(seed):
    """Guards against pauses by lost packets, and against refusals that avoid them."""
    lossy = engines(near=4, far=4, surcharge=0.5)
    tracker = EngineTracker()
    for engine in range(4):
        for number in range(ENGINE.slots - 1):
            part = EnginePart(f"near-{engine}", 0.02, 1, decodes=True)
            work = EngineWork(f"w-{engine}-{number}", (part,), 1.5, 0.3, 0.25)
            tracker.begin(work, "g", 0.0)
            tracker.first_token(work.attempt_id, 0.1)
    near = place(SHORT, lossy, NEAR, seed, tracker, 0.5)
    assert near.upstream_id.startswith("near")
    for engine in range(4):
        part = EnginePart(f"near-{engine}", 0.02, 1, decodes=True)
        tracker.begin(EngineWork(f"l-{engine}", (part,), 1.5, 0.3, 0.25), "g", 0.0)
        tracker.first_token(f"l-{engine}", 0.1)
    far = place(SHORT, lossy, NEAR, seed, tracker, 0.5)
    assert far.upstream_id.startswith("far")


@pytest.mark.parametrize("prompt", [SHORT, LONG])
@pytest.mark.parametrize("seed", range(5))
def test_all_costs_on_idle_engines_are_weighted_by_rank(prompt, seed):
    """Guards against fixed costs that outweigh the lateness of low-ranked prompts.

    Nothing else runs, so that the whole cost is that of the prompt itself.
    """
    candidates = engines(near=2, far=12, surcharge=0.1)
    usual = place(prompt, candidates, NEAR, seed)
    halved = place(prompt._replace(weight=0.5), candidates, NEAR, seed)
    assert usual.cost > 0.0
    assert halved.cost == pytest.approx(0.5 * usual.cost)
    assert (halved.upstream_id, halved.helpers) == (usual.upstream_id, usual.helpers)


@pytest.mark.parametrize("seed", range(5))
def test_a_far_helper_costs_a_quarter_of_a_stream_that_crosses(seed):
    """Guards against long prompts kept from far helpers that are free."""
    candidates = engines(near=1, far=15)
    free = place(LONG, candidates, Distance("near", 0.0), seed)
    charged = place(LONG, candidates, Distance("near", 0.001), seed)
    assert charged.upstream_id == "near-0"
    assert charged.helpers
    assert len(charged.helpers) == len(free.helpers)
    crossings = 0.001 * 0.25 * len(charged.helpers)
    assert charged.cost - free.cost == pytest.approx(crossings)
