"""Check where requests go: no herding, no stale loads, one pool for long prompts."""

from collections import Counter
from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from common.routing import (
    PROPERTY,
    START,
    asked,
    available,
    check_spread,
    chosen,
    configured,
    load,
    refusals,
)
from cowslipshelf_core.directory_events import (
    UnavailableReason,
    UpstreamUnavailable,
)
from cowslipshelf_core.errors import RefusalCode, RefusalReason
from cowslipshelf_core.internal.routing.fleet import GroupKey
from cowslipshelf_core.routing import (
    AttemptEnded,
    AttemptOutcome,
    HandOverRefused,
    LoadUpdated,
    Router,
    RouterConfig,
    TickElapsed,
)

COUNTS = st.integers(4, 40)


def started(upstreams: int, seed: int = 1, version: int = 1) -> tuple[Router, Random]:
    router = Router.from_config(RouterConfig())
    random = Random(seed)
    router.handle(configured(version), START, random)
    order = list(range(upstreams))
    Random(seed).shuffle(order)
    for number in order:
        router.handle(available(f"upstream-{number}"), START, random)
    return router, random


def started_with_long_demand(upstreams: int, seed: int) -> tuple[Router, Random]:
    router, random = started(upstreams, seed)
    for number in range(6):
        router.handle(asked(number, 300_000), START, random)
        router.handle(asked(100 + number, 20_000), START, random)
    for attempt in list(router.tracker.attempts):
        ended = AttemptEnded(attempt, AttemptOutcome.FINISHED)
        router.handle(ended, START + 0.5, random)
    return router, random


def long_prompt_pool(router: Router) -> list[str]:
    (group,) = router.fleet.groups.values()
    return [view.description.upstream_id for view in group.long_prompt_pool]


@PROPERTY
@given(st.integers(6, 24), st.integers(2, 4))
def test_entries_that_act_on_the_same_report_do_not_herd(upstreams, entries):
    """All entries have the same reports: one upstream is idle and the rest are busy.

    Requests arrive faster than reports. If each entry chose the best upstream by its
    reports, all requests would go to the idle one, which would then be the slowest.
    """
    counts = Counter()
    for entry in range(entries):
        router, random = started(upstreams, seed=entry)
        for number in range(1, upstreams):
            busy = load(2, running=1, prefill_tokens=8_000)
            router.handle(LoadUpdated(f"upstream-{number}", "1", busy), START, random)
        for number in range(2 * upstreams):
            request = asked(number, prompt_tokens=8_000)
            counts.update(chosen(router.handle(request, START + 0.01, random)))
    assert sum(counts.values()) >= 1.5 * upstreams * entries
    assert max(counts.values()) <= 4 * entries + 2


@PROPERTY
@given(COUNTS, st.integers(1, 5), st.lists(st.booleans(), min_size=30, max_size=60))
def test_entries_agree_on_the_upstreams_for_long_prompts(upstreams, version, mix):
    """Entries learn of the upstreams in different orders and do not coordinate.

    If each chose its own pool, every upstream would get long prompts from some entry,
    and none would be left for short prompts alone.
    """
    sets = []
    for entry in range(3):
        router, random = started(upstreams, entry, version)
        for number, is_long in enumerate(mix[entry:]):
            prompt = 300_000 if is_long else 20_000
            router.handle(asked(number, prompt), START, random)
        router.handle(TickElapsed(), START + 0.1, random)
        sets.append(long_prompt_pool(router))
    smallest = min(sets, key=len)
    assert all(names[: len(smallest)] == smallest for names in sets)
    assert all(len(names) <= max(1, upstreams // 2) for names in sets)
    assert max(map(len, sets)) - len(smallest) <= 1 + upstreams // 8


@PROPERTY
@given(st.integers(8, 40), st.integers(0, 1_000))
def test_short_prompts_avoid_busy_upstreams_for_long_ones(upstreams, seed):
    router, random = started_with_long_demand(upstreams, seed)
    router.handle(TickElapsed(), START + 1.0, random)
    names = long_prompt_pool(router)
    assert names
    for name in names:
        working = load(2, running=1, prefill_tokens=300_000)
        router.handle(LoadUpdated(name, "1", working), START + 1.0, random)
    placed = []
    for number in range(upstreams - len(names)):
        request = asked(1_000 + number)
        placed += chosen(router.handle(request, START + 1.0, random))
    assert not set(placed) & set(names)


@PROPERTY
@given(st.integers(8, 40), st.integers(0, 1_000))
def test_short_prompts_leave_idle_upstreams_for_long_ones_idle(upstreams, seed):
    router, random = started_with_long_demand(upstreams, seed)
    for turn in range(40):
        now = START + 20.0 + turn
        router.handle(TickElapsed(), now, random)
        (answered,) = router.handle(asked(1_000 + turn), now, random)
        assert answered.answer.upstream_id not in long_prompt_pool(router)
        attempt = answered.answer.attempt_id
        ended = AttemptEnded(attempt, AttemptOutcome.FINISHED)
        router.handle(ended, now, random)


def test_a_restarted_upstream_for_long_prompts_is_chosen_under_its_new_epoch():
    """A sidecar in the pool for long prompts restarts; the pool keeps its size.

    Requests were still sent with its former epoch and each refused as "wrong epoch",
    because only the upstreams outside the pool were compared with their former state.
    """
    router, random = started_with_long_demand(8, 1)
    router.handle(TickElapsed(), START + 1.0, random)
    for name in long_prompt_pool(router):
        router.handle(available(name, epoch="2"), START + 2.0, random)
    (group,) = router.fleet.groups.values()
    assert {view.epoch for view in group.long_prompt_pool} == {"2"}


@PROPERTY
@given(st.integers(1, 12), st.integers(0, 1_000))
def test_the_load_in_a_refusal_overrides_older_reports(upstreams, seed):
    router, random = started(upstreams, seed)
    (first,) = chosen(router.handle(asked(1), START, random))
    full = load(9, running=40, decoding=40, reserved_tokens=479_999)
    router.handle(HandOverRefused("attempt-1", full), START + 0.01, random)
    for number in range(2, 40):
        answers = router.handle(asked(number), START + 0.02, random)
        assert first not in chosen(answers)
    overtaken = LoadUpdated(first, "1", load(8))
    router.handle(overtaken, START + 0.03, random)
    assert first not in chosen(router.handle(asked(50), START + 0.03, random))


@PROPERTY
@given(st.integers(480_001, 2_000_000), st.integers(1, 5))
def test_a_prompt_larger_than_any_upstream_is_spread_or_refused_at_once(
    prompt, upstreams
):
    router, random = started(upstreams)
    (answer,) = router.handle(asked(1, prompt, deadline=3600.0), START, random)
    if prompt + 200 <= upstreams * 480_000:
        check_spread(answer.answer, prompt + 200)
        return
    refusal = answer.answer
    assert refusal.code is RefusalCode.NOT_RUN
    assert refusal.reason is RefusalReason.TOO_LARGE
    assert refusal.retry_after_seconds is None
    assert "480000" in refusal.detail
    assert str(upstreams * 480_000) in refusal.detail


@pytest.mark.parametrize(
    ("reason", "refused_for"),
    [
        (UnavailableReason.SUSPECTED, RefusalReason.NO_UPSTREAM),
        (UnavailableReason.RESTARTED, RefusalReason.NO_UPSTREAM),
        (UnavailableReason.HELD_BACK, RefusalReason.NO_UPSTREAM),
        (UnavailableReason.REMOVED, RefusalReason.TOO_LARGE),
        (UnavailableReason.LEAVING, RefusalReason.TOO_LARGE),
        (UnavailableReason.DRAINING, RefusalReason.TOO_LARGE),
    ],
)
def test_a_prompt_that_fits_with_an_upstream_that_returns_may_come_back(
    reason, refused_for
):
    """A prompt was refused for good because one of the engines it needs was silent."""
    router, random = started(3)
    router.handle(UpstreamUnavailable("upstream-1", reason), START, random)
    (answer,) = router.handle(asked(1, 1_200_000, deadline=3600.0), START, random)
    assert answer.answer.reason is refused_for
    comes_back = answer.answer.retry_after_seconds is not None
    assert comes_back == (refused_for is RefusalReason.NO_UPSTREAM)
    (answer,) = router.handle(asked(2, 1_500_000, deadline=3600.0), START, random)
    assert answer.answer.reason is RefusalReason.TOO_LARGE
    router.handle(available("upstream-1"), START, random)
    (answer,) = router.handle(asked(3, 1_200_000, deadline=3600.0), START, random)
    check_spread(answer.answer, 1_200_200)


def test_a_silent_upstream_that_is_gone_for_good_is_not_waited_for():
    """Otherwise callers would retry for ever a prompt that no upstreams can hold."""
    router, random = started(3)
    for reason in (UnavailableReason.SUSPECTED, UnavailableReason.REMOVED):
        router.handle(UpstreamUnavailable("upstream-1", reason), START, random)
    (answer,) = router.handle(asked(1, 1_200_000, deadline=3600.0), START, random)
    assert answer.answer.reason is RefusalReason.TOO_LARGE


@PROPERTY
@given(st.floats(0.1, 200.0), st.sampled_from([2_000, 90_000, 400_000]))
def test_what_cannot_finish_in_time_is_refused_at_once(deadline, prompt):
    router, random = started(3)
    least = 25e-6 * prompt + 3e-11 * prompt**2
    answers = router.handle(asked(1, prompt, deadline=deadline), START, random)
    if deadline < least:
        (refusal,) = refusals(answers)
        assert refusal.reason is RefusalReason.CANNOT_FINISH_IN_TIME
    if deadline > 2 * least + 20.0:
        assert chosen(answers)


@pytest.mark.parametrize("upstreams", [3, 30])
def test_a_placement_is_explained(upstreams):
    router, random = started(upstreams)
    (answered,) = router.handle(asked(1), START, random)
    explanation = answered.explanation
    by_name = {c.upstream_id: c for c in explanation.considered}
    best = by_name[explanation.chosen].prediction
    assert best.first_token_seconds > 0.0
    assert best.cost == min(c.prediction.cost for c in explanation.considered)
    assert explanation.request_id == "request-1"


def test_a_returned_upstream_gets_few_requests_at_first():
    """An upstream returns idle while its peers have some work waiting.

    By its report it is by far the best, so all requests of all entries would go to it
    at once, while its caches are still cold.
    """
    router, random = started(4)
    later = START + 60.0
    for number in range(4):
        some = load(2, running=3, decoding=2, prefill_tokens=16_000)
        router.handle(LoadUpdated(f"upstream-{number}", "1", some), later, random)
    router.handle(available("upstream-9"), later, random)
    placed = Counter()
    for number in range(40):
        placed.update(chosen(router.handle(asked(number), later, random)))
    assert placed["upstream-9"] <= 6


def test_each_model_has_its_own_group():
    router, random = started(2)
    router.handle(available("upstream-7", models=("other",)), START, random)
    assert GroupKey("assist-llm", "other") in router.fleet.groups
    answers = router.handle(asked(1, model="other"), START, random)
    assert chosen(answers) == ["upstream-7"]


def test_a_late_report_of_an_earlier_start_is_ignored():
    """A sidecar restarts while a report of its former epoch is still in transit.

    The old report shows an idle engine that is full now; applying it would send
    requests there that are refused until the next report.
    """
    router, random = started(1)
    full = load(3, running=40, decoding=40, reserved_tokens=479_999)
    router.handle(available("upstream-0", full, epoch="2"), START, random)
    router.handle(LoadUpdated("upstream-0", "1", load(90)), START, random)
    assert not chosen(router.handle(asked(1), START, random))


@pytest.mark.parametrize(("weight", "kept_free"), [(4.0, True), (1.0, False)])
def test_a_long_prompt_that_waits_keeps_its_upstreams_free(weight, kept_free):
    """A long prompt needs nearly all of an engine's memory; short ones keep arriving.

    Each short prompt takes some of the memory that becomes free, so the long one would
    starve. If long prompts weigh more, short ones avoid the pool after a while.
    """
    router, random = started(4)
    router.handle(configured(2, long_prompt_weight=weight), START, random)
    for number in range(4):
        part = load(2, reserved_tokens=200_000)
        router.handle(LoadUpdated(f"upstream-{number}", "1", part), START, random)
    assert not router.handle(asked(1, 400_000, deadline=120.0), START, random)
    later = START + 6.0
    router.handle(TickElapsed(), later, random)
    names = set(long_prompt_pool(router))
    assert names
    placed = set()
    for number in range(2, 90):
        placed.update(chosen(router.handle(asked(number), later, random)))
    assert placed.isdisjoint(names) is kept_free


def test_a_restarted_upstream_for_long_prompts_is_addressed_by_its_new_epoch():
    """Long prompts failed on one upstream again and again after its sidecar restarted.

    The sidecar refuses attempts for its former epoch. The pool for long prompts still
    held the former state, since its size and the other pool had not changed.
    """
    router, random = started(12)
    for number in range(6):
        router.handle(asked(number, 300_000), START, random)
        router.handle(asked(100 + number, 20_000), START, random)
    router.handle(TickElapsed(), START + 0.1, random)
    (group,) = router.fleet.groups.values()
    for epoch in ("2", "3"):
        restarted = long_prompt_pool(router)[0]
        router.handle(available(restarted, load(2), epoch), START, random)
        assert group.long_prompt_pool[0].epoch == epoch


@PROPERTY
@given(st.integers(5, 40), st.integers(1, 2**63), st.integers(0, 1_000))
def test_a_hot_prefix_draws_requests_but_not_into_a_queue(upstreams, prefix, seed):
    router, random = started(upstreams, seed)
    (first,) = chosen(router.handle(asked(1, prefix_hash=prefix), START, random))
    hot = LoadUpdated(first, "1", load(2, hot_prefixes=(prefix,)))
    router.handle(hot, START + 20.0, random)
    ended = AttemptEnded("attempt-1", AttemptOutcome.FINISHED)
    router.handle(ended, START + 20.0, random)
    again = router.handle(asked(2, prefix_hash=prefix), START + 20.0, random)
    assert chosen(again) == [first]
    busy = load(3, running=8, prefill_tokens=200_000, hot_prefixes=(prefix,))
    router.handle(LoadUpdated(first, "1", busy), START + 30.0, random)
    elsewhere = router.handle(asked(3, prefix_hash=prefix), START + 30.0, random)
    assert first not in chosen(elsewhere)
