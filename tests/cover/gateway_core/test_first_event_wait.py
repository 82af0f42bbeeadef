"""Check how long a gateway waits for a first event before it tries another engine."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from common.gateway_samples import ENGINE
from cowslipshelf_core.gateway import (
    EnginePart,
    EngineTracker,
    EngineWork,
    FirstEventWait,
    abandon_seconds,
)

SHORT = FirstEventWait(objective_seconds=0.3, pause_seconds=0.25, predicted_seconds=0.1)
MIDDLE = FirstEventWait(
    objective_seconds=1.5, pause_seconds=0.6, predicted_seconds=0.38
)
SHORT_PATIENCE_SECONDS = abandon_seconds(0.3, 0.25)
SECONDS = st.floats(0.0, 20.0)
waits = st.builds(
    FirstEventWait,
    objective_seconds=st.floats(0.1, 5.0),
    pause_seconds=st.floats(0.0, 2.0),
    predicted_seconds=st.floats(0.0, 5.0),
)


def time_of_giving_up(wait: FirstEventWait, ready_at: float) -> float:
    """Follow an attempt on an engine that stays silent; return when it is moved."""
    waited = wait.first_check_seconds
    while left := wait.left_seconds(waited, ready_at - waited):
        waited += left
    return waited


def test_an_engine_that_reads_a_part_placed_later_is_waited_for():
    """Guards against a sound engine that is given up just before its first event.

    A part of a very long prompt was placed there 30 ms later and goes first. The
    silence was longer than twice the prediction, and nearly nothing was left to read.
    """
    waited = 1.69
    assert MIDDLE.left_seconds(waited, due_seconds=0.1) > 0.1
    assert time_of_giving_up(MIDDLE, ready_at=1.8) > 2.2


def test_a_short_prompt_leaves_a_dead_engine_while_its_caller_still_waits():
    """Guards against a move at 1.9 s of the 2 s for which a caller waits.

    A dead engine seems to read the parts that were placed on it.
    """
    for ready_at in (0.1, 0.8, 1.3, 1.9, 3.0):
        moved = time_of_giving_up(SHORT, ready_at)
        assert moved + SHORT.predicted_seconds < 0.9 * SHORT_PATIENCE_SECONDS


def test_a_dead_engine_without_other_work_is_left_at_the_first_look():
    """Guards against waiting for an engine that has nothing to read."""
    moved = time_of_giving_up(SHORT, ready_at=SHORT.predicted_seconds)
    assert moved == SHORT.first_check_seconds


def test_an_engine_is_kept_when_no_other_could_answer_before_the_caller_leaves():
    """Guards against a very long prompt that is moved, read again and then refused."""
    dossier = FirstEventWait(
        objective_seconds=4.0, pause_seconds=1.0, predicted_seconds=11.3
    )
    assert time_of_giving_up(dossier, ready_at=13.0) >= 14.0


@given(wait=waits, waited=SECONDS, due=st.floats(-5.0, 20.0))
def test_a_wait_is_never_longer_than_the_forecast_allows(wait, waited, due):
    left = wait.left_seconds(waited, due)
    assert 0.0 <= left <= max(0.0, due + wait.margin_seconds)


@given(wait=waits, ready_at=SECONDS)
def test_every_wait_for_a_silent_engine_ends(wait, ready_at):
    latest = max(wait.first_check_seconds, ready_at + wait.margin_seconds)
    assert time_of_giving_up(wait, ready_at) <= latest + 0.01


def test_a_forecast_includes_parts_that_were_placed_later():
    """Guards against a silence judged by the forecast of the moment of placing."""
    tracker = EngineTracker()
    own = EnginePart("e", 0.3, 20, decodes=True)
    later = EnginePart("e", 1.5, 30, decodes=False)
    tracker.begin(EngineWork("own", (own,), 5.0, 1.5, 0.6), "g", 0.0)
    tracker.begin(EngineWork("later", (later,), 50.0, 4.0, 1.0), "h", 0.03)
    tracker.view("e", ENGINE, 0.05)
    assert tracker.prefill_due_seconds("own", 0.4) == pytest.approx(1.4, abs=0.1)
    assert tracker.prefill_due_seconds("own", 2.0) == pytest.approx(-0.2, abs=0.1)
    assert tracker.prefill_due_seconds("unknown", 2.0) == 0.0


def test_a_part_is_overdue_from_the_end_of_the_pass_that_prefills_it():
    """Guards against a dead engine whose simulated passes go on for other answers."""
    tracker = EngineTracker()
    writer = EnginePart("e", 0.02, 1, decodes=True)
    own = EnginePart("e", 0.05, 3, decodes=True)
    tracker.begin(EngineWork("writer", (writer,), 1.0, 0.3, 0.25), "g", 0.0)
    tracker.first_token("writer", 0.1)
    tracker.view("e", ENGINE, 0.2)
    tracker.begin(EngineWork("own", (own,), 1.0, 0.3, 0.25), "g", 0.2)
    for now in (0.5, 1.0, 2.0):
        assert tracker.prefill_due_seconds("own", now) == pytest.approx(
            0.35 - now, abs=0.1
        )
