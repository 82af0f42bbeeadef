"""Check which prompts share engines, under loads like those of both users."""

from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from common.gateway_samples import ENGINE
from cowslipshelf_core.gateway import (
    EngineCandidate,
    EnginePart,
    EnginesChosen,
    EngineTracker,
    EngineView,
    EngineWork,
    NoEngine,
    PromptSize,
    PromptToPlace,
    WorkHeld,
    place_prompt,
    prefill_seconds,
)

SHORT = PromptSize(5_000, 1_300)
LONG = PromptSize(182_000, 700)
ALL_PASSES_ENDED = 60.0
"""Time after the end of every pass, in seconds."""


class Load:
    """Place prompts one after the other with one tracker."""

    def __init__(self, engines: int, seed: int = 0) -> None:
        self.tracker = EngineTracker()
        self.candidates = [EngineCandidate(f"e-{number}") for number in range(engines)]
        self.random = Random(seed)
        self.placed = 0

    def place(
        self, size: PromptSize, now: float, objective: float, pause: float
    ) -> EnginesChosen | NoEngine:
        self.placed += 1
        prompt = PromptToPlace(f"a-{self.placed}", size, objective, pause, 10.0)
        chosen = place_prompt(
            prompt, self.candidates, ENGINE, self.tracker, now, self.random
        )
        if isinstance(chosen, EnginesChosen):
            self.tracker.begin(chosen.work, "gateway", now)
        return chosen

    def views(self, now: float) -> list[EngineView]:
        return [
            self.tracker.view(candidate.upstream_id, ENGINE, now)
            for candidate in self.candidates
        ]

    def short(self, now: float) -> EnginesChosen | NoEngine:
        return self.place(SHORT, now, objective=0.3, pause=0.25)

    def long(self, now: float) -> EnginesChosen | NoEngine:
        return self.place(LONG, now, objective=4.0, pause=1.0)


def test_a_long_prompt_is_prefilled_by_several_engines_if_one_is_too_slow():
    """Guards against a first token after six seconds with an objective of four.

    One engine alone takes longer to prefill the prompt than its objective, while the
    others are idle.
    """
    load = Load(engines=14)
    chosen = load.place(PromptSize(250_000, 700), 0.0, objective=4.0, pause=1.0)
    assert prefill_seconds(ENGINE, 250_000) > 4.0
    assert len(chosen.helpers) >= 1
    assert chosen.first_token_seconds < 0.7 * 4.0


def test_a_short_prompt_avoids_engines_that_prefill_a_long_one():
    """Guards against a short prompt that waits for a long one beside free engines."""
    for seed in range(20):
        load = Load(engines=14, seed=seed)
        long = load.long(0.0)
        busy = {long.upstream_id, *long.helpers}
        short = load.short(0.01)
        assert short.upstream_id not in busy
        assert short.first_token_seconds < 0.3


def test_a_long_prompt_avoids_engines_that_decode_short_ones():
    """Guards against answers to short prompts that pause for half a second.

    A long prompt is prefilled in the passes that decode; each such pass takes as long
    as the chunks that are prefilled in it.
    """
    for seed in range(20):
        load = Load(engines=14, seed=seed)
        decoding = set()
        for number in range(20):
            short = load.short(number * 0.05)
            load.tracker.first_token(short.work.attempt_id, number * 0.05)
            decoding.add(short.upstream_id)
        long = load.long(1.2)
        assert not decoding & {long.upstream_id, *long.helpers}


def test_gateways_that_share_their_work_do_not_choose_the_same_engine():
    """Guards against gateways that all choose the engine that looks idle to them."""
    load = Load(engines=14)
    first = load.long(0.0)
    second = load.long(0.002)
    assert second.upstream_id not in {first.upstream_id, *first.helpers}


def test_gateways_that_place_at_the_same_moment_rarely_choose_one_engine():
    """Guards against twenty gateways that choose the one engine that costs least.

    None has received the others' placements yet. One engine costs a little less than
    the rest, since an attempt decodes there already.
    """
    chosen = []
    for seed in range(20):
        load = Load(engines=78, seed=seed)
        part = EnginePart("e-5", 0.02, 1, decodes=True)
        load.tracker.begin(EngineWork("w", (part,), 1.5, 0.3, 0.25), "g", 0.0)
        load.tracker.first_token("w", 0.1)
        chosen.append(load.short(0.2).upstream_id)
    assert chosen.count("e-5") <= 10
    assert len(set(chosen)) >= 10


def test_a_prompt_that_needs_several_engines_is_placed_if_few_are_free():
    """Guards against a refusal for lack of memory although enough engines have it."""
    for seed in range(10):
        load = Load(engines=78, seed=seed)
        for number in range(74):
            part = EnginePart(f"e-{number}", 0.0, 1, True, ENGINE.memory_tokens)
            load.tracker.begin(EngineWork(f"w-{number}", (part,), 1, 1, 1), "g", 0.0)
        chosen = load.place(PromptSize(600_000, 700), 1.0, objective=4.0, pause=1.0)
        assert isinstance(chosen, EnginesChosen)


def test_a_prompt_too_large_for_any_engine_is_split_across_several():
    """Guards against a refusal of half a million tokens although engines are idle."""
    load = Load(engines=4)
    chosen = load.place(PromptSize(500_000, 700), 0.0, objective=4.0, pause=1.0)
    held = [part.memory_tokens for part in chosen.work.parts]
    assert sum(held) >= 500_700
    assert max(held) <= ENGINE.memory_tokens
    assert min(held) > 0


def test_a_prompt_too_large_for_all_engines_together_is_refused_at_once():
    load = Load(engines=2)
    chosen = load.place(PromptSize(900_000, 700), 0.0, objective=4.0, pause=1.0)
    assert isinstance(chosen, NoEngine)
    assert "memory" in chosen.reason


def test_a_prompt_that_cannot_be_answered_in_time_is_refused_with_a_retry_time():
    load = Load(engines=1)
    for _ in range(2):
        load.long(0.0)
    prompt = PromptToPlace("late", SHORT, 0.3, 0.25, 2.0)
    chosen = place_prompt(
        prompt, load.candidates, ENGINE, load.tracker, 0.1, load.random
    )
    assert isinstance(chosen, NoEngine)
    assert chosen.retry_after_seconds > 1.0


@given(st.lists(st.integers(1, 900_000), min_size=1, max_size=40), st.integers(1, 20))
def test_parts_are_on_different_engines_and_memory_is_never_exceeded(sizes, engines):
    load = Load(engines)
    for number, tokens in enumerate(sizes):
        chosen = load.place(PromptSize(tokens, 700), number * 0.1, 4.0, 1.0)
        if isinstance(chosen, NoEngine):
            continue
        used = [chosen.upstream_id, *chosen.helpers]
        assert len(set(used)) == len(used)
        assert len(chosen.helpers) <= 16
    for candidate in load.candidates:
        view = load.tracker.view(candidate.upstream_id, ENGINE, 0.0)
        assert view.memory_tokens <= ENGINE.memory_tokens


@given(st.lists(st.integers(0, 2), max_size=60))
def test_a_tracker_is_empty_when_all_work_has_ended(steps):
    load = Load(engines=6)
    running = []
    for number, step in enumerate(steps):
        match step:
            case 0:
                chosen = load.short(number * 0.05)
            case 1:
                chosen = load.long(number * 0.05)
            case 2:
                if running:
                    load.tracker.end(running.pop(0), number * 0.05)
                continue
        if isinstance(chosen, EnginesChosen):
            running.append(chosen.work.attempt_id)
    for attempt_id in running:
        load.tracker.end(attempt_id, 9.0)
    assert load.tracker.placed == {}
    assert load.views(ALL_PASSES_ENDED) == [EngineView()] * 6


def test_work_of_a_restarted_gateway_no_longer_counts():
    """Guards against short prompts that wait for attempts that no longer run.

    A gateway is killed while it has long prompts on engines. The engines drop them, but
    the other gateways receive no report of their end.
    """
    load = Load(engines=2)
    load.long(0.0)
    assert load.tracker.placed
    load.tracker.forget_owner("gateway", 1.0)
    assert load.tracker.placed == {}
    assert load.views(ALL_PASSES_ENDED) == [EngineView()] * 2


def test_reports_about_a_removed_engine_change_nothing():
    """Guards against a stream that fails although its own engine is healthy.

    An engine that helped with its prefill fell silent and was removed; the report that
    the prefill is done still names it.
    """
    load = Load(engines=4)
    long = load.long(0.0)
    assert long.helpers
    load.tracker.forget_engine(long.helpers[0])
    load.tracker.first_token(long.work.attempt_id, 1.0)
    load.tracker.end(long.work.attempt_id, 2.0)
    assert load.views(ALL_PASSES_ENDED) == [EngineView()] * 4


def test_engines_whose_steps_take_no_time_are_still_used():
    """Guards against placements that never finish if a step is configured as zero."""
    model = ENGINE._replace(
        step_seconds=0.0,
        step_seconds_per_decode=0.0,
        step_seconds_per_context_token=0.0,
    )
    tracker = EngineTracker()
    part = EnginePart("e", 0.02, 1, decodes=True)
    tracker.begin(EngineWork("w", (part,), 1.5, 0.3, 0.25), "g", 0.0)
    tracker.first_token("w", 0.1)
    assert tracker.view("e", model, 0.5).is_decoding


def test_a_new_gateway_learns_what_runs():
    """Guards against first prompts on engines that are busy with long prefills."""
    old, new = Load(engines=14), Load(engines=14)
    long = old.long(0.0)
    new.tracker.replace("gateway", old.tracker.snapshot_of("gateway", 0.3), 10.0)
    for candidate in old.candidates:
        seen = old.tracker.view(candidate.upstream_id, ENGINE, 0.3)
        reported = new.tracker.view(candidate.upstream_id, ENGINE, 10.0)
        assert reported.backlog_seconds == pytest.approx(seen.backlog_seconds)
    short = new.short(10.0)
    assert short.upstream_id not in {long.upstream_id, *long.helpers}


def test_attempts_that_are_reported_again_do_not_become_late():
    """Guards against paused answers after a report was lost and requested again.

    The first events had come in time. Reported again seconds later, the attempts
    counted as late already, and a long prompt was prefilled beside them.
    """
    old, new = Load(engines=1), Load(engines=1)
    short = old.short(0.0)
    old.tracker.first_token(short.work.attempt_id, 0.1)
    for tracker in (old.tracker, new.tracker):
        tracker.replace("gateway", old.tracker.snapshot_of("gateway", 2.0), 2.0)
        tracker.replace("gateway", old.tracker.snapshot_of("gateway", 3.0), 3.0)
        (decoder,) = tracker.view("e-0", ENGINE, 3.0).decoding_attempts
        assert not decoder.late
        assert tracker.view("e-0", ENGINE, 3.0).is_decoding


def test_attempts_missing_from_a_snapshot_have_ended():
    load = Load(engines=4)
    load.long(0.0)
    load.tracker.replace("gateway", WorkHeld(()), 1.0)
    assert load.tracker.placed == {}


def test_a_part_for_another_engine_goes_before_pending_parts():
    """Guards against a first token seconds after its predicted time.

    Parts that an engine prefills for others go before its own prompts. Placed on it one
    after the other, they starve the prompt that came first.
    """
    tracker = EngineTracker()
    own = EnginePart("e", 1.0, 10, decodes=True)
    other = EnginePart("e", 0.5, 5, decodes=False)
    tracker.begin(EngineWork("first", (own,), 1.0, 4.0, 1.0), "g", 0.0)
    tracker.begin(EngineWork("second", (other,), 1.0, 4.0, 1.0), "g", 0.2)
    tracker.begin(EngineWork("third", (other,), 1.0, 4.0, 1.0), "g", 0.4)
    pending = tracker.view("e", ENGINE, 0.5).pending_parts
    order = [each.work.attempt_id for each in pending]
    left = [each.left_seconds for each in pending]
    assert order == ["third", "second", "first"]
    assert left == pytest.approx([0.4, 0.3, 0.8])


def test_parts_are_prefilled_one_after_the_other():
    """Guards against an engine that looks idle while seconds of prefill are left."""
    tracker = EngineTracker()
    for number in range(4):
        part = EnginePart("e", 1.0, 10, decodes=False)
        work = EngineWork(f"a-{number}", (part,), 1.0, 4.0, 1.0)
        tracker.begin(work, "g", 0.0)
    assert tracker.view("e", ENGINE, 1.5).backlog_seconds == pytest.approx(2.5)


def tracker_with_a_long_prefill_beside_a_decode() -> EngineTracker:
    tracker = EngineTracker()
    own = EnginePart("e", 0.1, 1, decodes=True)
    other = EnginePart("e", 1.9, 30, decodes=False)
    tracker.begin(EngineWork("own", (own,), 1.0, 0.3, 0.25), "g", 0.0)
    tracker.view("e", ENGINE, 0.0)
    assert tracker.excused_seconds("own", 0.05) == 0.0
    tracker.begin(EngineWork("long", (other,), 1.0, 4.0, 1.0), "g", 0.2)
    return tracker


def test_a_silence_is_excused_while_the_engine_prefills_for_others():
    """Guards against streams that all move and are prefilled again after a long pass.

    An engine that prefills a very long prompt sends no event for two seconds; the
    gateways of its streams took it for dead.
    """
    tracker = tracker_with_a_long_prefill_beside_a_decode()
    assert 1.0 < tracker.excused_seconds("own", 0.9) < 2.0
    tracker.first_token("long", 2.2)
    assert tracker.excused_seconds("own", 2.3) == 0.0


def test_a_prompt_that_arrives_during_a_long_pass_goes_to_another_engine():
    """Guards against a first token that takes a second beside idle engines.

    A decoding engine has just begun a pass that prefills a long prompt. No prefill is
    pending there, so it looked as free as any other.
    """
    for seed in range(20):
        load = Load(engines=2, seed=seed)
        busy = EnginePart("e-0", 0.02, 1, decodes=True)
        load.tracker.begin(EngineWork("w", (busy,), 1.5, 0.3, 0.25), "g", 0.0)
        load.tracker.first_token("w", 0.1)
        load.tracker.view("e-0", ENGINE, 0.15)
        part = EnginePart("e-0", 1.2, 30, decodes=False)
        load.tracker.begin(EngineWork("long", (part,), 5.0, 4.0, 1.0), "g", 0.2)
        short = load.short(0.4)
        assert short.upstream_id == "e-1"
        assert short.first_token_seconds < 0.2


def test_a_decode_that_is_late_already_does_not_repel_a_long_prompt():
    """Guards against long prompts that each make the answers of further engines late.

    On an engine whose answers are late already, a prefill does no more harm.
    """
    load = Load(engines=3)
    for number in range(3):
        part = EnginePart(f"e-{number}", 0.02, 1, decodes=True)
        name = f"w-{number}"
        load.tracker.begin(EngineWork(name, (part,), 6.0, 0.3, 0.25), "g", 0.0)
        load.tracker.first_token(name, 0.9 if number == 1 else 0.1)
    chosen = load.place(PromptSize(60_000, 700), 1.0, objective=6.0, pause=1.0)
    assert [part.upstream_id for part in chosen.work.parts] == ["e-1"]


def test_attempts_on_a_dead_engine_do_not_excuse_each_other():
    """Guards against two prompts that wait on a dead engine until their callers leave.

    Each gateway explains the silence by the other's prefill, which never ends either.
    """
    tracker = tracker_with_a_long_prefill_beside_a_decode()
    assert tracker.excused_seconds("own", 2.6) == 0.0
    assert tracker.excused_seconds("long", 2.6) == 0.0


def test_a_silence_is_excused_by_the_pending_prefills_of_a_helper():
    """Guards against a long prompt that is moved after three seconds of silence.

    Its own engine is idle; its helper was given parts of other prompts, which go first.
    """
    tracker = EngineTracker()
    decoder = EnginePart("decoder", 0.5, 8, decodes=True)
    helper = EnginePart("helper", 0.5, 8, decodes=False)
    tracker.begin(EngineWork("dossier", (decoder, helper), 1.0, 4.0, 1.0), "g", 0.0)
    ahead = EnginePart("helper", 3.0, 40, decodes=False)
    tracker.begin(EngineWork("later", (ahead,), 1.0, 4.0, 1.0), "g", 0.1)
    for engine in ("decoder", "helper"):
        tracker.view(engine, ENGINE, 0.2)
    assert tracker.excused_seconds("dossier", 2.0) > 1.0
    assert tracker.excused_seconds("dossier", 4.0) == 0.0
    assert tracker.excused_seconds("unknown", 2.0) == 0.0


def test_a_short_prompt_goes_to_the_fullest_engine_that_keeps_a_slot_free():
    """Guards against a few short answers on every engine when long prompts come.

    Each pass that prefills a part of a long prompt then delays them all by seconds,
    and their callers leave. The last slot is left to what other gateways place.
    """
    load = Load(engines=4)
    for engine, decoding in (("e-0", 4), ("e-1", 1), ("e-2", ENGINE.slots - 1)):
        for number in range(decoding):
            part = EnginePart(engine, 0.02, 1, decodes=True)
            work = EngineWork(f"{engine}-{number}", (part,), 1.5, 0.3, 0.25)
            load.tracker.begin(work, "g", 0.0)
            load.tracker.first_token(work.attempt_id, 0.2)
    assert load.short(0.5).upstream_id == "e-0"


def test_a_pass_that_makes_callers_leave_costs_more_than_a_late_answer():
    """Guards against a long prompt in time at the cost of callers that get nothing.

    An engine writes two short answers; a long prompt there makes passes of nearly two
    seconds. The only other engine would answer it a little late.
    """
    load = Load(engines=2)
    for number in range(2):
        part = EnginePart("e-0", 0.02, 1, decodes=True)
        work = EngineWork(f"w-{number}", (part,), 1.5, 0.3, 0.25)
        load.tracker.begin(work, "g", 0.0)
        load.tracker.first_token(work.attempt_id, 0.1)
    part = EnginePart("e-1", 2.5, 80, decodes=True)
    load.tracker.begin(EngineWork("long", (part,), 15.0, 8.0, 1.0), "g", 0.0)
    chosen = load.place(PromptSize(240_000, 700), 0.2, objective=8.0, pause=1.0)
    assert [part.upstream_id for part in chosen.work.parts] == ["e-1"]


def test_a_long_prompt_is_split_among_engines_that_are_not_slow():
    """Guards against a prompt of which one part waits for an engine at a third."""
    for seed in range(20):
        load = Load(engines=24, seed=seed)
        load.candidates = [
            EngineCandidate(f"e-{number}", 3.0 if number % 4 == 0 else 1.0)
            for number in range(24)
        ]
        chosen = load.place(PromptSize(250_000, 700), 0.0, objective=4.0, pause=1.0)
        used = {chosen.upstream_id, *chosen.helpers}
        slow = {each.upstream_id for each in load.candidates if each.slowness > 1.0}
        assert not used & slow


def test_the_parts_that_wait_on_a_slow_engine_take_longer_too():
    """Guards against a prompt behind a queue that takes three times its forecast."""

    def first_token_seconds(pending_slowness: float) -> float:
        load = Load(engines=1)
        load.place(PromptSize(40_000, 100), 0.0, objective=4.0, pause=1.0)
        load.candidates = [
            EngineCandidate("e-0", 3.0, pending_slowness=pending_slowness)
        ]
        return load.short(0.001).first_token_seconds

    waiting = prefill_seconds(ENGINE, 40_000)
    assert first_token_seconds(3.0) - first_token_seconds(1.0) > waiting
