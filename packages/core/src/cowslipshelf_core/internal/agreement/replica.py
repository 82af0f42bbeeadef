"""Take part in the agreement on one log."""

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
    """Describe a replica to operators."""

    replica_id: ReplicaId
    role: Role
    term: int
    leader: InstanceId | None
    commit_index: int
    last_index: int
    membership: Membership
    follower_lag: tuple[tuple[ReplicaId, int], ...]
    """Entries that each follower has yet to confirm, as its leader sees it."""
    failure: str
    sync_seconds: float
    """Time that its disk is expected to take for a batch."""


class Replica:
    """Decide, without input or output, what one replica does."""

    def __init__(self, state: ReplicaState) -> None:
        self.state = state

    @classmethod
    def from_config(cls, config: ReplicaConfig, stored: StoredState) -> "Replica":
        """Start a replica from its settings and what its folder holds.

        The caller puts the state of the stored snapshot in force by itself; the
        first entry committed here is the one after it.
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
        """Return what operators may want to see."""
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
        """Handle the events that wait, with one message per follower for them all."""
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
        """Take in how long the effects of the last batch took to be durable."""
        self.state.sync_ended(seconds, with_vote)

    def dispatch(self, event: Event) -> None:
        """Handle one event; a replica whose disk has failed only refuses."""
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
            case ReplicasSeen(replicas):
                state.replica_instances = replicas
            case BootstrapCluster():
                bootstrap.bootstrap_alone(state)
            case DiskFailed(reason):
                self.fail(reason)

    def propose(self, event: CommandProposed | MembershipProposed) -> None:
        """Take a proposal as the leader, or refuse it."""
        state = self.state
        refusal = leading.refusal_reason(state)
        if refusal is not None:
            state.refuse(event.proposal_id, refusal)
        elif isinstance(event, CommandProposed):
            leading.on_command_proposed(state, event)
        else:
            membership.on_membership_proposed(state, event)

    def tick(self) -> None:
        """Do what the time demands."""
        state = self.state
        if state.leadership is not None:
            leading.on_tick(state)
        elif elections.may_campaign(state):
            elections.campaign_when_due(state)
            bootstrap.request_rejoin_when_due(state)
        elif not elections.follows_active_leader(state):
            bootstrap.request_join_when_due(state)

    def fail(self, reason: str) -> None:
        """Take no further part: what was handled since the last sync may be lost."""
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
        """Tell whether a message is for this folder and from this cluster.

        An empty folder joins the cluster that first asks something binding of it,
        for good: a message of another cluster can then do no harm here. A pre-vote
        binds nobody, and an empty folder answers it without a cluster.
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
        """Bring the own term up to the message's, then handle it."""
        state = self.state
        self.record_sync_time(peer, message)
        if isinstance(message, VoteAsked):
            # A replica that lost touch must not depose a leader that the others
            # still hear; its wish is ignored, term and all.
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
        """Note how slow another replica's disk is."""
        match message:
            case VoteAsked() | VoteAnswered() | AppendEntries() | EntriesAppended():
                times = self.state.sync_times
                if peer not in times.peer_seconds:
                    times.retain_only(self.state.membership.replicas)
                times.record_peer(peer, message.sync_ms)

    def on_leader_message(
        self, leader: ReplicaId, message: AppendEntries | InstallSnapshot
    ):
        """Follow the leader of this term; tell an older one that it is deposed."""
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
        """Take in a follower's answer, unless it is no member any more."""
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
        # What was sent while the replica was away is lost; without this, it would
        # wait for the next retry, which may have gone out just before its return.
        if returned:
            replication.resend(self.state, peer, progress)
