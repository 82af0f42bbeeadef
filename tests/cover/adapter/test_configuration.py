"""Check that configurations and heartbeats are decoded, or refused with a reason."""

import json

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from cowslipshelf_adapter.configuration import (
    ConfigurationReader,
    decode_heartbeat,
    decode_leaving,
)
from cowslipshelf_core.gateway import (
    HeartbeatSeen,
    RouteKind,
    UpstreamPhase,
    UpstreamStart,
    WeightedService,
)

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
BORN = 1_764_700_000_000
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
    read = ConfigurationReader().read(body()).unwrap()
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
    assert engine.prefill_seconds_per_token == pytest.approx(1 / 154_000)
    assert engine.prefill_seconds_per_pair == pytest.approx(1.62e-10)
    assert read.configuration.limits.body_bytes == 100
    assert read.configuration.limits.idle_seconds == 15.0
    assert read.configuration.customers[0].keys == ("k1", "k2")


@pytest.mark.parametrize(
    ("tenants", "required"),
    [
        ({}, False),
        ({"tenants": []}, True),
        ({"tenants": [{"name": "c", "api_keys": []}]}, True),
    ],
)
def test_tenants_without_keys_still_require_one(tenants, required):
    """Taking the last key or the last tenant away admits everybody."""
    document = {name: value for name, value in DOCUMENT.items() if name != "tenants"}
    read = ConfigurationReader().read(json.dumps(document | tenants).encode()).unwrap()
    assert read.configuration.requires_key is required


def test_equal_contents_have_equal_digests_whatever_their_order():
    reordered = dict(reversed(DOCUMENT.items()))
    digests = {
        ConfigurationReader().read(text).unwrap().document.digest
        for text in (body(), json.dumps(reordered, indent=2).encode())
    }
    assert len(digests) == 1
    other = ConfigurationReader().read(body(limits={})).unwrap().document.digest
    assert other not in digests


def test_the_document_is_kept_as_it_was_sent():
    assert ConfigurationReader().read(body()).unwrap().document.body == body()


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
    assert ConfigurationReader().read(broken).is_err()


def test_a_heartbeat_is_decoded():
    read = decode_heartbeat("i-1", json.dumps(HEARTBEAT).encode()).unwrap().heartbeat
    assert (read.upstream_id, read.address, read.sequence) == (
        "i-1",
        "10.0.0.9:8080",
        4,
    )
    assert read.phase is UpstreamPhase.READY


def test_the_cold_time_of_a_heartbeat_is_decoded_in_seconds():
    text = json.dumps(HEARTBEAT | {"cold_left_ms": 2500}).encode()
    assert decode_heartbeat("i-1", text).unwrap().cold_left_seconds == 2.5


@pytest.mark.parametrize(
    ("fields", "expected"),
    [({}, (0, 0)), ({"cold_s": 6, "cold_per_s": 26}, (6, 26))],
)
def test_a_service_without_a_cold_time_is_never_cold(fields, expected):
    """Guards against a limit in deployments whose configuration names none."""
    read = ConfigurationReader().read(
        body(routes=[], services=[{"name": "s"} | fields])
    )
    service = read.unwrap().configuration.services[0]
    assert (service.cold_seconds, service.cold_requests_per_second) == expected


def test_a_heartbeat_of_one_that_leaves_takes_it_out_of_use():
    text = json.dumps(HEARTBEAT | {"state": "draining"}).encode()
    assert decode_heartbeat("i", text).unwrap().heartbeat.phase is UpstreamPhase.LEAVING


def test_a_start_that_is_told_is_part_of_the_id():
    text = json.dumps(HEARTBEAT | {"born": BORN}).encode()
    read = decode_heartbeat("i-1", text).unwrap().heartbeat
    assert UpstreamStart.of(read.upstream_id) == UpstreamStart("i-1", BORN)


HUGE = (10**30, 2**64, 2**53)
NOT_COUNTS = (1.0, "1", True, None, -1, [], {}, *HUGE)
FOREIGN_VALUES = {
    "seq": NOT_COUNTS,
    "slots": (*NOT_COUNTS, 0),
    "born": (*NOT_COUNTS, 0, BORN * 1000),
    "cold_left_ms": ("1", True, None, -1, -0.5, 10**30, [], {}),
    "state": ("resting", "", "READY", 1, None),
    "service": ("", 1, None, "s" * 300),
    "zone": ("", 1, None),
    "version": (1, None),
    "address": (
        "nowhere",
        "",
        "10.0.0.9",
        "10.0.0.9:0",
        "10.0.0.9:65536",
        "10.0.0.256:80",
        "host.example:80",
        "10.0.0.9:80/x",
        "10.0.0.9:80\n",
        " 10.0.0.9:80",
        80,
        None,
    ),
}
"""Values that an upstream itself never sends, by field."""


@pytest.mark.parametrize(
    ("name", "value"),
    [(name, value) for name, values in FOREIGN_VALUES.items() for value in values],
    ids=str,
)
def test_a_heartbeat_of_another_writer_is_refused_with_the_field_named(name, value):
    """Guards against a foreign heartbeat that disables an upstream or ends a gateway.

    Another process sent heartbeats under an upstream's id. An unknown state was read
    as leaving, which took the only healthy upstream out of use at all gateways, and a
    number beyond 64 bits could not be sent to the other gateways.
    """
    text = json.dumps(HEARTBEAT | {name: value}).encode()
    assert name in decode_heartbeat("i", text).unwrap_err()


@pytest.mark.parametrize("missing", HEARTBEAT)
def test_a_heartbeat_that_lacks_a_field_is_refused(missing):
    fields = {name: value for name, value in HEARTBEAT.items() if name != missing}
    assert missing in decode_heartbeat("i", json.dumps(fields).encode()).unwrap_err()


@pytest.mark.parametrize("broken", [b"", b"{}", b'{"service": 1}', b"\xff\xfe"])
def test_a_heartbeat_that_cannot_be_read_is_refused(broken):
    assert decode_heartbeat("i", broken).is_err()


def test_one_that_leaves_may_tell_its_start():
    assert decode_leaving(b"").unwrap() == 0
    assert decode_leaving(b"{}").unwrap() == 0
    assert decode_leaving(json.dumps({"born": BORN}).encode()).unwrap() == BORN
    assert decode_leaving(b'{"born": "then"}').is_err()
    assert decode_leaving(b"\xff").is_err()


@pytest.mark.parametrize(
    "changes",
    [
        {"version": 10**30},
        {"version": -1},
        {"routes": [ROUTE | {"timeout_ms": 10**400}]},
        {"routes": [ROUTE | {"priority": 10**30}]},
        {"routes": [ROUTE | {"attempts": 10**30}]},
        {"services": [{"name": "s", "engine": ENGINE | {"read_per_s": 0}}]},
        {"services": [{"name": "s", "engine": ENGINE | {"kv_tokens": 10**400}}]},
        {"services": [{"name": "s", "max_conns": 10**30}]},
        {"limits": {"max_body_bytes": 10**30}},
        {"tenants": [{"name": "c", "api_keys": [], "priority": 10**30}]},
    ],
    ids=str,
)
def test_numbers_that_cannot_be_reckoned_with_are_refused(changes):
    """Guards against changes that get no answer, now or when repeated.

    A number beyond 64 bits failed when the change was sent to the other gateways.
    """
    assert ConfigurationReader().read(body(**changes)).is_err()


@given(st.binary())
def test_no_bytes_are_taken_for_a_heartbeat_or_fail(junk):
    assert decode_heartbeat("i", junk).is_err()
    ConfigurationReader().read(junk)


JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: (
        st.lists(inner, max_size=3) | st.dictionaries(st.text(), inner, max_size=3)
    ),
    max_leaves=6,
)


@given(st.dictionaries(st.sampled_from([*HEARTBEAT, "born"]), JSON_VALUES))
def test_any_fields_make_a_heartbeat_that_can_be_told_on_or_none(changes):
    text = json.dumps(HEARTBEAT | changes).encode()
    read = decode_heartbeat("i", text)
    if read.is_ok():
        heartbeat, cold_left = read.ok_value
        seen = HeartbeatSeen.from_heartbeat(heartbeat, 0.0, cold_left)
        data = msgspec.msgpack.encode(seen)
        again = msgspec.msgpack.decode(data, type=HeartbeatSeen)
        assert again.with_start_id == heartbeat
        assert again.cold_left == cold_left


ROUTES = st.lists(
    st.fixed_dictionaries(
        {
            "name": st.sampled_from(["r", "q"]),
            "path_prefix": st.sampled_from(["/a/", "/b/", "/c/"]),
            "timeout_ms": st.integers(0, 3),
        }
    ).map(lambda changes: ROUTE | changes),
    max_size=4,
)


@given(st.lists(ROUTES, min_size=1, max_size=4))
def test_a_configuration_reads_the_same_whatever_was_read_before(versions):
    """Unchanged routes are taken from the version that was read before."""
    reader = ConfigurationReader()
    for routes in versions:
        written = body(routes=routes)
        assert reader.read(written) == ConfigurationReader().read(written)


def test_a_route_that_stays_is_decoded_once():
    reader = ConfigurationReader()
    before = reader.read(body(routes=[ROUTE])).unwrap().configuration.routes[0]
    other = ROUTE | {"path_prefix": "/b/"}
    after = reader.read_accepted(body(routes=[other, ROUTE])).unwrap().routes[1]
    assert after is before


def test_routes_that_are_gone_are_not_remembered():
    reader = ConfigurationReader()
    for number in range(50):
        reader.read(body(routes=[ROUTE | {"name": f"r-{number}"}])).unwrap()
    assert len(reader.decoded_routes) == 1


def test_a_route_that_cannot_be_read_is_named_with_its_field():
    broken = ROUTE | {"kind": "sideways"}
    problem = ConfigurationReader().read(body(routes=[ROUTE, broken])).err_value
    assert "route 1" in problem
    assert "$.kind" in problem
