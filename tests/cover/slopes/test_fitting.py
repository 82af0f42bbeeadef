"""Test line fitting and the resource budget computed from the fits."""

import math

import pytest
from hypothesis import given
from hypothesis import strategies as st
from slopes.budget import BudgetLine, Measured, mailbox_traffic_line, max_size_within
from slopes.fitting import Experiment, Line, Point, Reading, fit_points, measure_slopes

NUMBERS = st.integers(-10_000, 10_000)
SIZES = st.lists(st.integers(0, 5_000), min_size=2, max_size=6, unique=True)


@given(SIZES, NUMBERS, NUMBERS, st.integers(1, 4))
def test_exact_lines_are_found_again_without_spread(sizes, intercept, slope, repeats):
    points = [Point(size, (intercept + slope * size,) * repeats) for size in sizes]
    fit = fit_points(points)
    close = {"rel_tol": 1e-6, "abs_tol": 1e-3}
    assert math.isclose(fit.line.slope, slope, **close)
    assert math.isclose(fit.line.at(sizes[0]), points[0].values[0], **close)
    assert math.isclose(fit.min_slope, fit.max_slope, **close)
    assert fit.max_residual < 1e-6


@given(SIZES, NUMBERS, NUMBERS, st.integers(20_000, 10**9))
def test_one_disturbed_repeat_of_three_moves_the_spread_and_not_the_line(
    sizes, intercept, slope, disturbance
):
    largest = max(sizes)
    points = []
    for size in sizes:
        value = intercept + slope * size
        disturbed = value + (disturbance if size == largest else 0)
        points.append(Point(size, (value, disturbed, value)))
    fit = fit_points(points)
    assert math.isclose(fit.line.slope, slope, rel_tol=1e-6, abs_tol=1e-3)
    assert fit.max_slope > fit.line.slope


def test_a_single_size_gives_a_level_line():
    def measure(size, repeats):
        return [[Reading("cost", "us", 7.0 + n)] for n in range(repeats)]

    (slope,) = measure_slopes(Experiment("e", "replica", (3,), measure), 3)
    assert slope.fit.line == Line(8.0, 0.0)
    assert slope.points == (Point(3, (7.0, 8.0, 9.0)),)


@given(st.integers(1, 1_000), st.floats(0.01, 100), st.floats(0, 1_000))
def test_the_largest_size_within_a_limit_just_meets_it(size, slope, intercept):
    line = Line(intercept, slope)
    assert math.isclose(max_size_within(line, line.at(size)), size, rel_tol=1e-6)
    assert max_size_within(line, intercept - 1.0) == 0.0


def test_heartbeats_that_no_counter_shows_as_sent_count_as_carried():
    """Guard against a budget that understates an entry's network traffic.

    The mailbox counts the heartbeats that it receives, but not those that it sends.
    So one more sent heartbeat must be added for each one received.
    """

    def slope_document(quantity, slope):
        medians = {"1": slope}
        return {"quantity": quantity, "at_zero": 5, "slope": slope, "medians": medians}

    hearing = [
        slope_document("entry: received", 900.0),
        slope_document("entry: sent", 300.0),
        slope_document("entry: messages received", 4.0),
        slope_document("entry: messages sent", 2.0),
    ]
    experiments = {
        "upstreams": {"slopes": hearing},
        "messages": {"slopes": [slope_document("heartbeat size", 100.0)]},
    }
    measured = Measured({"experiments": experiments})
    assert mailbox_traffic_line(measured, "upstreams") == Line(0.0, 1.4)


@pytest.mark.parametrize(
    ("value", "limit", "verdict"),
    [(4.5, 4.5, "fits"), (4.6, 4.5, "DOES NOT FIT"), (9.0, None, "")],
)
def test_a_value_fits_up_to_its_limit(value, limit, verdict):
    assert BudgetLine("entry", "x", value, "%", limit).fits == verdict
