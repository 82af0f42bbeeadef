"""Check how a sidecar schedules attempts, leaves, and estimates costs."""

from hypothesis import given, settings
from hypothesis import strategies as st

from common.sidecars import configuration, hand_over, sidecar
from cowslipshelf_core.errors import RefusalCode, RefusalReason
from cowslipshelf_core.sidecar import (
    CancelAtUpstream,
    ConfigurationApplied,
    FirstTokenArrived,
    HandOverArrived,
    HeldMemory,
    InventoryRead,
    LeavingFinished,
    LeavingStarted,
    OwnerSeen,
    RefuseAttempt,
    ReleaseAtUpstream,
    StartAttempt,
    TickElapsed,
    UpstreamFinished,
)

few_examples = settings(max_examples=100, derandomize=True, deadline=None)


def started(effects):
    return [
        effect.hand_over.attempt_id
        for effect in effects
        if isinstance(effect, StartAttempt)
    ]


@few_examples
@given(
    prompt=st.integers(300, 850),
    run_seconds=st.sampled_from([0.5, 1.0, 3.0]),
    urgency=st.integers(0, 5_000),
)
def test_a_large_attempt_is_not_starved_by_a_stream_of_small_ones(
    prompt, run_seconds, urgency
):
    """Guards against a large prompt that never starts.

    It waits for memory while small prompts keep arriving. Each of them fits at once, is
    more urgent, and takes the memory that the previous one freed.
    """
    state = sidecar()
    running = {}
    small = 0
    accepted_at = None
    for tick in range(200):
        now = tick * 0.25
        effects = state.handle(OwnerSeen("entry-1"), now)
        for name, until in tuple(running.items()):
            if until <= now:
                del running[name]
                effects += state.handle(UpstreamFinished(name, True), now)
        if tick >= 20 and accepted_at is None:
            large = hand_over(f"large-{tick}", prompt_tokens=prompt)
            answer = state.handle(HandOverArrived(large), now)
            if not any(isinstance(effect, RefuseAttempt) for effect in answer):
                accepted_at = now
            effects += answer
        for _ in range(2):
            small += 1
            posted = hand_over(f"small-{small}", priority=-urgency)
            effects += state.handle(HandOverArrived(posted), now)
        effects += state.handle(TickElapsed(), now)
        for name in started(effects):
            running[name] = now + run_seconds
        if any(name.startswith("large") for name in running):
            break
    assert accepted_at is not None
    assert accepted_at < 10.0
    max_wait = urgency / 1000 + state.config.bypass_seconds
    assert now - accepted_at <= max_wait + 2 * run_seconds


@few_examples
@given(running=st.integers(0, 5), waiting=st.integers(0, 2))
def test_a_leaving_sidecar_takes_nothing_new_and_cuts_nothing(running, waiting):
    """Guards against a drain that cuts accepted requests, or that never ends.

    A leaving sidecar refuses new attempts at once and lets accepted ones finish.
    """
    state = sidecar()
    names = [f"attempt-{index}" for index in range(running + waiting)]
    open_names = []
    for name in names:
        open_names += started(state.handle(HandOverArrived(hand_over(name)), 0.0))
    effects = state.handle(LeavingStarted(), 1.0)
    refusal = state.handle(HandOverArrived(hand_over("late")), 1.0)[0]
    assert isinstance(refusal, RefuseAttempt)
    assert refusal.refused.refusal.code is RefusalCode.NOT_RUN
    assert refusal.refused.refusal.reason is RefusalReason.LEAVING
    while open_names:
        assert LeavingFinished() not in effects
        ended = UpstreamFinished(open_names.pop(), True)
        effects = state.handle(ended, 2.0)
        open_names += started(effects)
    assert effects.count(LeavingFinished()) == 1
    assert state.handle(TickElapsed(), 3.0) == []


@few_examples
@given(
    decided_under=st.integers(1, 3),
    services=st.sampled_from([("assist-llm",), ()]),
    drains=st.booleans(),
)
def test_only_an_outdated_decision_that_matters_is_refused(
    decided_under, services, drains
):
    """Guards against hand-overs that ignore a change, and against needless refusals.

    A customer loses a service, or an upstream is drained. Entries that don't know it
    yet continue to send. Entries that know an even newer version must not be refused by
    a sidecar that lags behind.
    """
    state = sidecar()
    draining = ("runner-1",) if drains else ()
    changed = configuration(2, services, draining)
    state.handle(ConfigurationApplied(changed), 0.0)
    state.handle(ConfigurationApplied(configuration(1)), 0.0)
    posted = hand_over("attempt", configuration_version=decided_under)
    effects = state.handle(HandOverArrived(posted), 0.0)
    harmless = services and not drains
    assert bool(started(effects)) == bool(harmless or decided_under == 3)


def test_an_entry_that_is_gone_keeps_no_memory_but_for_work_that_must_not_repeat():
    """Guards against memory that stays reserved for the attempts of a dead entry.

    Its attempts are cancelled before their deadlines. Only a non-idempotent one that
    was handed over runs on, since the outcome of a cancelled one would be unknown.
    """
    state = sidecar()
    for name, owner, non_idempotent in (
        ("lost", "entry-1", False),
        ("payment", "entry-1", True),
        ("alive", "entry-2", False),
    ):
        posted = hand_over(name, owner=owner, non_idempotent=non_idempotent)
        state.handle(HandOverArrived(posted), 0.0)
    cancelled = []
    now = 0.0
    while now < state.config.owner_lease_seconds:
        now += 0.5
        state.handle(OwnerSeen("entry-2"), now)
        cancelled += state.handle(TickElapsed(), now)
    names = [
        effect.attempt_id
        for effect in cancelled
        if isinstance(effect, CancelAtUpstream)
    ]
    assert names == ["lost"]


def test_a_late_completion_frees_nobody_elses_memory():
    """Guards against a late completion that frees the memory of another attempt.

    An attempt ends, and another one reserves the freed memory. Then the completion of
    the first arrives two more times.
    """
    state = sidecar()
    state.handle(HandOverArrived(hand_over("first", prompt_tokens=900)), 0.0)
    state.handle(UpstreamFinished("first", False), 1.0)
    state.handle(HandOverArrived(hand_over("second", prompt_tokens=900)), 1.0)
    state.handle(UpstreamFinished("first", True), 2.0)
    state.handle(UpstreamFinished("first", True), 2.0)
    assert state.load_report().reserved_tokens == 1000
    held = (HeldMemory("second", 900), HeldMemory("first", 900))
    state.handle(InventoryRead(held), 3.0)
    later = 3.0 + state.config.unclaimed_grace_seconds
    assert state.handle(InventoryRead(held), later) == [ReleaseAtUpstream("first")]


@few_examples
@given(
    lengths=st.lists(st.integers(1_000, 1_000_000), min_size=40, max_size=80),
    linear=st.floats(1e-5, 1e-3),
    quadratic=st.floats(0.0, 1e-9),
    outlier_every=st.integers(8, 20),
)
def test_costs_are_learnt_despite_outliers(lengths, linear, quadratic, outlier_every):
    """Guards against one stall of an engine that distorts the reported costs.

    Some answers are ten times slower. A cost learnt from them would make entries send
    all short prompts elsewhere.
    """
    state = sidecar(memory_tokens=2_000_000, max_deadline_seconds=1e9)
    now = 0.0
    for index, tokens in enumerate(lengths):
        cost = linear * tokens + quadratic * tokens**2
        stalled = index % outlier_every == outlier_every - 1
        name = f"attempt-{index}"
        facts = {"prompt_tokens": tokens, "deadline_seconds": 1e9}
        state.handle(HandOverArrived(hand_over(name, **facts)), now)
        now += 10 * cost if stalled else cost
        state.handle(FirstTokenArrived(name), now)
        state.handle(UpstreamFinished(name, True, 10), now)
    report = state.load_report()
    for tokens in (min(lengths), max(lengths)):
        estimate = report.prefill_seconds_per_token * tokens
        estimate += report.prefill_seconds_per_token_squared * tokens**2
        true = linear * tokens + quadratic * tokens**2
        assert true / 2 <= estimate <= true * 2
