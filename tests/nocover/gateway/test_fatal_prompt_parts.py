"""Send requests that share a part under which every upstream exits to gateways."""

import threading
import time
from collections.abc import Callable
from http.client import HTTPException
from itertools import count
from typing import NamedTuple

import pytest

from common.crashing_upstreams import CrashingUpstreams
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
from common.scripted_upstream import Exchange

UPSTREAMS = 8
FIRST_PART = "5c1e07a2"
"""Part that fatal and harmless requests share."""
FATAL_PARTS = ("fa7a1", "fa7a2")
PAUSE_SECONDS = 0.3
SENT_SECONDS = 12.0
WINDOW_SECONDS = 3.0
"""Time after the fifth exit by which each gateway must know of a part."""
MAX_LATER = 3
"""Most requests with a fatal part that may reach upstreams after that."""
ROUTES = (
    route("/safe/", attempts=3),
    route("/once/", kind="non_idempotent"),
    route("/stream/", kind="stream", resumable=True, gap_target_ms=5000),
)


def has_fatal_part(exchange: Exchange) -> bool:
    """Return whether a request's prompt has a part that crashes its upstream."""
    prompt = exchange.request.headers.get("x-prompt-prefix", "")
    return any(part in prompt for part in FATAL_PARTS)


@pytest.fixture
def fleet(tmp_path):
    with running_fleet(tmp_path) as fleet:
        fleet.accept(document(1, *ROUTES))
        yield fleet


@pytest.fixture
def upstreams(fleet):
    upstreams = CrashingUpstreams(fleet, UPSTREAMS, has_fatal_part)
    yield upstreams
    upstreams.stop()


class Reply(NamedTuple):
    """Hold when a request ended, and the status of its complete answer if any."""

    at: float
    status: int | None


class Sender(threading.Thread):
    """Send requests that have a prompt to each gateway in turn, no two alike."""

    def __init__(
        self, fleet: Fleet, path: str, name: str, shared_parts: Callable[[int], str]
    ) -> None:
        super().__init__(daemon=True)
        self.fleet = fleet
        self.path = path
        self.name = name
        self.shared_parts = shared_parts
        self.ending = threading.Event()
        self.replies: list[Reply] = []

    def run(self) -> None:
        """Send until told to stop."""
        for number in count():
            if self.ending.wait(PAUSE_SECONDS):
                return
            gateway = self.fleet.gateways[number % len(self.fleet.gateways)]
            status = self.send(gateway, f"{self.name}-{number}", number)
            self.replies.append(Reply(time.monotonic(), status))

    def send(self, gateway: GatewayProcess, name: str, number: int) -> int | None:
        """Send one request; return the status of a complete answer."""
        prompt = f"{self.shared_parts(number)},{number:x}{self.name.encode().hex()}:250"
        headers = {"X_Attempt_Id": name, "X_Prompt_Prefix": prompt}
        try:
            answer = ask(gateway, self.path, "POST", name.encode(), **headers)
            answer.read()
        except (OSError, HTTPException):
            return None
        return answer.status

    def stop(self) -> None:
        """Stop sending, and wait for the last request."""
        self.ending.set()
        self.join(10)


def fatal_sender(fleet: Fleet, path: str, part: str = FATAL_PARTS[0]) -> Sender:
    """Return a sender of requests with a fatal part."""
    return Sender(fleet, path, f"fatal-{part}", lambda _: f"{FIRST_PART}:800,{part}:40")


def harmless_senders(fleet: Fleet, path: str) -> list[Sender]:
    """Return senders of requests that share all but the fatal part."""
    return [
        Sender(fleet, path, f"harmless-{each}", lambda _: f"{FIRST_PART}:800")
        for each in range(3)
    ]


def send_all(senders: list[Sender]) -> None:
    """Let senders send for a while."""
    for sender in senders:
        sender.start()
    time.sleep(SENT_SECONDS)
    for sender in senders:
        sender.stop()


def fifth_end(upstreams: CrashingUpstreams) -> float:
    """Return the time of the fifth exit, or of the last if there are fewer."""
    return upstreams.ended_at[:5][-1]


@pytest.mark.parametrize("path", ["/safe/x", "/once/x", "/stream/x"])
def test_a_part_that_ended_five_upstreams_reaches_few_more(fleet, upstreams, path):
    """Guards against requests that share a part and each end another upstream."""
    fatal, harmless = fatal_sender(fleet, path), harmless_senders(fleet, path)
    send_all([fatal, *harmless])
    end = fifth_end(upstreams)
    assert upstreams.arrived_after(end + WINDOW_SECONDS) <= MAX_LATER
    assert fatal.replies[-1].status == 503
    replies = [reply for sender in harmless for reply in sender.replies]
    late = [reply for reply in replies if reply.at > end + 2 * WINDOW_SECONDS]
    assert len(late) > 20
    assert all(reply.status == 200 for reply in late)


def test_two_parts_that_end_upstreams_at_the_same_time_reach_few_more(fleet, upstreams):
    """Guards against a second fatal part that hides behind the first one."""
    senders = [fatal_sender(fleet, "/safe/x", part) for part in FATAL_PARTS]
    harmless = harmless_senders(fleet, "/safe/x")
    send_all([*senders, *harmless])
    end = upstreams.ended_at[:10][-1]
    assert upstreams.arrived_after(end + WINDOW_SECONDS) <= 2 * MAX_LATER
    assert [sender.replies[-1].status for sender in senders] == [503, 503]
    assert all(sender.replies[-1].status == 200 for sender in harmless)


def test_a_part_is_still_held_back_when_all_gateways_start_again(fleet, upstreams):
    """Guards against a part that ends five more upstreams after each restart."""
    send_all([fatal_sender(fleet, "/safe/x")])
    for gateway in fleet.gateways:
        gateway.kill()
    for gateway in fleet.gateways:
        gateway.start(first=False)
    for gateway in fleet.gateways:
        wait_for(lambda gateway=gateway: serves(gateway, 1))
    upstreams.send_heartbeats()
    fatal = fatal_sender(fleet, "/safe/x")
    send_all([fatal])
    end = fifth_end(upstreams)
    assert upstreams.arrived_after(end + WINDOW_SECONDS) <= MAX_LATER
    assert fatal.replies[-1].status == 503
