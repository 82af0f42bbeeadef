"""Let one fault, or two, meet a change at a step, and check what operators see."""

from collections.abc import Callable

from common.matrix_change_fleet import (
    MOST_ROUNDS,
    SPREADING_ROUNDS,
    TROUBLE_ROUNDS,
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


class ChangeWorld(ChangeFleet):
    """Play one change, its rival and the faults, and check what must hold."""

    def later(self, rounds: int, action: Callable[[], None]) -> None:
        self.due.append((self.round + rounds, action))

    def bring(self, fault: str) -> None:
        cluster, leader = self.cluster, self.leader
        follower = next(i for i in self.instances if i != leader)
        match fault:
            case "leader killed":
                cluster.crash(leader)
                self.lose_messages_of(leader)
                self.later(REPAIR_ROUNDS, lambda: cluster.restart(leader))
            case "sidecar killed":
                self.boot_viewer("runner-1")
            case "entry killed":
                config = ProposalClientConfig(self.instances)
                self.clients["entry-8"] = ProposalClient.from_config(config)
                self.boot_viewer("entry-8")
                for number in range(1, self.asked + 1):
                    failed = ProposalFailed(f"submit-{number}", True, None, None)
                    self.outcomes.setdefault(f"submit-{number}", failed)
            case "leader isolated and later back":
                cluster.isolate(leader)
                self.later(REPAIR_ROUNDS, cluster.heal)
            case "leader frozen and resumed":
                cluster.frozen[leader] = []
                self.later(REPAIR_ROUNDS, lambda: cluster.resume(leader))
            case "disk lost":
                self.replace_disk(leader)
                self.lose_messages_of(leader)
            case "second loss after a repair":
                self.replace_disk(follower)
                self.later(1, self.lose_again)
            case "restart after hundreds of changes":
                cluster.crash(follower)
                version = self.viewers["entry-9"].view.in_force.version
                self.pass_by(follower, "", version)
            case "connection silent":
                self.silent.add(frozenset((leader, "entry-8")))
                self.silent.add(frozenset((leader, follower)))
                self.later(REPAIR_ROUNDS * 2, lambda: self.silent.clear())
            case "message late" | "message crossed" | "message doubled":
                self.trouble = fault.split()[1]
                self.trouble_ends = self.round + TROUBLE_ROUNDS
            case "operators racing with equal numbers":
                self.submit("entry-9", self.race)
            case "answer to a change lost and the change resent":
                self.answers_lost = 3
            case _:
                raise ValueError(fault)

    def lose_messages_of(self, instance: str) -> None:
        """Lose what a process sent last, with its connections."""
        self.dead_until = self.round + 1
        self.late = [entry for entry in self.late if entry[1].sender != instance]

    def replace_disk(self, instance: str) -> None:
        self.cluster.wipe(instance)
        self.later(5, lambda: self.cluster.restart(instance))

    def lose_again(self) -> None:
        """Lose the leader's disk as soon as the first loss is repaired."""
        if not self.cluster.is_settled():
            self.later(1, self.lose_again)
            return
        self.replace_disk(self.cluster.leader().instance)

    def pass_by(self, instance: str, asked: str = "", version: int = 0) -> None:
        """Let hundreds of changes pass a stopped replica by, then start it."""
        match self.outcomes.get(asked):
            case PlanRecorded(plan):
                asked = self.submit("entry-9", ConfirmPlan(plan.plan_id, "rita"))
            case PlanConfirmed(configuration_version=newest) if newest > MANY_CHANGES:
                self.cluster.restart(instance)
                return
            case None if asked or not self.answered:
                pass
            case outcome:
                version = getattr(outcome, "newer_version", version)
                version = getattr(outcome, "configuration_version", version)
                change_id = f"filler-{self.asked}"
                plan = self.change(change_id, change_id, version)
                asked = self.submit("entry-9", plan)
        self.later(1, lambda: self.pass_by(instance, asked, version))

    # Whole histories, and what they must show.

    def run(self) -> None:
        if self.kind == "change":
            self.run_change()
        else:
            self.run_claim()
        assert self.fired, "the step was never reached"

    def run_change(self) -> None:
        first = self.ask(self.change("c-0", "first", 0))
        self.ask(ConfirmPlan(first.plan.plan_id, "rita", "c-0"))
        wanted = self.change("c-1", "wanted", 1)
        rival = self.change("c-2", "rival", 1)
        plans = [self.ask(wanted), self.ask(rival)]
        assert all(isinstance(plan, PlanRecorded) for plan in plans), plans
        confirm = ConfirmPlan(plans[0].plan.plan_id, "rita", "c-1")
        self.race = ConfirmPlan(plans[1].plan.plan_id, "rita", "c-2")
        self.payload = encode_command(confirm)
        outcome = self.ask(confirm)
        self.answered = True
        while not self.fired and self.round < MOST_ROUNDS * 4:
            self.run_round()
        self.settle()
        newest = max(s.configuration.version for s in self.cluster.states.values())
        held = {n: v.view.in_force.version for n, v in self.viewers.items()}
        self.behind = {name for name, version in held.items() if version < newest}
        self.first = [plans[0], outcome]
        names = ("entry-9",)
        self.again = [self.ask(wanted, names), self.ask(confirm, names)]
        self.raced = [outcome, self.ask(self.race)]
        self.settle()

    def check(self) -> None:
        if self.kind == "change":
            self.check_changes()
            self.check_resends()
        else:
            self.check_claim()

    def check_replicas(self) -> None:
        """Check that every replica holds the same state, byte for byte."""
        states = {s.to_snapshot() for s in self.cluster.states.values()}
        assert len(states) == 1, "replicas differ"

    def check_resends(self) -> None:
        self.check_replicas()
        assert self.again == self.first, f"{self.first} became {self.again}"

    def check_changes(self) -> None:
        """Check that one change won, and holds in every process for good."""
        assert not self.behind, f"not in force in time in {self.behind}"
        outcomes = self.raced
        won = [o for o in outcomes if isinstance(o, PlanConfirmed)]
        lost = [o for o in outcomes if isinstance(o, PlanOutdated)]
        assert len(won) == len(lost) == 1, outcomes
        assert lost[0].fresh_plan is not None
        winner = "wanted" if outcomes[0] is won[0] else "rival"
        for name, viewer in self.viewers.items():
            in_force = viewer.view.in_force
            models = {model.name for model in in_force.models}
            assert in_force.version >= won[0].configuration_version, name
            assert {"first", "wanted", "rival"} & models == {"first", winner}, name
            assert viewer.versions == sorted(set(viewer.versions)), name
            assert viewer.view.servable, name

    def run_claim(self) -> None:
        """Claim a key, store its answer, and let another request ask for it."""
        claim = self.claim("r-0", "a-0")
        stored = StoredAnswer(200, (), b"whole", True)
        finish = ClaimFinished("gate", "key", "r-0", "a-0", stored, None)
        claims = self.kind == "claimed"
        self.payload = encode_command(claim if claims else finish)
        assert self.ask(claim) == ClaimGranted("a-0")
        self.ask(finish)
        self.answered = True
        while not self.fired and self.round < MOST_ROUNDS:
            self.run_round()
        self.settle()
        self.again = [self.ask(self.claim("r-1", "a-1")), stored]

    def check_claim(self) -> None:
        self.check_replicas()
        held, stored = self.again
        assert isinstance(held, ClaimHeld), f"claimed twice: {held}"
        assert held.answer == stored, held

    def claim(self, request_id: str, attempt_id: str) -> ClaimAsked:
        return ClaimAsked(
            "gate", "key", request_id, attempt_id, "runner-1", "e", "entry-8", "d", 60.0
        )

    def settle(self) -> None:
        """Let every repair end, and the configuration spread."""
        while self.due or self.late or not self.cluster.is_settled():
            assert self.round < MOST_ROUNDS * 4, "never settled"
            self.run_round()
        self.run_rounds(SPREADING_ROUNDS)
        self.cluster.settle()
