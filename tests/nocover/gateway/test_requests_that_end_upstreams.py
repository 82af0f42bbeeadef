"""Send a request that ends each upstream that runs it to real gateways."""

import time
from http.client import HTTPException
from itertools import count

import pytest

from common.ending_upstreams import FATAL, EndingUpstreams
from common.gateway_fleet import (
    Fleet,
    GatewayProcess,
    ask,
    document,
    route,
    running_fleet,
)

UPSTREAMS = 8
PAUSE_SECONDS = 0.3
"""Pause between two returns of the request."""
KNOWN_SECONDS = 3.0
"""Time after the third end by which each gateway must know."""
WATCHED_SECONDS = 5.0
"""Time for which the request still comes after that."""
THIRD_END_SECONDS = 20.0
MOST_RETRIES = 3
ROUTES = (
    route("/safe/", attempts=3),
    route("/once/", kind="non_idempotent"),
    route("/stream/", kind="stream", resumable=True, gap_target_ms=5000),
)


@pytest.fixture
def fleet(tmp_path):
    with running_fleet(tmp_path) as fleet:
        fleet.accept(document(1, *ROUTES))
        yield fleet


@pytest.fixture
def upstreams(fleet):
    upstreams = EndingUpstreams(
        fleet, UPSTREAMS, lambda exchange: exchange.request.body == FATAL
    )
    yield upstreams
    upstreams.stop()


def send(gateway: GatewayProcess, path: str, number: int) -> int | None:
    """Send the request under an id of its own; return the status of a whole answer."""
    try:
        answer = ask(gateway, path, "POST", FATAL, X_Attempt_Id=f"fatal-{number}")
        answer.read()
    except (OSError, HTTPException):
        return None
    return answer.status


def send_until_known(fleet: Fleet, upstreams: EndingUpstreams, path: str) -> float:
    """Send it to each gateway in turn; return when each of them must know."""
    numbers, began = count(), time.monotonic()
    while time.monotonic() < began + THIRD_END_SECONDS:
        number = next(numbers)
        send(fleet.gateways[number % len(fleet.gateways)], path, number)
        time.sleep(PAUSE_SECONDS)
        ended = upstreams.ended_at[2:3]
        if ended and time.monotonic() > ended[0] + KNOWN_SECONDS:
            return ended[0] + KNOWN_SECONDS
    raise AssertionError(f"only {len(upstreams.ended_at)} upstreams ended")


def keep_sending(fleet: Fleet, path: str) -> list[int | None]:
    """Go on for a while; return the answers' statuses."""
    began, statuses = time.monotonic(), []
    while time.monotonic() < began + WATCHED_SECONDS:
        gateway = fleet.gateways[len(statuses) % len(fleet.gateways)]
        statuses.append(send(gateway, path, 1000 + len(statuses)))
        time.sleep(PAUSE_SECONDS)
    return statuses


@pytest.mark.parametrize("path", ["/safe/x", "/once/x", "/stream/x"])
def test_a_request_that_ended_three_upstreams_reaches_few_more(fleet, upstreams, path):
    """Guards against one request that ends every upstream of a service."""
    known_at = send_until_known(fleet, upstreams, path)
    statuses = keep_sending(fleet, path)
    assert upstreams.arrived_after(known_at) <= MOST_RETRIES
    assert statuses[-1] == 503
