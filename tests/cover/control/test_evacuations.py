"""Check the register of evacuated data centres in the replicated control state."""

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from cowslipshelf_core.control import (
    ControlState,
    EvacuationRecorded,
    EvacuationRefused,
    SetEvacuation,
)
from cowslipshelf_core.messages import NO_EVACUATIONS, EvacuationState


def state_after(*orders: tuple[str, bool]) -> ControlState:
    """Apply orders from log index 1 on, each sent by a gateway that knows the last."""
    state = ControlState()
    for index, order in enumerate(orders, 1):
        state.apply(SetEvacuation(*order, state.evacuations.state.revision), index, 0.0)
    return state


@pytest.mark.parametrize(
    ("orders", "held", "audited"),
    [
        ([("b", True), ("a", True)], EvacuationState(2, ("a", "b")), 2),
        ([("a", True), ("a", False)], EvacuationState(2, ()), 2),
        ([("a", True), ("a", True)], EvacuationState(1, ("a",)), 1),
        ([("a", False)], NO_EVACUATIONS, 0),
    ],
)
def test_only_a_change_has_a_new_revision_and_an_audit_record(orders, held, audited):
    """Guards against resent orders that are refused or that look like a change."""
    state = state_after(*orders)
    assert state.evacuations.state == held
    assert len(state.audit(0, 10)) == audited
    again = state.apply(SetEvacuation(*orders[-1]), 9, 0.0)
    assert again == EvacuationRecorded(held.revision)


def test_snapshots_keep_evacuations_and_may_come_from_before_them():
    """Guards against an evacuation lost with the log that a snapshot replaces."""
    state = state_after(("a", True))
    data = state.to_snapshot()
    assert ControlState.from_snapshot(data).evacuations == state.evacuations
    older = msgspec.msgpack.encode(msgspec.msgpack.decode(data)[:-1])
    assert ControlState.from_snapshot(older).evacuations.state == NO_EVACUATIONS


def test_a_log_that_begins_again_continues_the_revisions_that_gateways_know():
    """Guards against orders that gateways ignore after the loss of all replicas."""
    state = ControlState()
    for index, known in ((1, 500), (2, 501)):
        order = SetEvacuation(f"a-{index}", True, known)
        assert state.apply(order, index, 0.0) == EvacuationRecorded(known + 1)


def test_a_log_that_begins_again_keeps_the_evacuations_that_gateways_know():
    """Guards against a harmless order that withdraws all evacuations after a loss."""
    state = ControlState()
    order = SetEvacuation("c", False, 500, ("a", "b"))
    assert state.apply(order, 1, 0.0) == EvacuationRecorded(500)
    assert state.evacuations.state == EvacuationState(500, ("a", "b"))


ORDERS = st.tuples(st.sampled_from("ab"), st.booleans(), st.integers(0, 9))


@given(st.lists(st.tuples(ORDERS, st.lists(st.integers(0, 99), max_size=3))))
def test_late_copies_undo_no_acknowledged_order(steps):
    """Guards against a copy, committed late, that evacuates a data centre once more.

    Each order is sent by a gateway that may be behind, and copies of any earlier
    command follow its acknowledgement.
    """
    state, sent, index = ControlState(), [], 0

    def apply(command):
        nonlocal index
        index += 1
        return state.apply(command, index, 0.0)

    for (name, evacuated, behind), copies in steps:
        known = max(0, state.evacuations.state.revision - behind)
        outcome = None
        while not isinstance(outcome, EvacuationRecorded):
            sent.append(SetEvacuation(name, evacuated, known))
            outcome = apply(sent[-1])
            known = outcome.revision
        acknowledged = state.evacuations.state
        assert (name in acknowledged.data_centres) is evacuated
        for number in copies:
            apply(sent[number % len(sent)])
        assert state.evacuations.state == acknowledged


def test_the_number_of_evacuated_data_centres_is_limited():
    """Guards against alive messages that grow with every name anybody sends."""
    state = state_after(*((f"a-{number}", True) for number in range(64)))
    refused = state.apply(SetEvacuation("more", True), 65, 0.0)
    assert isinstance(refused, EvacuationRefused)
    assert len(state.evacuations.state.data_centres) == 64
