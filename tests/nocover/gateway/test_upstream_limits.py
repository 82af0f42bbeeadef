"""Check on real gateway processes that limits of upstreams are kept."""

import re
import signal
import threading
import time
from contextlib import contextmanager
from http.client import HTTPException

import pytest

from common.gateway_fleet import (
    Fleet,
    GatewayProcess,
    ask,
    document,
    route,
    running_fleet,
    send_heartbeats,
)
from common.polling import wait_for
from common.scripted_upstream import Exchange, ScriptedUpstream, call

GATEWAYS = 5
CALLERS_PER_GATEWAY = 2
WINDOW_SECONDS = 4.0
SETTLE_SECONDS = 3.0
"""Time after the first answer with a limit in which it need not be kept."""
LOAD_SECONDS = 12.0
FREEZE_SECONDS = 1.5
CALL_PAUSE_SECONDS = 0.1
NO_ANSWER = 0


def allowed(requests_per_second: float) -> float:
    """Return the requests that a limit allows in a window, from all gateways."""
    return 1.5 * requests_per_second * WINDOW_SECONDS + 5


class LimitedUpstream:
    """Name a limit in each answer, and record when requests arrive."""

    def __init__(self, requests_per_second: float | None) -> None:
        self.requests_per_second = requests_per_second
        self.arrivals: list[float] = []
        self.first_named_at: float | None = None
        self.upstream = ScriptedUpstream("u-limited", "plain", self.answer)

    def answer(self, exchange: Exchange) -> None:
        now = time.monotonic()
        self.arrivals.append(now)
        limit = self.requests_per_second
        if limit is None:
            exchange.answer(200, b"hello")
            return
        if self.first_named_at is None:
            self.first_named_at = now
        exchange.answer(200, b"hello", Server_Limit=str(limit))

    def most_in_a_window(self) -> int:
        """Return the most arrivals in a window once the limit must be kept."""
        counted = sorted(
            at for at in self.arrivals if at > self.first_named_at + SETTLE_SECONDS
        )
        windows = (
            sum(first <= at <= first + WINDOW_SECONDS for at in counted)
            for first in counted
        )
        return max(windows, default=0)


@pytest.fixture
def fleet(tmp_path):
    with running_fleet(tmp_path, GATEWAYS) as fleet:
        fleet.accept(document(1, route("/safe/", attempts=3)))
        yield fleet


@contextmanager
def callers(fleet: Fleet, statuses: list[int]):
    """Let callers ask every gateway all the while, and record the statuses."""
    stopped = threading.Event()

    def keep_asking(gateway) -> None:
        while not stopped.is_set():
            try:
                answer = ask(gateway, "/safe/x")
                answer.read()
                statuses.append(answer.status)
            except (OSError, HTTPException):
                statuses.append(NO_ANSWER)
            stopped.wait(CALL_PAUSE_SECONDS)

    threads = [
        threading.Thread(target=keep_asking, args=(gateway,))
        for gateway in fleet.gateways
        for _ in range(CALLERS_PER_GATEWAY)
    ]
    for thread in threads:
        thread.start()
    try:
        yield
    finally:
        stopped.set()
        for thread in threads:
            thread.join()


@pytest.mark.parametrize("requests_per_second", [1, 8])
def test_all_gateways_together_keep_the_limit_of_an_upstream(
    fleet, requests_per_second
):
    """Guards against an upstream in need that gets as much as before from all."""
    limited = LimitedUpstream(requests_per_second)
    other = ScriptedUpstream("u-other", "plain", lambda each: each.answer(200, b"x"))
    send_heartbeats(fleet, limited.upstream, other)
    statuses: list[int] = []
    with callers(fleet, statuses):
        time.sleep(LOAD_SECONDS)
    assert limited.most_in_a_window() <= allowed(requests_per_second)
    assert set(statuses) == {200}


def test_restarts_kills_and_freezes_of_gateways_do_not_exceed_the_limit(fleet):
    """Guards against a burst of gateways that lost or outlived their permits."""
    limited = LimitedUpstream(4)
    other = ScriptedUpstream("u-other", "plain", lambda each: each.answer(200, b"x"))
    send_heartbeats(fleet, limited.upstream, other)
    with callers(fleet, []):
        time.sleep(SETTLE_SECONDS)
        for gateway in fleet.gateways:
            gateway.process.send_signal(signal.SIGSTOP)
            time.sleep(FREEZE_SECONDS)
            gateway.process.send_signal(signal.SIGCONT)
            gateway.kill()
            gateway.start(first=False)
            send_heartbeats(Fleet([gateway]), limited.upstream, other)
        time.sleep(WINDOW_SECONDS)
    assert limited.most_in_a_window() <= allowed(4)


def test_a_limit_that_ends_is_soon_over_at_every_gateway(fleet):
    """Guards against an upstream that stays limited after it has recovered."""
    limited = LimitedUpstream(2)
    send_heartbeats(fleet, limited.upstream)
    with callers(fleet, []):
        time.sleep(SETTLE_SECONDS)
        limited.requests_per_second = None
        wait_for(lambda: not any(map(limited_upstreams, fleet.gateways)))


def limited_upstreams(gateway: GatewayProcess) -> int:
    """Return how many limited upstreams a gateway's metrics show."""
    _, text = call(gateway.metrics, "GET", "/metrics")
    shown = re.search(rb"^cowslipshelf_limited_upstreams (\d+)", text, re.MULTILINE)
    return int(shown[1]) if shown else 1


def test_callers_of_limited_upstreams_only_are_served_or_refused_at_once(fleet):
    """Guards against callers that wait where no upstream has room for them."""
    limited = LimitedUpstream(4)
    send_heartbeats(fleet, limited.upstream)
    statuses: list[int] = []
    with callers(fleet, statuses):
        time.sleep(LOAD_SECONDS)
    seconds = LOAD_SECONDS - SETTLE_SECONDS
    served = sum(
        at > limited.first_named_at + SETTLE_SECONDS for at in limited.arrivals
    )
    assert served >= 0.8 * 4 * seconds
    assert set(statuses) == {200, 503}
    assert limited.most_in_a_window() <= allowed(4)
