"""Test the engine client against failing engines."""

import socket
from threading import Event, Thread

import msgspec
import pytest
from hypothesis import example, given
from hypothesis import strategies as st

from common.upstreams import (
    client_of,
    completion,
    running_engine,
    scripted_peer,
    steady,
)
from cowslipshelf_standins.engine import Faults
from cowslipshelf_upstreams import (
    UpstreamFailedError,
    UpstreamLostError,
    UpstreamPiece,
)

SILENCE_SECONDS = 0.1
SILENCE_AFTER_BYTES_SECONDS = 2.0
"""Silence that the thread of a peer does not reach before it has sent its bytes."""
HEAD = (
    b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n"
)


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


def event(number: int, text: str) -> bytes:
    choices = [{"index": 0, "text": text}]
    usage = {"completion_tokens": number}
    body = msgspec.json.encode({"choices": choices, "usage": usage})
    return chunk(b"id: %d\ndata: %b\n\n" % (number, body))


DONE = chunk(b"id: 3\ndata: [DONE]\n\n")
ANSWER = HEAD + event(1, "gate ") + event(2, "note") + DONE


def collect(
    address: str, silence_seconds: float = 10.0
) -> tuple[list[UpstreamPiece], UpstreamLostError | None]:
    """Return the pieces of an answer, and the error that ended it if one did."""
    pieces: list[UpstreamPiece] = []
    try:
        for piece in client_of(address, silence_seconds).start(completion()):
            pieces.append(piece)
    except UpstreamLostError as error:
        return pieces, error
    return pieces, None


@steady
@given(cut=st.integers(0, len(ANSWER)))
@example(cut=len(ANSWER) - len(DONE))
@example(cut=len(ANSWER))
def test_an_answer_cut_at_any_byte_never_looks_whole(cut: int) -> None:
    """An engine dies in the middle of an answer and the kernel closes its connection.

    Without a check for the final marker, the caller would accept a truncated answer.
    """
    with scripted_peer(lambda peer: peer.sendall(ANSWER[:cut])) as address:
        pieces, error = collect(address)
        assert (error is None) == (cut == len(ANSWER))
        assert [piece.sequence for piece in pieces] == list(range(1, len(pieces) + 1))
        if error is not None:
            assert error.peer == address
            assert error.may_have_arrived


@pytest.mark.parametrize("sent", [b"", HEAD, HEAD + event(1, "gate")])
def test_a_silent_connection_times_out_at_every_step(sent: bytes) -> None:
    """A middlebox drops the state of an open connection, and no packet arrives."""
    release = Event()

    def hold(peer: socket.socket) -> None:
        peer.sendall(sent)
        release.wait(30.0)

    silence_seconds = SILENCE_AFTER_BYTES_SECONDS if sent else SILENCE_SECONDS
    with scripted_peer(hold) as address:
        pieces, error = collect(address, silence_seconds)
        release.set()
    assert error is not None
    assert error.step == ("stream" if sent else "start")
    assert error.may_have_arrived
    assert len(pieces) == sent.count(b"data:")


def test_a_frozen_engine_is_silent_and_a_busy_one_is_not() -> None:
    """An engine that sends no tokens has a long prefill to do, or is dead."""
    with running_engine() as server:
        client = client_of(server.address, SILENCE_SECONDS)
        long_timeout = client_of(server.address, silence_seconds=20.0)
        server.injector.set(Faults(slow_factor=1e9))
        stream = long_timeout.start(completion())
        # Keep-alive comments of a busy engine keep the reader from timing out.
        for _, comment in zip(range(3), stream.response.read_chunked(), strict=False):
            assert comment == b": keep-alive\n\n"
        stream.close()
        server.injector.set(Faults(freeze=True))
        with pytest.raises(UpstreamLostError):
            client.start(completion(attempt_id="frozen"))
        with pytest.raises(UpstreamLostError):
            client.inventory()
        server.injector.set(Faults())
        held = {item.attempt_id for item in long_timeout.inventory().held}
        assert "attempt" in held


def test_a_frozen_engine_is_detected_before_the_deadline_of_a_whole_answer() -> None:
    """An engine freezes before a non-streamed answer with a deadline of an hour.

    Nothing of such an answer is sent until it is complete. Without fetching it as a
    stream, the caller would wait until the deadline.
    """
    errors = []
    with running_engine() as server:
        server.injector.set(Faults(freeze=True))

        def ask() -> None:
            try:
                asked = completion(stream=False, deadline_seconds=3_600.0)
                client_of(server.address, SILENCE_SECONDS).start(asked)
            except UpstreamLostError as error:
                errors.append(error)

        asking = Thread(target=ask, daemon=True)
        asking.start()
        asking.join(20.0)
    assert len(errors) == 1


@steady
@given(numbers=st.lists(st.integers(1, 4), max_size=6))
def test_events_are_taken_once_each_and_a_gap_ends_the_answer(numbers) -> None:
    """A resumed stream repeats events, or a proxy drops one."""
    wire = HEAD + b"".join(event(number, f"{number}") for number in numbers)
    with scripted_peer(lambda peer: peer.sendall(wire)) as address:
        pieces, error = collect(address)
    expected = 0
    for number in numbers:
        if number > expected + 1:
            break
        expected = max(expected, number)
    assert [piece.sequence for piece in pieces] == list(range(1, expected + 1))
    assert sum(piece.tokens for piece in pieces) == expected
    assert error is not None


@pytest.mark.parametrize(
    "wire",
    [
        chunk(b"id: 1\ndata: {broken\n\n") + DONE,
        chunk(b"id: x\ndata: {}\n\n") + DONE,
        chunk(b"data: 7\n\n") + DONE,
        b"0\r\n\r\n",
        chunk(b"id: 1\ndata: [DONE]\n") + b"0\r\n\r\n",
    ],
)
def test_a_malformed_or_unmarked_stream_ends_with_an_error(wire: bytes) -> None:
    with scripted_peer(lambda peer: peer.sendall(HEAD + wire)) as address:
        pieces, error = collect(address)
    assert pieces == []
    assert error is not None
    assert error.step == "stream"


def test_an_error_in_the_stream_is_reported_as_a_failure() -> None:
    data = b'id: 1\ndata: {"error": {"message": "out of memory"}}\n\n'
    with scripted_peer(lambda p: p.sendall(HEAD + chunk(data) + DONE)) as address:
        _, error = collect(address)
    assert isinstance(error, UpstreamFailedError)
    assert "out of memory" in error.detail


def test_an_unreachable_engine_has_not_received_the_request() -> None:
    with socket.create_server(("127.0.0.1", 0)) as listener:
        host, port = listener.getsockname()
    _, error = collect(f"{host}:{port}")
    assert error is not None
    assert (error.step, error.may_have_arrived) == ("connect", False)


def test_an_answer_without_length_or_chunks_is_not_taken_for_whole() -> None:
    """An answer that ends with its connection looks the same if it is truncated."""
    wire = b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\npaid 5"
    with scripted_peer(lambda peer: peer.sendall(wire)) as address:
        _, error = collect(address)
    assert error is not None


def test_closing_a_stream_wakes_its_blocked_reader() -> None:
    release = Event()

    def hold(peer: socket.socket) -> None:
        peer.sendall(HEAD + event(1, "gate"))
        release.wait(60.0)

    with scripted_peer(hold) as address:
        stream = client_of(address, silence_seconds=60.0).start(completion())
        errors = []
        first_seen = Event()

        def read() -> None:
            try:
                for _ in stream:
                    first_seen.set()
            except UpstreamLostError as error:
                errors.append(error)

        reader = Thread(target=read, daemon=True)
        reader.start()
        assert first_seen.wait(10.0)
        Thread(target=stream.close, daemon=True).start()
        reader.join(10.0)
        still_blocked = reader.is_alive()
        release.set()
        assert not still_blocked
        assert len(errors) == 1


def test_a_caller_cannot_set_the_headers_that_control_an_attempt() -> None:
    """A caller sends the headers by which the client controls an engine."""
    with running_engine() as server:
        client = client_of(server.address)
        forged = (
            ("X-Attempt-Id", "victim"),
            ("x-priority", "-9"),
            ("X-Resume-From", "3"),
            ("Content-Length", "1"),
            ("Transfer-Encoding", "chunked"),
        )
        pieces = list(client.start(completion(max_tokens=4, headers=forged)))
        assert sum(piece.tokens for piece in pieces) == 4
        attempt = server.engine.attempts["attempt"]
        assert (attempt.priority, list(server.engine.attempts)) == (0, ["attempt"])
