"""Send a request that ends every upstream that runs it to real gateways."""

import threading
import time
from http.client import HTTPException
from itertools import count

import pytest

from common.crashing_upstreams import FATAL, CrashingUpstreams
from common.gateway_fleet import (
    Fleet,
    GatewayProcess,
    ask,
    document,
    route,
    running_fleet,
    serves,
)
from common.polling import wait_for

UPSTREAMS = 8
PAUSE_SECONDS = 0.3
"""Pause before the request is sent again."""
KNOWN_SECONDS = 3.0
"""Time after the third exit by which each gateway must know of it."""
WATCHED_SECONDS = 5.0
"""Time for which the request is still sent after that."""
THIRD_END_SECONDS = 20.0
MAX_RETRIES = 3
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
    upstreams = CrashingUpstreams(
        fleet, UPSTREAMS, lambda exchange: exchange.request.body == FATAL
    )
    yield upstreams
    upstreams.stop()


def send(
    gateway: GatewayProcess, path: str, name: str, body: bytes = FATAL
) -> int | None:
    """Send a request with its own id; return the status of a complete answer."""
    try:
        answer = ask(gateway, path, "POST", body, X_Attempt_Id=name)
        answer.read()
    except (OSError, HTTPException):
        return None
    return answer.status


def send_until_known(fleet: Fleet, upstreams: CrashingUpstreams, path: str) -> float:
    """Send it to each gateway in turn; return the time by which all must know."""
    numbers, began = count(), time.monotonic()
    while time.monotonic() < began + THIRD_END_SECONDS:
        number = next(numbers)
        send(fleet.gateways[number % len(fleet.gateways)], path, f"fatal-{number}")
        time.sleep(PAUSE_SECONDS)
        ended = upstreams.ended_at[2:3]
        if ended and time.monotonic() > ended[0] + KNOWN_SECONDS:
            return ended[0] + KNOWN_SECONDS
    raise AssertionError(f"only {len(upstreams.ended_at)} upstreams ended")


def keep_sending(fleet: Fleet, path: str) -> list[int | None]:
    """Continue to send the request for a while; return the statuses."""
    began, statuses = time.monotonic(), []
    while time.monotonic() < began + WATCHED_SECONDS:
        gateway = fleet.gateways[len(statuses) % len(fleet.gateways)]
        statuses.append(send(gateway, path, f"late-{len(statuses)}"))
        time.sleep(PAUSE_SECONDS)
    return statuses


@pytest.mark.parametrize("path", ["/safe/x", "/once/x", "/stream/x"])
def test_a_request_that_ended_three_upstreams_reaches_few_more(fleet, upstreams, path):
    """Guards against one request that ends every upstream of a service."""
    known_at = send_until_known(fleet, upstreams, path)
    statuses = keep_sending(fleet, path)
    assert upstreams.arrived_after(known_at) <= MAX_RETRIES
    assert statuses[-1] == 503


def restart_all(fleet: Fleet) -> None:
    """Kill all gateways at once and start them again."""
    for gateway in fleet.gateways:
        gateway.kill()
    for gateway in fleet.gateways:
        gateway.start(first=False)
    for gateway in fleet.gateways:
        wait_for(lambda gateway=gateway: serves(gateway, 1))


def test_what_is_held_back_stays_so_when_all_gateways_start_again(fleet, upstreams):
    """Guards against a request that ends three more upstreams after each restart."""
    known_at = send_until_known(fleet, upstreams, "/safe/x")
    restart_all(fleet)
    upstreams.send_heartbeats()
    keep_sending(fleet, "/safe/x")
    assert upstreams.arrived_after(known_at) <= MAX_RETRIES


class HarmlessCaller(threading.Thread):
    """Send one harmless request repeatedly."""

    def __init__(self, fleet: Fleet, number: int) -> None:
        super().__init__(daemon=True)
        self.fleet = fleet
        self.number = number
        self.ending = threading.Event()
        self.answers: list[tuple[float, int | None]] = []

    def run(self) -> None:
        """Send to each gateway in turn until told to stop."""
        for number in count(self.number):
            if self.ending.is_set():
                return
            gateway = self.fleet.gateways[number % len(self.fleet.gateways)]
            name = f"harmless-{self.number}-{number}"
            status = send(gateway, "/safe/x", name, b"harmless")
            self.answers.append((time.monotonic(), status))

    def unserved_after(self, moment: float) -> int:
        """Count the requests after a time that were not answered with 200."""
        return sum(at > moment and status != 200 for at, status in self.answers)


def test_a_harmless_request_beside_it_is_served(fleet, upstreams):
    """Guards against refusing requests that only ran beside the fatal one."""
    callers = [HarmlessCaller(fleet, number) for number in range(6)]
    for caller in callers:
        caller.start()
    known_at = send_until_known(fleet, upstreams, "/safe/x")
    keep_sending(fleet, "/safe/x")
    for caller in callers:
        caller.ending.set()
        caller.join(10)
    assert sum(caller.unserved_after(known_at) for caller in callers) == 0
    assert min(len(caller.answers) for caller in callers) > 20
