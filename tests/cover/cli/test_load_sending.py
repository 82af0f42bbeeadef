"""Check that a load keeps its times, and what the sender makes of answers."""

import json
import socket
from collections.abc import Iterator
from contextlib import contextmanager
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from threading import Event, Thread

import pytest
from hypothesis import given
from hypothesis import strategies as st

from common.steady import STEADY
from cowslipshelf_cli.load import (
    Arrival,
    Ending,
    LoadClock,
    Outcome,
    Sender,
    SenderConfig,
    run_open_loop,
)

KEY = "a-key-of-a-customer"
TOKEN = b'data: {"choices": [{"text": "x"}]}\n\n'
DONE = b"data: [DONE]\n\n"


class ManualTime:
    """Be a clock that moves only when something waits."""

    def __init__(self) -> None:
        self.seconds = 100.0

    def now(self) -> float:
        return self.seconds

    def wait(self, seconds: float) -> None:
        self.seconds += seconds


@STEADY
@given(st.lists(st.floats(0, 100), max_size=20), st.integers(1, 5))
def test_slow_answers_never_delay_later_arrivals(times, max_concurrent) -> None:
    """A load test says that all is well while callers wait.

    The tool sends its next request only after an answer; while the fleet is slow it
    sends less, so that the wait of those who would have come is never seen.
    """
    clock, held = ManualTime(), Event()
    arrivals = [Arrival(i, at, "c", 1) for i, at in enumerate(sorted(times))]

    def all_planned() -> Iterator[Arrival]:
        yield from arrivals
        held.set()

    def send(arrival: Arrival, planned: float) -> Outcome:
        assert planned == 100.0 + arrival.at_seconds
        assert held.wait(timeout=60)
        return Outcome(arrival, Ending.WHOLE)

    outcomes = run_open_loop(
        all_planned(), send, max_concurrent, LoadClock(clock.now, clock.wait)
    )
    assert [each.arrival for each in outcomes] == arrivals
    assert all(each.late_seconds < 1e-9 for each in outcomes)
    endings = [each.ending for each in outcomes]
    sent = min(max_concurrent, len(arrivals))
    assert endings == [Ending.WHOLE] * sent + [Ending.NOT_SENT] * (len(times) - sent)


class Answering(BaseHTTPRequestHandler):
    """Answer as the server's script says, after reading the request whole."""

    protocol_version = "HTTP/1.1"

    def do_POST(self) -> None:  # noqa: N802 - the base class gives the name
        body = self.rfile.read(int(self.headers["Content-Length"]))
        self.server.seen.append((self.headers, json.loads(body)))
        status, pieces, ended = self.server.script
        self.send_response(status)
        self.send_header("Transfer-Encoding", "chunked")
        self.end_headers()
        for piece in pieces:
            self.wfile.write(b"%x\r\n%b\r\n" % (len(piece), piece))
        if ended:
            self.wfile.write(b"0\r\n\r\n")
        self.close_connection = not ended

    def log_message(self, *_arguments: object) -> None:
        """Print nothing."""


@contextmanager
def sender_to(script) -> Iterator[tuple[Sender, ThreadingHTTPServer]]:
    server = ThreadingHTTPServer(("127.0.0.1", 0), Answering)
    server.script, server.seen = script, []
    thread = Thread(target=server.serve_forever, kwargs={"poll_interval": 0.02})
    thread.start()
    address = f"127.0.0.1:{server.server_port}"
    sender = Sender(SenderConfig((address,), "m", 4, 30.0, 2, "load-1", {"c": KEY}))
    try:
        yield sender, server
    finally:
        sender.close()
        server.shutdown()
        server.server_close()
        thread.join()


REFUSAL = b'{"error": {"code": "not_run", "reason": "busy"}}'


@pytest.mark.parametrize(
    ("script", "ending", "code"),
    [
        ((200, [TOKEN, TOKEN, DONE], True), Ending.WHOLE, ""),
        ((200, [TOKEN, DONE], False), Ending.WHOLE, ""),
        ((200, [TOKEN, TOKEN], True), Ending.CUT, "no final marker"),
        ((200, [TOKEN, TOKEN], False), Ending.CUT, "ProtocolError"),
        ((200, [], False), Ending.CUT, "ProtocolError"),
        ((503, [REFUSAL], True), Ending.REFUSED, "not_run/busy"),
        ((429, [REFUSAL], False), Ending.CUT, "ProtocolError"),
    ],
)
def test_answers_are_judged_as_they_come_over_http(script, ending, code) -> None:
    with sender_to(script) as (sender, server):
        arrival = Arrival(0, 0.0, "c", 50_000)
        outcomes = [sender.send(arrival, sender.now()) for _ in range(2)]
    for outcome in outcomes:
        assert (outcome.ending, outcome.code) == (ending, code)
        has_tokens = TOKEN in script[1]
        assert (outcome.first_token_seconds is not None) == has_tokens
    (headers, first), (_, second) = server.seen
    assert headers["Authorization"] == f"Bearer {KEY}"
    assert len(first["prompt"]) == 4 * 50_000
    assert first["prompt"] != second["prompt"], "a shared prefix would be cached"
    assert KEY not in repr(sender.config)


def test_an_entry_that_is_not_there_is_counted_as_unreachable() -> None:
    with socket.socket() as bound:
        bound.bind(("127.0.0.1", 0))
        address = f"127.0.0.1:{bound.getsockname()[1]}"
        sender = Sender(SenderConfig((address,), "m", 4, 30.0, 2, "load-1", {"c": KEY}))
        outcome = sender.send(Arrival(0, 0.0, "c", 10), sender.now())
        sender.close()
    assert outcome.ending is Ending.UNREACHABLE
