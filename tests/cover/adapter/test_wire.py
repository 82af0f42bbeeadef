"""Check which headers callers and upstreams see of each other."""

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cowslipshelf_adapter.wire import MAX_RATE, MachinesDialect
from cowslipshelf_core.dialect import (
    EvacuateDataCentre,
    ForwardFacts,
    LimitNamed,
    LimitUnreadable,
    MemoryTicket,
    NoLimit,
    PrefillHelper,
    PutConfiguration,
    ReadConfiguration,
    ReadEvacuations,
    RecordHeartbeat,
    RemoveUpstream,
    WithdrawEvacuation,
)
from cowslipshelf_core.gateway import PromptSize

DIALECT = MachinesDialect()
SENT = [
    (b"host", b"h.example"),
    (b"x-attempt-id", b"9c41"),
    (b"x-token-count", b"1460,80"),
    (b"x-prompt-prefix", b"5c1e07a2:800"),
    (b"x-deadline-ms", b"10000"),
    (b"authorization", b"Token secret"),
    (b"x-tenant", b"somebody-else"),
    (b"x-expect-instance", b"i-forged"),
    (b"x-helpers", b"10.9.9.9:1"),
    (b"connection", b"keep-alive, X-Hop"),
    (b"x-hop", b"1"),
    (b"last-event-id", b"12"),
    (b"x-other", b"kept"),
]


def forwarded(**changes) -> dict[bytes, bytes]:
    facts = ForwardFacts("i-1", "customer", 2.5, None)._replace(**changes)
    headers = DIALECT.forwarded_headers(SENT, facts)
    assert len(dict(headers)) == len(headers), "a header stands twice"
    return dict(headers)


def test_the_facts_of_a_caller_are_decoded():
    facts = DIALECT.caller_facts(SENT)
    assert facts.attempt_id == "9c41"
    assert facts.key == "secret"
    assert facts.deadline_seconds == 10.0
    assert facts.last_event_id == "12"
    assert facts.prompt == PromptSize(1460, 80)


@pytest.mark.parametrize(
    "value",
    [
        b"",
        b"x",
        b"1",
        b"1,2,3",
        b"-1,5",
        b"1.5,2",
        b"\xff",
        b"1" + b"0" * 300 + b",5",
        b"5,9007199254740992",
    ],
)
def test_token_counts_that_cannot_be_read_are_no_counts(value):
    assert DIALECT.caller_facts([(b"x-token-count", value)]).prompt is None


def shared_parts(value: bytes) -> tuple[str, ...]:
    return DIALECT.caller_facts([(b"x-prompt-prefix", value)]).shared_parts


def test_the_parts_of_a_prompt_are_told_apart_by_their_ids_but_for_the_last():
    first, second = shared_parts(b"5c1e07a2:800,91bd3f06:410,e4402b7d:250")
    assert shared_parts(b"91bd3f06:9, 5C1E07A2:8,77:1") == (second, first)
    assert shared_parts(b"91bd3f06:410,91bd3f06:410,77:1") == (second,)


@pytest.mark.parametrize("value", [b"", b",", b":8,:9,", b"5c1e07a2:800", b"5c1e07a2"])
def test_a_prompt_without_parts_before_its_last_shares_none(value):
    assert shared_parts(value) == ()


def test_a_list_of_countless_parts_is_cut_short():
    """Guards against a caller whose header fills the memory of all gateways."""
    assert len(shared_parts(b",".join(b"%x:1" % each for each in range(1000)))) == 128


@pytest.mark.parametrize("value", [b"", b"soon", b"-5", b"nan"])
def test_a_deadline_that_cannot_be_read_is_none(value):
    assert DIALECT.caller_facts([(b"x-deadline-ms", value)]).deadline_seconds is None


def test_an_upstream_never_sees_a_key_nor_what_callers_forge():
    """Guards against a request of one customer that runs in the name of another.

    A caller sent headers that only the gateway may set, among them the customer's name.
    """
    seen = forwarded()
    assert b"authorization" not in seen
    assert seen[b"x-tenant"] == b"customer"
    assert seen[b"x-expect-instance"] == b"i-1"
    assert b"x-helpers" not in seen
    assert b"x-tenant" not in forwarded(customer=None)


def test_an_upstream_gets_the_time_that_is_left():
    assert forwarded()[b"x-deadline-ms"] == b"2500"
    assert forwarded(left_seconds=-1.0)[b"x-deadline-ms"] == b"1"


def test_headers_of_one_connection_stay_there():
    seen = forwarded()
    assert b"connection" not in seen
    assert b"x-hop" not in seen
    assert seen[b"x-other"] == b"kept"
    assert seen[b"x-prompt-prefix"] == b"5c1e07a2:800"


def test_a_caller_cannot_take_the_host_away():
    headers = [*SENT, (b"connection", b"host")]
    assert dict(DIALECT.forwarded_headers(headers, ForwardFacts("i", None, 1.0, None)))[
        b"host"
    ]


def test_a_stream_goes_on_where_it_broke_off():
    assert forwarded(last_event_id="30")[b"last-event-id"] == b"30"


def test_an_answer_says_whether_the_request_ran():
    assert DIALECT.answer_facts(503, [(b"x-not-run", b"1")]).not_run
    assert DIALECT.answer_facts(421, []).not_run
    assert not DIALECT.answer_facts(503, []).not_run
    assert not DIALECT.answer_facts(200, []).not_run


@pytest.mark.parametrize(
    ("status", "not_run", "at_fault"),
    [
        (503, True, "10.0.0.2:80"),
        (421, True, "10.0.0.2:80"),
        (421, False, "10.0.0.2:80"),
        (503, False, None),
        (429, True, None),
        (200, False, None),
    ],
)
def test_only_a_refusal_names_an_upstream_at_fault(status, not_run, at_fault):
    """Guards against an upstream that is blamed for an answer that it gave."""
    headers = [(b"at-server", b"10.0.0.2:80")]
    headers += [(b"x-not-run", b"1")] if not_run else []
    assert DIALECT.answer_facts(status, headers).at_fault == at_fault


@pytest.mark.parametrize(
    ("values", "limit"),
    [
        ([], NoLimit()),
        ([b"2"], LimitNamed(2.0)),
        ([b" 0.25 "], LimitNamed(0.25)),
        ([b"0"], LimitNamed(0.0)),
        ([b"1e-9"], LimitNamed(1e-9)),
        ([b"1e400"], LimitNamed(MAX_RATE)),
        ([b"9" * 400], LimitNamed(MAX_RATE)),
        ([b"3", b"2"], LimitNamed(2.0)),
        ([b"", b"2"], LimitNamed(2.0)),
        ([b""], LimitUnreadable("")),
        ([b"-1"], LimitUnreadable("-1")),
        ([b"NaN"], LimitUnreadable("NaN")),
        ([b"inf"], LimitUnreadable("inf")),
        ([b"3,5"], LimitUnreadable("3,5")),
        ([b"1_0"], LimitUnreadable("1_0")),
        ([b"\xb2"], LimitUnreadable("\xb2")),
        ([b"1" * 8192], LimitUnreadable("1" * 64)),
    ],
    ids=str,
)
def test_a_limit_is_a_decimal_number_or_unreadable(values, limit):
    """Guards against a limit that crashes a gateway, or counts as none by mistake."""
    headers = [(b"server-limit", value) for value in values]
    assert DIALECT.answer_facts(200, headers).limit == limit


def test_the_idle_time_of_an_upstream_is_decoded():
    facts = DIALECT.answer_facts(200, [(b"keep-alive", b"max=5, timeout=7")])
    assert facts.keep_alive_seconds == 7.0


@pytest.mark.parametrize(
    ("method", "path", "call"),
    [
        ("PUT", "/api/config", PutConfiguration()),
        ("GET", "/api/config", ReadConfiguration()),
        ("PUT", "/api/runners/i-1", RecordHeartbeat("i-1")),
        ("DELETE", "/api/runners/i-1", RemoveUpstream("i-1")),
        ("POST", "/api/evac/west-1", EvacuateDataCentre("west-1")),
        ("DELETE", "/api/evac/west-1", WithdrawEvacuation("west-1")),
        ("GET", "/api/evac", ReadEvacuations()),
        ("POST", "/api/evac/", None),
        ("POST", "/api/evac/a/b", None),
        ("PUT", "/api/evac/west-1", None),
        ("PUT", "/api/runners/", None),
        ("POST", "/api/config", None),
        ("GET", "/else", None),
    ],
)
def test_control_calls_are_told_apart(method, path, call):
    assert DIALECT.control_call(method, path) == call


def test_memory_is_reserved_and_released_under_one_name():
    ticket = MemoryTicket("i-1", "10.0.0.9:80", "a-1-0", 60_000)
    reserve = DIALECT.reserve_memory(ticket, 3.0)
    assert reserve.target == "/api/order"
    assert dict(reserve.headers)[b"x-expect-instance"] == b"i-1"
    assert json.loads(reserve.body) == {
        "op": "reserve",
        "id": "a-1-0",
        "token_count": 60_000,
        "hold_ms": 3000,
    }
    release = DIALECT.release_memory(ticket)
    assert json.loads(release.body) == {"op": "release", "id": "a-1-0"}
    assert DIALECT.is_memory_granted(200)
    assert not DIALECT.is_memory_granted(202)
    assert not DIALECT.is_memory_granted(409)


def test_helpers_are_named_with_their_tickets():
    helpers = (PrefillHelper("10.0.0.1:80", "t-1"), PrefillHelper("10.0.0.2:80"))
    assert forwarded(helpers=helpers)[b"x-helpers"] == b"10.0.0.1:80/t-1,10.0.0.2:80"


NAMES = st.sampled_from(
    [
        b"x-attempt-id",
        b"x-deadline-ms",
        b"x-token-count",
        b"x-not-run",
        b"keep-alive",
        b"authorization",
        b"last-event-id",
        b"connection",
        b"x-other",
    ]
)
VALUES = st.binary(max_size=30) | st.sampled_from(
    [b"1e999", b"nan", b"-0", b"9" * 400, b"timeout=inf", b"timeout=1e999", b"1,1e9"]
)
HEADERS = st.lists(st.tuples(NAMES, VALUES), max_size=8)


@given(HEADERS)
def test_no_header_of_a_caller_fails_or_gives_a_number_without_bounds(headers):
    facts = DIALECT.caller_facts(headers)
    deadline = facts.deadline_seconds
    assert deadline is None or deadline >= 0.0
    assert facts.prompt is None or all(0 <= count < 2**53 for count in facts.prompt)
    DIALECT.forwarded_headers(headers, ForwardFacts("i", None, 1.0, None))
    DIALECT.refusal_headers(facts.attempt_id)


@given(st.integers(100, 999), HEADERS)
def test_no_header_of_an_upstream_fails(status, headers):
    facts = DIALECT.answer_facts(status, headers)
    assert facts.keep_alive_seconds is None or facts.keep_alive_seconds >= 0.0
    DIALECT.answer_headers(headers)
