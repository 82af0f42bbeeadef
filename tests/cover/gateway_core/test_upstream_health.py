"""Check the estimates for upstreams that fail while they report to be healthy."""

from random import Random

from common.gateway_samples import heartbeat
from cowslipshelf_core.gateway import (
    UpstreamCandidate,
    UpstreamHealth,
    choose_upstream,
)


def candidate(upstream_id: str, **changes) -> UpstreamCandidate:
    usual = UpstreamCandidate(upstream_id, 6, 0, 0.0, 1.0, False, True)
    return usual._replace(**changes)


def test_an_upstream_that_fails_half_of_its_requests_is_used_last():
    """Guards against requests that fail although other upstreams are healthy."""
    health = UpstreamHealth()
    for number in range(8):
        health.record_answer("bad", bool(number % 2), None, number * 0.2)
        health.record_answer("good", False, None, number * 0.2)
    failure_rate = health.estimate("bad", 1.6).failure_rate
    chosen = [
        choose_upstream(
            [candidate("bad", failure_rate=failure_rate), candidate("good", running=1)],
            Random(seed),
        )
        for seed in range(20)
    ]
    assert set(chosen) == {"good"}


def test_an_upstream_that_failed_once_recovers():
    health = UpstreamHealth()
    health.record_lost("u", 0.0)
    assert health.estimate("u", 0.1).avoided
    assert not health.estimate("u", 1.0).avoided
    assert health.estimate("u", 40.0).failure_rate < 0.01


def test_consecutive_losses_keep_an_upstream_avoided_for_longer():
    health = UpstreamHealth()
    for number in range(4):
        health.record_lost("u", float(number))
    assert health.estimate("u", 5.0).avoided


def test_the_only_upstream_is_used_whatever_its_estimate():
    only = candidate(heartbeat().upstream_id, failure_rate=1.0, avoided=True)
    assert choose_upstream([only], Random(0)) == only.upstream_id
    assert choose_upstream([], Random(0)) is None
