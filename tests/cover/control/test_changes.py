"""Check that changes are applied once and in one order, over arbitrary histories."""

import pytest
from hypothesis import strategies as st
from hypothesis.stateful import invariant, rule

from common.control import MACHINE_SETTINGS, START, ReplicasMachine
from cowslipshelf_core.configuration import Customer, Model, Service
from cowslipshelf_core.control import (
    AppliedOutOfOrderError,
    Change,
    ConfirmPlan,
    ControlCommand,
    ControlOutcome,
    ControlState,
    PlanConfirmed,
    PlanOutdated,
    PlanRecorded,
    PlanRefused,
    RecordPlan,
    RequestOrder,
    WantedState,
    hash_key,
)
from cowslipshelf_core.upstream import UpstreamDescription

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
CHANGE_IDS = st.sampled_from([f"change-{number}" for number in range(5)])
OPERATORS = st.sampled_from(["rita", "omar"])


class ChangeMachine(ReplicasMachine):
    """Record, confirm and resend changes, with outdated versions and reused ids."""

    def __init__(self) -> None:
        super().__init__()
        self.plans: dict[str, int] = {}
        self.winners: dict[int, str] = {}
        self.first_answers: list[tuple[ControlCommand, ControlOutcome]] = []

    @rule(
        change_id=CHANGE_IDS,
        operator=OPERATORS,
        behind=st.sampled_from([0, 0, 0, 1, -1]),
        change=CHANGES,
    )
    def record(
        self, change_id: str, operator: str, behind: int, change: Change | WantedState
    ) -> None:
        present = self.state.configuration.version
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
        self.track_plan(outcome)
        if not isinstance(outcome, PlanRefused) and not known:
            assert isinstance(outcome, PlanRecorded) == (based_on == present)
            self.first_answers.append((command, outcome))

    @rule(data=st.data(), operator=OPERATORS, wrong_change=st.booleans())
    def confirm(self, data: st.DataObject, operator: str, wrong_change: bool) -> None:
        if not self.plans:
            return
        plan_id = data.draw(st.sampled_from(sorted(self.plans)))
        self.confirm_plan(plan_id, operator, wrong_change)

    @rule(change=CHANGES)
    def change_at_once(self, change: Change | WantedState) -> None:
        version = self.state.configuration.version
        command = RecordPlan(f"at-once-{self.index}", "rita", version, change, ())
        outcome = self.apply(command)
        self.track_plan(outcome)
        if isinstance(outcome, PlanRecorded):
            self.confirm_plan(outcome.plan.plan_id, "rita", wrong_change=False)

    def confirm_plan(self, plan_id: str, operator: str, wrong_change: bool) -> None:
        """Confirm a plan, which applies once and only to the version it is based on."""
        before = self.state.configuration.version
        change_id = "no-such-change" if wrong_change else None
        command = ConfirmPlan(plan_id, operator, change_id)
        outcome = self.apply(command)
        repeated = any(
            isinstance(earlier, ConfirmPlan) and earlier.plan_id == plan_id
            for earlier, _ in self.first_answers
        )
        assert repeated or isinstance(outcome, PlanRefused) == wrong_change
        if repeated or wrong_change:
            assert self.state.configuration.version == before
            return
        self.track_plan(outcome)
        self.first_answers.append((command, outcome))
        if self.state.configuration.version != before:
            assert isinstance(outcome, PlanConfirmed)
            assert self.plans[plan_id] == before
            assert before not in self.winners
            self.winners[before] = plan_id
        if isinstance(outcome, PlanOutdated):
            assert self.plans[plan_id] < outcome.newer_version == before

    def track_plan(self, outcome: ControlOutcome) -> None:
        """Record a plan that waits for its confirmation."""
        match outcome:
            case PlanRecorded(plan=plan) | PlanOutdated(fresh_plan=plan) if plan:
                self.plans.setdefault(plan.plan_id, plan.based_on)

    @rule(data=st.data())
    def resend_a_change(self, data: st.DataObject) -> None:
        if not self.first_answers:
            return
        command, answer = data.draw(st.sampled_from(self.first_answers))
        before = self.state.configuration
        assert self.apply(command) == answer
        assert self.state.configuration == before

    @invariant()
    def the_trail_tells_every_version(self) -> None:
        records = self.state.audit(0, 10_000)
        changed = [
            record.version_before
            for record in records
            if record.version_before != record.version_after
        ]
        assert changed == sorted(self.winners)


TestChangeMachine = ChangeMachine.TestCase
TestChangeMachine.settings = MACHINE_SETTINGS


def test_a_replica_refuses_to_apply_an_entry_twice() -> None:
    """A restarted replica replays log entries that its snapshot already contains."""
    state = ControlState()
    command = RequestOrder("order", "rita", "up-1", "change_role", "prefill")
    state.apply(command, 5, START)
    before = state.to_snapshot()
    for index in (4, 5):
        with pytest.raises(AppliedOutOfOrderError):
            state.apply(command, index, START)
    assert state.to_snapshot() == before
