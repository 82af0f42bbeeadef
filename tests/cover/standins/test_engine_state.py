"""Test the engine stand-in's memory accounting and serving order."""

from hypothesis import given
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from common.upstreams import steady
from cowslipshelf_standins.engine import EngineConfig
from cowslipshelf_standins.internal.attempts import AttemptState
from cowslipshelf_standins.internal.engine import Engine
from cowslipshelf_standins.internal.engine_documents import StartOptions
from cowslipshelf_standins.internal.engine_loop import EngineLoop
from cowslipshelf_standins.internal.faults import FaultInjector
from cowslipshelf_standins.internal.http_serving import BadRequestError
from cowslipshelf_standins.internal.kv_parts import merged_length
from cowslipshelf_standins.internal.orders import OrderBody, OrderExecutor
from cowslipshelf_standins.internal.prefix_cache import PrefixCache
from cowslipshelf_standins.internal.prompts import Prompt

SMALL_ENGINE = EngineConfig(
    memory_tokens=1_000,
    prefill_chunk_tokens=64,
    most_running=6,
    queue_limit=4,
    tick_seconds=0.0,
    load_lag_seconds=0.0,
)


def prompt_of(tokens: int, output: int, seed: int = 1) -> Prompt:
    return Prompt("small", tokens, output, True, False, seed, ())


def options_of(attempt_id: str, priority: int = 0, resume_from: int = 0):
    return StartOptions(attempt_id, attempt_id, priority, resume_from, 0, None, ())


class EngineMemory(RuleBasedStateMachine):
    """Start, run and delete attempts in any order."""

    def __init__(self) -> None:
        super().__init__()
        self.engine = Engine(SMALL_ENGINE, FaultInjector(), EngineLoop())
        self.submitted: dict[str, int] = {}

    @rule(
        tokens=st.integers(1, 700),
        output=st.integers(1, 400),
        priority=st.integers(0, 2),
    )
    def start(self, tokens: int, output: int, priority: int) -> None:
        attempt_id = f"attempt-{len(self.submitted)}"
        self.submitted[attempt_id] = output
        try:
            prompt = prompt_of(tokens, output)
            self.engine.submit(prompt, options_of(attempt_id, priority))
        except BadRequestError as error:
            never_fits = tokens + output > SMALL_ENGINE.memory_tokens
            assert error.code == (
                "context_length_exceeded" if never_fits else "overloaded"
            )

    @precondition(lambda self: self.engine.attempts)
    @rule(data=st.data())
    def start_again(self, data: st.DataObject) -> None:
        attempt_id = data.draw(st.sampled_from(sorted(self.engine.attempts)))
        try:
            self.engine.submit(prompt_of(1, 1), options_of(attempt_id))
        except BadRequestError as error:
            assert error.status == 409
        else:
            raise AssertionError("an attempt started twice")

    @precondition(lambda self: self.engine.attempts)
    @rule(data=st.data())
    def delete(self, data: st.DataObject) -> None:
        attempt_id = data.draw(st.sampled_from(sorted(self.engine.attempts)))
        assert self.engine.cancel(attempt_id)
        assert not self.engine.cancel(attempt_id)

    @rule(ticks=st.integers(1, 200))
    def run(self, ticks: int) -> None:
        for _ in range(ticks):
            self.engine.deliver(self.engine.batch.run_tick(1.0)[1])

    @rule(data=st.data())
    def delete_between_tick_and_delivery(self, data: st.DataObject) -> None:
        _, progress = self.engine.batch.run_tick(1.0)
        deleted = data.draw(st.sampled_from([None, *self.engine.attempts.values()]))
        if deleted is not None:
            self.engine.cancel(deleted.attempt_id)
            state, generated = deleted.state, deleted.generated
        self.engine.deliver(progress)
        if deleted is not None:
            assert (deleted.state, deleted.generated) == (state, generated)

    @invariant()
    def memory_is_what_attempts_hold(self) -> None:
        held = sum(item.tokens for item in self.engine.inventory().held)
        assert held == self.engine.batch.reserved_tokens <= SMALL_ENGINE.memory_tokens
        assert self.engine.read_load().reserved_tokens == held

    @invariant()
    def finished_attempts_are_whole(self) -> None:
        for attempt in self.engine.attempts.values():
            if attempt.state is AttemptState.FINISHED:
                assert attempt.generated == self.submitted[attempt.attempt_id]
                assert attempt.event_ends[-1] == attempt.generated

    def teardown(self) -> None:
        for attempt_id in list(self.engine.attempts):
            self.engine.cancel(attempt_id)
        assert self.engine.batch.reserved_tokens == 0
        assert not self.engine.batch.has_work()


TestEngineMemory = EngineMemory.TestCase
TestEngineMemory.settings = steady


@steady
@given(
    prompts=st.lists(
        st.tuples(st.integers(1, 300), st.integers(0, 3)), min_size=2, max_size=6
    )
)
def test_first_tokens_come_in_order_of_priority_then_arrival(prompts) -> None:
    engine = Engine(
        SMALL_ENGINE._replace(memory_tokens=10_000), FaultInjector(), EngineLoop()
    )
    for number, (tokens, priority) in enumerate(prompts):
        engine.submit(prompt_of(tokens, 2), options_of(f"{number}", priority))
    first_tokens: list[str] = []
    while engine.batch.has_work():
        _, progress = engine.batch.run_tick(1.0)
        fresh = [a for a in progress if a.state is AttemptState.PREFILLING]
        first_tokens += [a.attempt_id for a in sorted(fresh, key=lambda a: a.priority)]
        engine.deliver(progress)
    by_priority = sorted(range(len(prompts)), key=lambda n: prompts[n][1])
    assert first_tokens == [str(n) for n in by_priority]


@steady
@given(
    tokens=st.integers(1, 5_000),
    chunk=st.integers(1, 700),
    linear=st.floats(1e-6, 1e-2),
    quadratic=st.floats(0, 1e-5),
)
def test_prefill_time_does_not_depend_on_the_chunk_size(
    tokens: int, chunk: int, linear: float, quadratic: float
) -> None:
    config = EngineConfig(
        prefill_chunk_tokens=chunk,
        prefill_seconds_per_token=linear,
        prefill_seconds_per_token_squared=quadratic,
        tick_seconds=1e9,
    )
    engine = Engine(config, FaultInjector(), EngineLoop())
    engine.submit(prompt_of(tokens, 1), options_of("only"))
    seconds, progress = engine.batch.run_tick(1.0)
    expected = linear * tokens + quadratic * tokens * tokens
    assert abs(seconds - expected) <= 1e-6 * expected
    assert list(progress.values()) == [1]


@steady
@given(numbers=st.lists(st.integers(1, 20)), checks=st.booleans())
def test_only_engines_that_check_refuse_old_fencing_numbers(numbers, checks) -> None:
    executor = OrderExecutor((), checks)
    newest = 0
    for number in numbers:
        order = OrderBody(f"order-{number}", "change_role", "prefill", number)
        assert executor.accept(order) == (not checks or number >= newest)
        newest = max(newest, number)


@steady
@given(ranges=st.lists(st.tuples(st.integers(0, 30), st.integers(0, 30))))
def test_tokens_held_twice_elsewhere_count_once(ranges) -> None:
    covered = set().union(*(range(start, end) for start, end in ranges))
    assert merged_length(sorted(ranges)) == len(covered)


@steady
@given(
    prompts=st.lists(st.lists(st.integers(0, 3), max_size=6), max_size=12),
    max_blocks=st.integers(1, 8),
    loss=st.sampled_from([0.0, 0.5]),
)
def test_cache_events_reproduce_the_cache_except_for_visible_gaps(
    prompts, max_blocks, loss
) -> None:
    cache = PrefixCache(max_blocks * 256, delay_seconds=0.0, loss=loss, seed=7)
    for number, choices in enumerate(prompts):
        # A block's hash covers all blocks before it, too.
        hashes = tuple(hash(tuple(choices[: end + 1])) for end in range(len(choices)))
        cache.store(hashes, f"{number}", now=0.0)
        assert cache.cached_tokens(hashes) == 256 * min(len(hashes), max_blocks)
        assert len(cache.blocks) <= max_blocks
    answer = cache.events_after(0, now=0.0)
    rebuilt: set[int] = set()
    for event in answer.events:
        match event.kind:
            case "stored":
                rebuilt |= set(event.block_hashes)
            case "removed":
                rebuilt -= set(event.block_hashes)
    if len(answer.events) == cache.sequence:
        assert rebuilt == set(cache.blocks)
    assert loss or len(answer.events) == cache.sequence
