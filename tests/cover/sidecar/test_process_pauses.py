"""Check that a sidecar's own pause ends nobody else's lease."""

from hypothesis import given, settings
from hypothesis import strategies as st

from common.sidecars import hand_over, sidecar
from cowslipshelf_core.sidecar import (
    CancelAtUpstream,
    HandOverArrived,
    OwnerSeen,
    TickElapsed,
)

TICK_SECONDS = 0.25
HEARD_SECONDS = 0.5
LONGEST_SECONDS = 20.0
"""Below the deadline of the attempts here."""

quick = settings(max_examples=100, derandomize=True, deadline=None)


def cancelled(effects):
    return [effect for effect in effects if isinstance(effect, CancelAtUpstream)]


@quick
@given(
    pause=st.floats(0.0, LONGEST_SECONDS),
    ticks=st.integers(1, 20),
    lease=st.sampled_from([2.0, 3.0, 5.0, 10.0]),
)
def test_a_pause_of_the_sidecar_gives_up_no_attempt_of_a_living_entry(
    pause, ticks, lease
):
    """A machine is paused for some seconds; its streams are cancelled and run twice.

    The first tick after the pause comes before the messages that waited meanwhile, and
    every owner seems to be gone. Pauses between the lease and 5 s, from which on a gap
    counted as a standstill, did this: eight of eight streams went on elsewhere after
    pauses of 3.6 and 4.7 s under a lease of 3 s, none of four after 6 s.
    """
    state = sidecar(owner_lease_seconds=lease)
    state.handle(HandOverArrived(hand_over("stream", owner="entry-1")), 0.0)
    now = 0.0
    effects = []
    for _ in range(ticks):
        now += TICK_SECONDS
        if now % HEARD_SECONDS == 0:
            state.handle(OwnerSeen("entry-1"), now)
        effects += state.handle(TickElapsed(), now)
    now += TICK_SECONDS + pause
    effects += state.handle(TickElapsed(), now)
    assert not cancelled(effects)


@quick
@given(gap=st.floats(0.05, 2.0))
def test_the_attempts_of_a_dead_entry_end_however_slowly_the_sidecar_runs(gap):
    """A starved sidecar must not take each of its own gaps for the entry's excuse."""
    state = sidecar()
    state.handle(HandOverArrived(hand_over("stream", owner="entry-1")), 0.0)
    effects = []
    now = 0.0
    while now < 10 * state.config.owner_lease_seconds:
        now += gap
        effects += state.handle(TickElapsed(), now)
    assert cancelled(effects)
