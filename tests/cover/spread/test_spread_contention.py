"""Test spread prompts that contend for engines, with crashes and lost messages."""

from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from common.sidecars import MEMORY_TOKENS, hand_over, sidecar
from common.spread_world import DEADLINE, OVER_HALF_MEMORY_TOKENS, SpreadWorld
from cowslipshelf_core.errors import RefusalCode, RefusalReason
from cowslipshelf_core.messages import NeverRan
from cowslipshelf_core.sidecar import (
    AnswerRevoke,
    CancelArrived,
    HandOverArrived,
    OwnerSeen,
    PartsArrived,
    ReportReserved,
    RevokeArrived,
    StartAttempt,
    TickElapsed,
    UpstreamFinished,
)
from cowslipshelf_core.spread import SpreadBegun, SpreadRefused, SpreadUncertain

ENGINES = 4
SETTLED_SECONDS = 60.0
"""Far below the deadline, so that memory freed only by the deadline is noticed."""
SETS = st.lists(st.integers(0, ENGINES - 1), min_size=2, max_size=ENGINES, unique=True)


def test_a_last_part_that_finds_its_engine_busy_is_tried_again():
    """A long prompt that shares engines with two others is refused as busy.

    All helpers of the first are reserved when the engine of its last part refuses it.
    The refusal is transient, but the prompt was not tried again.
    """
    world = SpreadWorld(ENGINES, seed=0)
    prompts = [
        world.add_prompt(numbers, OVER_HALF_MEMORY_TOKENS)
        for numbers in ([0, 1], [1, 2], [1, 2])
    ]
    world.run_for(SETTLED_SECONDS)
    assert [type(prompt.result) for prompt in prompts] == [SpreadBegun] * len(prompts)


def test_a_copy_of_a_last_part_that_was_refused_reserves_and_never_runs():
    """A last part is refused as busy, and a copy of its hand-over arrives late.

    The caller has got "not run". The copy may reserve memory that is free by then, but
    must not run without a `PartsReady`, and a revoke frees the memory. The hand-over of
    a request that is not spread stays refused for good.
    """
    state = sidecar()
    state.handle(HandOverArrived(hand_over("first", prompt_tokens=800)), 0.0)
    waits = hand_over("waits", prompt_tokens=800)
    state.handle(HandOverArrived(waits), 0.0)
    spread = hand_over("last", prompt_tokens=800, from_token=200)
    plain = hand_over("plain", prompt_tokens=800)
    for refused in (spread, plain):
        (effect,) = state.handle(HandOverArrived(refused), 0.0)
        assert effect.refused.refusal.reason is RefusalReason.BUSY
    state.handle(CancelArrived("waits"), 0.0)
    state.handle(CancelArrived("first"), 0.0)
    state.handle(UpstreamFinished("first", False), 0.0)
    (refused_again,) = state.handle(HandOverArrived(plain), 0.0)
    assert refused_again.refused.refusal.reason is RefusalReason.TOMBSTONED
    copied = state.handle(HandOverArrived(spread), 0.0)
    assert copied == [ReportReserved("last")]
    revoked = RevokeArrived("last", spread.sidecar_epoch, spread.load_sequence)
    assert state.handle(revoked, 0.0) == [AnswerRevoke(NeverRan("last"))]
    assert state.handle(PartsArrived("last", ()), 0.0) == []
    assert state.table.memory.reserved_tokens == 0


@settings(max_examples=150, deadline=None, derandomize=True)
@given(
    wanted=st.lists(SETS, min_size=2, max_size=3),
    turns=st.lists(st.integers(0, 2), max_size=60),
    seed=st.integers(0, 1000),
)
def test_of_prompts_that_want_the_same_engines_every_one_gets_them(wanted, turns, seed):
    """Check that two prompts never each hold half of what both need.

    Each needs most of the memory of several engines, and their entries reserve it
    concurrently in any interleaving. Without a fixed order each could get one engine
    and hold it while waiting for the other's, until the deadline.
    """
    world = SpreadWorld(ENGINES, seed)
    prompts = [world.add_prompt(numbers, OVER_HALF_MEMORY_TOKENS) for numbers in wanted]
    for turn in turns:
        prompts[turn % len(prompts)].step()
    world.run_for(SETTLED_SECONDS)
    assert [type(prompt.result) for prompt in prompts] == [SpreadBegun] * len(prompts)
    assert all(prompt.last_id in world.finished for prompt in prompts)
    assert world.is_empty()


@settings(max_examples=60, deadline=None, derandomize=True)
@given(
    part=st.booleans(),
    non_idempotent=st.booleans(),
    ending=st.sampled_from(["revoke", "cancel", "owner", "deadline"]),
    late=st.integers(1, 3),
)
def test_a_reserved_part_that_was_given_up_never_runs(
    part, non_idempotent, ending, late
):
    """Check that "not run" stays true of a part whose `PartsReady` arrives late.

    An entry reserves memory, becomes unreachable and its part is ended. Another entry
    has the guarantee that nothing ran and runs the request elsewhere; then the first
    entry's `PartsReady` arrives.
    """
    state = sidecar()
    given = hand_over(
        "last",
        from_token=0 if part else 50,
        to_token=80 if part else None,
        non_idempotent=non_idempotent,
    )
    assert state.handle(HandOverArrived(given), 0.0) == [ReportReserved("last")]
    assert state.table.memory.reserved_tokens > 0
    now = 1.0
    match ending:
        case "revoke":
            revoke = RevokeArrived("last", "start-1", 1)
            (answered,) = state.handle(revoke, now)
            assert answered.answer == NeverRan("last")
        case "cancel":
            state.handle(CancelArrived("last"), now)
        case "owner" | "deadline":
            for second in range(1, 62 if ending == "deadline" else 14):
                now = float(second)
                if ending == "deadline":
                    state.handle(OwnerSeen("entry-1"), now)
                state.handle(TickElapsed(), now)
    assert state.table.memory.reserved_tokens == 0
    effects = []
    for _ in range(late):
        effects += state.handle(PartsArrived("last", ()), now)
        effects += state.handle(HandOverArrived(given), now)
    assert not any(isinstance(each, StartAttempt | ReportReserved) for each in effects)
    (answered,) = state.handle(RevokeArrived("last", "start-1", 1), now)
    assert answered.answer == NeverRan("last")


@settings(max_examples=10, deadline=None, derandomize=True)
@given(times=st.integers(1, 5))
def test_a_part_begins_once_however_often_it_is_told(times):
    state = sidecar()
    given = hand_over("last", from_token=50)
    state.handle(HandOverArrived(given), 0.0)
    effects = []
    for _ in range(times):
        effects += state.handle(PartsArrived("last", ()), 1.0)
    assert effects == [StartAttempt(given)]


class SpreadMachineUnderFaults(RuleBasedStateMachine):
    """Let entries, sidecars and parts fail at any step."""

    @initialize(wanted=st.lists(SETS, min_size=2, max_size=3))
    def begin(self, wanted) -> None:
        self.world = SpreadWorld(ENGINES)
        for numbers in wanted:
            self.world.add_prompt(numbers, OVER_HALF_MEMORY_TOKENS)

    @rule(number=st.integers(0, 2), times=st.integers(1, 6))
    def step(self, number, times) -> None:
        prompts = self.world.prompts
        for _ in range(times):
            prompts[number % len(prompts)].step()

    @rule(number=st.integers(0, ENGINES - 1))
    def run_engine(self, number) -> None:
        self.world.run_engine(self.world.upstreams[f"runner-{number}"])

    @rule(seconds=st.sampled_from([0.25, 1.0, 4.0]))
    def advance_time(self, seconds) -> None:
        self.world.advance_time(seconds)

    @rule(number=st.integers(0, 2))
    def entry_dies(self, number) -> None:
        self.world.prompts[number % len(self.world.prompts)].alive = False

    @rule(number=st.integers(0, ENGINES - 1))
    def sidecar_restarts(self, number) -> None:
        self.world.restart(number)

    @rule(number=st.integers(0, ENGINES - 1))
    def part_dies(self, number) -> None:
        self.world.drop_first_attempt(self.world.upstreams[f"runner-{number}"])

    @rule(lost=st.booleans())
    def cancels_are_lost(self, lost) -> None:
        self.world.loses_cancels = lost

    @rule(lost=st.booleans())
    def answers_are_lost(self, lost) -> None:
        self.world.loses_answers = lost

    @invariant()
    def no_sidecar_gives_out_more_than_it_has(self) -> None:
        for upstream in getattr(self, "world", SpreadWorld(0)).upstreams.values():
            assert upstream.state.table.memory.reserved_tokens <= MEMORY_TOKENS

    @invariant()
    def not_run_is_true(self) -> None:
        for prompt in getattr(self, "world", SpreadWorld(0)).prompts:
            if isinstance(prompt.result, SpreadRefused):
                refusal = prompt.result.refused.refusal
                assert refusal.reason
                assert refusal.code is RefusalCode.NOT_RUN
                assert prompt.last_id not in self.world.started

    def teardown(self) -> None:
        """Check that all memory is freed in time and that every living prompt ends."""
        if not hasattr(self, "world"):
            return
        world = self.world
        world.loses_cancels = False
        world.loses_answers = False
        self.end_uncertain_attempts()
        world.run_for(SETTLED_SECONDS)
        assert all(prompt.ended for prompt in world.prompts if prompt.alive)
        if world.entry_cancel_was_lost:
            config = world.upstreams["runner-0"].state.config
            world.run_for(config.max_reservation_seconds(DEADLINE) - SETTLED_SECONDS)
        assert world.is_empty()

    def end_uncertain_attempts(self) -> None:
        """Cancel uncertain last parts, as the state machine of the request does."""
        for prompt in self.world.prompts:
            if isinstance(prompt.result, SpreadUncertain):
                address = prompt.machine.chosen.upstream_id
                cancel = CancelArrived(prompt.last_id)
                self.world.feed(self.world.upstreams[address], cancel)


TestSpreadMachineUnderFaults = SpreadMachineUnderFaults.TestCase
TestSpreadMachineUnderFaults.settings = settings(
    max_examples=60, stateful_step_count=30, deadline=None, derandomize=True
)
