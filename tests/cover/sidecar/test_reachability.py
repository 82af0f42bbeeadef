"""Check how a sidecar behaves while its engine can't be reached."""

from hypothesis import given, settings
from hypothesis import strategies as st

from common.sidecars import hand_over, sidecar
from cowslipshelf_core.errors import RefusalCode
from cowslipshelf_core.sidecar import (
    FirstTokenArrived,
    HandOverArrived,
    InventoryRead,
    RefuseAttempt,
    StartAttempt,
    TickElapsed,
    UpstreamAccepted,
    UpstreamFinished,
    UpstreamUnreachable,
)

LATE_EVENTS = st.lists(
    st.sampled_from(
        [
            TickElapsed(),
            UpstreamAccepted("earlier"),
            FirstTokenArrived("earlier"),
            UpstreamFinished("earlier", whole=False),
        ]
    ),
    max_size=4,
)


@settings(derandomize=True, deadline=None)
@given(LATE_EVENTS, st.booleans())
def test_a_dead_engine_gets_no_work_until_it_answers_an_inventory(late, comes_back):
    """Guards against dead engines that attract most of the requests.

    When a third of the engines crashed, half of all callers got errors for minutes. The
    sidecar of a dead engine still runs, and each attempt fails there at once, so its
    load is always the lowest and entries prefer it. Late messages about earlier
    attempts don't show that the engine is back.
    """
    state = sidecar()
    state.handle(HandOverArrived(hand_over("earlier")), 0.0)
    state.handle(UpstreamUnreachable(), 1.0)
    for event in late:
        state.handle(event, 1.5)
    if comes_back:
        state.handle(InventoryRead(()), 2.0)
    assert state.takes_work == comes_back
    (effect,) = state.handle(HandOverArrived(hand_over("next")), 3.0)
    match effect:
        case StartAttempt():
            assert comes_back
        case RefuseAttempt(refused=refused):
            assert not comes_back
            assert refused.refusal.code is RefusalCode.NOT_RUN
