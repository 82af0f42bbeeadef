"""Hold the state that the parts of a replica share, and operations on it."""

from dataclasses import dataclass, field
from random import Random

from cowslipshelf_core.identifiers import InstanceId
from cowslipshelf_core.internal.agreement.config import ReplicaConfig
from cowslipshelf_core.internal.agreement.effects import (
    Committed,
    Effect,
    Persist,
    ProposalRefused,
    ReadFailed,
    Role,
    RoleChanged,
    SendTo,
    SnapshotWanted,
)
from cowslipshelf_core.internal.agreement.log import ReplicaLog
from cowslipshelf_core.internal.agreement.messages import (
    ProposalRefusal,
    ReplicaMessage,
)
from cowslipshelf_core.internal.agreement.progress import Leadership
from cowslipshelf_core.internal.agreement.records import (
    Entry,
    EntryKind,
    HardState,
    Membership,
    ReplicaId,
)
from cowslipshelf_core.internal.agreement.sync_times import (
    MILLISECONDS_PER_SECOND,
    SyncTimes,
)

MAX_SYNCS_PER_ANSWER = 2
"""Syncs that an answer may wait for: its own, and one that is already running."""


@dataclass(slots=True)
class Campaign:
    """Collect the votes of one election or pre-vote."""

    pre_vote: bool
    term: int
    transfer: bool = False
    granted: set[ReplicaId] = field(default_factory=set)


@dataclass(slots=True)
class IncomingSnapshot:
    """Collect the chunks of a snapshot from the leader."""

    index: int
    term: int
    data: bytearray = field(default_factory=bytearray)


@dataclass(slots=True)
class ForwardedRead:
    """Hold a read that was forwarded to the leader for confirmation."""

    deadline: float
    index: int | None = None
    """Read index, once the leader has confirmed it."""


@dataclass(slots=True)
class ReplicaState:
    """Hold the whole state of a replica."""

    config: ReplicaConfig
    replica_id: ReplicaId
    log: ReplicaLog
    hard_state: HardState
    commit_index: int
    role: Role = Role.FOLLOWER
    leader: InstanceId | None = None
    failure: str = ""
    last_reported: tuple[Role, int, InstanceId | None] | None = None
    now: float = 0.0
    """Replica time: seconds since the first event, without backward clock jumps."""
    clock: float | None = None
    """Last reading of the clock, in monotonic seconds."""
    random: Random | None = None
    effects: list[Effect] = field(default_factory=list)
    election_due: float | None = None
    """When to start the next campaign, in replica time."""
    leader_heard_at: float | None = None
    """When the last message of a leader came, in replica time."""
    vote_round_ends: float = 0.0
    """Until when the last vote that this replica gave may still elect a leader."""
    sync_times: SyncTimes = field(default_factory=SyncTimes)
    campaign: Campaign | None = None
    leadership: Leadership | None = None
    incoming: IncomingSnapshot | None = None
    forwarded_reads: dict[str, ForwardedRead] = field(default_factory=dict)
    snapshot_wanted: bool = False
    durable_index: int = 0
    """Last index that batches before the current one have synced."""
    join_due: float | None = None
    empty_peers: dict[InstanceId, ReplicaId] = field(default_factory=dict)
    """Replicas that reported since the start that their folders are empty as well."""
    replica_instances: tuple[InstanceId, ...] = ()
    """Instances known to hold replicas, this one included."""
    silent_instances: frozenset[InstanceId] = frozenset()
    """Those that no longer say that they are alive."""
    instances_without_replica: frozenset[InstanceId] = frozenset()
    """Instances that say that they hold no replica, or won't for long."""

    @property
    def term(self) -> int:
        """Return the current term."""
        return self.hard_state.term

    @property
    def membership(self) -> Membership:
        """Return the current membership."""
        return self.log.membership

    def advance_clock(self, clock: float) -> None:
        """Advance the replica time by the progress of the clock, never backwards.

        After a backward jump, timers and leases would end far in the future: no
        election would start, and a partitioned leader would not step down.
        """
        if self.clock is not None:
            self.now += max(0.0, clock - self.clock)
        self.clock = clock

    @property
    def sync_allowance(self) -> float:
        """Return how many seconds disk syncs add to the answer of a quorum.

        Other disks are assumed to be at least as slow as the own: their last reports
        may be from before all disks became slow. A quorum doesn't need the slowest
        replicas, so one slow disk doesn't extend the timeouts of the others.
        """
        own = self.sync_times.expected(self.now)
        peer_seconds = self.sync_times.peer_seconds
        times = sorted(
            max(own, peer_seconds.get(v, 0.0)) for v in self.membership.voters
        )
        needed = times[self.membership.quorum - 1] if times else own
        return MAX_SYNCS_PER_ANSWER * needed

    @property
    def lease_seconds(self) -> float:
        """Return the silence after which a follower doesn't count for the lease."""
        return self.config.lease_seconds + self.sync_allowance

    @property
    def sync_milliseconds(self) -> int:
        """Return the expected sync time of the own disk, to be sent to others."""
        return round(self.sync_times.expected(self.now) * MILLISECONDS_PER_SECOND)

    def sync_ended(self, seconds: float, with_vote: bool) -> None:
        """Record how long the last batch took to become durable.

        This time doesn't count as silence of others, since their messages wait to be
        handled. It does count if it exceeds the lease, since the others may have
        elected another leader.
        """
        self.sync_times.record(seconds, with_vote, self.now)
        if seconds > self.lease_seconds:
            return
        self.clock += seconds
        if with_vote:
            self.extend_vote_round()

    def extend_vote_round(self) -> None:
        """Allow the vote round that was just written the time to elect a leader.

        A campaign that starts before the votes of the previous one are written makes
        those votes void, and the next campaign does the same to it.
        """
        shortest = self.config.election_seconds / 4
        self.vote_round_ends = self.now + shortest + self.sync_allowance
        if self.campaign is not None and not self.campaign.pre_vote:
            self.restart_campaign_timer()

    def begin_batch(self) -> None:
        """Record what the batches before this one have made durable."""
        self.durable_index = self.log.last_index
        if self.leadership is not None:
            self.leadership.term_is_durable = True

    def send(self, peer: ReplicaId, kind: type[ReplicaMessage], **fields) -> None:
        """Send a message in the current term."""
        self.send_in_term(self.term, peer, kind, **fields)

    def send_in_term(
        self,
        term: int,
        peer: ReplicaId,
        kind: type[ReplicaMessage],
        before_sync: bool = False,
        **fields,
    ) -> None:
        """Send a message in a given term."""
        message = kind(
            sender_folder=self.replica_id.folder,
            recipient_folder=peer.folder,
            cluster=self.hard_state.cluster,
            term=term,
            **fields,
        )
        self.effects.append(SendTo(peer.instance, message, before_sync))

    def save_hard_state(self, **changes) -> None:
        """Change the hard state, and persist it before any answer is sent."""
        self.hard_state = self.hard_state._replace(**changes)
        self.effects.append(Persist(hard_state=self.hard_state))

    def append_as_leader(
        self, kind: EntryKind, payload: bytes, proposal_id: str, at: float
    ) -> Entry:
        """Append an entry of the own term as the leader.

        The timestamp is at least that of the previous entry. The leader's clock may be
        behind that of an earlier leader, and state machines that derive time from the
        entries would see it run backwards.
        """
        entry = Entry(
            self.log.last_index + 1,
            self.term,
            max(at, self.log.last_at),
            kind,
            payload,
            proposal_id,
        )
        self.log.append((entry,))
        self.effects.append(Persist(entries=(entry,)))
        return entry

    def commit_up_to(self, index: int) -> None:
        """Commit entries in order, up to an index in the log."""
        first = self.commit_index + 1
        for committed in range(first, index + 1):
            entry = self.log.entry_at(committed)
            self.effects.append(Committed(committed, entry))
            self.commit_index = committed
            self.forget_proposal(committed)
        self.request_snapshot_when_due()

    def forget_proposal(self, index: int) -> None:
        """Remove a proposal that is committed from those that wait."""
        if self.leadership is not None:
            self.leadership.proposals.pop(index, None)

    def request_snapshot_when_due(self) -> None:
        """Request a snapshot once there are many or large entries after the last one.

        The disk and the memory of a small machine hold few entries of a large
        configuration.
        """
        entries_since = self.commit_index - self.log.snapshot_index
        many = entries_since >= self.config.snapshot_after_entries
        large = entries_since > 0 and self.log.held_bytes > self.config.max_log_bytes
        if self.snapshot_wanted or not (many or large):
            return
        self.snapshot_wanted = True
        self.effects.append(SnapshotWanted(self.commit_index))

    def refuse(self, proposal_id: str, reason: ProposalRefusal) -> None:
        """Refuse a proposal with a reason and the known leader."""
        self.effects.append(ProposalRefused(proposal_id, reason, self.leader))

    def set_role(self, role: Role, leader: InstanceId | None) -> None:
        """Set role and leader, and report a change of role, term or leader."""
        self.role = role
        self.leader = leader
        if self.last_reported != (role, self.term, leader):
            self.last_reported = (role, self.term, leader)
            self.effects.append(RoleChanged(role, self.term, leader))

    def become_follower(self, term: int, leader: InstanceId | None) -> None:
        """Become a follower in the current term or a later one."""
        if term > self.term:
            self.save_hard_state(term=term, voted_for=None)
        leadership = self.leadership
        self.campaign = None
        self.leadership = None
        self.set_role(Role.FOLLOWER, leader)
        if leadership is not None:
            self.fail_pending(leadership)
            self.restart_election_timer()

    def fail_pending(self, leadership: Leadership) -> None:
        """Fail the pending proposals and local reads when leadership ends."""
        for proposal_id in leadership.proposals.values():
            self.refuse(proposal_id, ProposalRefusal.OUTCOME_UNKNOWN)
        for read in leadership.reads:
            if read.asked_by is not None:
                continue
            self.effects.append(ReadFailed(read.read_id, self.leader))

    def restart_campaign_timer(self) -> None:
        """Schedule the next campaign after a random time below the election timeout.

        A campaign fails if candidates split the votes. There is no leader then, so the
        wait only has to be longer than a round of votes and differ between candidates.
        """
        longest = self.config.election_seconds
        wait = self.random.uniform(longest / 4, longest)
        self.election_due = self.now + wait + self.sync_allowance

    def start_campaign_timer(self) -> None:
        """Schedule the first campaign after a start, with the shortest random time.

        If all replicas were killed at once, nothing is served until one leads. If there
        is a leader, it is not deposed, since replicas that hear it grant no pre-vote.
        """
        longest = self.config.election_seconds
        self.election_due = self.now + self.random.uniform(longest / 10, longest / 3)

    def restart_election_timer(self) -> None:
        """Schedule the next campaign after a random election timeout."""
        shortest = self.config.election_seconds
        wait = self.random.uniform(shortest, 2 * shortest)
        self.election_due = self.now + wait + self.sync_allowance
