"""Check what a sidecar does while its engine can't be reached."""

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

NOT_SIGNS_OF_LIFE = st.lists(
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
@given(NOT_SIGNS_OF_LIFE, st.booleans())
def test_a_dead_engine_gets_no_work_until_it_answers_an_inventory(late, comes_back):
    """A third of the engines die; half of all callers get an error for minutes.

    The sidecar of a dead engine lives on. Each attempt fails there at once, so it is
    always the emptiest, and the entries send most requests to the dead: first, and
    again when the live ones are busy. Late words of earlier attempts prove no life.
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
