"""Check, on real processes, how entries contain a request that crashes upstreams."""

import json
import time
from collections.abc import Iterator
from pathlib import Path

import pytest
import urllib3

from common.daemon_fleet import (
    CUSTOMER_KEY,
    MODEL,
    TIMINGS,
    available,
    set_faults,
    start_fleet,
)
from local_fleet import LocalFleet, Upstream, wait_until

FATAL = "fatal-7c1e"
UPSTREAMS = 6
HELD_BACK_EXITS = 3
"""Upstreams that exit before a request is held back."""
PROPAGATION_SECONDS = 3.0
"""Time after the third exit within which every entry must know of it."""
RESENDS = 12
PLAIN = tuple(Upstream(f"echo-{n}", "echo", "plain") for n in range(UPSTREAMS))
ENGINES = tuple(
    Upstream(f"scribe-{n}", "scribe", "model", (MODEL,)) for n in range(UPSTREAMS)
)


def change(idempotent: bool) -> dict:
    return {
        "put_models": [{"name": MODEL, "version": "1"}],
        "put_services": [
            {"name": "scribe", "kind": "model", "models": [MODEL]},
            {"name": "echo", "kind": "plain", "idempotent": idempotent},
        ],
        "put_customers": [
            {"name": "desk", "key": CUSTOMER_KEY, "services": ["scribe", "echo"]}
        ],
    }


@pytest.fixture
def fleet(tmp_path: Path) -> Iterator[LocalFleet]:
    with LocalFleet(tmp_path, timings=TIMINGS) as fleet:
        yield fleet


def start(fleet: LocalFleet, upstreams: tuple[Upstream, ...], idempotent: bool) -> None:
    """Start a fleet whose upstreams exit when they get the fatal text."""
    start_fleet(fleet, ())
    fleet.change("echo", change(idempotent))
    for upstream in upstreams:
        fleet.start_upstream(upstream)
        set_faults(fleet, upstream.name, end_on=FATAL)
    for name in fleet.entry_names:
        wait_until(
            lambda name=name: len(available(fleet, name)) == len(upstreams),
            f"announcements at {name}",
        )


def send(fleet: LocalFleet, entry: str, path: str, body: dict) -> tuple[int, dict]:
    """Send one request; return the status and the document of its answer."""
    response = fleet.http.request(
        "POST",
        f"http://{fleet.callers[entry]}{path}",
        body=json.dumps(body).encode(),
        headers={"Authorization": f"Bearer {CUSTOMER_KEY}"},
        timeout=urllib3.Timeout(connect=5.0, read=60.0),
    )
    return response.status, json.loads(response.data or b"{}")


def send_to_each(
    fleet: LocalFleet, path: str, body: dict, times: int
) -> list[tuple[int, dict]]:
    """Send one request `times` times, to the entries in turn."""
    names = fleet.entry_names
    return [
        send(fleet, names[number % len(names)], path, body) for number in range(times)
    ]


def count_exited(fleet: LocalFleet, upstreams: tuple[Upstream, ...]) -> int:
    """Count the upstreams whose process has exited."""
    return sum(not fleet.is_running(each.name) for each in upstreams)


def send_until_known(
    fleet: LocalFleet, upstreams: tuple[Upstream, ...], path: str, body: dict
) -> int:
    """Send a request until three upstreams have exited and every entry knows of it.

    Return how many have exited.
    """
    while count_exited(fleet, upstreams) < HELD_BACK_EXITS:
        send(fleet, fleet.entry_names[0], path, body)
    time.sleep(PROPAGATION_SECONDS)
    return count_exited(fleet, upstreams)


@pytest.mark.parametrize("idempotent", [True, False])
def test_a_call_that_ended_three_plain_services_ends_few_more(fleet, idempotent):
    """Guards against one call that crashes every upstream of a service."""
    start(fleet, PLAIN, idempotent)
    fatal = {"text": FATAL}
    exited = send_until_known(fleet, PLAIN, "/services/echo/x", fatal)
    answers = send_to_each(fleet, "/services/echo/x", fatal, RESENDS)
    assert count_exited(fleet, PLAIN) == exited == HELD_BACK_EXITS
    status, document = answers[-1]
    assert (status, document["error"]["code"]) == (502, "not_run")
    assert send(fleet, "entry-1", "/services/echo/x", {"text": "sound"})[0] == 200


def held_digests(fleet: LocalFleet, entry: str) -> list[str]:
    """List the digests of the requests that an entry holds back."""
    _, document = fleet.operator_call(entry, "GET", "/v1/suspects")
    return [each["digest"] for each in document["suspects"] if each["held"]]


def test_a_released_call_runs_again_at_every_entry(fleet):
    """Guards against a call that is still refused after its service was fixed."""
    start(fleet, PLAIN, idempotent=True)
    fatal = {"text": FATAL}
    send_until_known(fleet, PLAIN, "/services/echo/x", fatal)
    for upstream in PLAIN:
        if fleet.is_running(upstream.name):
            set_faults(fleet, upstream.name)
    (digest,) = held_digests(fleet, "entry-2")
    path = f"/v1/suspects/{digest}/release"
    assert fleet.operator_call("entry-2", "POST", path)[0] == 200
    wait_until(lambda: held_digests(fleet, "entry-3") == [], "word of the release")
    assert send(fleet, "entry-3", "/services/echo/x", fatal)[0] == 200


def test_a_prompt_that_ended_three_engines_ends_few_more(fleet):
    """Guards against one prompt that crashes every engine of a model."""
    start(fleet, ENGINES, idempotent=True)
    body = {"model": MODEL, "prompt": FATAL, "max_tokens": 4}
    exited = send_until_known(fleet, ENGINES, "/v1/completions", body)
    answers = send_to_each(fleet, "/v1/completions", body, RESENDS)
    assert count_exited(fleet, ENGINES) == exited == HELD_BACK_EXITS
    assert answers[-1][1]["error"]["code"] == "not_run"
    sound = body | {"prompt": "sound"}
    status, document = send(fleet, "entry-1", "/v1/completions", sound)
    assert status == 200, document


MANY_ENGINES = tuple(
    Upstream(f"scribe-{n}", "scribe", "model", (MODEL,)) for n in range(10)
)
FIFTH_EXIT = 5
MAX_LATER = 3
"""Most engines that may exit under a message once it has ended five."""


def chat(number: int, *before: str) -> dict:
    """Return a chat with some messages before its last one, which is its own."""
    texts = [*before, f"question {number}"]
    messages = [{"role": "user", "content": text} for text in texts]
    return {"model": MODEL, "messages": messages, "max_tokens": 4}


def test_chats_that_share_a_message_which_ends_engines_end_few_more(fleet):
    """Guards against a message that ends an engine in each chat that has it."""
    start(fleet, MANY_ENGINES, idempotent=True)
    path, numbers = "/v1/chat/completions", iter(range(1_000))
    for _ in range(40):
        send(fleet, fleet.entry_names[0], path, chat(next(numbers), "hello", FATAL))
        send(fleet, fleet.entry_names[1], path, chat(next(numbers), "hello"))
        if count_exited(fleet, MANY_ENGINES) >= FIFTH_EXIT:
            break
    time.sleep(PROPAGATION_SECONDS)
    known = count_exited(fleet, MANY_ENGINES)
    for number in range(RESENDS):
        entry = fleet.entry_names[number % len(fleet.entry_names)]
        status, document = send(fleet, entry, path, chat(next(numbers), "hello", FATAL))
    assert count_exited(fleet, MANY_ENGINES) <= known + MAX_LATER < len(MANY_ENGINES)
    assert document["error"]["code"] == "not_run"
    status, document = send(fleet, "entry-1", path, chat(next(numbers), "hello"))
    assert status == 200, document
