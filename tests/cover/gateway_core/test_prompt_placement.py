"""Check who shares an engine with whom, on loads like those of both users."""

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
LONG_AFTER = 60.0
"""Time at which every pass under way has ended, in seconds."""


class Load:
    """Place prompts one after the other on one board."""

    def __init__(self, engines: int, seed: int = 0) -> None:
        self.board = EngineTracker()
        self.candidates = [EngineCandidate(f"e-{number}") for number in range(engines)]
        self.random = Random(seed)
        self.placed = 0

    def place(
        self, size: PromptSize, now: float, objective: float, pause: float
    ) -> EnginesChosen | NoEngine:
        self.placed += 1
        asked = PromptToPlace(f"a-{self.placed}", size, objective, pause, 10.0)
        chosen = place_prompt(
            asked, self.candidates, ENGINE, self.board, now, self.random
        )
        if isinstance(chosen, EnginesChosen):
            self.board.begin(chosen.work, "gateway", now)
        return chosen

    def views(self, now: float) -> list[EngineView]:
        return [
            self.board.view(candidate.upstream_id, ENGINE, now)
            for candidate in self.candidates
        ]

    def short(self, now: float) -> EnginesChosen | NoEngine:
        return self.place(SHORT, now, objective=0.3, pause=0.25)

    def long(self, now: float) -> EnginesChosen | NoEngine:
        return self.place(LONG, now, objective=4.0, pause=1.0)


def test_a_long_prompt_is_read_by_several_engines_where_one_is_too_slow():
    """A tax file's summary begins after six seconds where four are wanted.

    One engine alone takes longer to read the prompt than its objective, while the
    others have nothing to do.
    """
    load = Load(engines=14)
    chosen = load.place(PromptSize(250_000, 700), 0.0, objective=4.0, pause=1.0)
    assert prefill_seconds(ENGINE, 250_000) > 4.0
    assert len(chosen.helpers) >= 1
    assert chosen.first_token_seconds < 0.7 * 4.0


def test_a_short_prompt_keeps_off_engines_that_read_a_long_one():
    """A desk question waits seconds behind a tax file although engines are free."""
    for seed in range(20):
        load = Load(engines=14, seed=seed)
        long = load.long(0.0)
        busy = {long.upstream_id, *long.helpers}
        short = load.short(0.01)
        assert short.upstream_id not in busy
        assert short.first_token_seconds < 0.3


def test_a_long_prompt_keeps_off_engines_that_write_for_short_ones():
    """Answers to desk questions stall for half a second in the middle.

    A long prompt is read between the tokens of those who write; each pass of such an
    engine takes as long as the chunks that are read in it.
    """
    for seed in range(20):
        load = Load(engines=14, seed=seed)
        writing = set()
        for number in range(20):
            short = load.short(number * 0.05)
            load.board.first_token(short.work.attempt_id, number * 0.05)
            writing.add(short.upstream_id)
        long = load.long(1.2)
        assert not writing & {long.upstream_id, *long.helpers}


def test_gateways_that_tell_each_other_do_not_choose_the_same_engine():
    """Several gateways send their prompts to the engine that looked idle to all."""
    load = Load(engines=14)
    first = load.long(0.0)
    second = load.long(0.002)
    assert second.upstream_id not in {first.upstream_id, *first.helpers}


def test_gateways_that_place_at_the_same_moment_rarely_meet_on_one_engine():
    """Twenty gateways send a question to the one engine that looks cheapest to all.

    None has heard of the others' yet. One engine is a little cheaper than the rest,
    since somebody writes there already.
    """
    chosen = []
    for seed in range(20):
        load = Load(engines=78, seed=seed)
        part = EnginePart("e-5", 0.02, 1, decodes=True)
        load.board.begin(EngineWork("w", (part,), 1.5, 0.3, 0.25), "g", 0.0)
        load.board.first_token("w", 0.1)
        chosen.append(load.short(0.2).upstream_id)
    assert chosen.count("e-5") <= 10
    assert len(set(chosen)) >= 10


def test_a_prompt_that_needs_many_memories_is_placed_where_few_engines_are_free():
    """A ledger is refused for want of memory though enough engines have it."""
    for seed in range(10):
        load = Load(engines=78, seed=seed)
        for number in range(74):
            part = EnginePart(f"e-{number}", 0.0, 1, True, ENGINE.memory_tokens)
            load.board.begin(EngineWork(f"w-{number}", (part,), 1, 1, 1), "g", 0.0)
        chosen = load.place(PromptSize(600_000, 700), 1.0, objective=4.0, pause=1.0)
        assert isinstance(chosen, EnginesChosen)


def test_a_prompt_above_every_memory_is_held_by_several_engines_together():
    """A ledger of half a million tokens is refused although engines are idle."""
    load = Load(engines=4)
    chosen = load.place(PromptSize(500_000, 700), 0.0, objective=4.0, pause=1.0)
    held = [part.memory_tokens for part in chosen.work.parts]
    assert sum(held) >= 500_700
    assert max(held) <= ENGINE.memory_tokens
    assert min(held) > 0


def test_a_prompt_above_all_memories_together_is_refused_at_once():
    load = Load(engines=2)
    chosen = load.place(PromptSize(900_000, 700), 0.0, objective=4.0, pause=1.0)
    assert isinstance(chosen, NoEngine)
    assert "memory" in chosen.reason


def test_a_prompt_that_cannot_be_answered_in_time_is_refused_with_the_wait():
    load = Load(engines=1)
    for _ in range(2):
        load.long(0.0)
    asked = PromptToPlace("late", SHORT, 0.3, 0.25, 2.0)
    chosen = place_prompt(asked, load.candidates, ENGINE, load.board, 0.1, load.random)
    assert isinstance(chosen, NoEngine)
    assert chosen.retry_after_seconds > 1.0


@given(st.lists(st.integers(1, 900_000), min_size=1, max_size=40), st.integers(1, 20))
def test_parts_are_on_different_engines_and_memory_is_never_overbooked(sizes, engines):
    load = Load(engines)
    for number, tokens in enumerate(sizes):
        chosen = load.place(PromptSize(tokens, 700), number * 0.1, 4.0, 1.0)
        if isinstance(chosen, NoEngine):
            continue
        used = [chosen.upstream_id, *chosen.helpers]
        assert len(set(used)) == len(used)
        assert len(chosen.helpers) <= 16
    for candidate in load.candidates:
        view = load.board.view(candidate.upstream_id, ENGINE, 0.0)
        assert view.memory_tokens <= ENGINE.memory_tokens


@given(st.lists(st.integers(0, 2), max_size=60))
def test_a_board_is_empty_when_all_work_has_ended(steps):
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
                    load.board.end(running.pop(0), number * 0.05)
                continue
        if isinstance(chosen, EnginesChosen):
            running.append(chosen.work.attempt_id)
    for attempt_id in running:
        load.board.end(attempt_id, 9.0)
    assert load.board.placed == {}
    assert load.views(LONG_AFTER) == [EngineView()] * 6


def test_work_of_a_gateway_that_started_again_no_longer_counts():
    """Short prompts wait behind work that nobody does.

    A gateway is killed while it has long prompts on engines. The engines drop them,
    but nobody tells the other gateways of their end.
    """
    load = Load(engines=2)
    load.long(0.0)
    assert load.board.placed
    load.board.forget_owner("gateway", 1.0)
    assert load.board.placed == {}
    assert load.views(LONG_AFTER) == [EngineView()] * 2


def test_word_of_an_engine_that_was_forgotten_changes_nothing():
    """A stream is cut although its own engine is well.

    An engine that helped to read its prompt fell silent and was forgotten; the word
    that the prompt has been read names it still.
    """
    load = Load(engines=4)
    long = load.long(0.0)
    assert long.helpers
    load.board.forget_engine(long.helpers[0])
    load.board.first_token(long.work.attempt_id, 1.0)
    load.board.end(long.work.attempt_id, 2.0)
    assert load.views(LONG_AFTER) == [EngineView()] * 4


def test_engines_whose_steps_take_no_time_are_placed_on_all_the_same():
    """Each placing fails, by a configuration that gives no time to a step."""
    model = ENGINE._replace(
        step_seconds=0.0,
        step_seconds_per_decode=0.0,
        step_seconds_per_context_token=0.0,
    )
    board = EngineTracker()
    part = EnginePart("e", 0.02, 1, decodes=True)
    board.begin(EngineWork("w", (part,), 1.5, 0.3, 0.25), "g", 0.0)
    board.first_token("w", 0.1)
    assert board.view("e", model, 0.5).is_decoding


def test_a_gateway_that_has_just_started_learns_what_runs():
    """The first prompts after a restart go to engines that are reading for seconds."""
    old, new = Load(engines=14), Load(engines=14)
    long = old.long(0.0)
    new.board.replace("gateway", old.board.snapshot_of("gateway", 0.3), 10.0)
    for candidate in old.candidates:
        seen = old.board.view(candidate.upstream_id, ENGINE, 0.3)
        told = new.board.view(candidate.upstream_id, ENGINE, 10.0)
        assert told.backlog_seconds == pytest.approx(seen.backlog_seconds)
    short = new.short(10.0)
    assert short.upstream_id not in {long.upstream_id, *long.helpers}


def test_writers_that_are_told_of_again_do_not_become_late_by_it():
    """Questions stall after word of work was lost and asked for.

    Their first events had come in time. Told of again seconds later, they counted as
    spoilt already, and a long prompt was read beside them.
    """
    old, new = Load(engines=1), Load(engines=1)
    short = old.short(0.0)
    old.board.first_token(short.work.attempt_id, 0.1)
    for board in (old.board, new.board):
        board.replace("gateway", old.board.snapshot_of("gateway", 2.0), 2.0)
        board.replace("gateway", old.board.snapshot_of("gateway", 3.0), 3.0)
        (writer,) = board.view("e-0", ENGINE, 3.0).decoding_attempts
        assert not writer.late
        assert board.view("e-0", ENGINE, 3.0).is_decoding


def test_what_a_gateway_no_longer_tells_of_has_ended():
    load = Load(engines=4)
    load.long(0.0)
    load.board.replace("gateway", WorkHeld(()), 1.0)
    assert load.board.placed == {}


def test_a_part_read_for_another_engine_goes_ahead_of_what_waits():
    """A digest's first token comes seconds after it was promised.

    Parts that an engine reads for others go ahead of its own prompts. Placed on it
    one after the other, they starve the prompt that came first.
    """
    board = EngineTracker()
    own = EnginePart("e", 1.0, 10, decodes=True)
    other = EnginePart("e", 0.5, 5, decodes=False)
    board.begin(EngineWork("first", (own,), 1.0, 4.0, 1.0), "g", 0.0)
    board.begin(EngineWork("second", (other,), 1.0, 4.0, 1.0), "g", 0.2)
    board.begin(EngineWork("third", (other,), 1.0, 4.0, 1.0), "g", 0.4)
    unread = board.view("e", ENGINE, 0.5).pending_parts
    order = [each.work.attempt_id for each in unread]
    left = [each.left_seconds for each in unread]
    assert order == ["third", "second", "first"]
    assert left == pytest.approx([0.4, 0.3, 0.8])


def test_parts_do_not_proceed_side_by_side():
    """An engine that has seconds to read looks idle soon."""
    board = EngineTracker()
    for number in range(4):
        part = EnginePart("e", 1.0, 10, decodes=False)
        work = EngineWork(f"a-{number}", (part,), 1.0, 4.0, 1.0)
        board.begin(work, "g", 0.0)
    assert board.view("e", ENGINE, 1.5).backlog_seconds == pytest.approx(2.5)


def board_with_a_long_read_beside_a_writer() -> EngineTracker:
    board = EngineTracker()
    own = EnginePart("e", 0.1, 1, decodes=True)
    other = EnginePart("e", 1.9, 30, decodes=False)
    board.begin(EngineWork("own", (own,), 1.0, 0.3, 0.25), "g", 0.0)
    board.view("e", ENGINE, 0.0)
    assert board.excused_seconds("own", 0.05) == 0.0
    board.begin(EngineWork("long", (other,), 1.0, 4.0, 1.0), "g", 0.2)
    return board


def test_a_silence_is_excused_while_the_engine_reads_for_others():
    """Many streams are moved at once, and read again, because one pass took long.

    An engine that reads a very long prompt gives nobody an event for two seconds; its
    writers' gateways took that for its death.
    """
    board = board_with_a_long_read_beside_a_writer()
    assert 1.0 < board.excused_seconds("own", 0.9) < 2.0
    board.first_token("long", 2.2)
    assert board.excused_seconds("own", 2.3) == 0.0


def test_a_question_that_comes_in_mid_pass_goes_to_an_engine_whose_pass_ends_sooner():
    """A desk question waits a second for its first word beside idle engines.

    An engine with writers has just begun a pass that reads a long prompt. Nothing is
    left unread there, so it looked as free as any other.
    """
    for seed in range(20):
        load = Load(engines=2, seed=seed)
        busy = EnginePart("e-0", 0.02, 1, decodes=True)
        load.board.begin(EngineWork("w", (busy,), 1.5, 0.3, 0.25), "g", 0.0)
        load.board.first_token("w", 0.1)
        load.board.view("e-0", ENGINE, 0.15)
        part = EnginePart("e-0", 1.2, 30, decodes=False)
        load.board.begin(EngineWork("long", (part,), 5.0, 4.0, 1.0), "g", 0.2)
        short = load.short(0.4)
        assert short.upstream_id == "e-1"
        assert short.first_token_seconds < 0.2


def test_a_writer_that_is_late_already_no_longer_keeps_a_long_prompt_away():
    """Each long prompt spoils the answers of a few more engines.

    Once an engine's answers came too late, reading there spoils nothing more.
    """
    load = Load(engines=3)
    for number in range(3):
        part = EnginePart(f"e-{number}", 0.02, 1, decodes=True)
        name = f"w-{number}"
        load.board.begin(EngineWork(name, (part,), 6.0, 0.3, 0.25), "g", 0.0)
        load.board.first_token(name, 0.9 if number == 1 else 0.1)
    chosen = load.place(PromptSize(60_000, 700), 1.0, objective=6.0, pause=1.0)
    assert [part.upstream_id for part in chosen.work.parts] == ["e-1"]


def test_those_who_wait_on_a_dead_engine_do_not_excuse_each_other():
    """Two questions wait on an engine that went dark until their callers leave.

    Each gateway excuses the silence by the other's prompt, which is never read either.
    """
    board = board_with_a_long_read_beside_a_writer()
    assert board.excused_seconds("own", 2.6) == 0.0
    assert board.excused_seconds("long", 2.6) == 0.0


def test_a_silence_is_excused_by_what_a_helping_engine_has_to_read_first():
    """A dossier is given up after three seconds and read once more elsewhere.

    Its own engine has nothing to do; one that helps it was given parts of others,
    which go ahead.
    """
    board = EngineTracker()
    writer = EnginePart("writer", 0.5, 8, decodes=True)
    helper = EnginePart("helper", 0.5, 8, decodes=False)
    board.begin(EngineWork("dossier", (writer, helper), 1.0, 4.0, 1.0), "g", 0.0)
    ahead = EnginePart("helper", 3.0, 40, decodes=False)
    board.begin(EngineWork("later", (ahead,), 1.0, 4.0, 1.0), "g", 0.1)
    for engine in ("writer", "helper"):
        board.view(engine, ENGINE, 0.2)
    assert board.excused_seconds("dossier", 2.0) > 1.0
    assert board.excused_seconds("dossier", 4.0) == 0.0
    assert board.excused_seconds("unknown", 2.0) == 0.0
