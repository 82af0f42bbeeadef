"""Check that the operators' documents are decoded whole, or refused with a reason."""

import json

import pytest

from cowslipshelf_adapter.configuration import decode_configuration, decode_heartbeat
from cowslipshelf_core.routed import RouteKind, UpstreamPhase, WeightedService

ROUTE = {
    "name": "r",
    "host": "h.example",
    "path_prefix": "/a/",
    "kind": "stream",
    "timeout_ms": 10000,
    "slo_ms": 300,
    "priority": 1,
    "backends": [{"service": "s", "weight": 90}, {"service": "t", "weight": 10}],
    "attempts": 2,
    "resumable": True,
    "gap_target_ms": 250,
    "field_of_tomorrow": 1,
}
ENGINE = {
    "slots": 8,
    "kv_tokens": 405000,
    "stride": 34,
    "step_ms": 1.31,
    "per_seq_ms": 0.001834,
    "context_per_k": 0.00213,
    "read_per_s": 154000.0,
    "pairs_per_m": 0.162,
    "chunk": 2048,
    "hop_ms": 0.1,
}
DOCUMENT = {
    "version": 7,
    "routes": [ROUTE],
    "services": [{"name": "s", "max_conns": 294, "engine": ENGINE}, {"name": "t"}],
    "limits": {"max_body_bytes": 100, "idle_timeout_ms": 15000},
    "tenants": [{"name": "c", "api_keys": ["k1", "k2"], "priority": 1}],
}
HEARTBEAT = {
    "service": "s",
    "address": "10.0.0.9:8080",
    "zone": "maadi",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "cold_left_ms": 0,
    "seq": 4,
}


def body(**changes) -> bytes:
    return json.dumps(DOCUMENT | changes).encode()


def test_a_configuration_is_decoded_into_our_words_and_units():
    read = decode_configuration(body()).unwrap()
    [route] = read.configuration.routes
    assert route.kind is RouteKind.STREAM
    assert route.timeout_seconds == 10.0
    assert route.objective_seconds == pytest.approx(0.3)
    assert route.pause_seconds == pytest.approx(0.25)
    assert route.services == (WeightedService("s", 90), WeightedService("t", 10))
    assert route.repeatable
    engine = read.configuration.services[0].engine
    assert engine.step_seconds == pytest.approx(1.31e-3)
    assert engine.step_seconds_per_context_token == pytest.approx(2.13e-9)
    assert engine.read_seconds_per_token == pytest.approx(1 / 154_000)
    assert engine.seconds_per_pair == pytest.approx(1.62e-10)
    assert read.configuration.limits.body_bytes == 100
    assert read.configuration.limits.idle_seconds == 15.0
    assert read.configuration.customers[0].keys == ("k1", "k2")


def test_equal_contents_have_equal_digests_whatever_their_order():
    turned = dict(reversed(DOCUMENT.items()))
    digests = {
        decode_configuration(text).unwrap().document.digest
        for text in (body(), json.dumps(turned, indent=2).encode())
    }
    assert len(digests) == 1
    other = decode_configuration(body(limits={})).unwrap().document.digest
    assert other not in digests


def test_the_document_is_kept_as_it_was_sent():
    assert decode_configuration(body()).unwrap().document.body == body()


@pytest.mark.parametrize(
    "broken",
    [
        body()[:-9],
        b"",
        b"[]",
        b"\xff",
        b'{"version":' + b"[" * 5000,
        body(version="7"),
        body(version=0),
        body(routes=[ROUTE | {"kind": "whenever"}]),
        body(routes=[ROUTE | {"timeout_ms": 0}]),
        body(routes=[ROUTE | {"backends": []}]),
        body(routes=[ROUTE | {"backends": None}]),
        body(routes=[ROUTE | {"backends": [{"service": "x", "weight": 1}]}]),
        body(routes=[ROUTE, ROUTE | {"name": "again"}]),
        body(tenants=[{"name": n, "api_keys": ["same"]} for n in "ab"]),
    ],
)
def test_a_document_that_cannot_be_in_force_is_refused(broken):
    assert decode_configuration(broken).is_err()


def test_a_heartbeat_is_decoded():
    read = decode_heartbeat("i-1", json.dumps(HEARTBEAT).encode()).unwrap()
    assert (read.upstream_id, read.address, read.sequence) == (
        "i-1",
        "10.0.0.9:8080",
        4,
    )
    assert read.phase is UpstreamPhase.READY


def test_a_heartbeat_of_one_that_leaves_takes_it_out_of_use():
    for state in ("draining", "a state of tomorrow"):
        text = json.dumps(HEARTBEAT | {"state": state}).encode()
        assert decode_heartbeat("i", text).unwrap().phase is UpstreamPhase.LEAVING


@pytest.mark.parametrize("broken", [b"", b"{}", b'{"service": 1}', b"\xff\xfe"])
def test_a_heartbeat_that_cannot_be_read_is_refused(broken):
    assert decode_heartbeat("i", broken).is_err()
