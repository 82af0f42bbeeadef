"""Check how a gateway places requests on upstreams that are cold."""

import asyncio
from types import SimpleNamespace

import pytest

from common.gateway_requests import GatewayWithFakeRunner
from common.gateway_samples import (
    ENGINE,
    GATEWAY_SETTINGS,
    configuration,
    heartbeat,
    route,
)
from cowslipshelf_core.dialect import CallerFacts
from cowslipshelf_core.gateway import (
    HeartbeatsSeen,
    PromptSize,
    ServiceConfiguration,
)
from cowslipshelf_core.messages import PeerAlive, RoutesDocument
from cowslipshelf_daemon.internal.gateway.attempt import AttemptRunner
from cowslipshelf_daemon.internal.gateway.fleet_view import FleetView
from cowslipshelf_daemon.internal.gateway.placement import NoPlacement, place

LIMITED = GATEWAY_SETTINGS._replace(cold_over=1.5, cold_slack=5.0)
COLD_SERVICE = ServiceConfiguration("s", 100, None, 6.0, 26.0)
LONG_PROMPT = PromptSize(100_000, 100)
UPTIME_SECONDS = 60.0


def view_of(
    settings=LIMITED, service=COLD_SERVICE, cold_left=5.0, upstreams=("u-1",)
) -> FleetView:
    """Return the view of a gateway that has run for long and knows another one."""
    view = FleetView.from_settings(settings)
    started_at = view.cold.config.started_at - UPTIME_SECONDS
    view.cold.config = view.cold.config._replace(started_at=started_at)
    routes = configuration(route(max_attempts=3), services=(service,))
    view.apply_configuration(RoutesDocument(1, "", b""), routes)
    alive = PeerAlive("e-1", "here", False, 0, ())
    view.peers.record_alive("10.0.0.2", alive, started_at + UPTIME_SECONDS)
    for number, upstream_id in enumerate(upstreams):
        address = f"10.0.0.{number + 1}:80"
        # Heard first before this gateway had run for two heartbeats.
        sent = heartbeat(upstream_id, address=address)
        view.record_heartbeat(sent, UPTIME_SECONDS)
        later = sent._replace(sequence=2)
        left = cold_left if upstream_id.startswith("u") else 0.0
        view.record_heartbeat(later, 0.0, left)
    return view


def placed(view: FleetView, prompt: PromptSize | None = None, excluded=frozenset()):
    facts = CallerFacts("a", None, None, None, prompt)
    return place(view, route(), "s", facts, 30.0, excluded)


def test_warm_upstreams_are_preferred_to_cold_ones():
    """Guards against half of the requests on an upstream that is slow at first."""
    view = view_of(upstreams=("u-1", "warm"))
    chosen = {placed(view).upstream.upstream_id for _ in range(20)}
    assert chosen == {"warm"}


def test_a_cold_upstream_without_room_is_left_out():
    """Guards against a second request within the interval, also after a failure."""
    view = view_of(upstreams=("u-1", "u-2"))
    view.cold.reserve(["u-1"])
    assert placed(view).upstream.upstream_id == "u-2"
    refused = placed(view, excluded=frozenset({"u-2"}))
    assert isinstance(refused, NoPlacement)
    assert refused.cold
    assert 1.0 < refused.retry_after_seconds <= 1.25


def test_helpers_count_as_requests_at_their_engines():
    """Guards against prompts in parts that exceed the limit at every helper."""
    engines = tuple(f"u-{number}" for number in range(6))
    view = view_of(service=COLD_SERVICE._replace(engine=ENGINE), upstreams=engines)
    first = placed(view, LONG_PROMPT)
    assert first.helper_parts
    view.cold.record_sent(first.upstream_ids, view.cold.config.started_at + 60.0)
    second = placed(view, LONG_PROMPT)
    if not isinstance(second, NoPlacement):
        assert not set(second.upstream_ids) & set(first.upstream_ids)


def test_a_refusal_for_cold_upstreams_says_when_to_retry_and_is_counted():
    """Guards against a request that waits where nothing can serve it."""
    gateway = GatewayWithFakeRunner()
    gateway.handler.view = view = view_of()
    view.cold.reserve(["u-1"])
    answer = gateway.ask()
    assert answer.status == 503
    assert 1.0 <= float(answer.headers[b"retry-after"]) <= 1.3
    text = gateway.handler.metrics.prometheus_text()
    assert "cowslipshelf_cold_refusals_total 1" in text
    assert not gateway.runner.sent


def test_room_is_taken_from_the_choice_of_an_upstream_until_it_was_not_reached():
    """Guards against two requests that are placed before the first one is sent."""
    view = view_of()
    room = []

    class FailingPool:
        async def acquire(self, upstream_id, address, fresh):
            room.append(placed(view))
            raise ConnectionError

    runner = AttemptRunner(view, FailingPool(), None)
    with pytest.raises(ConnectionError):
        asyncio.run(runner.run(SimpleNamespace(route=route()), placed(view)))
    assert isinstance(room[0], NoPlacement)
    assert placed(view).upstream.upstream_id == "u-1"


def test_the_cold_time_is_sent_to_other_gateways():
    """Guards against full load from gateways that the upstream does not report to."""
    view, other = view_of(cold_left=5.0), view_of(upstreams=())
    seen = view.heartbeat_to_send(heartbeat("u-1", 2))
    assert 4.5 < seen.cold_left <= 5.0
    assert view.all_heartbeats()[0].cold_left <= seen.cold_left
    other.cold.config = other.cold.config._replace(heartbeat_seconds=1e6)
    other.record_heartbeats(HeartbeatsSeen((seen,)))
    assert other.cold_upstreams() == {"u-1"}


@pytest.mark.parametrize(
    ("settings", "service"),
    [
        (GATEWAY_SETTINGS, COLD_SERVICE),
        (LIMITED, COLD_SERVICE._replace(cold_requests_per_second=0.0)),
    ],
)
def test_without_the_settings_cold_upstreams_are_used_as_before(settings, service):
    """Guards against a change in deployments that don't ask for the limit."""
    view = view_of(settings, service, upstreams=("u-1", "warm"))
    view.cold.reserve(["u-1"])
    assert not view.cold_upstreams()
    chosen = {placed(view).upstream.upstream_id for _ in range(50)}
    assert chosen == {"u-1", "warm"}
