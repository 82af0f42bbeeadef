"""Test the answers to requests with a key when no upstream is free."""

import pytest

from common.requests_harness import RequestsHarness
from common.requests_steps import (
    BUSY,
    LOST_AFTER_ARRIVAL,
    NO_BUDGET,
    NO_FAULT,
    NO_FREE_UPSTREAM,
    NO_QUORUM,
    got_complete_answer,
    refusal_of,
)
from cowslipshelf_core.errors import RefusalCode, RefusalReason
from cowslipshelf_core.internal.control.claims import ClaimTable
from cowslipshelf_core.requests import CallerGone, DeadlinePassed, LookUpClaim


def begin_with_key(harness: RequestsHarness, *steps, **changes):
    driven = harness.begin(idempotency_key="k", **changes)
    for step in steps:
        harness.step(driven, step)
    return driven


def test_a_stored_answer_is_repeated_when_no_upstream_is_free():
    """A payment was made, its answer was lost, and the fleet is full at the resend.

    Repeating the stored answer needs no upstream. The resend was refused as "not run"
    before its key was looked up, so that the caller would have paid again.
    """
    harness = RequestsHarness(ClaimTable())
    harness.run(begin_with_key(harness))
    resent = begin_with_key(harness)
    harness.run(resent, NO_FREE_UPSTREAM)
    assert got_complete_answer(resent)
    assert len(harness.world.ran) == 1


@pytest.mark.parametrize("steps", [(), (NO_FAULT, NO_FAULT, BUSY, NO_BUDGET)])
def test_not_run_is_told_where_nothing_ran_under_the_key(steps):
    """The fleet is full at the first request, or at a resend after a true "not run".

    Nothing ran, so the caller gets "not run" with the router's reason. The key stays
    free, and a later resend runs.
    """
    harness = RequestsHarness(ClaimTable())
    if steps:
        begin_with_key(harness, *steps)
    refused = begin_with_key(harness)
    harness.run(refused, NO_FREE_UPSTREAM)
    assert refusal_of(refused).code is RefusalCode.NOT_RUN
    assert refusal_of(refused).reason is RefusalReason.NO_UPSTREAM
    later = begin_with_key(harness)
    harness.run(later)
    assert got_complete_answer(later)


@pytest.mark.parametrize("owner_dead", [False, True])
@pytest.mark.parametrize("seconds", [0.0, 100.0])
def test_a_resend_without_an_upstream_never_denies_a_run(owner_dead, seconds):
    """The first request runs, or its entry died while it ran, and the fleet is full.

    The key can't be taken over without an upstream, and "not run" would be false. The
    resend gets "outcome unknown" at once.
    """
    harness = RequestsHarness(ClaimTable())
    begin_with_key(harness, NO_FAULT, NO_FAULT, LOST_AFTER_ARRIVAL).dead = owner_dead
    harness.now += seconds
    resent = begin_with_key(harness)
    started = harness.now
    harness.run(resent, NO_FREE_UPSTREAM)
    assert refusal_of(resent).code is RefusalCode.OUTCOME_UNKNOWN
    assert harness.now == started
    assert len(harness.world.ran) == 1


@pytest.mark.parametrize("asked", [NO_FAULT, NO_FREE_UPSTREAM])
@pytest.mark.parametrize("end", [NO_QUORUM, DeadlinePassed(), CallerGone()])
def test_an_unanswered_look_up_or_claim_leaves_the_outcome_unknown(asked, end):
    """A payment is resent while no replica answers, or its deadline passes.

    The key was not looked up, so "not run" would claim more than is known.
    """
    harness = RequestsHarness(ClaimTable())
    harness.run(begin_with_key(harness))
    resent = begin_with_key(harness, asked)
    if end is NO_QUORUM:
        harness.step(resent, end)
    else:
        harness.feed_keeping_question(resent, end)
    assert refusal_of(resent).code is RefusalCode.OUTCOME_UNKNOWN


def test_another_body_under_the_key_is_refused_without_an_upstream_too():
    """A client's key counter restarts and reuses a key for another payment."""
    harness = RequestsHarness(ClaimTable())
    harness.run(begin_with_key(harness))
    other = begin_with_key(harness, body_digest="other")
    harness.run(other, NO_FREE_UPSTREAM)
    assert refusal_of(other).reason is RefusalReason.KEY_REUSED


def test_a_request_that_is_placed_pays_for_no_look_up():
    """A look-up costs a log entry, and the claim of a placed request says the same."""
    harness = RequestsHarness(ClaimTable())
    driven = begin_with_key(harness)
    harness.run(driven)
    assert not [e for e in driven.effects if isinstance(e, LookUpClaim)]
