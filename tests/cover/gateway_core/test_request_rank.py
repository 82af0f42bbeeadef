"""Check what the ranks of routes and customers change, and what they do not."""

from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from common.gateway_samples import ENGINE, configuration
from common.gateway_samples import route as plain_route
from cowslipshelf_core.gateway import (
    UNRANKED,
    EngineCandidate,
    EnginePart,
    EnginesChosen,
    EngineTracker,
    EngineWork,
    GatewayCustomer,
    PromptSize,
    PromptToPlace,
    RequestRank,
    RequestRanks,
    Route,
    RouteKind,
    WeightedService,
    admission_priority,
    place_prompt,
)

SHORT = PromptSize(5_000, 1_300)
MIDDLE = PromptSize(45_000, 700)
LONG = PromptSize(260_000, 700)
LARGEST = 2**53 - 1
PRIORITIES = st.integers(-LARGEST, LARGEST) | st.sampled_from([-LARGEST, LARGEST])
CUSTOMERS = (
    GatewayCustomer("usual", ("k-1",), 1),
    GatewayCustomer("first", ("k-2",), 0),
    GatewayCustomer("none", ("k-3",)),
)


def route(**changes) -> Route:
    """Create a route of a stream."""
    return plain_route(kind=RouteKind.STREAM, **changes)


def ranks(*priorities: int, customers=CUSTOMERS) -> RequestRanks:
    routes = [
        route(name=f"r-{number}", prefix=f"/{number}/", priority=priority)
        for number, priority in enumerate(priorities)
    ]
    return RequestRanks.from_configuration(configuration(*routes, customers=customers))


def place(
    size: PromptSize,
    candidates: list[str],
    tracker: EngineTracker,
    now: float,
    weight: float,
    limits: tuple[float, float],
    name: str = "asked",
    random: Random | None = None,
):
    objective, pause = limits
    prompt = PromptToPlace(name, size, objective, pause, 20.0, weight)
    engines = [EngineCandidate(candidate) for candidate in candidates]
    chosen = place_prompt(prompt, engines, ENGINE, tracker, now, random or Random(0))
    if isinstance(chosen, EnginesChosen):
        tracker.begin(chosen.work, "gateway", now)
    return chosen


def test_each_step_of_the_route_and_of_the_customer_halves_the_value():
    """Guards against ranks of which only the route's or the customer's counts."""
    known = ranks(0, 1, 2)
    for priority in range(3):
        asked = route(priority=priority)
        assert known.rank_of(asked, "s", "first").weight == 0.5**priority
        assert known.rank_of(asked, "s", "usual").weight == 0.5 ** (priority + 1)
        assert known.rank_of(asked, "s", "none").weight == 0.5**priority
        assert known.rank_of(asked, "s", None).weight == 0.5**priority
        assert known.rank_of(asked, "other", "usual") == UNRANKED


@given(st.lists(PRIORITIES, min_size=2, max_size=6), PRIORITIES, PRIORITIES)
def test_any_priorities_give_a_weight_and_a_priority_within_bounds(
    priorities, one, other
):
    """Guards against a value of zero or an overflow with priorities at their limits."""
    customers = (GatewayCustomer("a", ("1",), one), GatewayCustomer("b", ("2",), other))
    known = ranks(*priorities, customers=customers)
    in_order = sorted(set(priorities))
    for customer in ("a", "b", None):
        found = [
            known.rank_of(route(priority=each), "s", customer) for each in in_order
        ]
        weights = [rank.weight for rank in found]
        assert weights == sorted(weights, reverse=True)
        for rank in found:
            assert 1 / 64 <= rank.weight <= 1.0
            for size in (SHORT, LONG):
                priority = rank.admission_priority(size)
                assert admission_priority(size) <= priority <= 9
            assert 1.0 <= rank.retry_after_seconds(1.0, Random(0)) <= 4.8
    best = known.rank_of(route(priority=in_order[0]), "s", None)
    assert best.weight == 1.0


@given(PRIORITIES, st.integers(1, 5), st.integers(0, 2**32))
def test_routes_of_one_rank_are_served_as_before(priority, count, seed):
    """Guards against customers' ranks that take effect where no route has one."""
    known = ranks(*[priority] * count)
    random = Random(seed)
    for customer in ("first", "usual", None):
        rank = known.rank_of(route(priority=priority), "s", customer)
        assert rank == UNRANKED
        assert rank.retry_after_seconds(0.37, random) == 0.37
        assert rank.admission_priority(LONG) == admission_priority(LONG)
    assert random.getstate() == Random(seed).getstate()
    placed = [
        place(MIDDLE, ["a", "b", "c"], EngineTracker(), 0.0, weight, (1.5, 0.6))
        for weight in (rank.weight, 1.0)
    ]
    assert placed[0] == placed[1]


def test_ranks_of_one_service_do_not_affect_another():
    """Guards against plain services whose refusals are delayed by engines' ranks."""
    plain = route(priority=5, services=(WeightedService("plain", 1.0),))
    known = RequestRanks.from_configuration(
        configuration(route(priority=0), route(priority=1), plain)
    )
    assert known.rank_of(plain, "plain", None) == UNRANKED
    assert known.rank_of(route(priority=1), "s", None).in_force


def test_only_streams_of_different_rank_put_rank_in_force():
    """Guards against rank by the default priority of a route that is no stream."""
    other = plain_route(name="other", prefix="/other/", priority=0)
    equal = configuration(route(priority=1), other)
    known = RequestRanks.from_configuration(equal)
    assert known.rank_of(route(priority=1), "s", None) == UNRANKED
    ranked = RequestRanks.from_configuration(
        configuration(route(priority=0), route(priority=1), other)
    )
    assert ranked.rank_of(other, "s", None) == UNRANKED


def test_higher_ranks_return_first_and_not_all_at_once():
    """Guards against callers that return together to engines that are still full."""
    random = Random(0)
    times = [
        [RequestRank(steps, True).retry_after_seconds(1.0, random) for _ in range(50)]
        for steps in range(3)
    ]
    assert max(times[0]) < min(times[1])
    assert max(times[1]) < min(times[2])
    for steps, spread in enumerate(times):
        assert 1.0 + 0.5 * steps <= min(spread)
        assert max(spread) <= (1.0 + 0.5 * steps) * 1.2
        assert len(set(spread)) > 40


def engine_with_short_answers_beside_a_late_one() -> EngineTracker:
    """Track `short`, which decodes two short answers, and `late`, which prefills."""
    tracker = EngineTracker()
    for number in range(2):
        part = EnginePart("short", 0.03, 1, decodes=True)
        work = EngineWork(f"w-{number}", (part,), 1.5, 0.3, 0.25)
        tracker.begin(work, "g", 0.0)
        tracker.first_token(work.attempt_id, 0.1)
    part = EnginePart("late", 1.6, 40, decodes=True)
    tracker.begin(EngineWork("busy", (part,), 8.0, 4.0, 1.0), "g", 0.1)
    return tracker


def test_a_short_prompt_of_high_rank_keeps_its_engine_from_a_long_one_of_low_rank():
    """Guards against short answers that pause for prompts of the lowest rank.

    By their lengths alone, the longer prompt goes beside the short answers, since it is
    late at the other engine.
    """
    limits = (1.5, 0.6)
    chosen = {}
    for weight in (1.0, 0.125):
        tracker = engine_with_short_answers_beside_a_late_one()
        placed = place(MIDDLE, ["short", "late"], tracker, 0.2, weight, limits)
        chosen[weight] = [part.upstream_id for part in placed.work.parts]
        assert placed.work.value == pytest.approx(5.5 * weight)
    assert "short" in chosen[1.0]
    assert chosen[0.125] == ["late"]


def test_a_lower_rank_is_still_placed_under_a_steady_load_of_a_higher_one():
    """Guards against long prompts that never get an engine beside short ones."""
    tracker, random = EngineTracker(), Random(1)
    engines = [f"e-{number}" for number in range(8)]
    running: list[tuple[float, str, bool]] = []
    waits = []
    for tick in range(600):
        now = tick * 0.05
        for event in [each for each in sorted(running) if each[0] <= now]:
            running.remove(event)
            at, name, ends = event
            (tracker.end if ends else tracker.first_token)(name, at)
        arrivals = [(f"s-{tick}", SHORT, 1.0, (0.3, 0.25), 2.0)]
        if tick % 100 == 50:
            arrivals.append((f"l-{tick}", LONG, 1 / 64, (8.0, 1.0), 3.0))
        for name, size, weight, limits, decode in arrivals:
            placed = place(size, engines, tracker, now, weight, limits, name, random)
            assert isinstance(placed, EnginesChosen)
            first = now + placed.first_token_seconds
            running += [(first, name, False), (first + decode, name, True)]
            if size is LONG:
                waits.append(placed.first_token_seconds)
    assert len(waits) == 6
    assert max(waits) < 12.0
