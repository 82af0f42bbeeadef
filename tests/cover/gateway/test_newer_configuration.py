"""Check the answers of a gateway that knows of a newer configuration.

A route was added and the change acknowledged. A gateway that knew of the new version,
but whose copy was still on its way, answered 404 by the older one, and callers do not
retry a 404.
"""

import asyncio
import time

import pytest

from common.gateway_samples import GATEWAY_SETTINGS, configuration, route
from cowslipshelf_adapter.wire import MachinesDialect
from cowslipshelf_core.gateway import GatewayCustomer
from cowslipshelf_core.identifiers import ConfigurationVersion, DataCentre, Epoch
from cowslipshelf_core.messages import PeerAlive, RoutesDocument
from cowslipshelf_daemon.internal.gateway.fleet_view import FleetView
from cowslipshelf_daemon.internal.gateway.http_server import HttpRequest
from cowslipshelf_daemon.internal.gateway.request_handler import RequestHandler
from cowslipshelf_daemon.internal.suspect_requests import SuspectRequests
from cowslipshelf_host.metrics import Metrics

OLD = configuration(route(prefix="/old/", public=True))
NEW = configuration(
    route(prefix="/old/", public=True),
    route(prefix="/new/"),
    version=2,
    customers=(GatewayCustomer("c", ("key-2",)),),
)
DEADLINE_MS = b"1200"
"""A request waits for a newer configuration for a quarter of its deadline."""
KEY = [(b"authorization", b"Token key-2")]


class RecordedAnswer:
    """Record the answer to a caller."""

    begun = False
    status = 0
    headers: dict = {}

    async def respond(self, status, headers, body=b"") -> None:
        self.status, self.headers = status, dict(headers)


def view_with(configuration, heard: int) -> FleetView:
    """Return a view with a configuration in force and a version known from a peer."""
    view = FleetView.from_settings(GATEWAY_SETTINGS)
    put(view, configuration)
    alive = PeerAlive(Epoch("e"), DataCentre("here"), True, heard, ())
    view.peers.record_alive("10.0.0.2", alive, time.monotonic())
    return view


def put(view: FleetView, configuration) -> None:
    version = ConfigurationVersion(configuration.version)
    view.apply_configuration(RoutesDocument(version, "", b""), configuration)


def ask(view: FleetView, path: str, comes=None) -> tuple[RecordedAnswer, float]:
    """Request a path, perhaps while a configuration arrives; return the time taken."""
    answer = RecordedAnswer()
    headers = [(b"x-attempt-id", b"a"), (b"x-deadline-ms", DEADLINE_MS), *KEY]
    request = HttpRequest("GET", path, headers, b"", "host.example", "caller")
    metrics = Metrics()
    suspects = SuspectRequests("10.0.0.1", metrics, lambda _digest: None, lambda: None)
    handler = RequestHandler(view, None, MachinesDialect(), metrics, suspects)

    async def request_and_time() -> float:
        began = time.monotonic()
        if comes is not None:
            asyncio.get_running_loop().call_later(0.05, put, view, comes)
        await handler(request, answer)
        return time.monotonic() - began

    return answer, asyncio.run(request_and_time())


def test_a_route_that_a_known_later_version_may_add_is_awaited():
    answer, _ = ask(view_with(OLD, heard=2), "/new/x", comes=NEW)
    # The route is allowed now; it is refused only because no upstream is known.
    assert answer.status == 503


def test_a_route_that_does_not_come_in_time_is_refused_as_not_run():
    answer, seconds = ask(view_with(OLD, heard=2), "/new/x")
    assert answer.status == 503
    assert float(answer.headers[b"retry-after"]) > 0
    assert seconds < float(DEADLINE_MS) / 1000


def test_a_route_that_the_later_version_lacks_too_is_denied_once_it_is_there():
    answer, _ = ask(view_with(OLD, heard=2), "/other/x", comes=NEW)
    assert answer.status == 404


@pytest.mark.parametrize("heard", [0, 1])
def test_a_gateway_that_knows_of_nothing_later_denies_at_once(heard):
    answer, seconds = ask(view_with(OLD, heard=heard), "/new/x")
    assert answer.status == 404
    assert seconds < 0.2


def test_a_key_that_a_known_later_version_may_add_is_awaited():
    """Sends a key of the newer version to a gateway that would deny it at once."""
    older = NEW._replace(version=1, customers=(GatewayCustomer("c", ("key-1",)),))
    answer, _ = ask(view_with(older, heard=1), "/new/x")
    assert answer.status == 401
    answer, _ = ask(view_with(older, heard=2), "/new/x", comes=NEW)
    assert answer.status == 503


def test_a_route_that_is_known_is_served_without_waiting():
    """No upstream is known, so serving ends in a refusal of another kind."""
    behind, _ = ask(view_with(OLD, heard=2), "/old/x")
    current, _ = ask(view_with(OLD, heard=1), "/old/x")
    assert behind.status == current.status == 503
    assert behind.headers == current.headers
