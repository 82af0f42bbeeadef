"""Own one replica of the control state: its decider, its disk, what it applies."""

import random
import time
from collections.abc import Callable
from queue import SimpleQueue
from typing import Any, NamedTuple

from pykka import ActorRef

from cowslipshelf_core.agreement import (
    BootstrapCluster,
    CommandProposed,
    Committed,
    DiskFailed,
    Effect,
    Entry,
    EntryKind,
    Event,
    InstallState,
    LeaderSeen,
    PeerMessageArrived,
    Persist,
    ProposalRefusal,
    ProposalRefused,
    ProposalResult,
    Propose,
    ReadAsked,
    ReadConfirmed,
    ReadFailed,
    Replica,
    ReplicasSeen,
    ReplicaStatus,
    Role,
    RoleChanged,
    SaveSnapshot,
    SendTo,
    SnapshotTaken,
    SnapshotWanted,
    TickElapsed,
    TransferLeadership,
    decode_membership,
    forced_by,
)
from cowslipshelf_core.control import (
    ControlCodecError,
    ControlState,
    RecordMembership,
    decode_command,
    encode_outcome,
)
from cowslipshelf_core.messages import (
    ConfigurationSnapshot,
    FencingAnswered,
    FencingAsked,
    FetchConfiguration,
    FetchRoutes,
    RoutesDocument,
    RoutesSnapshot,
)
from cowslipshelf_daemon.internal.actor import DaemonActor
from cowslipshelf_daemon.internal.messenger import Delivered, Messenger
from cowslipshelf_daemon.internal.ticker import Tick
from cowslipshelf_host.logs import part_logger
from cowslipshelf_host.storage import ReplicaStorage, StorageError, VolatileStorage

LOG = part_logger("replica")

MOST_EVENTS_PER_SYNC = 512
SLOW_BATCH_SECONDS = 0.1
"""Time for one batch, its sync included, above which it is logged. A leader whose
batches take longer than its followers' patience is replaced, without any error."""
MOST_READS_WAITING = 4096


class ControlStateQuery(NamedTuple):
    """Ask for something that only the replicated state knows."""

    read: Callable[[ControlState, ReplicaStatus], Any]
    reply: "SimpleQueue[Any]"


class ReplicaParts(NamedTuple):
    """Be what the replica's actor works with."""

    replica: Replica
    storage: ReplicaStorage | VolatileStorage
    state: ControlState
    messenger: Messenger
    configuration: ActorRef
    gateway: ActorRef


class ReplicaActor(DaemonActor):
    """Take part in the agreement; the only owner of the data folder.

    Whatever waits in the inbox is handled as one batch, with one sync for all of it:
    group commit. Nothing that a batch decides leaves this actor before the sync, so
    that no answer or vote can be forgotten by a crash after it was given.
    """

    def __init__(self, parts: ReplicaParts) -> None:
        super().__init__()
        self.replica = parts.replica
        self.storage = parts.storage
        self.state = parts.state
        self.messenger = parts.messenger
        self.configuration = parts.configuration
        self.gateway = parts.gateway
        self.random = random.Random()
        self.events: list[Event] = []
        self.proposers: dict[str, str] = {}
        """Mailbox addresses of those that wait for the outcome of a proposal."""
        self.reads: dict[str, Delivered] = {}
        self.reads_asked = 0

    def on_start(self) -> None:
        """Put what the stored snapshot holds before this process."""
        self.publish_configuration()
        self.publish_routes()

    def on_receive(self, message: Any) -> None:
        """Collect events as long as more are waiting, then handle them together."""
        match message:
            case Tick():
                self.events.append(TickElapsed())
            case Delivered():
                self.receive(message)
            case TransferLeadership() | ReplicasSeen() | BootstrapCluster():
                self.events.append(message)
            case ControlStateQuery(read=read, reply=reply):
                reply.put(read(self.state, self.replica.status()))
        waiting = not self.actor_inbox.empty()
        if not waiting or len(self.events) >= MOST_EVENTS_PER_SYNC:
            self.handle_events()

    def receive(self, delivered: Delivered) -> None:
        """Turn a message from an instance into an event."""
        match delivered.message:
            case Propose() as proposal:
                self.take_proposal(proposal, delivered.sender_address)
            case FetchConfiguration(query_id=query_id) if query_id:
                self.ask_read(delivered)
            case FetchRoutes(query_id=query_id) if query_id:
                self.ask_read(delivered)
            case FetchRoutes(have_version=have):
                if self.state.routes.document.version > have:
                    self.answer_routes(delivered, confirmed=False)
            case FencingAsked():
                self.ask_read(delivered)
            case FetchConfiguration():
                self.answer_configuration(delivered, confirmed=False)
            case message:
                self.events.append(PeerMessageArrived(delivered.sender, message))

    def take_proposal(self, proposal: Propose, proposer: str) -> None:
        """Propose a command that this version understands; drop any other.

        What is in the log must be applied by every replica, so nothing may get there
        that none of them can read.
        """
        try:
            decode_command(proposal.command)
        except ControlCodecError as error:
            LOG.error("proposal not understood", peer=proposer, error=str(error))
            return
        self.proposers[proposal.proposal_id] = proposer
        self.events.append(
            CommandProposed(proposal.proposal_id, proposal.command, time.time())
        )

    def ask_read(self, delivered: Delivered) -> None:
        """Have a quorum confirm what the asker is told."""
        if len(self.reads) >= MOST_READS_WAITING:
            return
        self.reads_asked += 1
        read_id = f"read-{self.reads_asked}"
        self.reads[read_id] = delivered
        self.events.append(ReadAsked(read_id))

    def handle_events(self) -> None:
        """Handle what was collected, make it durable, and only then act on it."""
        events, self.events = self.events, []
        now = time.monotonic()
        self.handle_batch(events, now)
        took = time.monotonic() - now
        if took >= SLOW_BATCH_SECONDS:
            LOG.warning("Slow batch.", events=len(events), seconds=round(took, 3))

    def handle_batch(self, events: list[Event], now: float) -> None:
        """Handle one batch of events at `now` (monotonic seconds)."""
        effects = self.replica.handle_batch(events, now, self.random)
        failure = self.make_durable(effects)
        if failure is not None:
            effects = self.give_up_disk(effects, failure)
        routes_before = self.state.routes.document.version
        for effect in effects:
            self.perform(effect)
        # Once for a batch: a replica that starts applies its whole log at once, and
        # each configuration in it would be decoded in vain.
        if self.state.routes.document.version != routes_before:
            self.publish_routes()
        if failure is not None:
            self.answer_what_is_left()

    def make_durable(self, effects: list[Effect]) -> StorageError | None:
        """Write and sync; return the error of a disk that failed."""
        writes = [
            effect for effect in effects if isinstance(effect, Persist | SaveSnapshot)
        ]
        if not writes:
            return None
        began = time.monotonic()
        try:
            self.storage.write(writes)
            self.storage.sync()
        except StorageError as error:
            return error
        with_vote = any(
            isinstance(effect, Persist) and effect.hard_state is not None
            for effect in writes
        )
        self.replica.sync_ended(time.monotonic() - began, with_vote)
        return None

    def give_up_disk(
        self, dropped: list[Effect], failure: StorageError
    ) -> list[Effect]:
        """End this replica's part in the agreement; return what is still to be done.

        What follows from unsynced bytes is dropped: had it been sent, a vote or an
        answer would stand on what a restart does not find. Refusals of the same batch
        stand on nothing that was written. With what the replica says of its failure
        they tell proposers, readers and this process's gateway to turn elsewhere;
        else each would wait here for its whole time.
        """
        LOG.error("Disk failed.", error=str(failure))
        refusals = [
            effect
            for effect in dropped
            if isinstance(effect, ProposalRefused | ReadFailed)
        ]
        failed = DiskFailed(str(failure))
        return [
            *refusals,
            *self.replica.handle_batch((failed,), time.monotonic(), self.random),
        ]

    def answer_what_is_left(self) -> None:
        """Answer those whose outcome went with the dropped batch.

        Their commands may have been committed by the other replicas, or be lost.
        """
        for proposal_id in list(self.proposers):
            unknown = ProposalRefusal.OUTCOME_UNKNOWN
            self.answer_proposer(ProposalResult(proposal_id, 0, b"", unknown))
        for read_id in list(self.reads):
            self.answer_read(read_id, confirmed=False)

    def perform(self, effect: Effect) -> None:
        """Carry out one effect that is safe to carry out."""
        match effect:
            case SendTo(instance, message):
                self.messenger.send_to_instance(instance, message)
            case Committed(index, entry):
                self.apply(index, entry)
            case InstallState(state, index):
                LOG.info("state installed", index=index)
                self.state = ControlState.from_snapshot(state)
                self.publish_configuration()
            case SnapshotWanted(index):
                taken = SnapshotTaken(index, self.state.to_snapshot())
                self.events.append(taken)
            case ProposalRefused(proposal_id, reason, leader):
                refused = ProposalResult(proposal_id, 0, b"", reason, leader)
                self.answer_proposer(refused)
            case ReadConfirmed(read_id):
                self.answer_read(read_id, confirmed=True)
            case ReadFailed(read_id):
                self.answer_read(read_id, confirmed=False)
            case RoleChanged(role, term, leader):
                LOG.info(
                    "role changed",
                    role=role,
                    term=term,
                    leader=leader,
                    sync_seconds=round(self.replica.status().sync_seconds, 3),
                )
                self.gateway.tell(LeaderSeen(leader))

    def apply(self, index: int, entry: Entry) -> None:
        """Apply a committed command and answer whoever proposed it here."""
        if entry.kind is not EntryKind.COMMAND:
            self.audit_forced_members(index, entry)
            return
        # A leader of a newer version may commit a command that this one can't read.
        # Skipped here, it would be missing from this replica's state for good, and
        # from every snapshot it sends. The error ends the process, to be updated.
        command = decode_command(entry.payload)
        before = self.state.configuration.version
        outcome = self.state.apply(command, index, entry.at)
        if self.state.configuration.version != before:
            self.publish_configuration()
        if entry.proposal_id in self.proposers:
            encoded = encode_outcome(outcome)
            self.answer_proposer(ProposalResult(entry.proposal_id, index, encoded))

    def audit_forced_members(self, index: int, entry: Entry) -> None:
        """Note who forced the members of the cluster.

        The record is made from the log's own entry, so every replica makes the same.
        """
        operator = forced_by(entry)
        if operator is None:
            return
        members = decode_membership(entry.payload).voters
        for member in members:
            detail = f"forced as the only member, folder {member.folder}"
            record = RecordMembership(operator, member.instance, "recovered", detail)
            self.state.apply(record, index, entry.at)

    def answer_proposer(self, result: ProposalResult) -> None:
        """Send a result to whoever proposed through this replica.

        It goes to the address that the proposal came from: the messenger knows entry
        instances by name, but not sidecars, which ask for load grants.
        """
        address = self.proposers.pop(result.proposal_id, None)
        if address is not None:
            self.messenger.send(address, result)

    def answer_read(self, read_id: str, confirmed: bool) -> None:
        """Answer a question that a quorum was asked about."""
        asked = self.reads.pop(read_id, None)
        match asked:
            case Delivered(message=FetchConfiguration()):
                self.answer_configuration(asked, confirmed)
            case Delivered(message=FetchRoutes()) if confirmed:
                self.answer_routes(asked, confirmed)
            case Delivered(message=FencingAsked() as question) if confirmed:
                self.answer_fencing(asked, question)

    def answer_fencing(self, asked: Delivered, question: FencingAsked) -> None:
        """Send an upstream's newest fencing number, which a quorum has confirmed."""
        fencing = self.state.current_fencing(question.upstream_id)
        answer = FencingAnswered(question.upstream_id, question.query_id, fencing)
        self.messenger.send(asked.sender_address, answer)

    def answer_configuration(self, asked: Delivered, confirmed: bool) -> None:
        """Send the configuration as it is applied here."""
        snapshot = ConfigurationSnapshot(
            self.state.configuration, confirmed, asked.message.query_id
        )
        self.messenger.send(asked.sender_address, snapshot)

    def answer_routes(self, asked: Delivered, confirmed: bool) -> None:
        """Send the routed configuration as it is applied here.

        An asker that has it gets its version and digest alone: whole, it takes a slow
        link longer than a read may take, and could then be read nowhere.
        """
        document = self.state.routes.document
        if confirmed and asked.message.have_version == document.version:
            document = RoutesDocument(document.version, document.digest, b"")
        snapshot = RoutesSnapshot(document, confirmed, asked.message.query_id)
        self.messenger.send(asked.sender_address, snapshot)

    def publish_routes(self) -> None:
        """Put the applied routed configuration before this process's view."""
        snapshot = RoutesSnapshot(self.state.routes.document, confirmed_by_quorum=False)
        self.configuration.tell(
            Delivered(self.messenger.instance, self.messenger.address, snapshot)
        )

    def publish_configuration(self) -> None:
        """Put the applied configuration before this process's view."""
        snapshot = ConfigurationSnapshot(
            self.state.configuration, confirmed_by_quorum=False
        )
        self.configuration.tell(
            Delivered(self.messenger.instance, self.messenger.address, snapshot)
        )

    def on_stop(self) -> None:
        """Let go of the data folder."""
        self.storage.close()


def leads(status: ReplicaStatus) -> bool:
    """Tell whether a replica is the leader."""
    return status.role is Role.LEADER
