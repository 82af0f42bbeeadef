"""Check counters, gauges, summaries and their text format."""

import re
from collections import Counter
from threading import Thread

import pytest
from hypothesis import given
from hypothesis import strategies as st

from common.deterministic import DETERMINISTIC
from cowslipshelf_host.metrics import MetricError, Metrics

LINE = re.compile(
    r'([a-z0-9_]+)(?:\{((?:[a-z0-9_]+="(?:[^"\\\n]|\\.)*",?)*)\})? (\S+)\Z'
)


def samples_of(metrics: Metrics) -> dict[str, float]:
    found = {}
    for line in metrics.prometheus_text().split("\n")[:-1]:
        if not line.startswith("#"):
            name, labels, value = LINE.match(line).groups()
            found[f"{name}{{{labels or ''}}}"] = float(value)
    return found


@DETERMINISTIC
@given(st.lists(st.tuples(st.text(max_size=3), st.integers(0, 9)), max_size=30))
def test_counts_add_up_whatever_the_label_values(counts) -> None:
    metrics = Metrics(max_label_sets=4)
    for label, amount in counts:
        metrics.count("requests_total", amount, customer=label)
    found = samples_of(metrics)
    counted = {key: value for key, value in found.items() if "requests" in key[:8]}
    assert sum(counted.values()) == sum(amount for _, amount in counts)


@DETERMINISTIC
@given(st.integers(1, 5), st.lists(st.integers(0, 20), min_size=1, max_size=60))
def test_label_sets_are_bounded_and_the_rest_is_counted(bound, labels) -> None:
    """Guard against memory that grows until the entry is killed.

    A caller sends a new model name in every request; each becomes a label value, and
    each label value a series that is never freed.
    """
    metrics = Metrics(max_label_sets=bound)
    for label in labels:
        metrics.record_seconds("wait_seconds", 0.5, model=str(label))
    found = samples_of(metrics)
    series = [key for key in found if key.startswith("wait_seconds_count")]
    kept = dict.fromkeys(labels)
    beyond = [label for label in labels if label not in list(kept)[:bound]]
    assert len(series) <= bound + 1
    overflow = 'cowslipshelf_metrics_overflow_total{metric="wait_seconds"}'
    assert found.get(overflow, 0) == len(beyond)


@DETERMINISTIC
@given(st.lists(st.floats(1e-4, 3000), min_size=1, max_size=50))
def test_quantiles_are_within_two_digits_of_the_recorded_durations(durations) -> None:
    metrics = Metrics()
    for seconds in durations:
        metrics.record_seconds("wait_seconds", seconds)
    found = samples_of(metrics)
    ordered = sorted(durations)
    median = ordered[(len(ordered) - 1) // 2]
    assert found['wait_seconds{quantile="0.5"}'] == pytest.approx(median, rel=0.011)
    assert found['wait_seconds{quantile="1"}'] == pytest.approx(ordered[-1], rel=0.011)
    assert found["wait_seconds_count{}"] == len(durations)
    assert found["wait_seconds_sum{}"] == pytest.approx(sum(durations))


@DETERMINISTIC
@given(st.floats(allow_nan=False))
def test_a_duration_beyond_the_range_is_counted_at_its_end(seconds: float) -> None:
    metrics = Metrics()
    metrics.record_seconds("wait_seconds", seconds)
    found = samples_of(metrics)
    assert found["wait_seconds_count{}"] == 1
    assert 0 <= found['wait_seconds{quantile="1"}'] <= 3640


def test_threads_lose_no_count_while_the_text_is_read() -> None:
    metrics = Metrics()
    rounds, workers = 300, 4

    def work(name: str) -> None:
        for number in range(rounds):
            metrics.count("done_total", worker=name)
            metrics.count("done_total")
            metrics.record_seconds("step_seconds", number / 1000)

    threads = [Thread(target=work, args=(str(each),)) for each in range(workers)]
    for thread in threads:
        thread.start()
    while any(thread.is_alive() for thread in threads):
        metrics.prometheus_text()
    found = Counter(samples_of(metrics))
    assert found["done_total{}"] == rounds * workers
    assert found["step_seconds_count{}"] == rounds * workers


@pytest.mark.parametrize(
    "misuse",
    [
        lambda metrics: metrics.count("a b"),
        lambda metrics: metrics.count("same", -1),
        lambda metrics: metrics.count("same", float("nan")),
        lambda metrics: metrics.gauge("same", 1) or metrics.count("same"),
        lambda metrics: metrics.record_seconds("same", 1, quantile="0.5"),
        lambda metrics: metrics.record_seconds("same", float("nan")),
    ],
)
def test_misuse_is_refused_and_the_text_stays_readable(misuse) -> None:
    metrics = Metrics()
    with pytest.raises((MetricError, ValueError)):
        misuse(metrics)
    samples_of(metrics)
