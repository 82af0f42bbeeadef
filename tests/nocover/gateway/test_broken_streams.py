"""Check on real gateways that a caller can tell a broken stream from a whole one."""

from http.client import HTTPException, HTTPResponse

import pytest

from common.gateway_fleet import (
    Fleet,
    ask,
    document,
    route,
    running_fleet,
    send_heartbeats,
)
from common.scripted_upstream import Exchange, ScriptedUpstream

FRAMINGS = ("length", "chunks", "connection")
FIRST_EVENT = b"id: 1\ndata: one\n\n"
BROKEN_OFF = FIRST_EVENT + b"id: 2\ndata: tw"
REST = b"id: 2\ndata: two\n\nid: 3\ndata: three\n\n"
LINE_ENDS = {
    "lf": (b"\n", b"\n\n"),
    "crlf": (b"\r\n", b"\r\n\r\n"),
    "cr": (b"\r", b"\r\r"),
    "crlf-then-lf": (b"\r\n", b"\r\n\n"),
    "lf-then-crlf": (b"\n", b"\n\r\n"),
    "cr-then-crlf": (b"\r", b"\r\r\n"),
    "two-blank-lines": (b"\n", b"\n\n\n"),
}


@pytest.fixture(scope="module")
def fleet(tmp_path_factory):
    with running_fleet(tmp_path_factory.mktemp("fleet")) as fleet:
        stream = {"kind": "stream", "attempts": 3}
        fleet.accept(
            document(
                1,
                route("/resumable/", resumable=True, **stream),
                route("/once/", **stream),
            )
        )
        yield fleet


@pytest.fixture
def serve(fleet: Fleet):
    """Return a function that makes one upstream after the other run a script."""
    upstreams = []

    def run(script, count: int = 2) -> list[ScriptedUpstream]:
        names = (f"u-{id(script)}-{number}" for number in range(count))
        upstreams.extend(ScriptedUpstream(name, "plain", script) for name in names)
        send_heartbeats(fleet, *upstreams)
        return upstreams

    yield run
    for upstream in upstreams:
        upstream.send_heartbeat(fleet.gateways[0].control, "draining")
        for gateway in fleet.gateways:
            upstream.send_heartbeat(gateway.control, "draining")
        upstream.stop()


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
        answer = ask(gateway, "/once/x", "POST", b"prompt")
        assert answer.status == 200
        assert read_until_broken(answer) == (FIRST_EVENT, False)


@pytest.mark.parametrize("framing", FRAMINGS)
def test_a_stream_that_ends_inside_an_event_is_resumed(fleet, serve, framing):
    """Guards against a stream that ends short though another upstream may go on."""

    def stream(exchange: Exchange) -> None:
        resumed = exchange.request.headers.get("last-event-id") == "1"
        exchange.answer_stream(REST if resumed else BROKEN_OFF, framing)

    serve(stream)
    for gateway in fleet.gateways:
        answer = ask(gateway, "/resumable/x", "POST", b"prompt")
        assert read_until_broken(answer) == (FIRST_EVENT + REST, True)


def test_a_stream_with_a_length_is_resumed_by_one_of_another_length(fleet, serve):
    """Guards against a resumed stream that is cut when the first length is reached."""

    def stream(exchange: Exchange) -> None:
        if exchange.request.headers.get("last-event-id") == "1":
            exchange.answer_stream(REST, "length")
            return
        exchange.answer_stream(BROKEN_OFF, "length", missing=5)
        exchange.cut()

    serve(stream)
    answer = ask(fleet.gateways[0], "/resumable/x", "POST", b"prompt")
    assert read_until_broken(answer) == (FIRST_EVENT + REST, True)


@pytest.mark.parametrize("ends", LINE_ENDS)
@pytest.mark.parametrize("framing", FRAMINGS)
def test_a_whole_stream_is_passed_on_as_complete(fleet, serve, framing, ends):
    """Guards against whole streams that are cut or run twice for how they are written.

    The last event is followed by a comment, which is no event.
    """
    line, end = LINE_ENDS[ends]
    events = b"".join(
        b"id: %d%bdata: x%b" % (number, line, end) for number in range(1, 4)
    )
    body = events + b": bye" + line
    upstreams = serve(lambda exchange: exchange.answer_stream(body, framing))
    answer = ask(fleet.gateways[0], "/resumable/x", "POST", b"prompt")
    assert read_until_broken(answer) == (body, True)
    assert sum(len(each.seen) for each in upstreams) == 1
