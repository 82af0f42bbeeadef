"""Test calls to plain services, including calls that must not run twice."""

import socket
from hashlib import sha256

import msgspec
import pytest
import urllib3
from hypothesis import example, given
from hypothesis import strategies as st

from common.upstreams import DEFAULT_HAND_OVER, scripted_peer, steady
from cowslipshelf_core.upstream import HandOver
from cowslipshelf_standins.engine import Faults
from cowslipshelf_standins.plain import PlainConfig, PlainServer
from cowslipshelf_upstreams import PlainClient, PlainClientConfig, UpstreamLostError

CHUNKED = (
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"0006\r\npaid 5\r\n0006\r\n euros\r\n0\r\n\r\n"
)


@pytest.fixture
def service():
    server = PlainServer.from_config(PlainConfig()).start()
    yield server
    server.stop()


@pytest.fixture(scope="module")
def echo():
    server = PlainServer.from_config(PlainConfig()).start()
    yield server
    server.stop()


def client_of(address: str, silence_seconds: float = 10.0) -> PlainClient:
    return PlainClient.from_config(
        PlainClientConfig(f"http://{address}", silence_seconds=silence_seconds)
    )


def payment(**changes) -> HandOver:
    asked = DEFAULT_HAND_OVER._replace(
        path="/payments", body=b"pay 5", non_idempotent=True, deadline_seconds=20.0
    )
    return asked._replace(**changes)


@steady
@given(
    method=st.sampled_from(["GET", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"]),
    path=st.from_regex(r"/[a-z0-9/._~-]{0,20}(\?[a-z=&%20]{0,10})?", fullmatch=True),
    body=st.binary(max_size=5_000),
)
def test_calls_pass_through_unchanged(echo, method, path, body) -> None:
    asked = payment(method=method, path=path, body=body, deadline_seconds=20.0)
    stream = client_of(echo.address).call(asked)
    call = msgspec.json.decode(b"".join(piece.data for piece in stream))
    assert stream.status == 200
    assert (call["method"], call["path"]) == (method, path)
    assert call["body_digest"] == sha256(body).hexdigest()
    assert echo.calls_run()[-1].attempt_id == "attempt"


def test_an_answer_to_head_has_no_body_and_is_whole(echo) -> None:
    stream = client_of(echo.address).call(payment(method="HEAD", body=b""))
    assert (stream.status, list(stream)) == (200, [])


def test_a_call_whose_answer_is_lost_is_not_sent_again(service) -> None:
    """A payment runs, and the connection is lost before the answer.

    A client with retries of its own would pay twice. So the service must list the call
    once, and the error must say that it may have run.
    """
    service.injector.set(Faults(drop_before_answer=True))
    headers = (("Idempotency-Key", "payment-7"),)
    with pytest.raises(UpstreamLostError) as caught:
        client_of(service.address).call(payment(headers=headers))
    assert caught.value.may_have_arrived
    calls = urllib3.request("GET", f"http://{service.address}/_calls").json()
    assert [call["idempotency_key"] for call in calls] == ["payment-7"]


def test_a_call_to_a_frozen_service_times_out_at_the_deadline(service) -> None:
    service.injector.set(Faults(freeze=True))
    with pytest.raises(UpstreamLostError) as caught:
        client = client_of(service.address, silence_seconds=0.1)
        client.call(payment(deadline_seconds=0.2))
    assert caught.value.may_have_arrived


def test_a_call_that_could_not_connect_did_not_run() -> None:
    with socket.create_server(("127.0.0.1", 0)) as listener:
        host, port = listener.getsockname()
    with pytest.raises(UpstreamLostError) as caught:
        client_of(f"{host}:{port}").call(payment())
    assert not caught.value.may_have_arrived


@steady
@given(cut=st.integers(0, 100))
def test_a_head_without_a_body_is_whole_only_with_its_last_line(cut: int) -> None:
    """A service dies while it sends the head of an answer without a body.

    The standard library takes the cut for the end of the head, so the caller would get
    missing or truncated headers.
    """
    wire = b"HTTP/1.1 204 No Content\r\nLocation: /payments/17\r\n\r\n"
    with scripted_peer(lambda peer: peer.sendall(wire[:cut])) as address:
        try:
            stream = client_of(address).call(payment())
        except UpstreamLostError as error:
            assert cut < len(wire)
            assert error.may_have_arrived
        else:
            assert cut >= len(wire)
            assert (list(stream), stream.headers) == (
                [],
                (("Location", "/payments/17"),),
            )


@steady
@given(cut=st.integers(0, 100))
def test_a_body_shorter_than_its_length_is_not_whole(cut: int) -> None:
    wire = b"HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\npaid 5 euros"
    with scripted_peer(lambda peer: peer.sendall(wire[:cut])) as address:
        try:
            stream = client_of(address).call(payment())
            body = b"".join(piece.data for piece in stream)
        except UpstreamLostError as error:
            assert cut < len(wire)
            assert error.may_have_arrived
        else:
            assert (cut >= len(wire), body) == (True, b"paid 5 euros")


@steady
@given(cut=st.integers(0, 100))
@example(cut=CHUNKED.index(b"0006\r\n euros") + 1)
def test_a_chunked_body_is_not_whole_before_its_last_chunk(cut: int) -> None:
    """Guards against the first digit of a chunk's size that reads as the last chunk."""
    with scripted_peer(lambda peer: peer.sendall(CHUNKED[:cut])) as address:
        try:
            stream = client_of(address).call(payment(method="GET", body=b""))
            body = b"".join(piece.data for piece in stream)
        except UpstreamLostError as error:
            assert cut < len(CHUNKED)
            assert error.may_have_arrived
        else:
            # The size of the last chunk ends the body; an empty line follows it.
            assert (cut >= len(CHUNKED) - len(b"\r\n"), body) == (True, b"paid 5 euros")


@pytest.mark.parametrize("length", ["twelve", "-12", "", "1e2"])
def test_a_length_that_is_no_number_frames_no_body(length: str) -> None:
    """Guards against a truncated answer whose length can't be compared."""
    wire = f"HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\npaid 5".encode()
    with scripted_peer(lambda peer: peer.sendall(wire)) as address:
        stream = client_of(address).call(payment(method="GET", body=b""))
        with pytest.raises(UpstreamLostError):
            list(stream)
