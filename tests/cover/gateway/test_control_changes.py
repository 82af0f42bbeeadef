"""Check what operators hear of changes whose version has been reached.

A large change was answered late, and was sent again elsewhere by its operator, again
and again: each went through the log once more, before the changes that waited.
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


class NoReplicas:
    """Count the changes that reach the replicas, and answer none."""

    def __init__(self) -> None:
        self.changes = 0

    async def change(self, command) -> None:
        self.changes += 1


class Answer:
    """Keep the status that an operator is answered."""

    status = 0

    async def respond(self, status, headers, body=b"") -> None:
        self.status = status


def sent(body: bytes) -> tuple[int, int]:
    """Send a configuration to a gateway; return the status, and how many went on."""
    view = FleetView.from_settings(GATEWAY_SETTINGS)
    read = MachinesDialect().read_configuration(HELD).unwrap()
    view.apply_configuration(read.document, read.configuration)
    replicas, answer = NoReplicas(), Answer()
    handler = ControlHandler(view, replicas, None, MachinesDialect(), Metrics())
    request = HttpRequest("PUT", "/api/config", [], body, "", "operator")
    asyncio.run(handler(request, answer))
    return answer.status, replicas.changes


@pytest.mark.parametrize("body", [HELD, HELD + b" ", many_routes(6, 1)])
def test_what_is_held_or_was_overtaken_is_acknowledged_without_the_log(body):
    assert sent(body) == (200, 0)


def test_other_content_under_the_held_version_is_a_conflict():
    assert sent(many_routes(7, 3)) == (409, 0)


def test_a_newer_version_goes_to_the_replicas():
    assert sent(many_routes(8, 2)) == (503, 1)


def test_an_invalid_version_is_refused_whatever_is_held():
    assert sent(HELD[:-1]) == (400, 0)


def test_what_no_message_could_carry_is_refused_with_the_reason():
    """It was dropped on its way, and the operator heard that no replica answered."""
    noise = Random(1).randbytes(3 * 1024 * 1024).hex().encode()
    large = b'{"note":"' + noise + b'",' + many_routes(8, 1)[1:]
    assert sent(large) == (413, 0)
