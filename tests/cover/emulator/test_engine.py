"""Check that an emulated engine works in passes as its published model describes."""

import pytest

from common.gateway_samples import ENGINE
from cowslipshelf_core.gateway import decode_pass_seconds, prefill_seconds
from cowslipshelf_emulator.internal.engine import EmulatedEngine, PrefillTask

URGENT, USUAL = 3, 5


def engine() -> EmulatedEngine:
    return EmulatedEngine("e", ENGINE)


def test_a_prompt_on_an_idle_engine_has_its_first_event_once_prefilled():
    alone = engine()
    alone.enqueue(PrefillTask("a", 2_000, 68), USUAL)
    step = decode_pass_seconds(ENGINE, 1, 2_000) / ENGINE.steps_per_pass
    seconds = alone.begin_pass()
    assert seconds == pytest.approx(prefill_seconds(ENGINE, 2_000) + step)
    assert alone.end_pass().events == ("a",)
    assert alone.begin_pass() == pytest.approx(decode_pass_seconds(ENGINE, 1, 2_034))
    assert alone.end_pass().finished == ("a",)
    assert alone.begin_pass() is None


def test_a_decoding_pass_prefills_one_chunk_in_each_step():
    """A long prefill delays the next event of a short prompt by half a second."""
    shared = engine()
    shared.enqueue(PrefillTask("question", 1_000, 3_400), USUAL)
    shared.begin_pass()
    shared.end_pass()
    quiet = shared.begin_pass()
    shared.end_pass()
    shared.enqueue(PrefillTask("file", 200_000, 340), USUAL)
    long = shared.begin_pass()
    assert quiet < 0.06
    assert long > quiet + ENGINE.steps_per_pass * ENGINE.chunk_tokens / 154_000
    assert (
        shared.prefills[0].prefilled_tokens
        == ENGINE.steps_per_pass * ENGINE.chunk_tokens
    )


def test_parts_for_other_engines_are_prefilled_first_and_the_newest_before():
    helper = engine()
    helper.enqueue(PrefillTask("own", 2_048, 34), USUAL)
    helper.add_helper_prefill(PrefillTask("first", 4_096, 0, parts=2))
    helper.add_helper_prefill(PrefillTask("second", 4_096, 0, parts=2))
    order = []
    for _ in range(3):
        helper.begin_pass()
        order += helper.end_pass().prefilled
    assert order == ["second", "first", "own"]


def test_the_most_urgent_is_admitted_first_when_a_slot_is_free():
    full = engine()
    for number in range(ENGINE.slots):
        full.enqueue(PrefillTask(f"r-{number}", 100, 340), USUAL)
    full.begin_pass()
    full.enqueue(PrefillTask("usual", 100, 34), USUAL)
    full.enqueue(PrefillTask("urgent", 100, 34), URGENT)
    full.end_pass()
    full.begin_pass()
    assert not {"usual", "urgent"} & full.slot_holders
    full.end_pass()
    full.drop("r-1")
    full.begin_pass()
    assert "urgent" in full.slot_holders
    assert "usual" not in full.slot_holders


def test_a_dropped_request_has_no_more_events():
    emulated = engine()
    emulated.enqueue(PrefillTask("gone", 1_000, 340), USUAL)
    emulated.begin_pass()
    emulated.drop("gone")
    assert emulated.end_pass().events == ()
    assert emulated.begin_pass() is None


def test_an_engine_helps_as_many_as_it_has_slots_and_refuses_more():
    helper = engine()
    taken = [
        helper.add_helper_prefill(PrefillTask(f"r-{number}", 4_096, 0, parts=2))
        for number in range(ENGINE.slots + 1)
    ]
    assert taken == [True] * ENGINE.slots + [False]
