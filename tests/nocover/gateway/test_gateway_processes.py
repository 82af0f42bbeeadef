"""Check real gateway processes under requests and failures."""

import json
import socket
import threading

import pytest

from common.gateway_fleet import (
    HOST,
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

ROUTES = (
    route("/safe/"),
    route("/once/", kind="non_idempotent"),
    route("/stream/", kind="stream", resumable=True, gap_target_ms=1000),
)


@pytest.fixture
def fleet(tmp_path):
    with running_fleet(tmp_path) as fleet:
        fleet.accept(document(1, *ROUTES))
        yield fleet


def upstream(script, upstream_id="u-1", service="plain") -> ScriptedUpstream:
    return ScriptedUpstream(upstream_id, service, script)


def say_hello(exchange: Exchange) -> None:
    exchange.answer(200, b"hello")


def test_a_request_is_passed_on_and_its_answer_comes_back_as_it_was(fleet):
    plain = upstream(say_hello)
    send_heartbeats(fleet, plain)
    for gateway in fleet.gateways:
        answer = ask(gateway, "/safe/a?q=1", "POST", b"body", X_Other="kept")
        assert (answer.status, answer.read()) == (200, b"hello")
        assert answer.headers["X-Response-Stamp"] == "by-u-1"
    seen = [each for each in plain.seen if each.target == "/safe/a?q=1"]
    assert len(seen) == 3
    assert seen[0].body == b"body"
    assert seen[0].headers["x-tenant"] == "customer-one"
    assert seen[0].headers["x-expect-instance"] == "u-1"
    assert seen[0].headers["x-other"] == "kept"
    assert "authorization" not in seen[0].headers


def test_unknown_keys_and_paths_are_refused(fleet):
    gateway = fleet.gateways[0]
    assert ask(gateway, "/nowhere/x").status == 404
    assert ask(gateway, "/safe/x", Authorization="Token wrong").status == 401


def test_configurations_are_accepted_refused_and_read_back(fleet):
    assert fleet.put(document(1, *ROUTES), at=1) == 200
    assert fleet.put(document(1), at=2) == 409
    assert fleet.put({"version": 2}, at=0) == 400
    second = document(5, *ROUTES)
    fleet.accept(second)
    assert fleet.put(document(4), at=1) == 200
    for gateway in fleet.gateways:
        status, body = call(gateway.control, "GET", "/api/config")
        assert status == 200
        assert json.loads(body) == second


@pytest.fixture
def follower(fleet, tmp_path):
    """Run a gateway without a replica beside the others."""
    first = fleet.gateways[0]
    host = f"{first.host.rpartition('.')[0]}.{int(first.host.rpartition('.')[2]) + 3}"
    gateway = GatewayProcess(tmp_path / host, host, first.ports, first.seeds, False)
    gateway.start(first=False)
    try:
        wait_for(gateway.is_ready)
        yield gateway
    finally:
        gateway.kill()


def test_large_changes_are_taken_served_and_read_back_without_a_replica(
    fleet, follower
):
    """Guards against large changes that only gateways with replicas can read.

    A gateway without a replica accepts one, serves a route that it added, and returns
    all of it; then a second change follows at once.
    """
    everywhere = Fleet([*fleet.gateways, follower])
    for version, many in ((5, 4000), (7, 4001)):
        routes = [route(f"/many-{number}/", public=True) for number in range(many)]
        large = document(version, *routes)
        assert call(follower.control, "PUT", "/api/config", large)[0] == 200
        everywhere.accept(large)
        assert ask(follower, f"/many-{many - 1}/x").status == 503
        for gateway in everywhere.gateways:
            status, body = call(gateway.control, "GET", "/api/config")
            assert (status, json.loads(body)) == (200, large)


def test_an_accepted_configuration_survives_the_death_of_all_processes(fleet):
    """Guards against losing a route when all processes are killed at once."""
    newest = document(9, *ROUTES)
    fleet.accept(newest)
    for gateway in fleet.gateways:
        gateway.kill()
    for gateway in fleet.gateways:
        gateway.start(first=False)
    for gateway in fleet.gateways:
        wait_for(gateway.is_ready)
        wait_for(lambda g=gateway: call(g.control, "GET", "/api/config")[0] == 200)
        status, body = call(gateway.control, "GET", "/api/config")
        assert json.loads(body) == newest


def test_disks_may_be_lost_one_after_the_other(fleet):
    """Guards against losing a change although only one disk is lost at a time.

    Each disk in turn comes back empty, and the other replicas must bring it up to date
    before the next one is lost.
    """
    for turn, gateway in enumerate(fleet.gateways):
        newest = document(20 + turn, *ROUTES)
        fleet.accept(newest)
        gateway.kill()
        gateway.wipe()
        gateway.start(first=False)
        wait_for(lambda: all(has_three_voters(g) for g in fleet.gateways))
    for gateway in fleet.gateways:
        status, body = call(gateway.control, "GET", "/api/config")
        assert (status, json.loads(body)) == (200, newest)


def has_three_voters(gateway) -> bool:
    """Return whether a gateway's replica is up to date and counts three voters."""
    return gateway.voters() == 3


def test_without_disks_a_lost_configuration_is_sent_again_to_a_new_cluster(fleet):
    """Guards against a fleet that never serves again after a power loss.

    All replicas were in memory. After a normal restart, none bootstraps a cluster,
    since another one might still exist; after a first start, they bootstrap one.
    """
    for gateway in fleet.gateways:
        gateway.replica_in_memory = True
    for first in (False, True):
        for gateway in fleet.gateways:
            gateway.kill()
            gateway.start(first=first)
        if not first:
            wait_for(lambda: any(serves_nothing(each) for each in fleet.gateways))
    fleet.accept(document(9, *ROUTES))


def serves_nothing(gateway: GatewayProcess) -> bool:
    """Return whether a gateway listens and has no configuration."""
    try:
        return ask(gateway, "/safe/x").status == 503
    except ConnectionRefusedError:
        return False


def test_a_request_that_may_run_once_is_not_sent_again_after_a_cut(fleet):
    """Guards against running a non-idempotent request twice.

    The upstream gets the request and the connection breaks, so it is unknown whether
    the request ran. The caller must not be told that it did not.
    """
    first = upstream(lambda exchange: exchange.cut(), "u-1")
    second = upstream(lambda exchange: exchange.cut(), "u-2")
    send_heartbeats(fleet, first, second)
    answer = ask(fleet.gateways[0], "/once/x", "POST", b"pay")
    assert answer.status == 502
    ran = [each for each in first.seen + second.seen if each.target == "/once/x"]
    assert len(ran) == 1


def test_a_request_that_may_be_repeated_goes_to_another_upstream(fleet):
    first = upstream(lambda exchange: exchange.cut(), "u-1")
    second = upstream(say_hello, "u-2")
    send_heartbeats(fleet, first, second)
    for _ in range(5):
        assert ask(fleet.gateways[0], "/safe/x").status == 200


def test_an_upstream_that_reports_a_request_as_not_run_is_trusted(fleet):
    def shed(exchange: Exchange) -> None:
        exchange.answer(503, X_Not_Run="1")

    send_heartbeats(fleet, upstream(shed))
    answer = ask(fleet.gateways[0], "/once/x", "POST")
    assert answer.status == 503
    assert float(answer.headers["Retry-After"]) > 0
    assert answer.headers["X-Response-Stamp"] is None


def test_a_stream_goes_on_at_another_upstream_without_a_gap(fleet):
    """Guards against a stream that breaks off or repeats a part.

    The upstream fails in the middle of an event. Another one resumes after the last
    complete event, within the same answer.
    """

    def begin(exchange: Exchange) -> None:
        if "last-event-id" in exchange.request.headers:
            go_on(exchange)
            return
        exchange.begin_stream()
        exchange.chunk(b"id: 1\ndata: one\n\nid: 2\nda")
        exchange.cut()

    def go_on(exchange: Exchange) -> None:
        after = int(exchange.request.headers["last-event-id"])
        exchange.begin_stream()
        for number in range(after + 1, 4):
            exchange.chunk(b"id: %d\ndata: rest\n\n" % number)
        exchange.end_stream()

    send_heartbeats(fleet, upstream(begin, "u-1"), upstream(begin, "u-2"))
    answer = ask(fleet.gateways[0], "/stream/x", "POST", b"prompt")
    assert answer.status == 200
    assert answer.read() == (
        b"id: 1\ndata: one\n\nid: 2\ndata: rest\n\nid: 3\ndata: rest\n\n"
    )


def test_a_caller_that_leaves_ends_the_work_for_it(fleet):
    """Guards against an engine that decodes for seconds after its caller is gone."""
    left = threading.Event()

    def write_on(exchange: Exchange) -> None:
        exchange.begin_stream()
        exchange.chunk(b"id: 1\ndata: one\n\n")
        if exchange.wait_until_caller_left(20):
            left.set()

    send_heartbeats(fleet, upstream(write_on))
    gateway = fleet.gateways[0]
    caller = socket.create_connection((gateway.host, gateway.ports.callers))
    caller.sendall(
        f"POST /stream/x HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: a\r\n"
        "Authorization: Token key-of-one\r\nContent-Length: 0\r\n\r\n".encode()
    )
    assert caller.recv(65_536)
    caller.close()
    wait_for(left.is_set)


def test_an_upstream_that_leaves_gets_nothing_new(fleet):
    leaving, staying = upstream(say_hello, "u-1"), upstream(say_hello, "u-2")
    send_heartbeats(fleet, leaving, staying)
    assert leaving.send_heartbeat(fleet.gateways[0].control, state="draining") == 200
    wait_for(lambda: serves_only(fleet, staying, leaving))


def serves_only(fleet: Fleet, staying, leaving) -> bool:
    """Return whether no gateway uses an upstream any more."""
    before = len(leaving.seen)
    for gateway in fleet.gateways:
        for _ in range(4):
            assert ask(gateway, "/safe/x").status == 200
    return len(leaving.seen) == before


def test_a_graceful_end_cuts_no_request(fleet):
    """Guards against an answer that a planned restart cuts."""
    begun, go_on = threading.Event(), threading.Event()

    def wait_and_answer(exchange: Exchange) -> None:
        begun.set()
        go_on.wait(20)
        exchange.answer(200, b"late but whole")

    send_heartbeats(fleet, upstream(wait_and_answer))
    gateway = fleet.gateways[0]
    answers = []
    caller = threading.Thread(
        target=lambda: answers.append(ask(gateway, "/once/x", "POST").read())
    )
    caller.start()
    assert begun.wait(20)
    gateway.ask_to_end()
    wait_for(lambda: not gateway.is_ready())
    go_on.set()
    caller.join()
    assert answers == [b"late but whole"]
    assert gateway.process.wait(20) == 0


def test_a_request_head_that_arrives_slowly_times_out(fleet):
    """Guards against a hundred slow callers that occupy all connections."""
    limits = {"header_timeout_ms": 300}
    fleet.accept(document(3, *ROUTES) | {"limits": limits})
    gateway = fleet.gateways[0]
    caller = socket.create_connection((gateway.host, gateway.ports.callers))
    caller.sendall(b"GET /safe/x HTTP/1.1\r\nHost:")
    caller.settimeout(20)
    assert caller.recv(65_536).startswith(b"HTTP/1.1 408")


def test_changed_seeds_are_taken_over_without_a_restart(fleet):
    """Guards against a partitioned gateway that can't find peers with new addresses.

    The settings file names other seeds, and no signal is sent.
    """
    gateway = fleet.gateways[0]
    changed = gateway.settings(first=False).replace(
        f'"{gateway.host}:{gateway.ports.control}"', '"127.0.0.200:1"'
    )
    (gateway.folder / "settings.toml").write_text(changed)
    log = gateway.folder / "log"
    wait_for(lambda: "Settings reloaded" in log.read_text())
    assert "127.0.0.200" in log.read_text()


def test_settings_that_cannot_be_read_change_nothing(fleet):
    gateway = fleet.gateways[0]
    (gateway.folder / "settings.toml").write_text("node = ")
    log = gateway.folder / "log"
    wait_for(lambda: "Settings not reloaded" in log.read_text())
    assert gateway.is_ready()


def test_metrics_are_shown_at_their_address(fleet):
    send_heartbeats(fleet, upstream(say_hello))
    gateway = fleet.gateways[0]
    assert ask(gateway, "/safe/x").status == 200
    status, text = call(gateway.metrics, "GET", "/metrics")
    assert status == 200
    assert b'cowslipshelf_requests_total{outcome="200"}' in text
    assert b"cowslipshelf_request_seconds" in text


@pytest.mark.parametrize("status", [204, 304, 404, 418])
def test_an_answer_keeps_its_status_whatever_that_is(fleet, status):
    def answer(exchange: Exchange) -> None:
        if status in (204, 304):
            head = f"HTTP/1.1 {status} X\r\nX-Attempt-Id: "
            sent = exchange.request.headers["x-attempt-id"]
            exchange.connection.sendall(f"{head}{sent}\r\n\r\n".encode())
        else:
            exchange.answer(status, b"why")

    send_heartbeats(fleet, upstream(answer))
    assert ask(fleet.gateways[0], "/safe/x").status == status


def test_a_stream_resumed_on_another_upstream_is_complete(fleet):
    def move(exchange: Exchange) -> None:
        after = int(exchange.request.headers.get("last-event-id", 0))
        exchange.begin_stream()
        exchange.chunk(b"id: %d\ndata: x\n\n" % (after + 1))
        if after == 0:
            exchange.cut()
        exchange.end_stream()

    send_heartbeats(fleet, upstream(move, "u-1"), upstream(move, "u-2"))
    answer = ask(fleet.gateways[0], "/stream/x", "POST", b"prompt")
    assert answer.read() == b"id: 1\ndata: x\n\nid: 2\ndata: x\n\n"
