"""Inject one or two faults at a step of a change, and check the outcomes."""

from collections.abc import Callable

from common.matrix_change_fleet import (
    MAX_ROUNDS,
    MESSAGE_FAULT_ROUNDS,
    PROPAGATION_ROUNDS,
    ChangeFleet,
)
from cowslipshelf_core.agreement import (
    ProposalClient,
    ProposalClientConfig,
    ProposalFailed,
)
from cowslipshelf_core.control import (
    ConfirmPlan,
    PlanConfirmed,
    PlanOutdated,
    PlanRecorded,
    encode_command,
)
from cowslipshelf_core.messages import (
    ClaimAsked,
    ClaimFinished,
    ClaimGranted,
    ClaimHeld,
    StoredAnswer,
)

REPAIR_ROUNDS = 60
MANY_CHANGES = 200


class ChangeSimulation(ChangeFleet):
    """Run a change or a claim with faults, and check the guarantees."""

    def call_later(self, rounds: int, action: Callable[[], None]) -> None:
        self.scheduled.append((self.round + rounds, action))

    def inject(self, fault: str) -> None:
        cluster, leader = self.cluster, self.leader
        follower = next(i for i in self.instances if i != leader)
        match fault:
            case "leader killed":
                cluster.crash(leader)
                self.drop_messages_of(leader)
                self.call_later(REPAIR_ROUNDS, lambda: cluster.restart(leader))
            case "sidecar killed":
                self.start_observer("runner-1")
            case "entry killed":
                config = ProposalClientConfig(self.instances)
                self.clients["entry-8"] = ProposalClient.from_config(config)
                self.start_observer("entry-8")
                for number in range(1, self.submitted + 1):
                    failed = ProposalFailed(f"submit-{number}", True, None, None)
                    self.outcomes.setdefault(f"submit-{number}", failed)
            case "leader isolated and later back":
                cluster.isolate(leader)
                self.call_later(REPAIR_ROUNDS, cluster.heal)
            case "leader frozen and resumed":
                cluster.frozen[leader] = []
                self.call_later(REPAIR_ROUNDS, lambda: cluster.resume(leader))
            case "disk lost":
                self.replace_disk(leader)
                self.drop_messages_of(leader)
            case "second loss after a repair":
                self.replace_disk(follower)
                self.call_later(1, self.lose_second_disk)
            case "restart after hundreds of changes":
                cluster.crash(follower)
                version = self.observers["entry-9"].view.in_force.version
                self.commit_many_changes(follower, "", version)
            case "connection silent":
                self.silent.add(frozenset((leader, "entry-8")))
                self.silent.add(frozenset((leader, follower)))
                self.call_later(REPAIR_ROUNDS * 2, lambda: self.silent.clear())
            case "message late" | "message crossed" | "message doubled":
                self.message_fault = fault.split()[1]
                self.message_fault_ends = self.round + MESSAGE_FAULT_ROUNDS
            case "operators racing with equal numbers":
                self.submit("entry-9", self.rival_confirm)
            case "answer to a change lost and the change resent":
                self.answers_to_lose = 3
            case _:
                raise ValueError(fault)

    def drop_messages_of(self, instance: str) -> None:
        """Drop the messages that a process sent before its connections closed."""
        self.dead_until = self.round + 1
        self.delayed = [entry for entry in self.delayed if entry[1].sender != instance]

    def replace_disk(self, instance: str) -> None:
        self.cluster.wipe(instance)
        self.call_later(5, lambda: self.cluster.restart(instance))

    def lose_second_disk(self) -> None:
        """Replace the leader's disk as soon as the first loss is repaired."""
        if not self.cluster.is_settled():
            self.call_later(1, self.lose_second_disk)
            return
        self.replace_disk(self.cluster.leader().instance)

    def commit_many_changes(
        self, instance: str, submit_id: str = "", version: int = 0
    ) -> None:
        """Commit hundreds of changes while a replica is down, then restart it."""
        match self.outcomes.get(submit_id):
            case PlanRecorded(plan):
                submit_id = self.submit("entry-9", ConfirmPlan(plan.plan_id, "rita"))
            case PlanConfirmed(configuration_version=newest) if newest > MANY_CHANGES:
                self.cluster.restart(instance)
                return
            case None if submit_id or not self.answered:
                pass
            case outcome:
                version = getattr(outcome, "newer_version", version)
                version = getattr(outcome, "configuration_version", version)
                change_id = f"filler-{self.submitted}"
                plan = self.plan_command(change_id, change_id, version)
                submit_id = self.submit("entry-9", plan)
        self.call_later(
            1, lambda: self.commit_many_changes(instance, submit_id, version)
        )

    # Complete runs and their checks.

    def run(self) -> None:
        if self.kind == "change":
            self.run_change()
        else:
            self.run_claim()
        assert self.injected, "the step was never reached"

    def run_change(self) -> None:
        first = self.commit(self.plan_command("c-0", "first", 0))
        self.commit(ConfirmPlan(first.plan.plan_id, "rita", "c-0"))
        wanted = self.plan_command("c-1", "wanted", 1)
        rival = self.plan_command("c-2", "rival", 1)
        plans = [self.commit(wanted), self.commit(rival)]
        assert all(isinstance(plan, PlanRecorded) for plan in plans), plans
        confirm = ConfirmPlan(plans[0].plan.plan_id, "rita", "c-1")
        self.rival_confirm = ConfirmPlan(plans[1].plan.plan_id, "rita", "c-2")
        self.payload = encode_command(confirm)
        outcome = self.commit(confirm)
        self.answered = True
        while not self.injected and self.round < MAX_ROUNDS * 4:
            self.run_round()
        self.settle()
        newest = max(s.configuration.version for s in self.cluster.states.values())
        held = {n: v.view.in_force.version for n, v in self.observers.items()}
        self.outdated = {name for name, version in held.items() if version < newest}
        self.first_outcomes = [plans[0], outcome]
        names = ("entry-9",)
        self.resent_outcomes = [self.commit(wanted, names), self.commit(confirm, names)]
        self.race_outcomes = [outcome, self.commit(self.rival_confirm)]
        self.settle()

    def check(self) -> None:
        if self.kind == "change":
            self.check_changes()
            self.check_resends()
        else:
            self.check_claim()

    def check_replicas(self) -> None:
        """Check that all replicas hold byte-identical state."""
        states = {s.to_snapshot() for s in self.cluster.states.values()}
        assert len(states) == 1, "replicas differ"

    def check_resends(self) -> None:
        self.check_replicas()
        assert self.resent_outcomes == self.first_outcomes, (
            f"{self.first_outcomes} became {self.resent_outcomes}"
        )

    def check_changes(self) -> None:
        """Check that exactly one change won and stays in force in every process."""
        assert not self.outdated, f"not in force in time in {self.outdated}"
        outcomes = self.race_outcomes
        won = [o for o in outcomes if isinstance(o, PlanConfirmed)]
        lost = [o for o in outcomes if isinstance(o, PlanOutdated)]
        assert len(won) == len(lost) == 1, outcomes
        assert lost[0].fresh_plan is not None
        winner = "wanted" if outcomes[0] is won[0] else "rival"
        for name, observer in self.observers.items():
            in_force = observer.view.in_force
            models = {model.name for model in in_force.models}
            assert in_force.version >= won[0].configuration_version, name
            assert {"first", "wanted", "rival"} & models == {"first", winner}, name
            assert observer.versions == sorted(set(observer.versions)), name
            assert observer.view.servable, name

    def run_claim(self) -> None:
        """Claim a key, store its answer, and claim it again from another request."""
        claim = self.claim("r-0", "a-0")
        stored = StoredAnswer(200, (), b"whole", True)
        finish = ClaimFinished("gate", "key", "r-0", "a-0", stored, None)
        claims = self.kind == "claimed"
        self.payload = encode_command(claim if claims else finish)
        assert self.commit(claim) == ClaimGranted("a-0")
        self.commit(finish)
        self.answered = True
        while not self.injected and self.round < MAX_ROUNDS:
            self.run_round()
        self.settle()
        self.resent_outcomes = [self.commit(self.claim("r-1", "a-1")), stored]

    def check_claim(self) -> None:
        self.check_replicas()
        held, stored = self.resent_outcomes
        assert isinstance(held, ClaimHeld), f"claimed twice: {held}"
        assert held.answer == stored, held

    def claim(self, request_id: str, attempt_id: str) -> ClaimAsked:
        return ClaimAsked(
            "gate", "key", request_id, attempt_id, "runner-1", "e", "entry-8", "d", 60.0
        )

    def settle(self) -> None:
        """Run until all repairs are done and the configuration has propagated."""
        while self.scheduled or self.delayed or not self.cluster.is_settled():
            assert self.round < MAX_ROUNDS * 4, "never settled"
            self.run_round()
        self.run_rounds(PROPAGATION_ROUNDS)
        self.cluster.settle()
