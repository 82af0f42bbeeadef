"""Deliver messages between replicas and other processes in the fault matrix."""

from collections.abc import Callable
from dataclasses import dataclass

import msgspec

from common.agreement_cluster import DECODER
from common.matrix_control_cluster import (
    ConfigurationObserver,
    ControlCluster,
    PendingMessage,
)
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
COMMAND_TIMEOUT_SECONDS = 10.0
MESSAGE_FAULT_ROUNDS = 12
DELAY_ROUNDS = 30
LAG_ROUNDS = 4
SNAPSHOT_AFTER = 50
MAX_ROUNDS = 1500
PROPAGATION_ROUNDS = 60
"""Three seconds, within which a version must be in force everywhere."""
PROCESSES_WITHOUT_REPLICA = ("entry-8", "entry-9", "runner-1", "runner-2")
"""Processes without a replica; its entries submit the changes."""


@dataclass
class ChangeFleet:
    """Simulate replicas and processes that hold none, with their messages."""

    step: str
    faults: tuple[str, ...]
    kind: str = "change"
    seed: int = 0

    def __post_init__(self) -> None:
        self.cluster = ControlCluster.of_size(
            REPLICAS, self.seed, snapshot_after_entries=SNAPSHOT_AFTER, entries_kept=5
        )
        self.instances = tuple(sorted(self.cluster.nodes))
        self.messages: list[PendingMessage] = []
        self.delayed: list[tuple[int, object]] = []
        """Delayed messages, each with the round in which it is delivered."""
        self.scheduled: list[tuple[int, Callable[[], None]]] = []
        self.round = 0
        self.message_fault = ""
        self.message_fault_ends = 0
        self.silent: set[frozenset[str]] = set()
        """Pairs of processes whose messages to each other are dropped."""
        self.answers_to_lose = 0
        self.injected = False
        self.leader = ""
        self.dead_until = 0
        """Round up to which messages of the crashed leader are dropped."""
        self.answered = False
        self.payload = b""
        self.steps_reached: set[str] = set()
        self.outcomes: dict[str, object] = {}
        self.submitted = 0
        config = ProposalClientConfig(self.instances)
        self.clients = {
            name: ProposalClient.from_config(config)
            for name in PROCESSES_WITHOUT_REPLICA[:2]
        }
        self.starts = 0
        self.observers = {}
        for name in (*PROCESSES_WITHOUT_REPLICA, *self.instances):
            self.start_observer(name)
        self.cluster.run_until(self.cluster.is_settled)
        self.run_rounds(PROPAGATION_ROUNDS)

    def start_observer(self, name: str) -> None:
        self.starts += 1
        config = ConfigurationViewConfig(f"start-{self.starts}", self.instances)
        self.observers[name] = ConfigurationObserver(
            ConfigurationView.from_config(config)
        )

    @property
    def now(self) -> float:
        return self.round * TICK_SECONDS

    # One round: a tick, then the messages one by one.

    def run_rounds(self, count: int) -> None:
        for _ in range(count):
            self.run_round()

    def run_round(self) -> None:
        self.round += 1
        scheduled = [action for at, action in self.scheduled if at <= self.round]
        self.scheduled = [item for item in self.scheduled if item[0] > self.round]
        for action in scheduled:
            action()
        self.cluster.tick(TICK_SECONDS)
        self.inject_at_step()
        for name in self.clients:
            self.handle_client_event(name, TickElapsed())
        self.tick_observers()
        messages, self.messages = self.messages, []
        network, self.cluster.network = self.cluster.network, []
        for item in self.apply_message_fault([*network, *messages]):
            self.deliver(item)
            self.inject_at_step()

    def apply_message_fault(self, items: list) -> list:
        """Delay, reorder or duplicate messages while the fault lasts."""
        items = self.delay_slow_follower(items)
        ready = [item for at, item in self.delayed if at <= self.round]
        self.delayed = [entry for entry in self.delayed if entry[0] > self.round]
        if self.round > self.message_fault_ends:
            return ready + items
        match self.message_fault:
            case "late":
                self.delayed += [(self.round + DELAY_ROUNDS, item) for item in items]
                return ready
            case "crossed":
                delayed = items[::2]
                self.delayed += [(self.round + 3, item) for item in delayed]
                return items[1::2][::-1] + ready[::-1]
            case "doubled":
                self.delayed += [
                    (self.round + MESSAGE_FAULT_ROUNDS, item) for item in items
                ]
                return ready + [item for item in items for _ in (1, 2)]
        return ready + items

    def delay_slow_follower(self, items: list) -> list:
        """Delay one follower until the fault, so that the quorum is the other two."""
        if not self.payload or self.injected:
            return items
        slow = max(n.instance for n in self.cluster.nodes.values() if not n.leads)
        lagging = [item for item in items if item.recipient == slow]
        self.delayed += [(self.round + LAG_ROUNDS, item) for item in lagging]
        return [item for item in items if item.recipient != slow]

    def deliver(self, item) -> None:
        ends = frozenset((item.sender, item.recipient))
        lost = self.dead_until > self.round and item.sender == self.leader
        if ends & self.cluster.isolated or ends in self.silent or lost:
            return
        if isinstance(item, PendingMessage):
            item.deliver()
            return
        message = DECODER.decode(item.data)
        event = PeerMessageArrived(item.sender, message)
        self.cluster.step(item.recipient, [event])

    def send(self, sender: str, recipient: str, deliver: Callable) -> None:
        self.messages.append(PendingMessage(sender, recipient, deliver))

    # Commands, submitted by an entry without a replica.

    def submit(self, name: str, command) -> str:
        self.submitted += 1
        submit_id = f"submit-{self.submitted}"
        deadline = self.now + COMMAND_TIMEOUT_SECONDS
        event = CommandSubmitted(submit_id, encode_command(command), deadline)
        self.handle_client_event(name, event)
        return submit_id

    def handle_client_event(self, name: str, event) -> None:
        client = self.clients[name]
        for effect in client.handle(event, self.now, self.cluster.random):
            match effect:
                case SendTo(instance, message):
                    self.send(
                        name,
                        instance,
                        lambda i=instance, m=message: self.propose(name, i, m),
                    )
                    if message.command == self.payload:
                        self.steps_reached.add("proposed")
                case ProposalAnswered(submit_id, _, outcome):
                    self.outcomes[submit_id] = decode_outcome(outcome)
                case ProposalFailed(submit_id):
                    self.outcomes[submit_id] = effect

    def propose(self, name: str, instance: str, message) -> None:
        def answer(result: ProposalResult) -> None:
            result = msgspec.structs.replace(result, proposal_id=message.proposal_id)
            self.send(instance, name, lambda: self.answer(name, instance, result))

        self.cluster.submit(instance, message.command, answer)

    def answer(self, name: str, instance: str, result: ProposalResult) -> None:
        if result.refusal is None and self.answers_to_lose:
            self.answers_to_lose -= 1
            return
        event = ProposalResultArrived(instance, result)
        self.handle_client_event(name, event)

    def commit(self, command, names=PROCESSES_WITHOUT_REPLICA[:2]):
        """Submit a command, alternating between entries until one answers."""
        for number in range(MAX_ROUNDS // 200):
            submit_id = self.submit(names[number % len(names)], command)
            while submit_id not in self.outcomes:
                assert self.round < MAX_ROUNDS * 4, "no answer"
                self.run_round()
            outcome = self.outcomes[submit_id]
            if not isinstance(outcome, ProposalFailed):
                return outcome
        raise AssertionError(f"no answer to {command}")

    def plan_command(self, change_id: str, model: str, based_on: int) -> RecordPlan:
        change = Change(put_models=(Model(model, "1"),))
        return RecordPlan(change_id, "rita", based_on, change)

    # The configuration in force in every process.

    def tick_observers(self) -> None:
        names = list(self.observers)
        for number, name in enumerate(names):
            if name in self.cluster.isolated:
                continue
            if name in self.cluster.nodes:
                self.publish(name)
            other = names[(number + self.round) % len(names)]
            version = self.observers[other].view.in_force.version
            if other not in self.cluster.isolated:
                seen = VersionSeen(other, version)
                self.send(
                    other, name, lambda n=name, s=seen: self.update_observer(n, s)
                )
            self.update_observer(name, ViewTick())

    def publish(self, name: str) -> None:
        node = self.cluster.nodes[name]
        if node.running and name not in self.cluster.frozen:
            applied = self.cluster.states[name].configuration
            self.update_observer(
                name, SnapshotArrived(ConfigurationSnapshot(applied, False))
            )

    def update_observer(self, name: str, event) -> None:
        observer = self.observers[name]
        for effect in observer.view.handle(event, self.now):
            match effect:
                case AskForConfiguration(address, query):
                    self.send(
                        name,
                        address,
                        lambda a=address, q=query: self.answer_query(a, name, q),
                    )
                case ApplyConfiguration(configuration):
                    observer.versions.append(configuration.version)
                    if any(m.name == "wanted" for m in configuration.models):
                        self.steps_reached.add("in force")

    def answer_query(self, address: str, recipient: str, query) -> None:
        """Answer a fetch of the configuration; a replica reads from a quorum first."""

        def answer(confirmed: bool) -> None:
            held = self.observers[address].view.in_force
            if address in self.cluster.nodes:
                held = self.cluster.states[address].configuration
            snapshot = ConfigurationSnapshot(held, confirmed, query.query_id)
            arrived = SnapshotArrived(snapshot, address)
            self.send(
                address, recipient, lambda: self.update_observer(recipient, arrived)
            )

        if address in self.cluster.nodes:
            self.cluster.read_from_quorum(address, answer)
        else:
            answer(False)

    # Steps and faults.

    def inject_at_step(self) -> None:
        """Inject the faults when the step is first reached."""
        if not self.payload or self.injected:
            return
        holders = [
            instance
            for instance, node in self.cluster.nodes.items()
            if any(e.payload == self.payload for e in node.disk.load().entries)
        ]
        committed = self.cluster.committed.values()
        if holders:
            self.steps_reached.add("synced at one")
        if len(holders) > 1:
            self.steps_reached.add("synced at a quorum")
        if any(entry.payload == self.payload for entry in committed):
            self.steps_reached.add("applied")
        if self.step in self.steps_reached:
            self.injected = True
            self.leader = next(
                n.instance for n in self.cluster.nodes.values() if n.leads
            )
            for fault in self.faults:
                self.inject(fault)
