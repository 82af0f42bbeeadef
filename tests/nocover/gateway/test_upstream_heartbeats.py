"""Check real gateways with restarted upstreams and forged heartbeats."""

import threading
import time

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

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

VERY_LONG_MS = 100_000
"""Longer than any test takes, so that no timeout causes what happens."""
ROUTES = (
    route("/safe/"),
    route("/once/", kind="non_idempotent", timeout_ms=VERY_LONG_MS),
    route(
        "/stream/",
        kind="stream",
        resumable=True,
        timeout_ms=VERY_LONG_MS,
        gap_target_ms=VERY_LONG_MS,
    ),
)
LONG_DEADLINE = {"X_Deadline_Ms": str(VERY_LONG_MS)}


@pytest.fixture
def fleet(tmp_path):
    with running_fleet(tmp_path) as fleet:
        fleet.accept(document(1, *ROUTES))
        yield fleet


def now_ms() -> int:
    return time.time_ns() // 1_000_000


def started(script, born: int, upstream_id: str = "u-1") -> ScriptedUpstream:
    """Start an upstream that reports its start time."""
    return ScriptedUpstream(upstream_id, "plain", script, born=born)


def say_hello(exchange: Exchange) -> None:
    exchange.answer(200, b"hello")


def uses_only(gateway: GatewayProcess, upstream: ScriptedUpstream) -> bool:
    """Return whether a gateway sends requests to this upstream only."""
    before = len(upstream.seen)
    answers = [ask(gateway, "/safe/x").status for _ in range(4)]
    return answers == [200] * 4 and len(upstream.seen) == before + 4


def ask_on_a_thread(
    gateway: GatewayProcess, path: str
) -> tuple[threading.Thread, list[bytes]]:
    """Send a request on a thread; the body of the answer is added to the list."""
    bodies: list[bytes] = []
    caller = threading.Thread(
        target=lambda: bodies.append(ask(gateway, path, "POST", **LONG_DEADLINE).read())
    )
    caller.start()
    return caller, bodies


def test_a_new_start_is_used_at_once_by_all_gateways_and_the_former_never(fleet):
    """Guards against a restarted upstream that gets no requests for minutes.

    It restarts under its name at another address, with a new sequence. A heartbeat of
    the former start arrives late, at one gateway only.
    """
    former = started(say_hello, now_ms())
    former.sequence = 500
    send_heartbeats(fleet, former)
    later = started(say_hello, now_ms() + 1)
    assert later.send_heartbeat(fleet.gateways[0].control) == 200
    for gateway in fleet.gateways:
        wait_for(lambda g=gateway: uses_only(g, later))
    assert former.send_heartbeat(fleet.gateways[1].control) == 200
    assert former.send_heartbeat(fleet.gateways[1].control, state="draining") == 200
    seen = len(former.seen)
    for gateway in fleet.gateways:
        assert uses_only(gateway, later)
    assert len(former.seen) == seen


def test_one_that_left_is_used_again_once_it_has_started_again(fleet):
    former = started(say_hello, now_ms())
    send_heartbeats(fleet, former)
    control = fleet.gateways[0].control
    assert call(control, "DELETE", "/api/runners/u-1")[0] == 200
    wait_for(lambda: ask(fleet.gateways[2], "/safe/x").status == 503)
    later = started(say_hello, now_ms() + 60_000)
    assert later.send_heartbeat(control) == 200
    wait_for(lambda: uses_only(fleet.gateways[2], later))


def test_a_stream_moves_on_as_soon_as_its_upstream_is_known_to_have_restarted(fleet):
    """Guards against a stream that stalls for seconds.

    The upstream's process died with its instance, so no reset arrived. The first
    heartbeat of its next start reveals that.
    """
    begun, end = threading.Event(), threading.Event()

    def begin_and_hang(exchange: Exchange) -> None:
        exchange.begin_stream()
        exchange.chunk(b"id: 1\ndata: one\n\n")
        begun.set()
        end.wait()

    def go_on(exchange: Exchange) -> None:
        assert exchange.request.headers["last-event-id"] == "1"
        exchange.begin_stream()
        exchange.chunk(b"id: 2\ndata: two\n\n")
        exchange.end_stream()

    gateway = fleet.gateways[0]
    started(begin_and_hang, now_ms()).send_heartbeat(gateway.control)
    caller, bodies = ask_on_a_thread(gateway, "/stream/x")
    assert begun.wait(30)
    started(go_on, now_ms() + 1).send_heartbeat(gateway.control)
    caller.join(30)
    end.set()
    assert bodies == [b"id: 1\ndata: one\n\nid: 2\ndata: two\n\n"]


def test_what_may_run_once_is_not_sent_to_the_next_start(fleet):
    """Guards against running a non-idempotent request twice.

    The upstream got the request and was reported as restarted before it answered. It is
    unknown whether the request ran, so it is not sent elsewhere.
    """
    begun, go_on = threading.Event(), threading.Event()

    def wait_and_answer(exchange: Exchange) -> None:
        begun.set()
        go_on.wait()
        exchange.answer(200, b"recorded")

    gateway = fleet.gateways[0]
    started(wait_and_answer, now_ms()).send_heartbeat(gateway.control)
    caller, bodies = ask_on_a_thread(gateway, "/once/x")
    assert begun.wait(30)
    later = started(say_hello, now_ms() + 1)
    later.send_heartbeat(gateway.control)
    wait_for(lambda: uses_only(gateway, later))
    go_on.set()
    caller.join(30)
    assert bodies == [b"recorded"]
    assert not [each for each in later.seen if each.target == "/once/x"]


FORGED = (
    {"seq": 10**30},
    {"slots": 10**30},
    {"slots": -1},
    {"seq": 1.0},
    {"seq": True},
    {"state": "resting"},
    {"address": "nowhere"},
    {"service": ""},
    {"service": "engine"},
    {"service": "named by nobody"},
    {"born": "then"},
    {"born": 10**30},
)


def test_word_of_another_writer_takes_no_sound_upstream_away(fleet):
    """Guards against a forged heartbeat that removes an upstream or ends a gateway.

    One message with the id of a healthy upstream took it out of use at all gateways;
    another one could not be forwarded, and ended the process that had accepted it.
    """
    sound = started(say_hello, now_ms())
    send_heartbeats(fleet, sound)
    for gateway in fleet.gateways:
        for changes in FORGED:
            forged = sound.heartbeat() | {"seq": sound.sequence + 1} | changes
            assert sound.put_heartbeat(gateway.control, forged) == 400, changes
        without_start = sound.heartbeat() | {"seq": sound.sequence + 1}
        del without_start["born"]
        assert sound.put_heartbeat(gateway.control, without_start) == 400
    for gateway in fleet.gateways:
        assert uses_only(gateway, sound)
        assert gateway.process.poll() is None
    text = call(fleet.gateways[0].metrics, "GET", "/metrics")[1].decode()
    refused = len(FORGED) + 1
    assert f"cowslipshelf_refused_words_total {refused}" in text


def test_a_configuration_whose_numbers_are_out_of_bounds_gets_an_answer(fleet):
    status, problem = call(
        fleet.gateways[0].control,
        "PUT",
        "/api/config",
        document(1, *ROUTES) | {"version": 10**30},
    )
    assert status == 400
    assert b"version" in problem


HEARTBEAT = {"service": "plain", "zone": "here", "version": "v1", "state": "ready"}
VALUES = (
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats()
    | st.text(max_size=5)
    | st.lists(st.integers(), max_size=2)
)
FIELDS = [*HEARTBEAT, "address", "slots", "seq", "cold_left_ms", "born"]


def test_no_junk_ends_a_gateway_or_changes_what_it_believes(tmp_path):
    with running_fleet(tmp_path, size=1) as fleet:
        fleet.accept(document(1, *ROUTES))
        sound = started(say_hello, now_ms())
        sound.sequence = 2**40
        send_heartbeats(fleet, sound)
        write_junk(fleet, sound)
        assert uses_only(fleet.gateways[0], sound)
        assert fleet.gateways[0].process.poll() is None


def write_junk(fleet: Fleet, sound: ScriptedUpstream) -> None:
    """Send arbitrary bytes and documents to each path of the control address."""
    control = fleet.gateways[0].control

    @settings(
        max_examples=150,
        deadline=None,
        database=None,
        suppress_health_check=list(HealthCheck),
    )
    @given(
        st.binary(max_size=60) | st.dictionaries(st.sampled_from(FIELDS), VALUES),
        st.sampled_from([("PUT", "/api/config"), ("DELETE", "/api/runners/u-9")]),
    )
    def write(junk, call_made):
        body = junk if isinstance(junk, bytes) else sound.heartbeat() | junk
        if body != sound.heartbeat():
            status = sound.put_heartbeat(control, body)
            same_start = isinstance(body, dict) and body.get("born") == sound.born
            assert status == 400 or (status == 200 and same_start)
        assert call(control, *call_made, body)[0] in (200, 400)

    write()
