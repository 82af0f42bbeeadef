"""Test requests with lost, late, misdirected and duplicated events at every step."""

from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    Bundle,
    RuleBasedStateMachine,
    consumes,
    invariant,
    multiple,
    rule,
)

from common.requests_harness import (
    CALL_FAULTS,
    DEFAULTS,
    FRAME_FAULTS,
    TIGHT,
    UPSTREAMS,
    RequestsHarness,
    Step,
)
from common.requests_world import PermissiveClaimStore
from cowslipshelf_core.internal.control.claims import ClaimTable

MOST_REQUESTS = 4
SMALL = st.integers(0, 3)
STEPS = st.builds(
    Step,
    call_fault=st.sampled_from(CALL_FAULTS),
    busy=st.booleans(),
    which=SMALL,
    frame_fault=st.sampled_from(FRAME_FAULTS),
    full=st.sampled_from([False, False, False, True]),
)


class RequestsUnderFaults(RuleBasedStateMachine):
    """Let Hypothesis choose the requests, the faults and their order."""

    requests = Bundle("requests")

    def __init__(self) -> None:
        super().__init__()
        self.harness = RequestsHarness()

    @rule(
        target=requests,
        config=st.sampled_from([DEFAULTS, TIGHT]),
        idempotency_key=st.sampled_from([None, "k"]),
        service_is_idempotent=st.booleans(),
        streamed=st.booleans(),
        kind=st.sampled_from(["model", "plain"]),
        deadline_seconds=st.sampled_from([20.0, 1.0, 0.0]),
    )
    def begin(self, **changes):
        if len(self.harness.driven) >= MOST_REQUESTS:
            return multiple()
        return self.harness.begin(**changes)

    @rule(driven=requests, steps=st.lists(STEPS, min_size=1, max_size=16))
    def take_steps(self, driven, steps):
        for step in steps:
            self.harness.step(driven, step)

    @rule(driven=requests, other=requests, which=st.integers(0, 40))
    def redeliver_event(self, driven, other, which):
        self.harness.redeliver_event(driven, other, which)

    @rule(which=SMALL, tokens_per_chunk=st.integers(1, 3), duplicated=st.booleans())
    def deliver_late_hand_over(self, which, tokens_per_chunk, duplicated):
        self.harness.deliver_late_hand_over(which, tokens_per_chunk, duplicated)

    @rule(which=st.integers(0, UPSTREAMS - 1))
    def restart_sidecar(self, which):
        list(self.harness.world.sidecars.values())[which].restart()

    @rule(driven=requests)
    def disconnect_caller(self, driven):
        self.harness.disconnect_caller(driven)

    @rule(driven=consumes(requests))
    def kill_entry(self, driven):
        driven.dead = True

    @rule(driven=requests, seconds=st.sampled_from([0.1, 2.0, 30.0]))
    def advance_time(self, driven, seconds):
        self.harness.advance_time(driven, seconds)

    @invariant()
    def everything_holds(self):
        self.harness.check()

    def teardown(self):
        self.harness.finish()


RequestsUnderFaults.TestCase.settings = settings(
    max_examples=100, stateful_step_count=20, deadline=None, derandomize=True
)
TestRequestsUnderFaults = RequestsUnderFaults.TestCase


def draw_step(random: Random) -> Step:
    """Draw a step that is mostly without fault, so that requests get far."""
    call_fault = random.choice(CALL_FAULTS) if random.random() < 0.25 else "none"
    frame_fault = random.choice(FRAME_FAULTS) if random.random() < 0.25 else "no"
    full = random.random() < 0.1
    return Step(
        call_fault, random.random() < 0.2, random.randrange(3), frame_fault, full
    )


def draw_request(random: Random) -> dict:
    """Draw a request; half of all requests share a key."""
    return {
        "config": random.choice([DEFAULTS, DEFAULTS, TIGHT]),
        "idempotency_key": random.choice([None, "k"]),
        "service_is_idempotent": random.random() < 0.7,
        "streamed": random.random() < 0.7,
        "kind": random.choice(["model", "model", "plain"]),
        "deadline_seconds": random.choice([1.0, 20.0, 20.0]),
    }


def inject_fault(harness: RequestsHarness, random: Random) -> None:
    """Inject a fault that is independent of any exchange."""
    driven = random.choice(harness.driven)
    match random.randrange(7):
        case 0:
            random.choice(list(harness.world.sidecars.values())).restart()
        case 1:
            harness.disconnect_caller(driven)
        case 2:
            driven.dead = True
        case 3:
            harness.advance_time(driven, random.choice([0.1, 2.0, 60.0]))
        case 4:
            harness.deliver_late_hand_over(random.randrange(3), 1, True)
        case _:
            other = random.choice(harness.driven)
            harness.redeliver_event(driven, other, random.randrange(40))


@given(st.integers(0, 2**64 - 1))
@settings(max_examples=1500, deadline=None, derandomize=True)
def test_whatever_fails_each_caller_gets_one_true_end(seed):
    """Requests and resends under one key run through many steps with faults.

    Claims are kept by the real control state, or by a store that lets any request take
    over a key; neither may lead to a second run. Requests, faults and their order are
    drawn from one seed, so that requests get as far as a third upstream. Separate draws
    for each step seldom reach that and do not shrink well over so many steps.
    """
    random = Random(seed)
    harness = RequestsHarness(random.choice([PermissiveClaimStore, ClaimTable])())
    for _ in range(120):
        if len(harness.driven) < MOST_REQUESTS and random.random() < 0.1:
            harness.begin(**draw_request(random))
        if not harness.driven:
            continue
        if random.random() < 0.04:
            inject_fault(harness, random)
        harness.step(random.choice(harness.driven), draw_step(random))
        harness.check()
    harness.finish()
