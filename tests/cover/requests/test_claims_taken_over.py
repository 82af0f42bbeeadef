"""Test how a resend takes over the key of a dead request or follows its attempt."""

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
    """An entry dies between claim and hand-over, and its caller resends elsewhere.

    Its attempt is revoked, so that the resend runs, within the first deadline or after
    it. If the entry was only slow, its late hand-over is refused.
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
    """All upstreams were busy, and the caller resends its payment later.

    The control state has stored the refusal. Repeating it would block the payment for
    an hour, although nothing ever ran under its key.
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
    """A client resends twice, through two entries at once.

    Both find that nothing ran under the key, and one of them gets it. The other must
    not answer "not run" from its stale view: a resend under a new key would pay twice.
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
    """An entry is killed while it streams an answer; upstream and sidecar live.

    The resend, through another entry, gets the complete answer of that run from the
    sidecar, and a later resend gets it from the store.
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
    """A resend takes the first request's entry for dead, and its own stream breaks.

    The entry was only unreachable, and must still store the complete answer. If the
    resend stored "unknown" or cancelled the attempt, the answer would be lost.
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
