"""Check the documents of operators, the content of plans, and invalid bytes."""

import json

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from common.control import START
from cowslipshelf_core.configuration import Customer, FleetConfiguration, Model, Service
from cowslipshelf_core.control import (
    Change,
    ChangeDocument,
    ControlCodecError,
    ControlState,
    NotDone,
    PlanDocument,
    PlannedOrder,
    PlanRefused,
    WantedState,
    decode_command,
    decode_outcome,
    draft_plan,
    encode_command,
    hash_key,
    relevant_upstreams,
)
from cowslipshelf_core.upstream import UpstreamDescription

KEY = "the-key-of-a-customer"
PRESENT = FleetConfiguration(
    version=3,
    customers=(Customer("north", hash_key(KEY), ("scribe",)),),
    services=(Service("gate", "plain"), Service("scribe", "model", ("wide",))),
    models=(Model("wide", "1"),),
    draining=("up-3",),
)
UPSTREAMS = tuple(
    UpstreamDescription(name, "dc", service, "model", models, 100, False, "[::1]:1")
    for name, service, models in (
        ("up-1", "scribe", ()),
        ("up-2", "scribe", ("wide",)),
        ("up-3", "scribe", ()),
        ("up-4", "gate", ()),
    )
)


def test_a_customers_key_is_hashed_before_anything_keeps_it() -> None:
    text = json.dumps(
        {
            "change_id": "c",
            "based_on": 0,
            "wanted": {
                "services": [{"name": "gate", "kind": "plain"}],
                "customers": [{"name": "north", "key": KEY, "services": ["gate"]}],
            },
        }
    )
    document = msgspec.json.decode(text, type=PlanDocument)
    command = document.to_command("rita", ())
    state = ControlState()
    outcome = state.apply(command, 1, START)
    kept = state.to_snapshot() + encode_command(command) + repr(document).encode()
    assert KEY.encode() not in kept + repr(outcome).encode()
    assert hash_key(KEY).encode() in state.to_snapshot()
    assert hash_key(KEY) not in repr(outcome)


@pytest.mark.parametrize(
    ("change", "text"),
    [
        (Change(remove_services=("scribe",)), "there is no service 'scribe'"),
        (Change(remove_models=("wide",)), "there is no model 'wide'"),
        (Change(remove_models=("tall",)), "there is no 'tall'"),
        (Change(put_models=(Model("a", "1"), Model("a", "2"))), "twice"),
        (Change(put_models=(Model("a b", "1"),)), "a name has"),
        (Change(put_models=(Model("a", "1", 0),)), "context_tokens"),
        (Change(put_services=(Service("s", "model"),)), "needs a model"),
        (Change(put_services=(Service("s", "plain", ("wide",)),)), "has no models"),
        (
            Change(
                put_services=(
                    Service("s", "plain", default_deadline_seconds=float("nan")),
                )
            ),
            "default_deadline_seconds",
        ),
        (Change(put_customers=(Customer("new", "", ()),)), "needs `key`"),
        (Change(put_customers=(Customer("new", "zz", ()),)), "64 lower-case"),
        (Change(put_customers=(Customer("new", hash_key(KEY), ()),)), "the same key"),
        (Change(put_customers=(Customer("north", "", (), 0),)), "weight"),
        (Change(drain=("up-1",), undrain=("up-1",)), "both drained"),
        (WantedState(models=(Model("a", "1"), Model("a", "1"))), "twice"),
    ],
)
def test_a_senseless_change_is_refused_with_the_reason(
    change: Change | WantedState, text: str
) -> None:
    draft = draft_plan(PRESENT, change, UPSTREAMS)
    assert text in "; ".join(draft.problems)
    assert draft.configuration == PRESENT


def test_a_plan_tells_its_orders_and_what_it_cannot_do() -> None:
    change = Change(
        put_models=(Model("wide", "2"),),
        put_customers=(Customer("north", "", ("gate",), weight=4),),
        put_services=(Service("lone", "model", ("wide",)),),
        drain=("up-9",),
    )
    draft = draft_plan(PRESENT, change, relevant_upstreams(change, UPSTREAMS))
    assert draft.orders == (
        PlannedOrder("up-1", "load_model", "wide@2"),
        PlannedOrder("up-2", "load_version", "wide@2"),
    )
    changes = {(item.kind, item.name, item.field): item for item in draft.changes}
    assert changes["model", "wide", "version"].after == "2"
    assert changes["customer", "north", "weight"].before == "1"
    assert ("customer", "north", "key_hash") not in changes
    assert draft.configuration.customers[0].key_hash == hash_key(KEY)
    reasons = {item.what: item.why for item in draft.not_done}
    assert reasons["load wide for service scribe at up-3"] == "it is draining"
    assert "no upstream" in reasons["load wide for service lone"]
    assert NotDone("drain up-9 now", reasons["drain up-9 now"]) in draft.not_done
    assert ("customer", "north") in {(who.kind, who.name) for who in draft.touches}


def test_a_change_that_changes_nothing_plans_nothing() -> None:
    wanted = WantedState(
        PRESENT.customers, PRESENT.services, PRESENT.models, PRESENT.draining
    )
    draft = draft_plan(PRESENT, wanted, UPSTREAMS)
    assert draft.configuration == PRESENT
    assert not (draft.problems or draft.changes or draft.orders or draft.touches)


def test_a_base_that_nobody_accepted_is_refused() -> None:
    document = PlanDocument("c", 7, change=ChangeDocument(drain=("up-1",)))
    outcome = ControlState().apply(document.to_command("rita", ()), 1, START)
    assert isinstance(outcome, PlanRefused)
    assert "newest version is 0" in outcome.reasons[0]


@settings(derandomize=True, deadline=None)
@given(data=st.binary(max_size=200))
def test_arbitrary_bytes_are_no_command_outcome_or_snapshot(data: bytes) -> None:
    for decode in (decode_command, decode_outcome, ControlState.from_snapshot):
        with pytest.raises(ControlCodecError):
            decode(data)


def test_a_damaged_snapshot_is_refused() -> None:
    state = ControlState()
    document = PlanDocument("c", 0, change=ChangeDocument(drain=("up-1",)))
    state.apply(document.to_command("rita", ()), 1, START)
    snapshot = state.to_snapshot()
    for length in range(len(snapshot)):
        with pytest.raises(ControlCodecError):
            ControlState.from_snapshot(snapshot[:length])
