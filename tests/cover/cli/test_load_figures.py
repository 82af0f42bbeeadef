"""Check how answers are classified and summarized."""

import json
import math

import pytest
from hypothesis import given
from hypothesis import strategies as st

from common.deterministic import DETERMINISTIC
from cowslipshelf_cli.internal.load.answer_reader import AnswerReader
from cowslipshelf_cli.load import (
    Arrival,
    Ending,
    FiguresConfig,
    Outcome,
    Quantiles,
    UnloadedTime,
    summarize,
)

TOKEN = b'data: {"choices": [{"text": "x"}]}\n\n'
DONE = b"data: [DONE]\n\n"
REFUSAL = b'data: {"error": {"code": "failed", "reason": "connection_lost"}}\n\n'


def read(status: int, data: bytes, cuts: list[int]) -> AnswerReader:
    reader = AnswerReader(status)
    offsets = sorted({min(cut, len(data)) for cut in cuts} | {0, len(data)})
    for start, end in zip(offsets, offsets[1:], strict=False):
        reader.feed(data[start:end])
    return reader


CUTS = st.lists(st.integers(0, 200))


@DETERMINISTIC
@given(st.integers(0, 5), CUTS)
def test_an_answer_is_whole_however_its_bytes_are_cut(tokens, cuts) -> None:
    reader = read(200, TOKEN * tokens + DONE, cuts)
    assert reader.end() == (Ending.WHOLE, "")
    assert reader.tokens_seen == (tokens > 0)


@DETERMINISTIC
@given(st.integers(0, 3), st.data())
def test_no_beginning_of_an_answer_passes_for_a_whole_one(tokens, data) -> None:
    """Guards against counting a truncated answer as complete.

    The connection closes early, after a part of the answer has arrived.
    """
    answer = TOKEN * tokens + DONE
    length = data.draw(st.integers(0, len(answer) - len(b"\n\n") - 1))
    ending, _ = read(200, answer[:length], data.draw(CUTS)).end()
    assert ending is Ending.CUT


@DETERMINISTIC
@given(st.integers(0, 3), CUTS, st.booleans())
def test_an_error_within_an_answer_is_named(tokens, cuts, done) -> None:
    reader = read(200, TOKEN * tokens + REFUSAL + DONE * done, cuts)
    assert reader.end() == (Ending.REFUSED, "failed/connection_lost")
    assert reader.tokens_seen == (tokens > 0)


@DETERMINISTIC
@given(st.integers(400, 599), st.binary(), CUTS)
def test_any_refusal_body_is_counted_under_some_name(status, body, cuts) -> None:
    ending, code = read(status, body, cuts).end()
    assert ending is Ending.REFUSED
    assert code


@pytest.mark.parametrize("after", [TOKEN, TOKEN[:5], DONE])
def test_what_follows_the_final_marker_is_not_taken_for_whole(after: bytes) -> None:
    assert read(200, DONE + after, []).end()[0] is Ending.CUT


@DETERMINISTIC
@given(st.lists(st.floats(1e-4, 1e4), min_size=1))
def test_quantiles_are_those_of_the_values(values) -> None:
    found = Quantiles.from_values(values)
    ordered = sorted(values)
    assert found.count == len(values)
    assert found.most == pytest.approx(ordered[-1], rel=2e-3, abs=2e-6)
    for percent, value in ((50, found.p50), (95, found.p95), (99, found.p99)):
        rank = math.ceil(percent / 100 * len(values) - 1e-9)
        # The histogram rounds a rank that lies between two values to the nearer one.
        near = ordered[max(0, rank - 2) : rank + 1]
        assert near[0] * 0.998 - 2e-6 <= value <= near[-1] * 1.002 + 2e-6


LENGTHS = st.lists(st.integers(1, 10_000), min_size=1, max_size=20)


@DETERMINISTIC
@given(st.floats(1e-3, 1), st.floats(0, 1e-3), LENGTHS)
def test_the_unloaded_time_follows_a_line(fixed, slope, lengths) -> None:
    unloaded = UnloadedTime.from_samples([(n, fixed + slope * n) for n in lengths])
    for n in lengths:
        assert unloaded.seconds(n) == pytest.approx(fixed + slope * n, rel=1e-3)


@DETERMINISTIC
@given(st.lists(st.tuples(st.integers(1, 10**4), st.floats(1e-6, 10)), min_size=1))
def test_the_unloaded_time_is_never_negative(samples) -> None:
    unloaded = UnloadedTime.from_samples(samples)
    assert unloaded.fixed_seconds >= 0
    assert unloaded.seconds_per_token >= 0
    assert unloaded.seconds(1) > 0


OUTCOMES = st.lists(
    st.builds(
        Outcome,
        st.builds(
            Arrival,
            st.just(0),
            st.just(0.0),
            st.sampled_from(["a", "b"]),
            st.integers(1, 2_000_000),
        ),
        st.sampled_from(Ending),
        st.sampled_from(["not_run/busy", "failed/cancelled"]),
        st.floats(0, 1),
        st.none() | st.floats(0.001, 100),
        st.floats(0.001, 100),
    )
)


@DETERMINISTIC
@given(OUTCOMES, st.none() | st.just(UnloadedTime(0.1, 1e-5)))
def test_every_planned_request_is_counted_once(outcomes, unloaded) -> None:
    figures = summarize(outcomes, FiguresConfig(10_000, 50.0, unloaded))
    assert figures.planned == sum(figures.endings.values()) == len(outcomes)
    assert sum(figures.refusals.values()) == figures.endings.get("refused", 0)
    assert sum(each.planned for each in figures.customers.values()) == len(outcomes)
    timed = [
        each
        for each in outcomes
        if each.ending is Ending.WHOLE and each.first_token_seconds is not None
    ]
    buckets = figures.first_token_seconds.values()
    assert sum(each.count for each in buckets) == len(timed)
    assert (figures.short_slowdown is None) == (unloaded is None)
    if unloaded is not None:
        short = [each for each in timed if each.arrival.prompt_tokens <= 10_000]
        assert figures.short_slowdown.count == len(short)
    json.dumps(figures)
