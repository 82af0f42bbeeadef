"""Check that hand-overs carry the load sequence on which their upstream was chosen."""

from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from common.requests_world import caller_request
from common.routing import asked, available, configured, load
from common.sidecars import hand_over, sidecar
from cowslipshelf_core.messages import MayHaveRun, NeverRan
from cowslipshelf_core.requests import (
    Placed,
    RequestConfig,
    RequestMachine,
    SendHandOver,
    Started,
)
from cowslipshelf_core.routing import LoadUpdated, Router, RouterConfig
from cowslipshelf_core.sidecar import (
    AnswerRevoke,
    HandOverArrived,
    RevokeArrived,
    UpstreamFinished,
)


@settings(max_examples=50, derandomize=True, deadline=None)
@given(first=st.integers(1, 99), later=st.lists(st.integers(1, 99), max_size=4))
def test_the_report_behind_a_choice_reaches_the_sidecar(first, later):
    """Guards against a sidecar that refuses all hand-overs after many attempts.

    It forgets its oldest attempts. Without the sequence of the load report on which a
    hand-over was chosen, it can't distinguish a new one from a late copy of a forgotten
    one.
    """
    random = Random(0)
    router = Router.from_config(RouterConfig())
    router.handle(configured(), 0.0, random)
    router.handle(available("runner-1", load(first)), 0.0, random)
    for sequence in later:
        router.handle(LoadUpdated("runner-1", "1", load(sequence)), 0.0, random)
    answered = router.handle(asked(1), 0.0, random)[0]
    machine = RequestMachine.from_config(caller_request(), RequestConfig())
    machine.handle(Started(), 0.0)
    effects = machine.handle(Placed(answered.answer), 0.0)
    sent = [effect.hand_over for effect in effects if isinstance(effect, SendHandOver)]
    assert [each.load_sequence for each in sent] == [max(first, *later, 0)]


@settings(max_examples=50, derandomize=True, deadline=None)
@given(ended=st.integers(1, 9), is_older=st.booleans())
def test_a_lost_hand_over_can_be_revoked_however_many_attempts_have_ended(
    ended, is_older
):
    """Guards against a wrong answer to the revocation of an unknown attempt.

    The hand-over of a non-idempotent request is lost. The sidecar has forgotten its
    oldest attempts, and may promise "never ran" only if this can't be one of them. A
    missing promise leaves the caller with an unknown outcome; a wrong one lets the
    request run twice.
    """
    state = sidecar(max_ended_attempts=2)
    lost_on = state.load_report().sequence if is_older else None
    for number in range(ended):
        sequence = state.load_report().sequence
        posted = hand_over(f"attempt-{number}", load_sequence=sequence)
        state.handle(HandOverArrived(posted), 0.0)
        state.handle(UpstreamFinished(f"attempt-{number}", True), 0.0)
    lost_on = lost_on or state.load_report().sequence
    effects = state.handle(RevokeArrived("lost", "start-1", lost_on), 0.0)
    may_promise = not is_older or ended <= 2
    promise = NeverRan("lost") if may_promise else MayHaveRun("lost", False)
    assert effects == [AnswerRevoke(promise)]
