"""Test failing hand-overs: what the entry gets, and what the sidecar starts."""

import socket

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from common.fleet_attempts import (
    SILENCE_SECONDS,
    ScriptedHandler,
    client,
    frames_of,
    hand_over_of,
    read_until_lost,
    serving,
    whole_answer,
)
from common.forwarder import CutLimits, Forwarder
from cowslipshelf_fleet.attempts import AttemptsClient, AttemptStream, HandOverFailed
from cowslipshelf_fleet.internal import fresh_connections
from cowslipshelf_fleet.internal.attempts_protocol import (
    encoder,
)


@settings(derandomize=True, deadline=None, max_examples=30)
@given(st.integers(0, 900), st.integers(0, 30))
def test_a_failed_hand_over_tells_whether_it_may_have_arrived(
    server, handler, caller_bytes, target_bytes
):
    """A payment could run twice if a failure wrongly stated "it did not arrive".

    The connection is cut after any number of bytes of the request or the answer. If
    the sidecar may have received the hand-over, the failure must say so.
    """
    handler.script = frames_of([b"a"])
    handler.handed_over.clear()
    with Forwarder(server.address) as forwarder:
        forwarder.limits = CutLimits(caller_bytes, target_bytes)
        outcome = client().hand_over(forwarder.address, hand_over_of("once"))
        match outcome:
            case HandOverFailed():
                assert outcome.may_have_arrived
            case AttemptStream():
                assert handler.handed_over
                assert read_until_lost(outcome, [])
                outcome.close()
            case _:
                pytest.fail(f"an answer that the sidecar never gave: {outcome}")
    assert len(handler.handed_over) <= 1


def test_a_hand_over_without_a_connection_did_not_arrive():
    with socket.create_server(("127.0.0.1", 0)) as taken:
        address = "{}:{}".format(*taken.getsockname())
    outcome = client().hand_over(address, hand_over_of("nowhere"))
    assert isinstance(outcome, HandOverFailed)
    assert not outcome.may_have_arrived


def leave_idle_connection(entry: AttemptsClient, address: str) -> None:
    """Make a request that leaves one idle connection in the pool."""
    assert entry.cancel(address, "any")


def test_a_kept_connection_that_the_peer_closed_is_not_used(server, handler):
    """A request that may run only once must not be sent on a dead connection."""
    handler.script = frames_of([b"a"])
    entry = client()
    with Forwarder(server.address) as forwarder:
        leave_idle_connection(entry, forwarder.address)
        forwarder.cut_existing()
        outcome = entry.hand_over(forwarder.address, hand_over_of("fresh"))
        assert whole_answer(outcome) == handler.script
        assert len(forwarder.connections) == 2


def test_a_kept_connection_is_not_used_after_a_pause(server, handler, monkeypatch):
    """A pooled connection goes silent while it is idle, without any error.

    The next hand-over sent on it would be lost, with an unknown outcome.
    """
    monkeypatch.setattr(fresh_connections, "MAX_IDLE_SECONDS", 0.0)
    handler.script = frames_of([b"a"])
    entry = client(SILENCE_SECONDS)
    with Forwarder(server.address) as forwarder:
        leave_idle_connection(entry, forwarder.address)
        forwarder.silence_existing()
        outcome = entry.hand_over(forwarder.address, hand_over_of("after pause"))
        assert whole_answer(outcome) == handler.script


def test_a_hand_over_that_nobody_waits_for_is_not_run():
    """An entry abandoned a request that waited, and its retry runs elsewhere.

    The complete request is in the server's queue when its connection is closed. If it
    were started, it would use engine time for an answer that nobody reads.
    """
    handler = ScriptedHandler()
    handler.script = frames_of([b"a"])
    with serving(handler) as server:
        body = encoder.encode(hand_over_of("late"))
        tag = server.tagger.tag(b"POST", b"/v1/attempts", body).hex()
        head = (
            f"POST /v1/attempts HTTP/1.1\r\nHost: sidecar\r\nConnection: close\r\n"
            f"X-Cowslipshelf-Tag: {tag}\r\nContent-Length: {len(body)}\r\n\r\n"
        )
        with socket.create_connection(server.bind_addr) as gone:
            # Corked, the request and the end of the connection leave in one segment.
            gone.setsockopt(socket.IPPROTO_TCP, socket.TCP_CORK, 1)
            gone.sendall(head.encode() + body)
            gone.shutdown(socket.SHUT_WR)
            assert b"410 Gone" in gone.recv(65536)
    assert not handler.handed_over
