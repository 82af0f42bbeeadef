"""Check how a gateway takes data centres and lossy links into account."""

import asyncio

import pytest

from common.gateway_samples import (
    ENGINE,
    GATEWAY_SETTINGS,
    configuration,
    heartbeat,
    route,
)
from cowslipshelf_core.dialect import CallerFacts
from cowslipshelf_core.gateway import (
    EnginePart,
    EngineWork,
    PromptSize,
    RouteKind,
    ServiceConfiguration,
    StreamPauses,
)
from cowslipshelf_core.messages import RoutesDocument
from cowslipshelf_daemon.internal.gateway.fleet_view import FleetView
from cowslipshelf_daemon.internal.gateway.link_watch import LinkWatch
from cowslipshelf_daemon.internal.gateway.placement import Placement, place

FACTS = CallerFacts("a-1", None, None, None, PromptSize(5_000, 700))
PROMPTS = route(kind=RouteKind.STREAM, pause_seconds=0.25)


def view_of(crossing_cost: float, **engines: str) -> FleetView:
    """Create a view of engines, given with their data centres."""
    view = FleetView.from_settings(
        GATEWAY_SETTINGS._replace(crossing_cost=crossing_cost)
    )
    services = (ServiceConfiguration("s", 100, ENGINE),)
    view.apply_configuration(
        RoutesDocument(1, "", b""), configuration(PROMPTS, services=services)
    )
    for name, data_centre in engines.items():
        seen = heartbeat(name, address=f"{name}:80")._replace(data_centre=data_centre)
        view.record_heartbeat(seen, 0.0)
    return view


def report_pauses(view: FleetView, data_centre: str, late_seconds: float) -> None:
    """Record streams with one late pause in twelve."""
    for _ in range(10):
        stream, at = StreamPauses(data_centre), 0.0
        for pause in [0.05] * 9 + [0.05 + late_seconds, 0.05, 0.05]:
            at += pause
            view.link_loss.record_event(stream, at, at, lambda _since, _now: False)


def chosen(view: FleetView) -> str:
    placed = place(view, PROMPTS, "s", FACTS, 5.0, frozenset())
    return placed.upstream.upstream_id


@pytest.mark.parametrize("attempt", range(5))
def test_a_gateway_prefers_engines_of_its_own_data_centre(attempt):
    """Guards against a setting that is read and then not passed to the placement."""
    view = view_of(0.05, a="here", b="there", c="third")
    assert chosen(view) == "a"
    view.settings = view.settings._replace(crossing_cost=0.0)
    assert {chosen(view) for _ in range(60)} == {"a", "b", "c"}


def test_a_stream_with_short_pauses_avoids_a_lossy_link(monkeypatch):
    """Guards against a lossy link that is detected and used all the same."""
    monkeypatch.setattr("time.monotonic", lambda: 1.0)
    view = view_of(0.05, b="there", c="third")
    report_pauses(view, "here", late_seconds=0.0)
    report_pauses(view, "there", late_seconds=0.21)
    assert {chosen(view) for _ in range(30)} == {"c"}
    patient = PROMPTS._replace(pause_seconds=1.0)
    placed = [place(view, patient, "s", FACTS, 5.0, frozenset()) for _ in range(60)]
    assert {each.upstream.upstream_id for each in placed} == {"b", "c"}


def test_only_streams_of_engines_are_watched_where_distance_matters():
    """Guards against processor time spent by deployments that did not ask for it."""

    async def watched(crossing_cost: float, work: EngineWork | None) -> bool:
        view = view_of(crossing_cost, b="there")
        watch = LinkWatch.of(view, Placement(heartbeat("b"), work))
        for number in range(6):
            watch.record_event(number * 0.05, number * 0.05)
        return bool(view.link_loss.counts)

    work = EngineWork("w", (EnginePart("b", 0.1, 1, decodes=True),), 1.0, 0.3, 0.25)
    assert asyncio.run(watched(0.05, work))
    assert not asyncio.run(watched(0.0, work))
    assert not asyncio.run(watched(0.05, None))


def test_a_pass_that_prefills_for_another_gateway_is_known_as_such():
    """Guards against links taken for lossy when middle prompts are prefilled."""
    view = view_of(0.05, b="there")
    own = EnginePart("b", 0.03, 1, decodes=True)
    view.engines.begin(EngineWork("w", (own,), 1.5, 0.3, 0.25), "g", 0.0)
    view.engines.first_token("w", 0.1)
    view.engines.view("b", ENGINE, 0.2)
    watch = LinkWatch.of(view, Placement(heartbeat("b"), None))
    assert not watch.has_prefilled(0.8, 1.0)
    part = EnginePart("b", 0.46, 22, decodes=True)
    view.engines.begin(EngineWork("middle", (part,), 5.0, 1.5, 0.6), "other", 1.01)
    assert watch.has_prefilled(1.05, 1.55)
    assert not watch.has_prefilled(2.0, 2.3)
