"""Run one replica of the control state: its consensus, its disk, its state."""

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

MAX_EVENTS_PER_SYNC = 512
SLOW_BATCH_SECONDS = 0.1
"""Duration of a batch, including its sync, from which it is logged. A leader whose
batches take longer than an election timeout is replaced, without any error."""
MAX_PENDING_READS = 4096


class ControlStateQuery(NamedTuple):
    """Ask for a value computed from the replicated state."""

    read: Callable[[ControlState, ReplicaStatus], Any]
    reply: "SimpleQueue[Any]"


class ReplicaParts(NamedTuple):
    """Hold the dependencies of the replica's actor."""

    replica: Replica
    storage: ReplicaStorage | VolatileStorage
    state: ControlState
    messenger: Messenger
    configuration: ActorRef
    proposal_client: ActorRef


class ReplicaActor(DaemonActor):
    """Run one replica; the only user of the data folder.

    All messages waiting in the inbox are handled as one batch with one sync (group
    commit). No effect of a batch leaves this actor before the sync, so that a crash
    cannot lose an answer or a vote after it was sent.
    """

    def __init__(self, parts: ReplicaParts) -> None:
        super().__init__()
        self.replica = parts.replica
        self.storage = parts.storage
        self.state = parts.state
        self.messenger = parts.messenger
        self.configuration = parts.configuration
        self.proposal_client = parts.proposal_client
        self.random = random.Random()
        self.events: list[Event] = []
        self.proposers: dict[str, str] = {}
        """Mailbox addresses of proposers that wait for an outcome, by proposal id."""
        self.pending_reads: dict[str, Delivered] = {}
        self.read_count = 0

    def on_start(self) -> None:
        """Publish the configuration, evacuations and routes of the stored snapshot."""
        self.publish_configuration()
        self.publish_evacuations()
        self.publish_routes()

    def on_receive(self, message: Any) -> None:
        """Collect events while more messages wait, then handle them as one batch."""
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
        if not waiting or len(self.events) >= MAX_EVENTS_PER_SYNC:
            self.handle_events()

    def receive(self, delivered: Delivered) -> None:
        """Turn a message from an instance into an event."""
        match delivered.message:
            case Propose() as proposal:
                self.handle_proposal(proposal, delivered.sender_address)
            case FetchConfiguration(query_id=query_id) if query_id:
                self.start_read(delivered)
            case FetchRoutes(query_id=query_id) if query_id:
                self.start_read(delivered)
            case FetchRoutes(have_version=have):
                if self.state.routes.document.version > have:
                    self.answer_routes(delivered, confirmed=False)
            case FencingAsked():
                self.start_read(delivered)
            case FetchConfiguration():
                self.answer_configuration(delivered, confirmed=False)
            case message:
                self.events.append(PeerMessageArrived(delivered.sender, message))

    def handle_proposal(self, proposal: Propose, proposer: str) -> None:
        """Propose a command that this version can decode; drop any other.

        Every replica must apply every command in the log, so no command may get there
        that none of them can decode.
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

    def start_read(self, delivered: Delivered) -> None:
        """Have a quorum confirm that the answer to a query is up to date."""
        if len(self.pending_reads) >= MAX_PENDING_READS:
            return
        self.read_count += 1
        read_id = f"read-{self.read_count}"
        self.pending_reads[read_id] = delivered
        self.events.append(ReadAsked(read_id))

    def handle_events(self) -> None:
        """Handle the collected events as one batch; log the batch if it is slow."""
        events, self.events = self.events, []
        now = time.monotonic()
        self.handle_batch(events, now)
        took = time.monotonic() - now
        if took >= SLOW_BATCH_SECONDS:
            LOG.warning("Slow batch.", events=len(events), seconds=round(took, 3))

    def handle_batch(self, events: list[Event], now: float) -> None:
        """Handle one batch: make its effects durable, and only then perform them."""
        effects = self.replica.handle_batch(events, now, self.random)
        failure = self.make_durable(effects)
        if failure is not None:
            effects = self.fail_replica(effects, failure)
        routes_before = self.state.routes.document.version
        evacuations_before = self.state.evacuations.state
        for effect in effects:
            self.perform(effect)
        # Before the routes: a gateway that just started serves from their arrival on.
        if self.state.evacuations.state != evacuations_before:
            self.publish_evacuations()
        # Once for a batch: a replica that starts applies its whole log at once, and
        # all configurations in it but the last would be decoded in vain.
        if self.state.routes.document.version != routes_before:
            self.publish_routes()
        if failure is not None:
            self.answer_pending()

    def make_durable(self, effects: list[Effect]) -> StorageError | None:
        """Write and sync the effects to disk; return the error if the disk failed."""
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

    def fail_replica(
        self, dropped: list[Effect], failure: StorageError
    ) -> list[Effect]:
        """Stop taking part in the consensus after a disk failure.

        Return the effects that are still to be performed. Those that depend on unsynced
        bytes are dropped: a vote or an answer might rest on data that a restart does
        not find. Refusals of the same batch depend on no write. They and the effects
        of `DiskFailed` tell proposers, readers and this process's proposal client to
        try another replica, rather than wait here until they time out.
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

    def answer_pending(self) -> None:
        """Answer the proposers and readers whose outcome is lost with a dropped batch.

        The other replicas may have committed their commands, or not.
        """
        for proposal_id in list(self.proposers):
            unknown = ProposalRefusal.OUTCOME_UNKNOWN
            self.answer_proposer(ProposalResult(proposal_id, 0, b"", unknown))
        for read_id in list(self.pending_reads):
            self.answer_read(read_id, confirmed=False)

    def perform(self, effect: Effect) -> None:
        """Perform one effect, after the sync of its batch."""
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
                self.proposal_client.tell(LeaderSeen(leader))

    def apply(self, index: int, entry: Entry) -> None:
        """Apply a committed command and answer its proposer if it was proposed here."""
        if entry.kind is EntryKind.MEMBERSHIP:
            self.record_members(index, entry)
        if entry.kind is not EntryKind.COMMAND:
            return
        # A leader of a newer version may commit a command that this version can't
        # decode. If it were skipped, this replica's state and every snapshot it sends
        # would lack it for good. The error ends the process, which has to be updated.
        command = decode_command(entry.payload)
        before = self.state.configuration.version
        outcome = self.state.apply(command, index, entry.at)
        if self.state.configuration.version != before:
            self.publish_configuration()
        if entry.proposal_id in self.proposers:
            encoded = encode_outcome(outcome)
            self.answer_proposer(ProposalResult(entry.proposal_id, index, encoded))

    def record_members(self, index: int, entry: Entry) -> None:
        """Log the members of the cluster, and audit who forced them.

        The record is built from the log entry alone, so every replica makes the same.
        """
        members = decode_membership(entry.payload)
        LOG.info(
            "Members changed.",
            index=index,
            voters=[voter.instance for voter in members.voters],
            learners=[learner.instance for learner in members.learners],
        )
        operator = forced_by(entry)
        if operator is None:
            return
        for member in members.voters:
            detail = f"forced as the only member, folder {member.folder}"
            record = RecordMembership(operator, member.instance, "recovered", detail)
            self.state.apply(record, index, entry.at)

    def answer_proposer(self, result: ProposalResult) -> None:
        """Send a result to its proposer if it was proposed through this replica.

        It goes to the address that the proposal came from, since the messenger knows
        the addresses of entries but not of sidecars, which propose for load grants.
        """
        address = self.proposers.pop(result.proposal_id, None)
        if address is not None:
            self.messenger.send(address, result)

    def answer_read(self, read_id: str, confirmed: bool) -> None:
        """Answer a query once its quorum read has succeeded or failed."""
        delivered = self.pending_reads.pop(read_id, None)
        match delivered:
            case Delivered(message=FetchConfiguration()):
                self.answer_configuration(delivered, confirmed)
            case Delivered(message=FetchRoutes()) if confirmed:
                self.answer_routes(delivered, confirmed)
            case Delivered(message=FencingAsked() as query) if confirmed:
                self.answer_fencing(delivered, query)

    def answer_fencing(self, delivered: Delivered, query: FencingAsked) -> None:
        """Send an upstream's newest fencing number, confirmed by a quorum."""
        fencing = self.state.current_fencing(query.upstream_id)
        answer = FencingAnswered(query.upstream_id, query.query_id, fencing)
        self.messenger.send(delivered.sender_address, answer)

    def answer_configuration(self, delivered: Delivered, confirmed: bool) -> None:
        """Send the configuration that is applied here."""
        snapshot = ConfigurationSnapshot(
            self.state.configuration, confirmed, delivered.message.query_id
        )
        self.messenger.send(delivered.sender_address, snapshot)

    def answer_routes(self, delivered: Delivered, confirmed: bool) -> None:
        """Send the gateways' configuration that is applied here.

        A sender that has this version gets its version and digest alone. On a slow link
        the whole document takes longer than a read may take, so that no read of it
        would ever succeed.
        """
        document = self.state.routes.document
        if confirmed and delivered.message.have_version == document.version:
            document = RoutesDocument(document.version, document.digest, b"")
        snapshot = RoutesSnapshot(document, confirmed, delivered.message.query_id)
        self.messenger.send(delivered.sender_address, snapshot)

    def publish_routes(self) -> None:
        """Send the applied gateways' configuration to this process's view."""
        snapshot = RoutesSnapshot(self.state.routes.document, confirmed_by_quorum=False)
        self.configuration.tell(
            Delivered(self.messenger.instance, self.messenger.address, snapshot)
        )

    def publish_evacuations(self) -> None:
        """Send the applied evacuations to this process's view."""
        state = self.state.evacuations.state
        self.configuration.tell(
            Delivered(self.messenger.instance, self.messenger.address, state)
        )

    def publish_configuration(self) -> None:
        """Send the applied configuration to this process's view."""
        snapshot = ConfigurationSnapshot(
            self.state.configuration, confirmed_by_quorum=False
        )
        self.configuration.tell(
            Delivered(self.messenger.instance, self.messenger.address, snapshot)
        )

    def on_stop(self) -> None:
        """Close the data folder."""
        self.storage.close()


def leads(status: ReplicaStatus) -> bool:
    """Tell whether a replica is the leader."""
    return status.role is Role.LEADER
