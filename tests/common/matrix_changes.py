"""Let one fault, or two, meet a change at a step, and check what operators see."""

from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec

from common.agreement_cluster import DECODER, ENCODER, Cluster
from cowslipshelf_core.agreement import (
    CommandProposed,
    EntryKind,
    PeerMessageArrived,
    ProposalAnswered,
    ProposalClient,
    ProposalClientConfig,
    ProposalFailed,
    ProposalRefused,
    ProposalResult,
    ProposalResultArrived,
    SendTo,
    SnapshotTaken,
    SnapshotWanted,
    SubmitAsked,
    TickElapsed,
)
from cowslipshelf_core.configuration import Model
from cowslipshelf_core.configuration_view import (
    AskForConfiguration,
    ConfigurationView,
    ConfigurationViewConfig,
    PutInForce,
    SnapshotArrived,
    VersionSeen,
)
from cowslipshelf_core.configuration_view import TickElapsed as ViewTick
from cowslipshelf_core.control import (
    Change,
    ConfirmPlan,
    ControlState,
    PlanConfirmed,
    PlanOutdated,
    PlanRecorded,
    RecordPlan,
    decode_command,
    decode_outcome,
    encode_command,
    encode_outcome,
)
from cowslipshelf_core.messages import (
    ClaimAsked,
    ClaimFinished,
    ClaimGranted,
    ClaimHeld,
    ConfigurationSnapshot,
    StoredAnswer,
)

REPLICAS = 3
TICK_SECONDS = 0.05
PATIENCE_SECONDS = 10.0
REPAIR_ROUNDS = 60
TROUBLE_ROUNDS = 12
LATE_ROUNDS = 30
LAG_ROUNDS = 4
MANY_CHANGES = 200
SNAPSHOT_AFTER = 50
MOST_ROUNDS = 1500
SPREADING_ROUNDS = 60
"""Three seconds, in which a version must be in force everywhere."""
PROCESSES = ("entry-8", "entry-9", "runner-1", "runner-2")
"""Processes without a replica; the entries among them bring changes."""


class Applied(msgspec.Struct, array_like=True):
    """Be a snapshot of both what the cluster checks and the control state."""

    commands: list[str]
    state: bytes


@dataclass
class Mail:
    """Be a message to or from a process without a replica."""

    sender: str
    recipient: str
    deliver: Callable[[], None]


@dataclass
class Viewer:
    """Be the configuration in force in one process, and every version it had."""

    view: ConfigurationView
    versions: list[int] = field(default_factory=list)


@dataclass(repr=False)
class ControlCluster(Cluster):
    """Apply the control state on top of the replicas, as the replica's actor does."""

    states: dict[str, ControlState] = field(default_factory=dict)
    proposers: dict[str, Callable] = field(default_factory=dict)
    questions: dict[str, Callable] = field(default_factory=dict)
    frozen: dict[str, list] = field(default_factory=dict)

    def restart(self, instance) -> None:
        self.states[instance] = ControlState()
        self.frozen.pop(instance, None)
        super().restart(instance)

    def step(self, instance, events, crash=None) -> None:
        if instance in self.frozen:
            self.frozen[instance] += events
        else:
            super().step(instance, events, crash)

    def resume(self, instance) -> None:
        events = self.frozen.pop(instance, [])
        self.step(instance, events)

    def put(self, instance, command: bytes, answer: Callable) -> None:
        """Propose under an id of its own: every copy is answered for itself."""
        self.proposed += 1
        proposal_id = f"proposal-{self.proposed}"
        self.proposers[f"{instance} {proposal_id}"] = answer
        at = 1000.0 + self.nodes[instance].clock
        self.step(instance, [CommandProposed(proposal_id, command, at)])

    def perform(self, node, effect) -> None:
        if isinstance(effect, SnapshotWanted):
            assert effect.index == node.applied_index
            state = self.states[node.instance].to_snapshot()
            taken = ENCODER.encode(Applied(node.commands, state))
            self.step(node.instance, [SnapshotTaken(effect.index, taken)])
            return
        if isinstance(effect, ProposalRefused):
            self.refuse(node.instance, effect)
            return
        super().perform(node, effect)
        read_id = getattr(effect, "read_id", None)
        if read_id in self.questions:
            confirmed = read_id in self.confirmed_reads
            self.questions.pop(read_id)(confirmed)

    def refuse(self, instance, effect: ProposalRefused) -> None:
        """Refuse what was not answered here.

        A leader that was frozen may say "outcome unknown" of what another leader has
        committed meanwhile; the cluster alone would take that one for the answer.
        """
        assert f"{instance} {effect.proposal_id}" in self.proposers
        self.refused[effect.proposal_id] = effect.reason
        self.answer(instance, effect.proposal_id, 0, b"", effect)

    def answer(self, instance, proposal_id, index, outcome, refused=None) -> None:
        answer = self.proposers.pop(f"{instance} {proposal_id}", None)
        if answer is not None:
            reason = refused.reason if refused else None
            leader = refused.leader if refused else None
            answer(ProposalResult("", index, outcome, reason, leader))

    def apply(self, node, index, entry) -> None:
        super().apply(node, index, entry)
        if entry.kind is not EntryKind.COMMAND:
            return
        command = decode_command(entry.payload)
        outcome = self.states[node.instance].apply(command, index, entry.at)
        self.answer(node.instance, entry.proposal_id, index, encode_outcome(outcome))

    def install(self, node, state, index) -> None:
        applied = msgspec.msgpack.decode(state, type=Applied)
        super().install(node, ENCODER.encode(applied.commands), index)
        self.states[node.instance] = ControlState.from_snapshot(applied.state)

    def ask_quorum(self, instance, answer: Callable) -> None:
        if self.nodes[instance].running and instance not in self.frozen:
            self.questions[f"read-{len(self.reads)}"] = answer
            self.read(instance)


@dataclass
class ChangeWorld:
    """Bring changes to three replicas, and spread what is in force."""

    step: str
    faults: tuple[str, ...]
    kind: str = "change"
    seed: int = 0

    def __post_init__(self) -> None:
        self.cluster = ControlCluster.of_size(
            REPLICAS, self.seed, snapshot_after_entries=SNAPSHOT_AFTER, entries_kept=5
        )
        self.instances = tuple(sorted(self.cluster.nodes))
        self.mail: list[Mail] = []
        self.late: list[tuple[int, object]] = []
        self.due: list[tuple[int, Callable[[], None]]] = []
        self.round = 0
        self.trouble = ""
        self.trouble_ends = 0
        self.silent: set[frozenset[str]] = set()
        self.answers_lost = 0
        self.fired = False
        self.leader = ""
        self.dead_until = 0
        """What the leader sent last is lost with it until then."""
        self.answered = False
        self.payload = b""
        self.marks: set[str] = set()
        self.outcomes: dict[str, object] = {}
        self.asked = 0
        config = ProposalClientConfig(self.instances)
        self.clients = {
            name: ProposalClient.from_config(config) for name in PROCESSES[:2]
        }
        self.starts = 0
        self.viewers = {}
        for name in (*PROCESSES, *self.instances):
            self.boot_viewer(name)
        self.cluster.run_until(self.cluster.is_settled)
        self.run_rounds(SPREADING_ROUNDS)

    def boot_viewer(self, name: str) -> None:
        self.starts += 1
        config = ConfigurationViewConfig(f"start-{self.starts}", self.instances)
        self.viewers[name] = Viewer(ConfigurationView.from_config(config))

    @property
    def now(self) -> float:
        return self.round * TICK_SECONDS

    # One round of time, and of messages one by one.

    def run_rounds(self, count: int) -> None:
        for _ in range(count):
            self.run_round()

    def run_round(self) -> None:
        self.round += 1
        due = [action for at, action in self.due if at <= self.round]
        self.due = [item for item in self.due if item[0] > self.round]
        for action in due:
            action()
        self.cluster.tick(TICK_SECONDS)
        self.look()
        for name in self.clients:
            self.tell_client(name, TickElapsed())
        self.tick_viewers()
        mail, self.mail = self.mail, []
        network, self.cluster.network = self.cluster.network, []
        for item in self.disturb([*network, *mail]):
            self.deliver(item)
            self.look()

    def disturb(self, items: list) -> list:
        """Delay, reorder or double what is on its way while there is trouble."""
        items = self.hold_back(items)
        ready = [item for at, item in self.late if at <= self.round]
        self.late = [entry for entry in self.late if entry[0] > self.round]
        if self.round > self.trouble_ends:
            return ready + items
        match self.trouble:
            case "late":
                self.late += [(self.round + LATE_ROUNDS, item) for item in items]
                return ready
            case "crossed":
                late = items[::2]
                self.late += [(self.round + 3, item) for item in late]
                return items[1::2][::-1] + ready[::-1]
            case "doubled":
                self.late += [(self.round + TROUBLE_ROUNDS, item) for item in items]
                return ready + [item for item in items for _ in (1, 2)]
        return ready + items

    def hold_back(self, items: list) -> list:
        """Let one follower lag until the fault, so that a quorum is just two."""
        if not self.payload or self.fired:
            return items
        slow = max(n.instance for n in self.cluster.nodes.values() if not n.leads)
        lagging = [item for item in items if item.recipient == slow]
        self.late += [(self.round + LAG_ROUNDS, item) for item in lagging]
        return [item for item in items if item.recipient != slow]

    def deliver(self, item) -> None:
        ends = frozenset((item.sender, item.recipient))
        lost = self.dead_until > self.round and item.sender == self.leader
        if ends & self.cluster.isolated or ends in self.silent or lost:
            return
        if isinstance(item, Mail):
            item.deliver()
            return
        message = DECODER.decode(item.data)
        event = PeerMessageArrived(item.sender, message)
        self.cluster.step(item.recipient, [event])

    def post(self, sender: str, recipient: str, deliver: Callable) -> None:
        self.mail.append(Mail(sender, recipient, deliver))

    # Commands, from an entry without a replica.

    def submit(self, name: str, command) -> str:
        self.asked += 1
        submit_id = f"submit-{self.asked}"
        deadline = self.now + PATIENCE_SECONDS
        event = SubmitAsked(submit_id, encode_command(command), deadline)
        self.tell_client(name, event)
        return submit_id

    def tell_client(self, name: str, event) -> None:
        client = self.clients[name]
        for effect in client.handle(event, self.now, self.cluster.random):
            match effect:
                case SendTo(instance, message):
                    self.post(
                        name,
                        instance,
                        lambda i=instance, m=message: self.propose(name, i, m),
                    )
                    if message.command == self.payload:
                        self.marks.add("proposed")
                case ProposalAnswered(submit_id, _, outcome):
                    self.outcomes[submit_id] = decode_outcome(outcome)
                case ProposalFailed(submit_id):
                    self.outcomes[submit_id] = effect

    def propose(self, name: str, instance: str, message) -> None:
        def answer(result: ProposalResult) -> None:
            result = msgspec.structs.replace(result, proposal_id=message.proposal_id)
            self.post(instance, name, lambda: self.answer(name, instance, result))

        self.cluster.put(instance, message.command, answer)

    def answer(self, name: str, instance: str, result: ProposalResult) -> None:
        if result.refusal is None and self.answers_lost:
            self.answers_lost -= 1
            return
        event = ProposalResultArrived(instance, result)
        self.tell_client(name, event)

    def ask(self, command, names=PROCESSES[:2]):
        """Submit a command, and resend it through the other entry until answered."""
        for number in range(MOST_ROUNDS // 200):
            submit_id = self.submit(names[number % len(names)], command)
            while submit_id not in self.outcomes:
                assert self.round < MOST_ROUNDS * 4, "no answer"
                self.run_round()
            outcome = self.outcomes[submit_id]
            if not isinstance(outcome, ProposalFailed):
                return outcome
        raise AssertionError(f"no answer to {command}")

    def change(self, change_id: str, model: str, based_on: int) -> RecordPlan:
        change = Change(put_models=(Model(model, "1"),))
        return RecordPlan(change_id, "rita", based_on, change)

    # What is in force in every process.

    def tick_viewers(self) -> None:
        names = list(self.viewers)
        for number, name in enumerate(names):
            if name in self.cluster.isolated:
                continue
            if name in self.cluster.nodes:
                self.publish(name)
            other = names[(number + self.round) % len(names)]
            version = self.viewers[other].view.in_force.version
            if other not in self.cluster.isolated:
                seen = VersionSeen(other, version)
                self.post(other, name, lambda n=name, s=seen: self.look_at(n, s))
            self.look_at(name, ViewTick())

    def publish(self, name: str) -> None:
        node = self.cluster.nodes[name]
        if node.running and name not in self.cluster.frozen:
            applied = self.cluster.states[name].configuration
            self.look_at(name, SnapshotArrived(ConfigurationSnapshot(applied, False)))

    def look_at(self, name: str, event) -> None:
        viewer = self.viewers[name]
        for effect in viewer.view.handle(event, self.now):
            match effect:
                case AskForConfiguration(address, question):
                    self.post(
                        name,
                        address,
                        lambda a=address, q=question: self.tell(a, name, q),
                    )
                case PutInForce(configuration):
                    viewer.versions.append(configuration.version)
                    if any(m.name == "wanted" for m in configuration.models):
                        self.marks.add("in force")

    def tell(self, address: str, asker: str, question) -> None:
        """Answer a question for the configuration; a replica asks a quorum first."""

        def answer(confirmed: bool) -> None:
            held = self.viewers[address].view.in_force
            if address in self.cluster.nodes:
                held = self.cluster.states[address].configuration
            snapshot = ConfigurationSnapshot(held, confirmed, question.question)
            arrived = SnapshotArrived(snapshot, address)
            self.post(address, asker, lambda: self.look_at(asker, arrived))

        if address in self.cluster.nodes:
            self.cluster.ask_quorum(address, answer)
        else:
            answer(False)

    # Steps and faults.

    def look(self) -> None:
        """Bring the faults about at the first moment of the step."""
        if not self.payload or self.fired:
            return
        holders = [
            instance
            for instance, node in self.cluster.nodes.items()
            if any(e.payload == self.payload for e in node.disk.load().entries)
        ]
        committed = self.cluster.committed.values()
        if holders:
            self.marks.add("synced at one")
        if len(holders) > 1:
            self.marks.add("synced at a quorum")
        if any(entry.payload == self.payload for entry in committed):
            self.marks.add("applied")
        if self.step in self.marks:
            self.fired = True
            self.leader = next(
                n.instance for n in self.cluster.nodes.values() if n.leads
            )
            for fault in self.faults:
                self.bring(fault)

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
