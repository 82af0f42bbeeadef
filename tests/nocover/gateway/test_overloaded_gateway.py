"""Open more connections to a real gateway than it can serve."""

import math
import threading
import time

import pytest

from common.connection_load import Fate, Load, run_apart
from common.gateway_fleet import (
    HOST,
    KEY,
    GatewayProcess,
    document,
    route,
    running_fleet,
    send_heartbeats,
)
from common.scripted_upstream import Exchange, ScriptedUpstream

ANSWER_SECONDS = 0.02
AT_ONCE = 12
"""Connections with which the rate is measured that the gateway can serve."""
OVERLOAD = 3
MIN_SERVED_SHARE = 0.75
"""Least share of the requests read that must be served in time."""
PROBE_SECONDS = 0.2
MAX_PROBE_SECONDS = 1.0
"""Time in which load balancers and upstreams expect an answer."""
REQUEST = (
    f"POST /safe/x HTTP/1.1\r\nHost: {HOST}\r\nAuthorization: Token {KEY}\r\n"
    "X-Attempt-Id: load\r\nX-Deadline-Ms: 1000\r\nContent-Length: 5\r\n"
    "Connection: close\r\n\r\nhello"
).encode()


def answer(exchange: Exchange) -> None:
    time.sleep(ANSWER_SECONDS)
    exchange.answer(200, b"hello")


@pytest.fixture
def gateway(tmp_path):
    with running_fleet(tmp_path, max_descriptors=4100) as fleet:
        fleet.accept(document(1, route("/safe/")))
        upstreams = [ScriptedUpstream(f"u-{n}", "plain", answer) for n in range(4)]
        send_heartbeats(fleet, *upstreams)
        yield fleet.gateways[0]
        for upstream in upstreams:
            upstream.stop()


class Prober(threading.Thread):
    """Ask a gateway for its readiness as a load balancer does, and for metrics."""

    def __init__(self, gateway: GatewayProcess) -> None:
        super().__init__(daemon=True)
        self.gateway = gateway
        self.ending = threading.Event()
        self.seconds: list[float] = []
        """Time that each answer took; infinite for one that is not 200."""

    def run(self) -> None:
        """Ask until told to stop."""
        while not self.ending.wait(PROBE_SECONDS):
            began = time.monotonic()
            ready = self.gateway.is_ready()
            self.gateway.voters()
            self.seconds.append(time.monotonic() - began if ready else math.inf)

    def stop(self) -> None:
        """Stop asking, and wait for the last answer."""
        self.ending.set()
        self.join(10)


def test_a_gateway_that_gets_too_many_connections_serves_what_it_reads(gateway):
    """Guards against requests that all miss their deadline since all are read."""
    usual = run_apart([Load(gateway.callers, REQUEST, at_once=AT_ONCE, seconds=2.0)])
    rate = OVERLOAD * usual[Fate.SERVED] / 2.0
    load = Load(gateway.callers, REQUEST, rate / 2, seconds=4.0)
    prober = Prober(gateway)
    prober.start()
    fates = run_apart([load, load])
    prober.stop()
    read = fates[Fate.SERVED] + fates[Fate.FAILED]
    assert fates[Fate.SERVED] >= MIN_SERVED_SHARE * read, (usual, fates)
    assert max(prober.seconds) < MAX_PROBE_SECONDS
    after = run_apart([Load(gateway.callers, REQUEST, at_once=1, seconds=1.0)])
    assert after[Fate.SERVED] == after.total() > 0
