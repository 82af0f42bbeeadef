"""Check the answers to changes whose version is already in force.

A large change was answered late, and its operator sent it again to other gateways. Each
copy went through the replicated log once more, ahead of the changes that waited.
"""

import asyncio
from random import Random

import pytest

from common.gateway_samples import GATEWAY_SETTINGS
from common.slow_links import many_routes
from cowslipshelf_adapter.wire import MachinesDialect
from cowslipshelf_daemon.internal.gateway.control_handler import ControlHandler
from cowslipshelf_daemon.internal.gateway.fleet_view import FleetView
from cowslipshelf_daemon.internal.gateway.http_server import HttpRequest
from cowslipshelf_host.metrics import Metrics

HELD = many_routes(7, 2)


class CountingClient:
    """Count the changes sent to the replicas, and answer none."""

    def __init__(self) -> None:
        self.changes = 0

    async def change(self, command) -> None:
        self.changes += 1


class RecordedAnswer:
    """Record the status of the answer."""

    status = 0

    async def respond(self, status, headers, body=b"") -> None:
        self.status = status


def put(body: bytes) -> tuple[int, int]:
    """Put a configuration; return the status and the number of changes submitted."""
    view = FleetView.from_settings(GATEWAY_SETTINGS)
    read = MachinesDialect().read_configuration(HELD).unwrap()
    view.apply_configuration(read.document, read.configuration)
    replicas, answer = CountingClient(), RecordedAnswer()
    handler = ControlHandler(view, replicas, None, MachinesDialect(), Metrics())
    request = HttpRequest("PUT", "/api/config", [], body, "", "operator")
    asyncio.run(handler(request, answer))
    return answer.status, replicas.changes


@pytest.mark.parametrize("body", [HELD, HELD + b" ", many_routes(6, 1)])
def test_what_is_held_or_was_overtaken_is_acknowledged_without_the_log(body):
    assert put(body) == (200, 0)


def test_other_content_under_the_held_version_is_a_conflict():
    assert put(many_routes(7, 3)) == (409, 0)


def test_a_newer_version_goes_to_the_replicas():
    assert put(many_routes(8, 2)) == (503, 1)


def test_an_invalid_version_is_refused_whatever_is_held():
    assert put(HELD[:-1]) == (400, 0)


def test_a_configuration_too_large_for_a_message_is_refused_with_the_reason():
    """Guards against a silent drop that the operator sees as no replica answering."""
    noise = Random(1).randbytes(3 * 1024 * 1024).hex().encode()
    large = b'{"note":"' + noise + b'",' + many_routes(8, 1)[1:]
    assert put(large) == (413, 0)
