"""Check the arrivals and request bodies that are drawn from a seed."""

import json
from itertools import islice

import pytest
from hypothesis import example, given
from hypothesis import strategies as st

from common.deterministic import DETERMINISTIC
from cowslipshelf_cli.internal.load.completion_body import CHUNK_BYTES, CompletionBody
from cowslipshelf_cli.load import (
    CustomerShare,
    LoadShape,
    LoadShapeError,
    check_shape,
    draw_arrivals,
)

CUSTOMERS = (CustomerShare("large", 8.0), CustomerShare("small", 1.0))
SHAPE = LoadShape(1, 50.0, 100.0, 1_000, 100_000, 1_000_000, 0.02, CUSTOMERS)
SHAPES = st.builds(
    lambda seed, rate, bounds, share: LoadShape(
        seed, rate, 20.0, *sorted(bounds), share, CUSTOMERS
    ),
    st.integers(),
    st.floats(0.1, 20),
    st.lists(st.integers(1, 10**6), min_size=3, max_size=3),
    st.floats(0, 1),
)


@DETERMINISTIC
@given(SHAPES)
def test_a_seed_gives_one_load_within_its_bounds(shape: LoadShape) -> None:
    check_shape(shape)
    arrivals = list(draw_arrivals(shape))
    assert arrivals == list(draw_arrivals(shape))
    times = [arrival.at_seconds for arrival in arrivals]
    assert times == sorted(times)
    assert [arrival.index for arrival in arrivals] == list(range(len(arrivals)))
    for arrival in arrivals:
        assert 0 < arrival.at_seconds < shape.seconds
        beyond = max(shape.longest_tokens, shape.long_tokens + 1)
        assert shape.shortest_tokens <= arrival.prompt_tokens <= beyond


@DETERMINISTIC
@given(SHAPES, st.floats(0, 1))
def test_another_mix_keeps_the_times_and_the_customers(shape, share) -> None:
    other = shape._replace(long_share=share, shortest_tokens=1)
    pairs = zip(draw_arrivals(shape), draw_arrivals(other), strict=True)
    for arrival, changed in pairs:
        assert arrival[:3] == changed[:3]


@pytest.mark.parametrize("seed", range(5))
def test_rates_and_shares_are_those_of_the_shape(seed: int) -> None:
    arrivals = list(draw_arrivals(SHAPE._replace(seed=seed)))
    lengths = [arrival.prompt_tokens for arrival in arrivals]
    long = sum(length > SHAPE.long_tokens for length in lengths)
    large = sum(arrival.customer == "large" for arrival in arrivals)
    # With 5,000 draws the bounds are more than five standard deviations wide.
    assert len(arrivals) == pytest.approx(5_000, rel=0.08)
    assert long / len(arrivals) == pytest.approx(0.02, abs=0.011)
    assert large / len(arrivals) == pytest.approx(8 / 9, abs=0.03)
    median = sorted(lengths)[len(lengths) // 2]
    assert median == pytest.approx(10_000, rel=0.2), (
        "the median is the geometric mean of the bounds"
    )


@pytest.mark.parametrize(
    "change",
    [
        {"shortest_tokens": 0},
        {"shortest_tokens": 200_000},
        {"long_share": 1.1},
        {"long_share": float("nan")},
        {"arrivals_per_second": 0.0},
        {"arrivals_per_second": float("inf")},
        {"seconds": float("nan")},
        {"customers": ()},
        {"customers": (CustomerShare("none", 0.0),)},
    ],
)
def test_a_load_that_cannot_be_drawn_is_refused(change) -> None:
    with pytest.raises(LoadShapeError):
        check_shape(SHAPE._replace(**change))


@DETERMINISTIC
@given(st.integers(1, 60_000), st.text(), st.integers(1, 9))
@example(1_000_000, "ledger-1", 1)
def test_a_body_is_json_of_the_promised_length(tokens, model, output) -> None:
    body = CompletionBody(model, "load-1-17-", tokens, output)
    data = b"".join(body.chunks())
    document = json.loads(data)
    assert len(data) == body.length()
    assert len(document["prompt"].encode()) == 4 * tokens
    assert "load-1-17-".startswith(document["prompt"][:10])
    assert (document["model"], document["stream"]) == (model, True)
    assert max(map(len, islice(body.chunks(), 3))) <= CHUNK_BYTES + 200
