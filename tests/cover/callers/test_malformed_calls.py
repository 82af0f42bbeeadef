"""Check that each malformed call gets one clear error."""

import socket

import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st

from common.callers_http import (
    CHAT,
    CHAT_BODY,
    ask,
    connect,
    read_reply,
    request_bytes,
)


@pytest.mark.parametrize(
    ("data", "status", "message"),
    [
        (request_bytes("POST", CHAT, b'{"model": "m", }'), 400, "byte 15"),
        (request_bytes("POST", CHAT, b'{"model": 7}'), 400, "$.model"),
        (request_bytes("POST", CHAT, b'{"model": "m"}'), 400, "messages"),
        (request_bytes("POST", CHAT, b'{"x":' + b"[" * 4000), 400, "depth"),
        (request_bytes("POST", CHAT, b"{}", x_deadline_seconds="-1"), 400, "model"),
        (request_bytes("POST", CHAT, CHAT_BODY, x_deadline_seconds="x"), 400, "above"),
        (request_bytes("POST", CHAT, CHAT_BODY, idempotency_key=""), 400, "Idempot"),
        (request_bytes("GET", CHAT), 400, "POST"),
        (request_bytes("GET", "/v2/nothing"), 404, "/v2/nothing"),
        (request_bytes("GET", "/services/a/../b"), 400, "segments"),
        (request_bytes("GET", "/v1/models", authorization="x"), 401, "Bearer"),
        (request_bytes("POST", CHAT, b"x" * 5000), 413, "maximum"),
        (request_bytes("POST", CHAT, CHAT_BODY, x_long="y" * 5000), 413, "headers"),
        (request_bytes("POST", CHAT, content_length="-5"), 400, "Content-Length"),
        (b"nonsense\r\n\r\n", 400, "Malformed"),
    ],
)
def test_a_malformed_call_gets_a_clear_error_and_no_handler_sees_it(
    shared, data, status, message
):
    server, handler = shared
    before = len(handler.calls)
    reply = ask(server, data)
    assert reply.status == status
    assert message in reply.error["message"]
    assert reply.error["code"] == "not_run"
    assert reply.error["request_id"] == reply.headers["x-request-id"]
    assert len(handler.calls) == before


def test_an_oversized_body_is_refused_before_it_is_read(shared):
    """A caller announces a body above the limit, but does not send it yet."""
    server, _ = shared
    with connect(server) as connection:
        connection.sendall(request_bytes("POST", CHAT, content_length="999999999"))
        connection.shutdown(socket.SHUT_WR)
        assert read_reply(connection).status == 413


def test_an_endless_chunked_body_is_cut_at_the_limit(shared):
    """A caller sends chunks without end and announces no length."""
    server, _ = shared
    with connect(server) as connection:
        connection.sendall(request_bytes("POST", CHAT, transfer_encoding="chunked"))
        for _ in range(8):
            connection.sendall(b"400\r\n" + b"x" * 1024 + b"\r\n")
        assert read_reply(connection).status == 413


@given(st.lists(st.binary(min_size=1, max_size=50), max_size=9), st.integers(1, 60))
@settings(max_examples=60, deadline=None, derandomize=True)
def test_a_chunked_body_arrives_as_it_was_sent(shared, parts, cut):
    """Callers chunk a body at any place, and the network splits it at others."""
    server, handler = shared
    chunks = [b"%x;a=b\r\n%b\r\n" % (len(part), part) for part in parts]
    sent = b"".join([*chunks, b"0\r\nX-Trailer: y\r\n\r\n"])
    with connect(server) as connection:
        connection.sendall(
            request_bytes("POST", "/services/s/x", transfer_encoding="chunked")
        )
        connection.sendall(sent[:cut])
        connection.sendall(sent[cut:])
        assert read_reply(connection).status == 200
    assert handler.calls[-1].body == b"".join(parts)


def test_a_chunk_line_without_an_end_is_refused(shared):
    """A malicious caller sends a chunk size line that never ends.

    Without a limit, reading the line would fill the instance's memory.
    """
    server, _ = shared
    with connect(server) as connection:
        connection.sendall(request_bytes("POST", CHAT, transfer_encoding="chunked"))
        connection.sendall(b"1" * 2000)
        assert read_reply(connection).status == 400


@given(st.binary(max_size=200))
@settings(max_examples=60, deadline=None, derandomize=True)
def test_arbitrary_bytes_as_a_body_get_one_clear_answer(shared, body):
    server, _ = shared
    reply = ask(server, request_bytes("POST", CHAT, body or b" "))
    assert reply.status in (200, 400)
    assert reply.status == 200 or reply.error["reason"] == "bad_request"


LINES = [
    *(b"GET / HTTP/1.1", b"POST /v1/completions HTTP/1.1", b"GET * HTTP/1.1"),
    *(
        b"PUT /services/a/%zz HTTP/1.1",
        b"get /x HTTP/1.1",
        b"GET http://[::1/ HTTP/1.1",
    ),
    *(b"GET /x HTTP/9.9", b"CONNECT x:1 HTTP/1.1", b"Authorization: Bearer k"),
    *(b"Content-Length: 3", b"Content-Length: 1_0", b"Content-Length: \xb2", b"X y"),
    *(b"Transfer-Encoding: chunked", b"Transfer-Encoding: gzip", b"Connection: close"),
    *(b": x", b" folded", b"Expect: 100-continue", b"X-Service: \xe9", b"", b"0", b"3"),
]


@given(
    st.lists(st.sampled_from(LINES) | st.binary(max_size=9), min_size=1, max_size=8),
    st.sampled_from([b"\r\n", b"\n"]),
)
@example([b"GET http://[:/ HTTP/1.1", b""], b"\r\n")
@example([b"GET / HTTP/1.1", b" folded"], b"\r\n")
@example([LINES[1], b"Content-Length: 3", b"Content-Length: 3", b"", b"abc"], b"\r\n")
@settings(max_examples=300, deadline=None, derandomize=True)
def test_no_bytes_cause_a_server_error(shared, lines, end):
    server, _ = shared
    with connect(server) as connection:
        connection.sendall(end.join([*lines, b""]))
        connection.shutdown(socket.SHUT_WR)
        data = b"".join(iter(lambda: connection.recv(65_536), b""))
    statuses = {part.split()[0] for part in data.split(b"HTTP/1.1 ")[1:]}
    server_errors = {b"500", b"502", b"503", b"504"}
    assert not statuses & server_errors
    assert not data or b"X-Request-Id: req-" in data


def test_two_lengths_are_refused(shared):
    """A load balancer that uses the first length would see other calls than this."""
    server, _ = shared
    twice = request_bytes("POST", CHAT, CHAT_BODY, content_length="1")
    assert ask(server, twice).status == 400
