"""Tell how a resend takes over or follows the key of a request that ended."""

import pytest

from common.requests_harness import RequestsHarness
from common.requests_steps import (
    BUSY,
    NO_BUDGET,
    NO_FAULT,
    NOT_RESUMED,
    got_complete_answer,
    refusal_of,
)
from cowslipshelf_core.errors import RefusalCode, RefusalReason
from cowslipshelf_core.internal.control.claims import ClaimTable
from cowslipshelf_core.requests import Cancel, MoveClaim, Resume


@pytest.mark.parametrize("seconds", [0.0, 100.0])
def test_the_control_state_gives_a_dead_holders_key_to_its_resend(seconds):
    """An entry dies between claim and hand-over; its caller sends again elsewhere.

    Its attempt is revoked, so the resend runs whole, within the dead one's deadline or
    after it. Were the entry only slow, its late hand-over would be refused.
    """
    harness = RequestsHarness(ClaimTable())
    killed = killed_before_hand_over(harness)
    harness.now += seconds
    resent = harness.begin(idempotency_key="k")
    harness.run(resent)
    assert got_complete_answer(resent)
    assert harness.world.deliver(killed.question.hand_over, False, 1) is not None
    assert len(harness.world.ran) == 1


def test_the_resend_of_a_stored_not_run_runs_whole():
    """Every upstream was busy, and the caller sends its payment line again later.

    The control state has stored the refusal. Repeating it would keep the line from
    being paid for an hour, though nothing ever ran under its key.
    """
    harness = RequestsHarness(ClaimTable())
    driven = harness.begin(idempotency_key="k")
    harness.run(driven, NO_FAULT, NO_FAULT, BUSY, NO_BUDGET)
    assert refusal_of(driven).code is RefusalCode.NOT_RUN
    for _ in range(2):
        resent = harness.begin(idempotency_key="k")
        harness.run(resent)
        assert got_complete_answer(resent)
    assert len(harness.world.ran) == 1


def killed_before_hand_over(harness: RequestsHarness):
    killed = harness.begin(idempotency_key="k")
    harness.step(killed, NO_FAULT)
    harness.step(killed, NO_FAULT)
    killed.dead = True
    return killed


@pytest.mark.parametrize("ended", [True, False])
def test_of_two_resends_that_want_a_key_one_runs_and_the_other_waits(ended):
    """A caller's impatient client resends twice, through two entries at once.

    Both find that nothing ran under the key. One gets it; the other must not say
    "not run" from what it saw before, since a new key would then pay twice.
    """
    harness = RequestsHarness(ClaimTable())
    if ended:
        first = harness.begin(idempotency_key="k")
        harness.run(first, NO_FAULT, NO_FAULT, BUSY, NO_BUDGET)
    else:
        killed_before_hand_over(harness)
    resends = [harness.begin(idempotency_key="k") for _ in range(2)]
    for resent in resends:
        while not isinstance(resent.question, MoveClaim):
            harness.step(resent, NO_FAULT)
    winner, loser = resends
    harness.step(winner, NO_FAULT)
    harness.run(loser)
    assert refusal_of(loser).reason is RefusalReason.STILL_RUNNING
    assert refusal_of(loser).code is not RefusalCode.NOT_RUN
    harness.run(winner)
    assert got_complete_answer(winner)
    assert len(harness.world.ran) == 1


@pytest.mark.parametrize("frames_read", range(8))
def test_a_resend_reads_on_where_the_entry_of_the_first_died(frames_read):
    """A notice is being listed when the entry instance that passes it on is killed.

    The upstream and its sidecar live. The resend, through another entry, gets that
    run's whole answer from the sidecar, and a later one gets it from the store.
    """
    harness = RequestsHarness(ClaimTable())
    killed = harness.begin(idempotency_key="k")
    for _ in range(3 + frames_read):
        harness.step(killed, NO_FAULT)
    killed.dead = True
    followed = harness.begin(idempotency_key="k")
    harness.run(followed)
    assert got_complete_answer(followed)
    assert not [e for e in followed.effects if isinstance(e, Cancel)]
    later = harness.begin(idempotency_key="k")
    harness.run(later)
    assert got_complete_answer(later)
    assert [e for e in later.effects if isinstance(e, Resume)] == []
    assert len(harness.world.ran) == 1


def test_a_follower_that_gives_up_spoils_nothing_for_the_owner():
    """A resend believes the first request's entry dead, and its own stream breaks.

    The entry had only been out of hearing. What it then stores must be the whole
    answer; a stored "unknown", or a cancel, would lose a verdict that was reached.
    """
    harness = RequestsHarness(ClaimTable())
    owner = harness.begin(idempotency_key="k")
    for _ in range(5):
        harness.step(owner, NO_FAULT)
    owner.dead = True
    follower = harness.begin(idempotency_key="k")
    harness.run(follower, NO_FAULT, NO_FAULT, NO_FAULT, *[NOT_RESUMED, NO_FAULT] * 4)
    assert refusal_of(follower).code is RefusalCode.OUTCOME_UNKNOWN
    assert not [e for e in follower.effects if isinstance(e, Cancel)]
    owner.dead = False
    harness.run(owner)
    assert got_complete_answer(owner)
    later = harness.begin(idempotency_key="k")
    harness.run(later)
    assert got_complete_answer(later)
