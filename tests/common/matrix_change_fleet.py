"""Carry messages between replicas and other processes in the fault matrix."""

from collections.abc import Callable
from dataclasses import dataclass

import msgspec

from common.agreement_cluster import DECODER
from common.matrix_control_cluster import ControlCluster, Mail, Viewer
from cowslipshelf_core.agreement import (
    CommandSubmitted,
    PeerMessageArrived,
    ProposalAnswered,
    ProposalClient,
    ProposalClientConfig,
    ProposalFailed,
    ProposalResult,
    ProposalResultArrived,
    SendTo,
    TickElapsed,
)
from cowslipshelf_core.configuration import Model
from cowslipshelf_core.configuration_view import (
    ApplyConfiguration,
    AskForConfiguration,
    ConfigurationView,
    ConfigurationViewConfig,
    SnapshotArrived,
    VersionSeen,
)
from cowslipshelf_core.configuration_view import TickElapsed as ViewTick
from cowslipshelf_core.control import (
    Change,
    RecordPlan,
    decode_outcome,
    encode_command,
)
from cowslipshelf_core.messages import (
    ConfigurationSnapshot,
)

REPLICAS = 3
TICK_SECONDS = 0.05
PATIENCE_SECONDS = 10.0
TROUBLE_ROUNDS = 12
LATE_ROUNDS = 30
LAG_ROUNDS = 4
SNAPSHOT_AFTER = 50
MOST_ROUNDS = 1500
SPREADING_ROUNDS = 60
"""Three seconds, in which a version must be in force everywhere."""
PROCESSES = ("entry-8", "entry-9", "runner-1", "runner-2")
"""Processes without a replica; the entries among them bring changes."""


@dataclass
class ChangeFleet:
    """Join replicas with processes that hold none, and carry their messages."""

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
        event = CommandSubmitted(submit_id, encode_command(command), deadline)
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
                case ApplyConfiguration(configuration):
                    viewer.versions.append(configuration.version)
                    if any(m.name == "wanted" for m in configuration.models):
                        self.marks.add("in force")

    def tell(self, address: str, asker: str, question) -> None:
        """Answer a question for the configuration; a replica asks a quorum first."""

        def answer(confirmed: bool) -> None:
            held = self.viewers[address].view.in_force
            if address in self.cluster.nodes:
                held = self.cluster.states[address].configuration
            snapshot = ConfigurationSnapshot(held, confirmed, question.query_id)
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
