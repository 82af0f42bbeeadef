"""Check that a load keeps its times, and how the sender classifies answers."""

import json
import socket
from collections.abc import Iterator
from contextlib import contextmanager
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from threading import Event, Thread

import pytest
from hypothesis import given
from hypothesis import strategies as st

from common.deterministic import DETERMINISTIC
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


class ManualClock:
    """A clock that advances only when a caller waits."""

    def __init__(self) -> None:
        self.seconds = 100.0

    def now(self) -> float:
        return self.seconds

    def wait(self, seconds: float) -> None:
        self.seconds += seconds


@DETERMINISTIC
@given(st.lists(st.floats(0, 100), max_size=20), st.integers(1, 5))
def test_slow_answers_never_delay_later_arrivals(times, max_concurrent) -> None:
    """Guards against a load test that hides delays (coordinated omission).

    A tool that sends its next request only after an answer sends fewer requests while
    the fleet is slow, and never measures the delay of the others.
    """
    clock, all_submitted = ManualClock(), Event()
    arrivals = [Arrival(i, at, "c", 1) for i, at in enumerate(sorted(times))]

    def planned_arrivals() -> Iterator[Arrival]:
        yield from arrivals
        all_submitted.set()

    def send(arrival: Arrival, planned: float) -> Outcome:
        assert planned == 100.0 + arrival.at_seconds
        assert all_submitted.wait(timeout=60)
        return Outcome(arrival, Ending.WHOLE)

    outcomes = run_open_loop(
        planned_arrivals(), send, max_concurrent, LoadClock(clock.now, clock.wait)
    )
    assert [each.arrival for each in outcomes] == arrivals
    assert all(each.late_seconds < 1e-9 for each in outcomes)
    endings = [each.ending for each in outcomes]
    sent = min(max_concurrent, len(arrivals))
    assert endings == [Ending.WHOLE] * sent + [Ending.NOT_SENT] * (len(times) - sent)


class ScriptedHandler(BaseHTTPRequestHandler):
    """Answer with the server's script after reading the whole request."""

    protocol_version = "HTTP/1.1"

    def do_POST(self) -> None:  # noqa: N802 - the base class gives the name
        body = self.rfile.read(int(self.headers["Content-Length"]))
        self.server.seen.append((self.headers, json.loads(body)))
        status, chunks, is_complete = self.server.script
        self.send_response(status)
        self.send_header("Transfer-Encoding", "chunked")
        self.end_headers()
        for chunk in chunks:
            self.wfile.write(b"%x\r\n%b\r\n" % (len(chunk), chunk))
        if is_complete:
            self.wfile.write(b"0\r\n\r\n")
        self.close_connection = not is_complete

    def log_message(self, *_arguments: object) -> None:
        """Print nothing."""


@contextmanager
def sender_to(script) -> Iterator[tuple[Sender, ThreadingHTTPServer]]:
    server = ThreadingHTTPServer(("127.0.0.1", 0), ScriptedHandler)
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
