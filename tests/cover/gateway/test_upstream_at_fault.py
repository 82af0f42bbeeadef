"""Check which upstream is not tried again after a refusal."""

from common.gateway_requests import GatewayWithFakeRunner
from cowslipshelf_daemon.internal.gateway.attempt_outcomes import Answered, NotRun


def upstreams_tried(*names_fault: bool) -> tuple[list[str], str]:
    """Return the upstreams of attempts that are refused, and the one at fault."""
    outcomes = [NotRun(503, "u-3" if named else None) for named in names_fault]
    gateway = GatewayWithFakeRunner(*outcomes, Answered(200), max_attempts=6)
    for number in range(8):
        if number not in (3, 5):
            gateway.view.registry.known.pop(f"u-{number}")
    gateway.ask()
    return [each.upstream.upstream_id for each in gateway.runner.placements], "u-3"


def test_the_upstream_at_fault_is_not_tried_again_but_the_one_that_answered():
    """Guards against a second attempt with the helper that failed the first."""
    for _ in range(20):
        tried, at_fault = upstreams_tried(True)
        assert len(tried) == 2
        assert tried[1] != at_fault


def test_without_a_known_upstream_at_fault_the_one_that_answered_is_left_out():
    """Guards against an upstream that is asked again although it is full."""
    tried, _ = upstreams_tried(False)
    assert sorted(tried) == ["u-3", "u-5"]


def test_a_fault_named_twice_leaves_out_the_one_that_answered():
    """Guards against a request that is sent to the same upstream until its end."""
    for _ in range(20):
        tried, _ = upstreams_tried(True, True)
        assert tried.count("u-5") <= 2
        assert len(tried) == 2
