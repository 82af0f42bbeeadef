"""Check on a real gateway that it serves on after the kernel gave up a connection."""

import os
import socket
import time

import pytest

from common.gateway_fleet import ask, document, route, running_fleet, send_heartbeats
from common.scripted_upstream import Exchange, ScriptedUpstream

BODY_BYTES = 3_000_000
"""More than the kernel takes for an upstream that reads nothing."""
SERVED_SECONDS = 20.0


class DeafUpstream(ScriptedUpstream):
    """Accept connections and never read from them, as a stopped process does."""

    def accept(self) -> None:
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        self.stopped.wait()


@pytest.fixture
def fleet(tmp_path):
    with running_fleet(tmp_path) as fleet:
        fleet.accept(document(1, route("/deaf/", timeout_ms=30_000), route("/safe/")))
        yield fleet


def test_a_gateway_serves_on_after_the_kernel_gave_up_an_upstream(fleet):
    """Guards against a gateway that stops for good, with all its connections open."""
    deaf = DeafUpstream("u-deaf", "plain", lambda _: None)
    send_heartbeats(fleet, deaf)
    gateway = fleet.gateways[0]
    answer = ask(
        gateway, "/deaf/x", "POST", os.urandom(BODY_BYTES), X_Deadline_Ms="30000"
    )
    assert answer.status == 502

    def hello(exchange: Exchange) -> None:
        exchange.answer(200, b"hello")

    send_heartbeats(fleet, ScriptedUpstream("u-1", "plain", hello))
    deaf.stop()
    ends = time.monotonic() + SERVED_SECONDS
    while (answer := ask(gateway, "/safe/x")).status != 200:
        assert time.monotonic() < ends
    assert answer.read() == b"hello"
    assert gateway.process.poll() is None
