"""Check what a gateway learns about an engine while a stream runs on it."""

import asyncio
from types import SimpleNamespace

import pytest

from common.gateway_samples import (
    ENGINE,
    GATEWAY_SETTINGS,
    configuration,
    heartbeat,
    route,
)
from cowslipshelf_adapter.wire import MachinesDialect
from cowslipshelf_core.dialect import CallerFacts, PrefillHelper
from cowslipshelf_core.gateway import (
    EnginePart,
    EngineWork,
    RouteKind,
    ServiceConfiguration,
    decode_pass_seconds,
)
from cowslipshelf_core.messages import RoutesDocument
from cowslipshelf_daemon.internal.gateway import attempt, fleet_view, upstream_observer
from cowslipshelf_daemon.internal.gateway.attempt import AttemptRunner
from cowslipshelf_daemon.internal.gateway.attempt_outcomes import (
    Answered,
    AttemptTask,
    DeliveryProgress,
)
from cowslipshelf_daemon.internal.gateway.fleet_view import FleetView
from cowslipshelf_daemon.internal.gateway.http_server import HttpRequest
from cowslipshelf_daemon.internal.gateway.placement import Placement
from cowslipshelf_daemon.internal.gateway.upstream_connection import UpstreamHead
from cowslipshelf_daemon.internal.suspect_requests import RequestIdentity

PASS = decode_pass_seconds(ENGINE, 1, 1000)
SHARING = GATEWAY_SETTINGS._replace(shares_health=True)
EVENT = b"id: 1\ndata: x\n\n"


class Clock:
    """Return a time that only the test advances."""

    def __init__(self) -> None:
        self.now = 100.0

    def monotonic(self) -> float:
        return self.now


class TimedStream:
    """Stream events after given pauses, and take them after another one."""

    begun = False
    keep_alive_seconds = None

    def __init__(self, clock: Clock, pauses, taking: float) -> None:
        self.clock = clock
        self.pauses = pauses
        self.taking = taking

    # The connection to the upstream.

    def send(self, request) -> None:
        return None

    async def head(self) -> UpstreamHead:
        return UpstreamHead(200, [(b"x-attempt-id", b"a-1")])

    async def body(self):
        for pause in self.pauses:
            self.clock.now += pause
            yield EVENT

    def drop(self, reason) -> None:
        return None

    # The caller.

    def begin(self, status, headers) -> None:
        self.begun = True

    async def write(self, data) -> None:
        self.clock.now += self.taking

    async def end(self) -> None:
        return None


class OnePool:
    """Hand out one connection."""

    def __init__(self, connection) -> None:
        self.connection = connection

    async def acquire(self, upstream_id, address, fresh):
        return self.connection

    def release(self, upstream_id, connection) -> None:
        return None


@pytest.fixture
def stream(monkeypatch):
    """Return a function that runs a stream, and returns the view and the reports."""
    clock = Clock()
    for module in (attempt, fleet_view, upstream_observer):
        monkeypatch.setattr(module, "time", SimpleNamespace(monotonic=clock.monotonic))

    def run(pauses, settings=SHARING, taking=0.0, helpers=(), prompt=None):
        view = FleetView.from_settings(settings)
        services = (ServiceConfiguration("s", 100, engine=ENGINE),)
        routes = configuration(route(), services=services)
        view.apply_configuration(RoutesDocument(1, "", b""), routes)
        view.record_heartbeat(heartbeat("u-1"), 0.0)
        timed = TimedStream(clock, pauses, taking)
        runner = AttemptRunner(view, OnePool(timed), MachinesDialect())
        own = EnginePart("u-1", 0.03, 1, True, 1000)
        work = EngineWork("w", (own,), 1.0, 0.3, 0.25)
        placement = Placement(heartbeat("u-1"), work, helpers, first_token_seconds=0.1)
        if prompt is not None:
            view.engines.begin(prompt, "other", clock.now + 0.2)
        task = AttemptTask(
            HttpRequest("POST", "/x", [], b"", "host", "peer"),
            CallerFacts("a-1", None, None, None, None),
            route(kind=RouteKind.STREAM, resumable=True),
            None,
            timed,
            DeliveryProgress(None),
            clock.now + 50.0,
            RequestIdentity("a-1", "digest-1", None),
        )
        assert isinstance(asyncio.run(runner.run(task, placement)), Answered)
        reports = view.observer.shared_health.take(clock.now).observations
        return view.health.estimate("u-1", clock.now), reports

    return run


def test_a_slow_engine_is_reported_while_its_stream_runs(stream):
    """Guards against other gateways that learn of it when the stream has ended."""
    estimate, reports = stream([0.1, *[3 * PASS] * 12])
    assert estimate.slowness > 2.0
    assert len(reports) >= 3
    assert reports[0].running
    assert round(reports[0].slowness, 3) == 3.0
    assert reports[0].age_seconds > 1.0


def test_an_engine_of_usual_speed_is_not_reported(stream):
    """Guards against messages about healthy engines, one for each running stream."""
    estimate, reports = stream([0.1, *[PASS] * 60])
    assert estimate.slowness < 1.05
    assert reports == ()


def test_a_long_prompt_and_a_slow_caller_do_not_mark_an_engine(stream):
    """Guards against sound engines that all gateways avoid."""
    part = EnginePart("u-1", 3.0, 120, True, 1000)
    prompt = EngineWork("long", (part,), 1.0, 0.3, 0.25)
    reading = stream([0.1, *[PASS] * 5, *[1.2] * 3, *[PASS] * 5], prompt=prompt)
    slow_caller = stream([0.1, *[0.001] * 12], taking=0.4)
    assert reading == (reading[0], ())
    assert slow_caller == (slow_caller[0], ())


def test_without_shared_health_pauses_change_nothing(stream):
    """Guards against a deployment that is served differently without asking for it."""
    estimate, reports = stream([0.1, *[3 * PASS] * 12], settings=GATEWAY_SETTINGS)
    assert estimate.slowness == 1.0
    assert reports == ()


def test_a_late_first_event_counts_only_where_no_other_engine_reads_parts(stream):
    """Guards against a decoder that is blamed for the slowness of its helpers."""
    helper = PrefillHelper("10.0.0.9:80", None)
    alone, alone_reports = stream([2.0])
    helped, _ = stream([2.0], helpers=(helper,))
    unshared, _ = stream([2.0], settings=GATEWAY_SETTINGS, helpers=(helper,))
    assert 1.0 < alone.slowness < 1.15
    assert alone_reports == ()
    assert helped.slowness == 1.0
    assert unshared.slowness > 3.0
