"""Check that slow upstreams are ejected, up to a cap, and readmitted later."""

from random import Random

from hypothesis import given
from hypothesis import strategies as st

from common.routing import PROPERTY, START, asked, available, chosen, configured
from cowslipshelf_core.routing import (
    AttemptEnded,
    AttemptOutcome,
    FirstTokenSeen,
    Router,
    RouterConfig,
    TickElapsed,
    UpstreamUnavailable,
)

OUTLIERS = RouterConfig().outliers


def serve(router, random, now, slow, numbers, factor=10.0) -> list[str]:
    """Place and finish requests, late on slow upstreams; return where they went."""
    placed = []
    for number in numbers:
        for answered in router.handle(asked(number), now, random):
            (name,) = chosen([answered])
            placed.append(name)
            prediction = next(
                c.prediction
                for c in answered.explanation.considered
                if c.upstream_id == name
            )
            view = router.fleet.views[name]
            seconds = prediction.first_token_seconds / view.slowness.factor
            seconds = (seconds + 0.1) * (factor if name in slow else 1.0) - 0.1
            attempt = answered.answer.attempt_id
            router.handle(FirstTokenSeen(attempt, seconds), now, random)
            ended = AttemptEnded(attempt, AttemptOutcome.FINISHED)
            router.handle(ended, now, random)
    return placed


def started(upstreams: int) -> tuple[Router, Random]:
    router, random = Router.from_config(RouterConfig()), Random(1)
    router.handle(configured(), START, random)
    for number in range(upstreams):
        router.handle(available(f"upstream-{number}"), START, random)
    return router, random


def ejected(router: Router) -> set[str]:
    return {
        name
        for name, view in router.fleet.views.items()
        if view.ejected_until is not None
    }


@PROPERTY
@given(st.integers(5, 20))
def test_an_upstream_ten_times_slower_is_ejected_and_readmitted(upstreams):
    """An engine is throttled; it reports the same times per token and stays available.

    Every request there waits ten times as long as predicted. It only shows in its first
    tokens, compared to those of its peers.
    """
    router, random = started(upstreams)
    slow = {"upstream-0"}
    serve(router, random, START, slow, range(40 * upstreams))
    router.handle(TickElapsed(), START + 2.0, random)
    assert ejected(router) == slow
    after = range(10_000, 10_000 + 5 * upstreams)
    assert "upstream-0" not in serve(router, random, START + 3.0, slow, after)
    back = START + 2.0 + OUTLIERS.ejection_seconds + 1.0
    router.handle(TickElapsed(), back, random)
    assert not ejected(router)
    healthy = range(20_000, 20_000 + 40 * upstreams)
    later = back + OUTLIERS.slow_start_seconds
    assert "upstream-0" in serve(router, random, later, set(), healthy)


@PROPERTY
@given(st.integers(3, 20), st.data())
def test_no_more_than_the_cap_is_ejected_however_many_are_slow(upstreams, data):
    router, random = started(upstreams)
    names = [f"upstream-{number}" for number in range(upstreams)]
    slow = data.draw(st.sets(st.sampled_from(names)))
    for turn in range(4):
        numbers = range(turn * 1_000, turn * 1_000 + 20 * upstreams)
        serve(router, random, START + turn * 2.0, slow, numbers)
        router.handle(TickElapsed(), START + turn * 2.0 + 1.5, random)
        assert ejected(router) <= slow
        assert len(ejected(router)) <= max(1, upstreams // 5)
        assert chosen(router.handle(asked(90_000 + turn), START + turn, random))


@PROPERTY
@given(st.integers(4, 12), st.lists(st.floats(5.0, 500.0), min_size=1, max_size=4))
def test_a_few_late_first_tokens_eject_nothing(upstreams, late):
    router, random = started(upstreams)
    serve(router, random, START, set(), range(40 * upstreams))
    for number, seconds in enumerate(late):
        (answered,) = router.handle(asked(50_000 + number), START, random)
        attempt = answered.answer.attempt_id
        router.handle(FirstTokenSeen(attempt, seconds), START, random)
    router.handle(TickElapsed(), START + 1.5, random)
    assert not ejected(router)


def test_an_upstream_that_never_answers_is_ejected_too():
    """An engine takes requests and never gives a first token.

    There is no time to compare, and its healthy sidecar keeps renewing the lease, so it
    would stay in use for ever. Overdue attempts count as samples.
    """
    router, random = started(5)
    stuck = set()
    now = START
    for number in range(200):
        now += 0.1
        (answered,) = router.handle(asked(number), now, random)
        (name,) = chosen([answered])
        attempt = answered.answer.attempt_id
        if name == "upstream-0":
            stuck.add(attempt)
            continue
        router.handle(FirstTokenSeen(attempt, 0.1), now, random)
        router.handle(AttemptEnded(attempt, AttemptOutcome.FINISHED), now, random)
        router.handle(TickElapsed(), now, random)
    assert ejected(router) == {"upstream-0"}
    assert len(stuck) < 30


@PROPERTY
@given(st.integers(10, 20), st.integers(3, 9))
def test_the_cap_holds_as_peers_are_lost(upstreams, left):
    """Two slow engines of ten or more are ejected, then most of their peers are lost.

    With few peers left the cap is one: slow engines are better than none.
    """
    router, random = started(upstreams)
    slow = {"upstream-0", "upstream-1"}
    serve(router, random, START, slow, range(60 * upstreams))
    router.handle(TickElapsed(), START + 1.5, random)
    assert ejected(router) == slow
    for number in range(left, upstreams):
        gone = UpstreamUnavailable(f"upstream-{number}", "lease expired")
        router.handle(gone, START + 2.0, random)
    router.handle(TickElapsed(), START + 3.0, random)
    assert len(ejected(router)) == 1


@PROPERTY
@given(st.integers(2, 8), st.floats(20.0, 500.0))
def test_one_late_first_token_keeps_no_requests_away(upstreams, late):
    """An engine's first answer is late because it was still loading a library.

    If that made the engine look slow, no further request would go there, and no answer
    in time could ever correct it.
    """
    router, random = started(upstreams)
    (answered,) = router.handle(asked(0), START, random)
    attempt = answered.answer.attempt_id
    router.handle(FirstTokenSeen(attempt, late), START + 1.0, random)
    ended = AttemptEnded(attempt, AttemptOutcome.FINISHED)
    router.handle(ended, START + 1.0, random)
    numbers = range(1, 1 + 20 * upstreams)
    placed = serve(router, random, START + 2.0, set(), numbers)
    assert answered.answer.upstream_id in placed


def place_long(router, random, now, upstreams) -> set[str]:
    """Place one long prompt at a time, as many as upstreams; return where they went."""
    places = set()
    for number in range(50_000, 50_000 + upstreams):
        event = asked(number, prompt_tokens=200_000, deadline=600.0)
        (answered,) = router.handle(event, now, random)
        places |= set(chosen([answered]))
        ended = AttemptEnded(answered.answer.attempt_id, AttemptOutcome.CANCELLED)
        router.handle(ended, now, random)
    return places


@PROPERTY
@given(st.integers(5, 12), st.integers(1, 2), st.booleans())
def test_a_long_prompt_is_not_risked_where_the_last_answer_was_late(
    upstreams, slow_ones, all_slow
):
    """An engine becomes ten times slower; one late answer follows many timely ones.

    Its backlog keeps requests away, so further answers would take half a minute. A long
    prompt placed there meanwhile waits more than a minute for its first token. If all
    engines are late at once the cap applies, and long prompts are placed as before.
    """
    router, random = started(upstreams)
    serve(router, random, START, set(), range(60 * upstreams))
    count = upstreams if all_slow else min(slow_ones, max(1, upstreams // 5))
    slow = {f"upstream-{number}" for number in range(count)}
    late, number = set(), 10_000
    while late != slow:
        late |= slow & set(serve(router, random, START, slow, [number]))
        number += 1
    router.handle(TickElapsed(), START + 2.0, random)
    places = place_long(router, random, START + 2.0, upstreams)
    assert places if all_slow else not places & slow
    after = range(20_000, 20_000 + 40 * upstreams)
    assert slow & set(serve(router, random, START + 2.0, set(), after))
