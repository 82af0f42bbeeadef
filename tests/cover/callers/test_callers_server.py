"""Check answers and refusals of the callers' server for well-formed calls."""

import json

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from common.callers_http import (
    CHAT,
    CHAT_BODY,
    RecordingHandler,
    ask,
    connect,
    read_reply,
    request_bytes,
    running_server,
)
from cowslipshelf_core.errors import Refusal, RefusalCode, RefusalReason

LOST = Refusal(RefusalCode.FAILED, RefusalReason.CONNECTION_LOST, "stream", "u1")


def test_a_streamed_answer_comes_whole_and_carries_its_id(shared):
    server, handler = shared
    reply = ask(server, request_bytes("POST", CHAT, CHAT_BODY, x_service="scribe"))
    assert reply.status == 200
    assert reply.raw_body.endswith(b"data: [DONE]\n\n\r\n0\r\n\r\n")
    call = handler.calls[-1]
    assert reply.headers["x-request-id"] == call.request_id
    assert (call.service, call.model, call.streamed) == ("scribe", "m", True)
    assert (call.prompt_tokens, call.max_output_tokens) == (2, 256)
    assert call.body == CHAT_BODY


def test_a_plain_service_gets_method_path_query_and_body_but_no_key(shared):
    server, handler = shared
    data = request_bytes(
        "PUT",
        "/services/postroom/notices/7%2F8?copy=1",
        b"\x00\xff",
        idempotency_key="k1",
        x_deadline_seconds="2.5",
        x_other="yes",
    )
    assert ask(server, data).status == 200
    call = handler.calls[-1]
    assert (call.method, call.path) == ("PUT", "/notices/7%2F8?copy=1")
    assert (call.service, call.kind, call.body) == ("postroom", "plain", b"\x00\xff")
    assert (call.idempotency_key, call.deadline_seconds) == ("k1", 2.5)
    names = dict(call.headers)
    assert names["x-other"] == "yes"
    assert "authorization" not in names


def test_one_key_for_two_services_is_not_one_call(shared):
    """A client uses one idempotency key for two services with the same path.

    With equal digests, the second call would get the stored answer of the first.
    """
    server, handler = shared
    for service in ("gate", "post"):
        ask(server, request_bytes("PUT", f"/services/{service}/x", b"1"))
    one, other = handler.calls[-2:]
    assert one.body_digest != other.body_digest


def test_the_list_of_models_is_the_customers_own(shared):
    server, _ = shared
    reply = ask(server, request_bytes("GET", "/v1/models"))
    assert b'"id":"model-of-key"' in reply.raw_body


@given(st.sampled_from(RefusalReason), st.sampled_from(RefusalCode), st.floats(0, 99))
@settings(max_examples=60, deadline=None, derandomize=True)
def test_a_refusal_says_the_same_in_status_header_and_body(
    refusing, reason, code, seconds
):
    server, handler = refusing
    handler.refusal = Refusal(code, reason, "place", "u1", "why", seconds)
    reply = ask(server, request_bytes("POST", CHAT, CHAT_BODY))
    error = reply.error
    assert (error["code"], error["reason"], error["step"]) == (code, reason, "place")
    assert int(reply.headers["retry-after"]) >= max(1, error["retry_after_seconds"])
    if reply.status in (429, 503):
        assert code is RefusalCode.NOT_RUN


@pytest.mark.parametrize("headers", [RecordingHandler.headers, ()])
def test_an_answer_that_breaks_off_never_looks_whole(headers):
    """An engine is lost in the middle of an answer, which nothing can continue.

    A normal end would make half an answer look complete. An event stream must end
    with an error event, any other body must be truncated before its last chunk.
    """
    handler = RecordingHandler((b"data: 1\n\n",), headers, LOST)
    with running_server(handler) as server:
        reply = ask(server, request_bytes("POST", CHAT, CHAT_BODY))
    assert b"[DONE]" not in reply.raw_body
    if headers:
        event = reply.raw_body.partition(b"data: {")[2].partition(b"\n\n")[0]
        assert json.loads(b"{" + event)["error"]["reason"] == "connection_lost"
    else:
        assert not reply.raw_body.endswith(b"0\r\n\r\n")


def test_an_answer_that_breaks_off_is_reset_for_a_caller_without_chunks():
    """Guards against a truncated answer that the end of the connection completes."""
    handler = RecordingHandler((b"half",), (), LOST)
    with running_server(handler) as server, pytest.raises(ConnectionResetError):
        ask(server, request_bytes("POST", CHAT, CHAT_BODY, version="1.0"))


@pytest.mark.parametrize("refusal", [None, LOST])
def test_a_stream_that_says_how_it_ended_is_whole_without_chunks(refusal):
    """Guards against answers that are reset although they end as they should."""
    handler = RecordingHandler((b"data: 1\n\n" * 50_000,), refusal=refusal)
    with running_server(handler) as server:
        reply = ask(server, request_bytes("POST", CHAT, CHAT_BODY, version="1.0"))
    assert "transfer-encoding" not in reply.headers
    assert reply.raw_body.startswith(handler.chunks[0])
    assert (b"connection_lost" in reply.raw_body) is (refusal is not None)


class BrokenHandler(RecordingHandler):
    """Fail after writing the chunks, as a programming error would."""

    def answer(self, _call, writer) -> None:
        for chunk in self.chunks:
            writer.head(200, self.headers)
            writer.chunk(chunk)
        raise TimeoutError("internal error")


@pytest.mark.parametrize("chunks", [(), (b"data: 1\n\n",)])
def test_an_internal_error_is_reported_as_an_unknown_outcome(chunks):
    """The handler fails on a call, before or after its answer has started.

    The caller must neither see a complete answer nor an error blamed on its request.
    """
    with running_server(BrokenHandler(chunks)) as server:
        reply = ask(server, request_bytes("POST", CHAT, CHAT_BODY))
    assert reply.status == (200 if chunks else 502)
    assert b'"code":"outcome_unknown"' in reply.raw_body


def test_a_connection_carries_call_after_call(shared):
    """A client keeps its connection alive, as published clients do.

    No data of one call may be parsed as part of the next.
    """
    server, handler = shared
    before = len(handler.calls)
    kept = request_bytes("POST", CHAT, CHAT_BODY, connection="keep-alive")
    chunked = request_bytes(
        "PUT", "/services/s/x", connection="keep-alive", transfer_encoding="chunked"
    )
    with connect(server) as connection:
        connection.sendall(kept.replace(b"Connection: close\r\n", b""))
        connection.sendall(chunked.replace(b"Connection: close\r\n", b""))
        connection.sendall(b"3\r\nabc\r\n0\r\nX-Trailer: y\r\n\r\n")
        connection.sendall(request_bytes("GET", "/services/s/last"))
        read_reply(connection)
    bodies = [call.body for call in handler.calls[before:]]
    assert bodies == [CHAT_BODY, b"abc", b""]


def test_a_head_request_gets_no_body(shared):
    server, _ = shared
    reply = ask(server, request_bytes("HEAD", "/services/s/x"))
    assert (reply.status, reply.raw_body) == (200, b"")
