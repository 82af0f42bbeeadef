"""Check what the replicated control state promises, over arbitrary histories."""

from dataclasses import dataclass, field

import pytest
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from cowslipshelf_core.configuration import Customer, Model, Service, WeightStoreLimits
from cowslipshelf_core.control import (
    AppliedOutOfOrderError,
    AskLoadGrant,
    Change,
    CloseOrder,
    ConfirmPlan,
    ControlCommand,
    ControlOutcome,
    ControlState,
    LoadGranted,
    OrderClosed,
    OrderGranted,
    PlanConfirmed,
    PlanOutdated,
    PlanRecorded,
    PlanRefused,
    RecordPlan,
    RequestOrder,
    ReturnLoadGrant,
    WantedState,
    decode_command,
    decode_outcome,
    encode_command,
    encode_outcome,
    hash_key,
)
from cowslipshelf_core.errors import Refusal, RefusalCode, RefusalReason
from cowslipshelf_core.internal.control.limits import (
    CLAIM_GRACE_SECONDS,
    CLAIM_RETENTION_SECONDS,
)
from cowslipshelf_core.messages import (
    ClaimAsked,
    ClaimFinished,
    ClaimGranted,
    ClaimHeld,
    ClaimMoved,
    ClaimRefused,
    StoredAnswer,
)
from cowslipshelf_core.upstream import UpstreamDescription

START = 1_000_000.0
CLAIM_DEADLINE = 20.0
LIMITS = WeightStoreLimits()
ROUNDING = 1e-6

UPSTREAMS = tuple(
    UpstreamDescription(name, "dc", "scribe", "model", models, 100, True, "[::1]:1")
    for name, models in (("up-1", ()), ("up-2", ("wide",)))
)
ENTRIES = {
    "put_customers": st.builds(
        Customer,
        st.sampled_from(["north", "south"]),
        st.sampled_from(["", hash_key("one"), hash_key("two")]),
        st.sampled_from([(), ("scribe",), ("none",)]),
        st.sampled_from([0, 1, 5]),
    ),
    "put_services": st.builds(
        Service,
        st.just("scribe"),
        st.just("model"),
        st.sampled_from([(), ("wide",), ("wide", "tall")]),
    ),
    "put_models": st.builds(
        Model, st.sampled_from(["wide", "tall"]), st.sampled_from("123")
    ),
    "remove_customers": st.just("north"),
    "remove_models": st.just("tall"),
    "drain": st.sampled_from(["up-1", "up-9"]),
    "undrain": st.sampled_from(["up-1", "up-9"]),
}
SMALL_CHANGES = st.one_of(
    *(
        st.lists(entries, min_size=1, max_size=2).map(
            lambda values, name=name: Change(**{name: tuple(values)})
        )
        for name, entries in ENTRIES.items()
    )
)
CHANGES = SMALL_CHANGES | st.builds(
    WantedState,
    st.just(()),
    st.just((Service("scribe", "model", ("wide",)),)),
    st.builds(lambda version: (Model("wide", version),), st.sampled_from("123")),
)
CHANGE_IDS = st.sampled_from([f"change-{number}" for number in range(8)])
OPERATORS = st.sampled_from(["rita", "omar"])
KEYS = st.sampled_from(["key-1", "key-2"])
REQUESTS = st.sampled_from(["request-1", "request-2"])
ATTEMPTS = st.sampled_from([f"attempt-{number}" for number in range(5)])
UPSTREAM_IDS = st.sampled_from(["up-1", "up-2"])


@dataclass
class SeenClaim:
    """Be what a caller may rely on about one key."""

    request_id: str
    digest: str
    deadline_at: float
    attempts: list[str] = field(default_factory=list)
    ended_with: ClaimHeld | None = None


class ControlMachine(RuleBasedStateMachine):
    """Send commands, resend them, take snapshots, and compare two replicas."""

    def __init__(self) -> None:
        super().__init__()
        self.replicas = [ControlState(), ControlState()]
        self.index = 0
        self.at = START
        self.plans: dict[str, int] = {}
        self.winners: dict[int, str] = {}
        self.first_answers: list[tuple[ControlCommand, ControlOutcome]] = []
        self.claims: dict[str, SeenClaim] = {}
        self.fencing: dict[str, int] = {}
        self.orders: list[OrderGranted] = []
        self.spent: list[tuple[float, int]] = []
        self.grants: set[str] = set()

    def apply(self, command: ControlCommand) -> ControlOutcome:
        """Apply a command to both replicas, as the log carries it."""
        assert decode_command(encode_command(command)) == command
        self.index += 1
        before = self.replicas[0].configuration
        first, second = (
            replica.apply(command, self.index, self.at) for replica in self.replicas
        )
        assert encode_outcome(first) == encode_outcome(second)
        assert decode_outcome(encode_outcome(first)) == first
        after = self.replicas[0].configuration
        if not isinstance(command, ConfirmPlan):
            assert after == before
        assert after.version in (before.version, before.version + 1)
        assert (after.version == before.version) == (after == before)
        return first

    @rule(seconds=st.sampled_from([-50.0, 0.5, 5.0, 45.0, 1000.0, 2600.0]))
    def time_passes(self, seconds: float) -> None:
        """Move the leader's clock; a new leader's may be behind."""
        self.at += seconds

    @rule(which=st.sampled_from([0, 1]))
    def restart_from_snapshot(self, which: int) -> None:
        self.replicas[which] = ControlState.from_snapshot(
            self.replicas[which].to_snapshot()
        )

    @rule(
        change_id=CHANGE_IDS,
        operator=OPERATORS,
        behind=st.sampled_from([0, 0, 0, 1, -1]),
        change=CHANGES,
    )
    def record(
        self, change_id: str, operator: str, behind: int, change: Change | WantedState
    ) -> None:
        present = self.replicas[0].configuration.version
        based_on = max(0, present - behind)
        command = RecordPlan(change_id, operator, based_on, change, UPSTREAMS)
        outcome = self.apply(command)
        known = [
            (earlier, answer)
            for earlier, answer in self.first_answers
            if isinstance(earlier, RecordPlan) and earlier.change_id == change_id
        ]
        if known and known[0][0] != command:
            assert isinstance(outcome, PlanRefused)
            return
        self.see_plan(outcome)
        if not isinstance(outcome, PlanRefused) and not known:
            assert isinstance(outcome, PlanRecorded) == (based_on == present)
            self.first_answers.append((command, outcome))

    @rule(data=st.data(), operator=OPERATORS, wrong_change=st.booleans())
    def confirm(self, data: st.DataObject, operator: str, wrong_change: bool) -> None:
        if not self.plans:
            return
        plan_id = data.draw(st.sampled_from(sorted(self.plans)))
        before = self.replicas[0].configuration.version
        change_id = "no-such-change" if wrong_change else None
        command = ConfirmPlan(plan_id, operator, change_id)
        outcome = self.apply(command)
        repeated = any(
            isinstance(earlier, ConfirmPlan) and earlier.plan_id == plan_id
            for earlier, _ in self.first_answers
        )
        if repeated or isinstance(outcome, PlanRefused):
            assert self.replicas[0].configuration.version == before
            return
        self.see_plan(outcome)
        self.first_answers.append((command, outcome))
        if self.replicas[0].configuration.version != before:
            assert isinstance(outcome, PlanConfirmed)
            assert self.plans[plan_id] == before
            assert before not in self.winners
            self.winners[before] = plan_id
        for order in getattr(outcome, "opened", ()):
            self.see_order(order)
        if isinstance(outcome, PlanOutdated):
            assert self.plans[plan_id] < outcome.newer_version == before

    def see_plan(self, outcome: ControlOutcome) -> None:
        """Note a plan that waits for its confirmation."""
        match outcome:
            case PlanRecorded(plan=plan) | PlanOutdated(fresh_plan=plan) if plan:
                self.plans.setdefault(plan.plan_id, plan.based_on)

    @rule(data=st.data())
    def resend_a_change(self, data: st.DataObject) -> None:
        if not self.first_answers:
            return
        command, answer = data.draw(st.sampled_from(self.first_answers))
        before = self.replicas[0].configuration
        assert self.apply(command) == answer
        assert self.replicas[0].configuration == before

    @rule(
        key=KEYS,
        request=REQUESTS,
        attempt=ATTEMPTS,
        digest=st.sampled_from(["a", "a", "b"]),
    )
    def ask_claim(self, key: str, request: str, attempt: str, digest: str) -> None:
        self.forget_old_claims()
        outcome = self.apply(
            ClaimAsked(
                "north", key, request, attempt, "u", "e", "o", digest, CLAIM_DEADLINE
            )
        )
        claim = self.claims.get(key)
        match outcome:
            case ClaimGranted(attempt_id=granted) if claim is None:
                deadline_at = self.now() + CLAIM_DEADLINE
                self.claims[key] = SeenClaim(request, digest, deadline_at, [granted])
            case ClaimGranted(attempt_id=granted):
                assert (granted, claim.ended_with) == (claim.attempts[-1], None)
                assert (attempt, request) == (granted, claim.request_id)
            case ClaimHeld() if claim is not None:
                assert digest == claim.digest
                self.check_held(outcome, claim)
            case ClaimRefused(reason=reason) if claim is not None:
                assert (reason == "key_reused") == (digest != claim.digest)

    def check_held(self, held: ClaimHeld, claim: SeenClaim) -> None:
        """Check what somebody else is told of a claim."""
        assert held.request_id == claim.request_id
        assert held.attempt_id == claim.attempts[-1]
        past = self.now() > claim.deadline_at + CLAIM_GRACE_SECONDS
        assert held.deadline_passed == (past and claim.ended_with is None)
        if claim.ended_with is None:
            assert held.answer is None and held.refusal is None
        else:
            assert held == claim.ended_with

    @rule(key=KEYS, request=REQUESTS, old=ATTEMPTS, new=ATTEMPTS)
    def move_claim(self, key: str, request: str, old: str, new: str) -> None:
        self.forget_old_claims()
        outcome = self.apply(ClaimMoved("north", key, request, old, new, "u", "e", "o"))
        claim = self.claims.get(key)
        if isinstance(outcome, ClaimGranted) and claim is not None:
            assert claim.ended_with is None
            assert request == claim.request_id
            if claim.attempts[-2:] == [old, new]:
                return
            assert old == claim.attempts[-1]
            assert new not in claim.attempts
            claim.attempts.append(new)

    @rule(key=KEYS, request=REQUESTS, attempt=ATTEMPTS, refused=st.booleans())
    def finish_claim(self, key: str, request: str, attempt: str, refused: bool) -> None:
        self.forget_old_claims()
        answer = StoredAnswer(200, (("a", "b"),), attempt.encode(), whole=True)
        refusal = Refusal(RefusalCode.FAILED, RefusalReason.CANCELLED, "stream")
        outcome = self.apply(
            ClaimFinished(
                "north",
                key,
                request,
                attempt,
                None if refused else answer,
                refusal if refused else None,
            )
        )
        claim = self.claims.get(key)
        if claim is None:
            return
        is_open = (request, attempt) == (claim.request_id, claim.attempts[-1])
        assert isinstance(outcome, ClaimHeld) == is_open
        if is_open and claim.ended_with is None:
            claim.ended_with = outcome
            stored = (None, refusal) if refused else (answer, None)
            assert (outcome.answer, outcome.refusal) == stored
        elif is_open:
            assert outcome == claim.ended_with

    def now(self) -> float:
        """Give the time that the replicas go by."""
        return max(self.replicas[0].clock, self.at)

    def forget_old_claims(self) -> None:
        """Expect nothing of claims whose promised retention is over."""
        self.claims = {
            key: claim
            for key, claim in self.claims.items()
            if self.now() < claim.deadline_at + CLAIM_RETENTION_SECONDS
        }

    @rule(number=st.integers(0, 5), upstream=UPSTREAM_IDS)
    def request_order(self, number: int, upstream: str) -> None:
        command = RequestOrder(
            f"order-{number}", "rita", upstream, "change_role", "prefill"
        )
        outcome = self.apply(command)
        if isinstance(outcome, OrderGranted):
            repeated = outcome in self.orders
            assert repeated or outcome.fencing == self.index
            if not repeated:
                self.see_order(outcome)
            assert outcome in self.replicas[0].open_orders()

    def see_order(self, order: OrderGranted) -> None:
        """Check that an upstream's numbers only grow."""
        assert order.fencing > self.fencing.get(order.upstream_id, 0)
        self.fencing[order.upstream_id] = order.fencing
        self.orders.append(order)

    @rule(data=st.data(), succeeded=st.booleans())
    def close_order(self, data: st.DataObject, succeeded: bool) -> None:
        if not self.orders:
            return
        order = data.draw(st.sampled_from(self.orders))
        open_before = self.replicas[0].open_orders()
        outcome = self.apply(
            CloseOrder(order.order_id, order.upstream_id, order.fencing, succeeded)
        )
        others = [entry for entry in open_before if entry != order]
        present = self.replicas[0].open_orders()
        assert all(entry in present for entry in others)
        if order in open_before:
            assert isinstance(outcome, OrderClosed)
            assert order not in present
            if outcome.next_order is not None:
                self.see_order(outcome.next_order)

    @rule(number=st.integers(0, 30), tokens=st.integers(0, 5))
    def ask_grant(self, number: int, tokens: int) -> None:
        grant_id = f"grant-{number}"
        outcome = self.apply(AskLoadGrant(grant_id, "inst", "up-1", tokens, 90.0))
        open_now = {grant.grant_id for grant in self.replicas[0].open_grants()}
        assert len(open_now) <= LIMITS.most_open_grants
        if isinstance(outcome, LoadGranted):
            assert grant_id in open_now
            assert outcome.expires_at > self.now()
            if self.replicas[0].audit(self.index - 1, 1):
                self.spent.append((self.now(), tokens))
        self.check_rate()

    def check_rate(self) -> None:
        """Check every span of time that ends now against the rate."""
        total = 0
        for when, tokens in reversed(self.spent):
            total += tokens
            allowed = (self.now() - when) * LIMITS.tokens_per_second
            assert total <= LIMITS.burst_tokens + allowed + ROUNDING

    @rule(number=st.integers(0, 30))
    def return_grant(self, number: int) -> None:
        self.apply(ReturnLoadGrant(f"grant-{number}", "inst"))
        left = {grant.grant_id for grant in self.replicas[0].open_grants()}
        assert f"grant-{number}" not in left

    @invariant()
    def replicas_agree_byte_for_byte(self) -> None:
        first, second = (replica.to_snapshot() for replica in self.replicas)
        assert first == second

    @invariant()
    def the_trail_tells_every_version(self) -> None:
        records = self.replicas[0].audit(0, 10_000)
        indexes = [record.index for record in records]
        assert indexes == sorted(set(indexes))
        changed = [
            record.version_before
            for record in records
            if record.version_before != record.version_after
        ]
        assert changed == sorted(self.winners)

    @invariant()
    def fencing_numbers_are_the_newest_orders(self) -> None:
        for upstream, number in self.fencing.items():
            assert self.replicas[0].current_fencing(upstream) == number


TestControlMachine = ControlMachine.TestCase
TestControlMachine.settings = settings(
    derandomize=True,
    deadline=None,
    max_examples=150,
    stateful_step_count=50,
    suppress_health_check=[HealthCheck.too_slow],
)


def test_a_replica_refuses_to_apply_an_entry_twice() -> None:
    """A restarted replica replays its log over a snapshot that holds it already."""
    state = ControlState()
    command = RequestOrder("order", "rita", "up-1", "change_role", "prefill")
    state.apply(command, 5, START)
    before = state.to_snapshot()
    for index in (4, 5):
        with pytest.raises(AppliedOutOfOrderError):
            state.apply(command, index, START)
    assert state.to_snapshot() == before
