"""Check how a gateway takes and enforces evacuations of data centres."""

import asyncio
import json
import time

import pytest

from common.gateway_requests import GatewayWithFakeRunner, RecordedAnswer
from common.gateway_samples import GATEWAY_SETTINGS, heartbeat, route
from cowslipshelf_adapter.wire import MachinesDialect
from cowslipshelf_core.control import (
    EvacuationOutdated,
    EvacuationRecorded,
    EvacuationRefused,
    SetEvacuation,
)
from cowslipshelf_core.dialect import CallerFacts
from cowslipshelf_core.gateway import EnginePart, EngineWork
from cowslipshelf_core.identifiers import Epoch
from cowslipshelf_core.messages import NO_EVACUATIONS, EvacuationState, PeerAlive
from cowslipshelf_daemon.internal.gateway.attempt import AttemptRunner
from cowslipshelf_daemon.internal.gateway.attempt_outcomes import (
    AttemptTask,
    DeliveryProgress,
    NotReached,
)
from cowslipshelf_daemon.internal.gateway.control_handler import ControlHandler
from cowslipshelf_daemon.internal.gateway.fleet_view import FleetView
from cowslipshelf_daemon.internal.gateway.gossip import Gossip
from cowslipshelf_daemon.internal.gateway.http_server import HttpRequest
from cowslipshelf_daemon.internal.gateway.placement import Placement
from cowslipshelf_daemon.internal.messenger import Delivered
from cowslipshelf_daemon.internal.suspect_requests import RequestIdentity
from cowslipshelf_host.metrics import Metrics

EVACUATED = EvacuationState(7, ("here",))
WITHDRAWN = EvacuationState(8, ())


def view_with(reported: EvacuationState = EVACUATED, **settings) -> FleetView:
    view = FleetView.from_settings(GATEWAY_SETTINGS._replace(**settings))
    view.record_heartbeat(heartbeat(), 0.0)
    view.apply_evacuations("replica", reported)
    return view


HANDLER = "cowslipshelf_daemon.internal.gateway.control_handler"


class FakeReplicas:
    """Answer changes with the given outcomes in order."""

    def __init__(self, *outcomes) -> None:
        self.outcomes = list(outcomes)
        self.changes: list = []

    async def change(self, command):
        self.changes.append(command)
        return self.outcomes.pop(0)


def operate(method: str, path: str, *outcomes, **settings):
    """Send an operator's call; return the answer and the submitted commands."""
    replicas, answer = FakeReplicas(*outcomes), RecordedAnswer()
    view = view_with(**settings)
    handler = ControlHandler(view, replicas, None, MachinesDialect(), Metrics())
    request = HttpRequest(method, path, [], b"ignored", "", "operator")
    asyncio.run(handler(request, answer))
    return answer, replicas.changes


@pytest.mark.parametrize(
    ("outcome", "status"),
    [(EvacuationRecorded(7), 200), (EvacuationRefused("many"), 409), (None, 503)],
)
@pytest.mark.parametrize(("method", "evacuated"), [("POST", True), ("DELETE", False)])
def test_orders_go_through_the_log_whatever_is_known(
    outcome, status, method, evacuated
):
    """Guards against an order acknowledged by a gateway that knows of no later one."""
    answer, changes = operate(method, "/api/evac/here", outcome)
    assert answer.status == status
    known = EVACUATED.revision, EVACUATED.data_centres
    assert changes == [SetEvacuation("here", evacuated, *known)]


def test_an_order_is_submitted_again_if_a_later_change_was_not_known():
    """Guards against an order refused because the gateway was a message behind."""
    outcomes = (EvacuationOutdated(9), EvacuationRecorded(10))
    answer, changes = operate("DELETE", "/api/evac/here", *outcomes)
    assert answer.status == 200
    assert [each.known_revision for each in changes] == [7, 9]


def test_an_order_that_the_operator_has_sent_elsewhere_is_not_submitted_again(
    monkeypatch,
):
    """Guards against a delayed order that undoes one acknowledged after its resend."""
    monkeypatch.setattr(f"{HANDLER}.RESUBMIT_SECONDS", -1.0)
    outcomes = (EvacuationOutdated(9), EvacuationRecorded(10))
    answer, changes = operate("DELETE", "/api/evac/here", *outcomes)
    assert answer.status == 503
    assert len(changes) == 1


@pytest.mark.parametrize(
    ("method", "path", "status"),
    [
        ("POST", "/api/evac/there", 200),
        ("POST", "/api/evac/nowhere", 404),
        ("DELETE", "/api/evac/nowhere", 404),
        ("DELETE", "/api/evac/here", 200),
        ("PUT", "/api/evac/there", 404),
    ],
)
def test_only_data_centres_of_the_settings_are_evacuated(method, path, status):
    """Guards against a misspelt name that is acknowledged and evacuates nothing.

    The evacuated one may have left the settings, and is still taken back.
    """
    recorded = EvacuationRecorded(1)
    answer, changes = operate(method, path, recorded, data_centres=("there",))
    assert answer.status == status
    assert len(changes) == (status == 200)


def test_the_evacuated_data_centres_are_listed():
    answer, _ = operate("GET", "/api/evac")
    assert (answer.status, json.loads(answer.body)) == (200, {"zones": ["here"]})


def test_a_request_is_refused_at_once_while_all_upstreams_are_evacuated():
    """Guards against callers that wait in vain, and upstreams that stay unused."""
    gateway = GatewayWithFakeRunner(NotReached("x"))
    gateway.view.apply_evacuations("replica", EVACUATED)
    began = time.monotonic()
    answer = gateway.ask()
    assert (answer.status, answer.headers[b"retry-after"]) == (503, b"1")
    assert time.monotonic() - began < 0.2
    assert not gateway.runner.sent
    gateway.view.apply_evacuations("replica", WITHDRAWN)
    assert len(gateway.view.upstreams_of("s")) == 8


class LateEvacuation:
    """Let an evacuation become known while a connection is opened."""

    def __init__(self, view: FleetView) -> None:
        self.view = view
        self.aborted = False

    async def acquire(self, upstream_id, address, fresh) -> "LateEvacuation":
        self.view.apply_evacuations("replica", EVACUATED)
        return self

    def abort(self) -> None:
        self.aborted = True


@pytest.mark.parametrize("helper", [False, True])
def test_a_placed_request_is_not_sent_once_the_evacuation_is_known(helper):
    """Guards against requests that are sent seconds after they were placed.

    The evacuated upstream answers or prefills for one elsewhere, and is not at fault.
    """
    view = view_with(EvacuationState(1, ()))
    elsewhere = heartbeat("u-2")._replace(data_centre="there")
    parts = tuple(EnginePart(name, 0.1, 1, False) for name in ("u-2", "u-1"))
    work = EngineWork("w", parts, 1.0, 0.3, 0.25)
    placement = Placement(elsewhere, work) if helper else Placement(heartbeat())
    pool = LateEvacuation(view)
    task = AttemptTask(
        HttpRequest("POST", "/x", [], b"", "host", "peer"),
        CallerFacts("a", None, None, None, None),
        route(),
        None,
        None,
        DeliveryProgress(None),
        time.monotonic() + 5.0,
        RequestIdentity("a", "digest", None),
    )
    runner = AttemptRunner(view, pool, MachinesDialect())
    outcome = asyncio.run(runner.run(task, placement))
    assert outcome == NotReached("here is evacuated", withheld=True)
    assert pool.aborted
    now, upstream_id = time.monotonic(), placement.upstream.upstream_id
    assert not view.health.estimate(upstream_id, now).avoided


class SentMessages:
    """Record the messages to other gateways."""

    def __init__(self) -> None:
        self.sent: list = []

    def add_entry(self, instance, address) -> None:
        return None

    def send_to_all(self, addresses, message) -> None:
        self.sent += [(address, message) for address in addresses]


def test_a_newer_revision_is_passed_on_at_once_and_an_older_one_is_not():
    """Guards against a gateway that stays behind, and against endless messages."""
    view, messages, metrics = view_with(NO_EVACUATIONS), SentMessages(), Metrics()
    gossip = Gossip(view, messages, None, MachinesDialect(), metrics)
    # A gateway that is new here is sent an alive message in any case.
    known = PeerAlive(Epoch("e"), "there", True, 0, ())
    gossip.receive(Delivered("10.0.0.2", "10.0.0.2", known))
    messages.sent.clear()
    for revision, names in ((7, ("here",)), (7, ("here",)), (6, ())):
        peer = f"10.0.0.{revision}"
        alive = PeerAlive(
            Epoch("e"),
            "there",
            True,
            0,
            (),
            evacuation_revision=revision,
            evacuated=names,
        )
        gossip.receive(Delivered("10.0.0.2", peer, alive))
    assert view.evacuations.state == EVACUATED
    assert "cowslipshelf_evacuated_data_centres 1" in metrics.prometheus_text()
    announced = [m for _, m in messages.sent if isinstance(m, PeerAlive)]
    assert {each.evacuation_revision for each in announced} == {7}
