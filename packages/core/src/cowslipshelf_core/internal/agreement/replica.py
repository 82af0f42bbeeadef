"""Dispatch events and messages to the parts of a replica."""

from collections.abc import Iterable
from random import Random
from typing import NamedTuple

from cowslipshelf_core.identifiers import InstanceId
from cowslipshelf_core.internal.agreement import (
    bootstrap,
    elections,
    following,
    leading,
    membership,
    read_index,
    replication,
    snapshots,
)
from cowslipshelf_core.internal.agreement.config import ReplicaConfig
from cowslipshelf_core.internal.agreement.effects import Effect, Role
from cowslipshelf_core.internal.agreement.events import (
    BootstrapCluster,
    CommandProposed,
    DiskFailed,
    Event,
    MembershipProposed,
    PeerMessageArrived,
    ReadAsked,
    ReplicasSeen,
    SnapshotTaken,
    TickElapsed,
    TransferLeadership,
)
from cowslipshelf_core.internal.agreement.log import ReplicaLog
from cowslipshelf_core.internal.agreement.messages import (
    AppendEntries,
    AppendRefused,
    EntriesAppended,
    InstallSnapshot,
    JoinAnswered,
    JoinAsked,
    ReadIndexAnswered,
    ReadIndexAsked,
    ReplicaMessage,
    SnapshotReceived,
    TimeoutNow,
    VoteAnswered,
    VoteAsked,
)
from cowslipshelf_core.internal.agreement.records import (
    Membership,
    ReplicaId,
    StoredState,
)
from cowslipshelf_core.internal.agreement.state import ReplicaState


class ReplicaStatus(NamedTuple):
    """Describe the state of a replica to operators."""

    replica_id: ReplicaId
    role: Role
    term: int
    leader: InstanceId | None
    commit_index: int
    last_index: int
    membership: Membership
    follower_lag: tuple[tuple[ReplicaId, int], ...]
    """Entries that each follower has not confirmed yet, if this replica leads."""
    failure: str
    """Why the disk failed; empty if it did not."""
    sync_seconds: float
    """Expected time to make a batch durable."""


class Replica:
    """Turn events into effects for one replica, without input or output."""

    def __init__(self, state: ReplicaState) -> None:
        self.state = state

    @classmethod
    def from_config(cls, config: ReplicaConfig, stored: StoredState) -> "Replica":
        """Create a replica from its configuration and the content of its data folder.

        The caller restores the state machine from the stored snapshot; the first
        `Committed` effect is for the entry after it.
        """
        log = ReplicaLog.from_stored(stored)
        return cls(
            ReplicaState(
                config=config,
                replica_id=stored.replica_id,
                log=log,
                hard_state=stored.hard_state,
                commit_index=log.snapshot_index,
                replica_instances=config.replica_instances,
            )
        )

    def status(self) -> ReplicaStatus:
        """Return the status of this replica."""
        state = self.state
        peers = state.leadership.peers if state.leadership else {}
        return ReplicaStatus(
            replica_id=state.replica_id,
            role=state.role,
            term=state.term,
            leader=state.leader,
            commit_index=state.commit_index,
            last_index=state.log.last_index,
            membership=state.membership,
            follower_lag=tuple(
                (peer, state.log.last_index - progress.match_index)
                for peer, progress in peers.items()
            ),
            failure=state.failure,
            sync_seconds=state.sync_times.expected(state.now),
        )

    def handle(self, event: Event, now: float, random: Random) -> list[Effect]:
        """Handle one event; `now` is monotonic, in seconds."""
        return self.handle_batch((event,), now, random)

    def handle_batch(
        self, events: Iterable[Event], now: float, random: Random
    ) -> list[Effect]:
        """Handle a batch of events, and send followers messages once for all."""
        state = self.state
        state.advance_clock(now)
        state.random = random
        state.begin_batch()
        for event in events:
            if state.leadership is not None:
                leading.step_down_without_quorum(state)
            self.dispatch(event)
        if state.leadership is not None:
            leading.finish_batch(state)
        if state.forwarded_reads:
            read_index.resolve_forwarded_reads(state)
        effects = state.effects
        state.effects = []
        return effects

    def sync_ended(self, seconds: float, with_vote: bool) -> None:
        """Record how long the last batch took to become durable."""
        self.state.sync_ended(seconds, with_vote)

    def dispatch(self, event: Event) -> None:
        """Handle one event; with a failed disk, only refuse proposals and reads."""
        state = self.state
        match event:
            case CommandProposed() | MembershipProposed():
                self.propose(event)
            case ReadAsked():
                read_index.on_read_asked(state, event)
            case _ if state.failure:
                return
            case TickElapsed():
                self.tick()
            case PeerMessageArrived(sender, message):
                self.receive(sender, message)
            case SnapshotTaken():
                snapshots.on_snapshot_taken(state, event)
            case TransferLeadership():
                if state.leadership is not None:
                    leading.transfer_leadership(state)
            case ReplicasSeen(replicas, silent, without_replica):
                state.replica_instances = replicas
                state.silent_instances = silent
                state.instances_without_replica = without_replica
            case BootstrapCluster():
                bootstrap.bootstrap_alone(state)
            case DiskFailed(reason):
                self.fail(reason)

    def propose(self, event: CommandProposed | MembershipProposed) -> None:
        """Accept a proposal as the leader, or refuse it."""
        state = self.state
        refusal = leading.refusal_reason(state)
        if refusal is not None:
            state.refuse(event.proposal_id, refusal)
        elif isinstance(event, CommandProposed):
            leading.on_command_proposed(state, event)
        else:
            membership.on_membership_proposed(state, event)

    def tick(self) -> None:
        """Handle the timers that are due."""
        state = self.state
        if state.leadership is not None:
            leading.on_tick(state)
        elif elections.may_campaign(state):
            elections.campaign_when_due(state)
            bootstrap.request_rejoin_when_due(state)
        elif not elections.follows_active_leader(state):
            bootstrap.request_join_when_due(state)

    def fail(self, reason: str) -> None:
        """Stop taking part, since everything after the last sync may be lost."""
        state = self.state
        state.become_follower(state.term, None)
        state.failure = reason
        state.set_role(Role.FAILED, None)

    def receive(self, sender: InstanceId, message: object) -> None:
        """Handle a message from the replica on another instance."""
        match message:
            case JoinAsked():
                bootstrap.on_join_asked(self.state, sender, message)
            case JoinAnswered():
                bootstrap.on_join_answered(self.state, sender, message)
            case ReplicaMessage():
                if self.accept(message):
                    peer = ReplicaId(sender, message.sender_folder)
                    self.receive_from_peer(peer, message)

    def accept(self, message: ReplicaMessage) -> bool:
        """Return whether a message is for this folder and from its cluster.

        An empty folder joins the cluster of the first message that would change its
        state, permanently, so that messages of other clusters are rejected from then
        on. A pre-vote changes no state and is answered without joining.
        """
        state = self.state
        if message.recipient_folder != state.replica_id.folder:
            return False
        if not bootstrap.is_empty(state):
            return message.cluster == state.hard_state.cluster or (
                isinstance(message, VoteAnswered) and message.pre_vote
            )
        match message:
            case VoteAsked(pre_vote=True):
                return True
            case VoteAsked() | AppendEntries() | InstallSnapshot():
                state.save_hard_state(cluster=message.cluster)
                return True
        return False

    def receive_from_peer(self, peer: ReplicaId, message: ReplicaMessage) -> None:
        """Adopt the term of a message if it is newer, then handle the message."""
        state = self.state
        self.record_sync_time(peer, message)
        if isinstance(message, VoteAsked):
            # A replica that lost contact must not depose a leader that others still
            # hear; its request is ignored, including its term.
            if elections.follows_active_leader(state) and not message.transfer:
                return
            if message.term > state.term and not message.pre_vote:
                state.become_follower(message.term, None)
            elections.on_vote_asked(state, peer, message)
            return
        promised = isinstance(message, VoteAnswered) and message.granted
        if message.term > state.term and not promised:
            state.become_follower(message.term, None)
        match message:
            case VoteAnswered():
                elections.on_vote_answered(state, peer, message)
            case AppendEntries() | InstallSnapshot():
                self.on_leader_message(peer, message)
            case _ if message.term < state.term:
                return
            case TimeoutNow():
                if elections.may_campaign(state):
                    elections.campaign(state, pre_vote=False, transfer=True)
            case ReadIndexAsked(read_id=read_id):
                if state.leadership is not None:
                    read_index.queue_read(state, read_id, asked_by=peer)
            case ReadIndexAnswered():
                read_index.on_read_index_answered(state, message)
            case EntriesAppended() | AppendRefused() | SnapshotReceived():
                self.on_follower_answer(peer, message)

    def record_sync_time(self, peer: ReplicaId, message: ReplicaMessage) -> None:
        """Record the sync time that another replica reports of its disk."""
        match message:
            case VoteAsked() | VoteAnswered() | AppendEntries() | EntriesAppended():
                times = self.state.sync_times
                if peer not in times.peer_seconds:
                    times.retain_only(self.state.membership.replicas)
                times.record_peer(peer, message.sync_ms)

    def on_leader_message(
        self, leader: ReplicaId, message: AppendEntries | InstallSnapshot
    ):
        """Follow the leader of the message; refuse it if its term is outdated."""
        state = self.state
        if message.term < state.term:
            state.send(
                leader,
                AppendRefused,
                previous_index=0,
                read_round=0,
                conflict_term=0,
                conflict_index=0,
            )
            return
        state.become_follower(message.term, leader.instance)
        state.leader_heard_at = state.now
        state.restart_election_timer()
        if isinstance(message, AppendEntries):
            following.on_append_entries(state, leader, message)
        else:
            snapshots.on_install_snapshot(state, leader, message)

    def on_follower_answer(
        self,
        peer: ReplicaId,
        message: EntriesAppended | AppendRefused | SnapshotReceived,
    ) -> None:
        """Handle the answer of a follower, unless it is no longer a member."""
        leadership = self.state.leadership
        if leadership is None or peer not in leadership.peers:
            return
        progress = leadership.peers[peer]
        returned = replication.was_silent(self.state, progress)
        progress.heard_at = self.state.now
        progress.read_round = max(progress.read_round, message.read_round)
        match message:
            case EntriesAppended():
                replication.on_entries_appended(self.state, peer, message)
            case AppendRefused():
                replication.on_append_refused(self.state, peer, message)
            case SnapshotReceived():
                snapshots.on_snapshot_received(self.state, peer, message)
        # Messages sent while the replica was away are lost. Without this, it would wait
        # for the next retry; the last one may have been sent just before its return.
        if returned:
            replication.resend(self.state, peer, progress)
