"""Check on real gateways that a caller can tell a broken stream from a whole one."""

import socket
from http.client import HTTPException, HTTPResponse
from uuid import uuid4

import pytest

from common.gateway_fleet import (
    HOST,
    KEY,
    Fleet,
    GatewayProcess,
    ask,
    document,
    route,
    running_fleet,
    send_heartbeats,
)
from common.scripted_upstream import FRAMINGS, Exchange, ScriptedUpstream

FIRST_EVENT = b"id: 1\ndata: one\n\n"
BROKEN_OFF = FIRST_EVENT + b"id: 2\ndata: tw"
REST = b"id: 2\ndata: two\n\nid: 3\ndata: three\n\n"
LINE_ENDS = (
    (b"\n", b"\n\n"),
    (b"\r\n", b"\r\n\r\n"),
    (b"\r", b"\r\r"),
    (b"\r\n", b"\r\n\n"),
    (b"\n", b"\n\r\n"),
    (b"\r", b"\r\r\n"),
    (b"\n", b"\n\n\n"),
)
"""The end of a line, and that of an event, which is followed by a blank line."""


@pytest.fixture
def fleet(tmp_path):
    with running_fleet(tmp_path) as fleet:
        stream = {"kind": "stream", "attempts": 3}
        fleet.accept(
            document(
                1,
                route("/resumable/", resumable=True, **stream),
                route("/once/", **stream),
                route("/safe/"),
            )
        )
        yield fleet


@pytest.fixture
def serve(fleet: Fleet):
    """Return a function that makes two upstreams run a script."""
    upstreams = []

    def run(script) -> list[ScriptedUpstream]:
        upstreams.extend(
            ScriptedUpstream(name, "plain", script) for name in ("u-1", "u-2")
        )
        send_heartbeats(fleet, *upstreams)
        return upstreams

    yield run
    for upstream in upstreams:
        upstream.stop()


def stream(gateway: GatewayProcess, prefix: str) -> HTTPResponse:
    """Ask for a stream that no other test has asked for."""
    return ask(gateway, f"{prefix}{uuid4().hex}", "POST", b"prompt")


def read_until_broken(answer: HTTPResponse) -> tuple[bytes, bool]:
    """Return the body, and whether the caller takes it for complete."""
    body = bytearray()
    try:
        while data := answer.read1(1):
            body += data
    except (HTTPException, OSError):
        return bytes(body), False
    return bytes(body), True


@pytest.mark.parametrize("framing", FRAMINGS)
def test_a_stream_that_ends_inside_an_event_is_not_passed_on_as_complete(
    fleet, serve, framing
):
    """Guards against a caller that takes a stream which broke off for a whole one."""
    serve(lambda exchange: exchange.answer_stream(BROKEN_OFF, framing))
    for gateway in fleet.gateways:
        answer = stream(gateway, "/once/")
        assert answer.status == 200
        assert read_until_broken(answer) == (FIRST_EVENT, False)


@pytest.mark.parametrize("framing", FRAMINGS)
def test_a_stream_that_ends_inside_an_event_is_resumed(fleet, serve, framing):
    """Guards against a stream that ends short though another upstream may go on."""

    def script(exchange: Exchange) -> None:
        resumed = exchange.request.headers.get("last-event-id") == "1"
        exchange.answer_stream(REST if resumed else BROKEN_OFF, framing)

    serve(script)
    for gateway in fleet.gateways:
        answer = stream(gateway, "/resumable/")
        assert read_until_broken(answer) == (FIRST_EVENT + REST, True)


def test_a_stream_with_a_length_is_resumed_by_one_of_another_length(fleet, serve):
    """Guards against a resumed stream that is cut when the first length is reached."""

    def script(exchange: Exchange) -> None:
        if exchange.request.headers.get("last-event-id") == "1":
            exchange.answer_stream(REST, "length")
            return
        exchange.answer_stream(BROKEN_OFF, "length", missing=5)
        exchange.cut()

    serve(script)
    answer = stream(fleet.gateways[0], "/resumable/")
    assert read_until_broken(answer) == (FIRST_EVENT + REST, True)


@pytest.mark.parametrize("framing", FRAMINGS)
def test_a_whole_stream_is_passed_on_as_complete(fleet, serve, framing):
    """Guards against whole streams that are cut or run twice for how they are written.

    The last event is followed by a comment, which is no event.
    """
    bodies = [
        b"".join(b"id: %d%bdata: x%b" % (number, line, end) for number in range(1, 4))
        + b": bye"
        + line
        for line, end in LINE_ENDS
    ]
    left = iter(bodies)
    upstreams = serve(lambda exchange: exchange.answer_stream(next(left), framing))
    for body in bodies:
        answer = stream(fleet.gateways[0], "/resumable/")
        assert read_until_broken(answer) == (body, True)
    assert sum(len(each.seen) for each in upstreams) == len(bodies)


@pytest.mark.parametrize("framing", FRAMINGS)
def test_an_event_stream_of_another_route_that_ends_inside_an_event_is_repeated(
    fleet, serve, framing
):
    """Guards against a broken stream whose route is not one of streams."""
    turns = iter([BROKEN_OFF])

    def script(exchange: Exchange) -> None:
        exchange.answer_stream(next(turns, FIRST_EVENT + REST), framing)

    serve(script)
    answer = ask(fleet.gateways[0], "/safe/x")
    assert read_until_broken(answer) == (FIRST_EVENT + REST, True)


@pytest.mark.parametrize(
    "headers",
    [
        {"Content_Type": "application/json"},
        {"Content_Type": "text/event-stream", "Content_Encoding": "gzip"},
    ],
)
def test_an_answer_that_holds_no_readable_events_is_whole_by_its_framing(
    fleet, serve, headers
):
    """Guards against whole answers that are cut since they look like half an event."""
    serve(lambda exchange: exchange.answer(200, b'{"a": 1}', **headers))
    answer = stream(fleet.gateways[0], "/once/")
    assert (answer.status, *read_until_broken(answer)) == (200, b'{"a": 1}', True)


def ask_old_http(gateway: GatewayProcess, path: str) -> socket.socket:
    """Send a request in HTTP/1.0, whose answers may end with the connection."""
    connection = socket.create_connection((gateway.host, gateway.ports.callers), 10)
    head = (
        f"POST {path} HTTP/1.0\r\nHost: {HOST}\r\nAuthorization: Token {KEY}\r\n"
        f"X-Attempt-Id: {uuid4().hex}\r\nContent-Length: 6\r\n\r\nprompt"
    )
    connection.sendall(head.encode())
    return connection


def read_old_http(connection: socket.socket) -> tuple[bytes, bool]:
    """Return the body, and whether the connection ended without a reset."""
    received = bytearray()
    try:
        while data := connection.recv(65_536):
            received += data
    except ConnectionResetError:
        return bytes(received).partition(b"\r\n\r\n")[2], False
    return bytes(received).partition(b"\r\n\r\n")[2], True


def test_a_whole_stream_is_complete_for_a_caller_of_http_1_0(fleet, serve):
    """Guards against whole answers that look cut where the connection ends them."""
    events = b"".join(b"id: %d\ndata: x\n\n" % number for number in range(1, 20_000))
    serve(lambda exchange: exchange.answer_stream(events, "chunks"))
    with ask_old_http(fleet.gateways[0], "/once/x") as connection:
        assert read_old_http(connection) == (events, True)


@pytest.mark.parametrize("framing", FRAMINGS)
def test_a_cut_stream_is_not_complete_for_a_caller_of_http_1_0(fleet, serve, framing):
    """Guards against a cut answer that ends as a whole one does, with no last chunk."""
    serve(lambda exchange: exchange.answer_stream(BROKEN_OFF, framing))
    with ask_old_http(fleet.gateways[0], "/once/x") as connection:
        assert read_old_http(connection)[1] is False


@pytest.mark.parametrize("how", ["killed", "stopped"])
def test_a_stream_under_a_gateway_that_ends_is_not_complete(fleet, serve, how):
    """Guards against a gateway whose end completes the answers that it had begun."""

    def script(exchange: Exchange) -> None:
        exchange.begin_stream()
        exchange.chunk(FIRST_EVENT)
        exchange.wait_until_caller_left(20)

    serve(script)
    gateway = fleet.gateways[0]
    with ask_old_http(gateway, "/once/x") as connection:
        received = b""
        while FIRST_EVENT not in received:
            received += connection.recv(65_536)
        gateway.kill() if how == "killed" else gateway.ask_to_end()
        assert read_old_http(connection)[1] is False
