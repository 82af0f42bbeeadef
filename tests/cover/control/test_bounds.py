"""Check the limits of the control state, and what is evicted first."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from common.control import START
from cowslipshelf_core.configuration import Model, WeightStoreLimits
from cowslipshelf_core.control import (
    AskLoadGrant,
    Change,
    CloseOrder,
    ConfirmPlan,
    ControlState,
    LoadGranted,
    LoadGrantRefused,
    OrderRefused,
    PlanRecorded,
    PlanUnknown,
    RecordPlan,
    RequestOrder,
)
from cowslipshelf_core.internal.control import claims as claims_module
from cowslipshelf_core.internal.control import orders as orders_module
from cowslipshelf_core.internal.control.bounded_records import BoundedRecords
from cowslipshelf_core.internal.control.limits import (
    CLAIM_RETENTION_SECONDS,
    MAX_CLAIM_KEY_BYTES,
    MAX_STORED_ANSWER_BYTES,
)
from cowslipshelf_core.messages import (
    ClaimAsked,
    ClaimFinished,
    ClaimGranted,
    ClaimHeld,
    ClaimMoved,
    ClaimRefused,
    StoredAnswer,
)


@settings(derandomize=True, deadline=None)
@given(
    steps=st.lists(
        st.tuples(st.sampled_from("abcdef"), st.integers(-1, 9)), max_size=30
    )
)
def test_kept_records_are_the_newest_that_fit(steps: list[tuple[str, int]]) -> None:
    kept = BoundedRecords(max_records=3, max_bytes=12)
    expected: dict[str, bytes] = {}
    for key, size in steps:
        expected.pop(key, None)
        if size < 0:
            kept.remove(key)
            continue
        expected[key] = b"x" * size
        kept.put(key, expected[key])
        while len(expected) > 3 or sum(map(len, expected.values())) > 12:
            del expected[next(iter(expected))]
        assert list(kept.records.items()) == list(expected.items())


def claim(state: ControlState, key: str, customer: str = "north") -> object:
    asked = ClaimAsked(customer, key, key, key, "u", "e", "o", "d", 10.0)
    return state.apply(asked, state.applied_index + 1, START)


def finish(state: ControlState, key: str, body: bytes) -> object:
    answer = StoredAnswer(201, (), body, whole=True)
    finished = ClaimFinished("north", key, key, key, answer, None)
    return state.apply(finished, state.applied_index + 1, START)


def test_a_full_table_refuses_new_keys_rather_than_forget_old_ones(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A customer claims keys until the table is full, then resends its first one.

    If the oldest key were evicted to make room, its resend would run a second time.
    """
    monkeypatch.setattr(claims_module, "MAX_CLAIMS", 4)
    monkeypatch.setattr(claims_module, "MAX_CLAIMS_PER_CUSTOMER", 3)
    state = ControlState()
    for key in ("a", "b", "c"):
        assert isinstance(claim(state, key), ClaimGranted)
    assert claim(state, "d") == ClaimRefused("customer_claims_full")
    assert isinstance(claim(state, "d", "south"), ClaimGranted)
    assert claim(state, "e", "south") == ClaimRefused("claims_full")
    finish(state, "a", b"paid")
    state = ControlState.from_snapshot(state.to_snapshot())
    assert claim(state, "a").answer.body == b"paid"
    assert claim(state, "f") == ClaimRefused("customer_claims_full")


def test_bodies_go_before_keys() -> None:
    """More answers are stored than fit, and the first caller resends its key.

    It must get the status of the finished request, which must not run again.
    """
    state = ControlState()
    state.claims.answers.max_bytes = 2_500
    for key in ("a", "b", "c"):
        claim(state, key)
        assert finish(state, key, b"x" * 1_000).answer.whole
    for replica in (state, ControlState.from_snapshot(state.to_snapshot())):
        held = claim(replica, "a")
        assert isinstance(held, ClaimHeld)
        assert held.answer == StoredAnswer(201, (), b"", whole=False)
        assert claim(replica, "c").answer.body == b"x" * 1_000
    claim(state, "large")
    held = finish(state, "large", b"x" * (MAX_STORED_ANSWER_BYTES + 1))
    assert held.answer == StoredAnswer(201, (), b"", whole=False)
    long_key = "k" * (MAX_CLAIM_KEY_BYTES + 1)
    assert claim(state, long_key) == ClaimRefused("key_too_long")


def test_a_claim_taken_over_late_is_remembered_for_its_new_holder() -> None:
    """The first holder fails, and an hour later a resend takes over its key and runs.

    The retention of the first holder ends soon after. If the key were removed then, a
    third resend would run beside the second.
    """
    state = ControlState()
    claim(state, "a")
    late = START + CLAIM_RETENTION_SECONDS
    moved = ClaimMoved("north", "a", "second", "a", "b", "u", "e", "o", 600.0)
    assert state.apply(moved, 2, late) == ClaimGranted("b")
    asked = ClaimAsked("north", "a", "third", "c", "u", "e", "o", "d", 10.0)
    for replica in (state, ControlState.from_snapshot(state.to_snapshot())):
        held = replica.apply(asked, 3, late + 300.0)
        assert isinstance(held, ClaimHeld)
        assert (held.request_id, held.deadline_passed) == ("second", False)
        forgotten = replica.apply(asked, 4, late + CLAIM_RETENTION_SECONDS + 900.0)
        assert forgotten == ClaimGranted("c")


def test_the_oldest_changes_and_plans_go_first() -> None:
    state = ControlState()
    state.changes.change_records.max_records = 2
    state.changes.pending_plans.max_records = 2
    commands = [
        RecordPlan(name, "rita", 0, Change(put_models=(Model("wide", name),)))
        for name in ("one", "two", "three")
    ]
    plans = [
        state.apply(command, index, START).plan
        for index, command in enumerate(commands, start=1)
    ]
    oldest = ConfirmPlan(plans[0].plan_id, "rita")
    assert state.apply(oldest, 4, START) == PlanUnknown(plans[0].plan_id)
    assert state.apply(commands[2], 5, START) == PlanRecorded(plans[2])
    assert state.explain_change("one") is None
    assert state.explain_change("three").first_answer == PlanRecorded(plans[2])


def test_a_dropped_slot_never_lets_a_fencing_number_go_back(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The idle slot of an upstream is evicted to make room for another upstream.

    Its sidecar restarts and asks for the current number. A number below that of its
    last order would admit an old order of an isolated control instance.
    """
    monkeypatch.setattr(orders_module, "MAX_ORDER_SLOTS", 2)
    state = ControlState()
    for index, upstream in enumerate(("up-1", "up-2"), start=1):
        order = RequestOrder(upstream, "rita", upstream, "change_role", "decode")
        state.apply(order, index, START)
    third = RequestOrder("up-3", "rita", "up-3", "change_role", "decode")
    assert isinstance(state.apply(third, 3, START), OrderRefused)
    state.apply(CloseOrder("up-2", "up-2", 2, True), 4, START)
    state.apply(third, 5, START)
    for replica in (state, ControlState.from_snapshot(state.to_snapshot())):
        assert replica.current_fencing("up-2") >= 2
        assert replica.current_fencing("up-3") == 5


def test_a_higher_rate_does_not_count_for_the_time_before_it() -> None:
    """An operator raises the rate of the weight store after a minute without loads.

    If that minute counted at the new rate, the fleet could load more at once than
    either rate allows.
    """
    state = ControlState()
    slow = WeightStoreLimits(tokens_per_second=0.01, burst_tokens=10)
    fast = WeightStoreLimits(tokens_per_second=10.0, burst_tokens=10)
    set_limits(state, slow, START)
    assert isinstance(ask(state, "first", 4, START), LoadGranted)
    set_limits(state, fast, START + 60.0)
    assert isinstance(ask(state, "second", 4, START + 60.0), LoadGrantRefused)
    assert isinstance(ask(state, "second", 4, START + 61.0), LoadGranted)


def set_limits(state: ControlState, limits: WeightStoreLimits, at: float) -> None:
    index = state.applied_index + 1
    version = state.configuration.version
    change = Change(weight_store=limits)
    plan = state.apply(RecordPlan(f"c{index}", "rita", version, change), index, at)
    state.apply(ConfirmPlan(plan.plan.plan_id, "rita"), index + 1, at)


def ask(state: ControlState, grant_id: str, tokens: int, at: float) -> object:
    command = AskLoadGrant(grant_id, "instance", "up-1", tokens, 90.0)
    return state.apply(command, state.applied_index + 1, at)
