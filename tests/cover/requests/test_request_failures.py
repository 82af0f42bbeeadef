"""Test the failures that a request must handle, one by one."""

import pytest

from common.requests_harness import TIGHT, RequestsHarness, Step
from common.requests_steps import (
    BUSY,
    LOST_AFTER_ARRIVAL,
    NO_BUDGET,
    NO_FAULT,
    NOT_RESUMED,
    STREAM_CUT,
    got_complete_answer,
    refusal_of,
)
from cowslipshelf_core.errors import RefusalCode, RefusalReason
from cowslipshelf_core.internal.control.claims import ClaimTable
from cowslipshelf_core.messages import StreamHead
from cowslipshelf_core.requests import (
    AskClaim,
    Cancel,
    ChoosePlacement,
    ClaimAnswered,
    FrameArrived,
    Placed,
    Revoke,
    SendHandOver,
    Wait,
)


def test_a_resend_gets_the_stored_answer():
    """The answer to a payment is lost, and the caller resends it.

    The resend reaches another entry instance and must get the first answer; running
    again would pay twice.
    """
    harness = RequestsHarness()
    for _ in range(2):
        driven = harness.begin(idempotency_key="k")
        harness.run(driven)
        assert got_complete_answer(driven)
    assert len(harness.world.ran) == 1


def test_an_unknown_outcome_is_told_at_once_and_never_run_again():
    """A sidecar accepts a payment, dies before it answers, and restarts empty.

    Asked to revoke, it can't know whether the payment ran. The caller is told so long
    before its deadline, and a resend gets the same answer.
    """
    harness = RequestsHarness()
    driven = harness.begin(idempotency_key="k")
    for step in (NO_FAULT, NO_FAULT, LOST_AFTER_ARRIVAL):
        harness.step(driven, step)
    for sidecar in harness.world.sidecars.values():
        sidecar.restart()
    harness.run(driven)
    assert harness.now < driven.machine.deadline() - 5
    resent = harness.begin(idempotency_key="k")
    harness.run(resent)
    for each in (driven, resent):
        assert refusal_of(each).code is RefusalCode.OUTCOME_UNKNOWN
    assert len(harness.world.ran) == 1


def test_an_unreachable_sidecar_is_asked_a_bounded_number_of_times():
    """A hand-over gets no answer because the sidecar's host is unreachable.

    The request must not block until its deadline: after a few revoke calls it ends as
    "outcome unknown", so that the caller can act.
    """
    harness = RequestsHarness()
    driven = harness.begin(service_is_idempotent=False)
    harness.run(
        driven, NO_FAULT, Step(call_fault="late"), *[Step(call_fault="question")] * 9
    )
    revokes = [e for e in driven.effects if isinstance(e, Revoke)]
    assert 1 < len(revokes) <= 5
    assert refusal_of(driven).code is RefusalCode.OUTCOME_UNKNOWN
    assert harness.now < driven.machine.deadline() - 5


def test_a_resend_after_not_run_runs():
    """All upstreams are busy; the caller gets "not run" and resends later.

    The first request claimed the key. If that claim stayed, the request could never
    run under its key.
    """
    harness = RequestsHarness()
    driven = harness.begin(idempotency_key="k")
    harness.run(driven, NO_FAULT, NO_FAULT, BUSY, NO_BUDGET)
    assert refusal_of(driven).code is RefusalCode.NOT_RUN
    resent = harness.begin(idempotency_key="k")
    harness.run(resent)
    assert got_complete_answer(resent)


def test_the_key_of_a_dead_entry_is_taken_over_when_its_attempt_never_ran():
    """An entry instance claims a key and is killed before the hand-over.

    The resend finds the key held by a dead owner. The sidecar named in the claim
    guarantees never to run that attempt, so the resend runs, once.
    """
    harness = RequestsHarness()
    killed = harness.begin(idempotency_key="k")
    harness.step(killed, NO_FAULT)
    harness.step(killed, NO_FAULT)
    assert isinstance(killed.question, SendHandOver)
    killed.dead = True
    resent = harness.begin(idempotency_key="k")
    harness.run(resent)
    assert got_complete_answer(resent)
    late = killed.question.hand_over
    assert harness.world.deliver(late, False, 1) is not None


def test_a_resend_while_the_first_runs_is_told_when_to_ask_again():
    """A caller resends while its first request is still running."""
    harness = RequestsHarness()
    running = harness.begin(idempotency_key="k")
    for _ in range(5):
        harness.step(running, NO_FAULT)
    resent = harness.begin(idempotency_key="k")
    harness.run(resent)
    refusal = refusal_of(resent)
    assert refusal.reason is RefusalReason.STILL_RUNNING
    assert refusal.code is not RefusalCode.NOT_RUN
    assert refusal.retry_after_seconds > 0
    harness.run(running)
    assert got_complete_answer(running)


def test_a_claim_granted_after_its_caller_left_is_given_back():
    """A caller disconnects while its claim is being committed, and resends at once.

    No attempt will be handed over under the granted claim. Left open, it would refuse
    every resend as "still running" until the first deadline.
    """
    harness = RequestsHarness()
    left = harness.begin(idempotency_key="k")
    harness.step(left, NO_FAULT)
    asked = left.question
    assert isinstance(asked, AskClaim)
    harness.disconnect_caller(left)
    granted = harness.world.claims.acquire(asked.claim, harness.now)
    harness.feed(left, ClaimAnswered(granted))
    resent = harness.begin(idempotency_key="k")
    harness.run(resent)
    assert got_complete_answer(resent)


def test_work_that_runs_once_outlives_its_caller():
    """A caller's connection drops during the answer of a request with a key.

    Cancelling would lose the answer, and a second run could give a different one. The
    first run continues, and the resend gets its answer.
    """
    harness = RequestsHarness()
    driven = harness.begin(idempotency_key="k")
    for _ in range(5):
        harness.step(driven, NO_FAULT)
    harness.disconnect_caller(driven)
    assert not driven.finals
    harness.run(driven)
    assert not [e for e in driven.effects if isinstance(e, Cancel)]
    resent = harness.begin(idempotency_key="k")
    harness.run(resent)
    assert got_complete_answer(resent)


def test_repeatable_work_ends_with_its_caller():
    """A caller closes its connection in the middle of a long answer.

    Nobody will read the rest, so the engine is freed at once.
    """
    harness = RequestsHarness()
    driven = harness.begin()
    for _ in range(5):
        harness.step(driven, NO_FAULT)
    harness.disconnect_caller(driven)
    assert [e for e in driven.effects if isinstance(e, Cancel)]
    assert len(driven.finals) == 1


@pytest.mark.parametrize("frames_read", range(9))
@pytest.mark.parametrize("streamed", [True, False])
def test_an_answer_cut_anywhere_goes_on_at_another_engine(frames_read, streamed):
    """An engine and its sidecar die after any chunk of an answer, even the last.

    The next engine skips the tokens that the caller has and repeats chunks without
    tokens. The caller gets every byte once.
    """
    harness = RequestsHarness()
    driven = harness.begin(streamed=streamed)
    before = [NO_FAULT] * (2 + frames_read)
    harness.run(driven, *before, STREAM_CUT, NOT_RESUMED)
    assert len(driven.sent) == 2
    assert got_complete_answer(driven)


@pytest.mark.parametrize("streamed", [True, False])
def test_what_is_held_back_for_a_retry_is_bounded(streamed):
    """A thousand callers request a huge answer of a plain service.

    If whole answers were buffered, they would fill the instance's memory.
    """
    harness = RequestsHarness()
    driven = harness.begin(config=TIGHT, streamed=streamed, kind="plain")
    for _ in range(5):
        harness.step(driven, NO_FAULT)
        assert driven.machine.state.delivery.buffered_bytes <= TIGHT.max_buffered_bytes
    assert driven.answer


def test_a_key_with_another_body_is_refused():
    """A client uses one key for two payments; the second must not look paid."""
    harness = RequestsHarness(ClaimTable())
    harness.run(harness.begin(idempotency_key="k"))
    other = harness.begin(idempotency_key="k", body_digest="other")
    harness.run(other)
    assert refusal_of(other).reason is RefusalReason.KEY_REUSED


def test_an_error_page_is_no_continuation():
    """An engine dies in mid-stream, and the next one answers with an error page.

    The caller's stream has begun with status 200, and the page must not be inserted
    into it. A third engine continues instead.
    """
    harness = RequestsHarness()
    driven = harness.begin()
    for step in (
        NO_FAULT,
        NO_FAULT,
        NO_FAULT,
        NO_FAULT,
        NO_FAULT,
        STREAM_CUT,
        NOT_RESUMED,
        NO_FAULT,
        NO_FAULT,
        NO_FAULT,
        NO_FAULT,
    ):
        harness.step(driven, step)
    assert len(driven.sent) == 2
    attempt = driven.reading_attempt
    harness.feed(driven, FrameArrived(StreamHead(500, ()), attempt))
    harness.run(driven)
    assert len(driven.sent) == 3
    assert got_complete_answer(driven)


def test_a_choice_that_arrives_twice_opens_one_attempt():
    """The router's first placement is delivered again after a refusal.

    Taken for the second placement, it would hand over the same attempt twice, which
    the sidecar can't tell from a late copy.
    """
    harness = RequestsHarness()
    driven = harness.begin()
    harness.step(driven, NO_FAULT)
    first = driven.events[-1]
    assert isinstance(first, Placed)
    for step in (BUSY, NO_FAULT, NO_FAULT):
        harness.step(driven, step)
    assert isinstance(driven.question, ChoosePlacement)
    assert driven.machine.handle(first, harness.now) == []
    harness.run(driven)
    assert got_complete_answer(driven)


def test_backoff_grows_and_keeps_within_the_deadline():
    """Synchronized retries would overload busy upstreams again."""
    harness = RequestsHarness()
    driven = harness.begin()
    harness.run(driven, *[NO_FAULT, BUSY, NO_FAULT, NO_FAULT] * 4)
    waits = [e.seconds for e in driven.effects if isinstance(e, Wait)]
    assert len(waits) > 1
    assert waits == sorted(waits)
    assert waits[0] < waits[-1] < driven.request.deadline_seconds
    assert refusal_of(driven).code is RefusalCode.NOT_RUN
