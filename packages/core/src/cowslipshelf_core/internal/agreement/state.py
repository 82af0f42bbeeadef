"""Hold the state that the parts of a replica share, and their common steps."""

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
"""Syncs for which an answer may have to wait: its own, and one under way before."""


@dataclass(slots=True)
class Campaign:
    """Count the votes of one election or pre-vote."""

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
    """Be a read that the leader was asked to confirm."""

    deadline: float
    index: int | None = None
    """Least index to answer it from, once the leader has said so."""


@dataclass(slots=True)
class ReplicaState:
    """Be the whole state of a replica."""

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
    """Time that has passed since the first event, as far as the clock showed it."""
    clock: float | None = None
    random: Random | None = None
    effects: list[Effect] = field(default_factory=list)
    election_due: float | None = None
    leader_heard_at: float | None = None
    vote_round_ends: float = 0.0
    """Until when the vote that this replica gave last may still bring a leader."""
    sync_times: SyncTimes = field(default_factory=SyncTimes)
    campaign: Campaign | None = None
    leadership: Leadership | None = None
    incoming: IncomingSnapshot | None = None
    forwarded_reads: dict[str, ForwardedRead] = field(default_factory=dict)
    snapshot_wanted: bool = False
    durable_index: int = 0
    """Last index that earlier batches have written, and so synced."""
    join_due: float | None = None
    empty_peers: dict[InstanceId, ReplicaId] = field(default_factory=dict)
    """Replicas that told this start of this empty folder that theirs is empty."""
    replica_instances: tuple[InstanceId, ...] = ()
    """Instances that are known to hold replicas, this one included."""

    @property
    def term(self) -> int:
        """Return the current term."""
        return self.hard_state.term

    @property
    def membership(self) -> Membership:
        """Return the membership in force."""
        return self.log.membership

    def advance_clock(self, clock: float) -> None:
        """Let time pass, but never backwards.

        A clock that jumped backwards would leave timers and leases far in the
        future: no election, and a cut-off leader that keeps believing in itself.
        """
        if self.clock is not None:
            self.now += max(0.0, clock - self.clock)
        self.clock = clock

    @property
    def sync_allowance(self) -> float:
        """Return how much longer an answer of a quorum takes than without syncs.

        Others are taken to be as slow as the own disk at least: what they have told
        may be from before all disks turned slow. A quorum needs no answer of the
        slowest, so that one slow disk makes no other replica wait.
        """
        own = self.sync_times.expected(self.now)
        told = self.sync_times.peer_seconds
        times = sorted(max(own, told.get(v, 0.0)) for v in self.membership.voters)
        needed = times[self.membership.quorum - 1] if times else own
        return MAX_SYNCS_PER_ANSWER * needed

    @property
    def lease_seconds(self) -> float:
        """Return the silence after which a follower is not counted as there."""
        return self.config.lease_seconds + self.sync_allowance

    @property
    def sync_milliseconds(self) -> int:
        """Return what the own disk is expected to take, to be told to others."""
        return round(self.sync_times.expected(self.now) * MILLISECONDS_PER_SECOND)

    def sync_ended(self, seconds: float, with_vote: bool) -> None:
        """Take in how long the last batch took to be durable.

        That time is not counted as the others' silence: what they said meanwhile
        waits to be handled. A longer one is: they have chosen another leader since.
        """
        self.sync_times.record(seconds, with_vote, self.now)
        if seconds > self.lease_seconds:
            return
        self.clock += seconds
        if with_vote:
            self.extend_vote_round()

    def extend_vote_round(self) -> None:
        """Give the vote that was just written the time to bring a leader.

        A campaign that begins before the votes of the one before are written makes
        those votes void, and is overtaken by the next one in turn.
        """
        shortest = self.config.election_seconds / 4
        self.vote_round_ends = self.now + shortest + self.sync_allowance
        if self.campaign is not None and not self.campaign.pre_vote:
            self.restart_campaign_timer()

    def begin_batch(self) -> None:
        """Note what the batches before this one have made durable."""
        self.durable_index = self.log.last_index
        if self.leadership is not None:
            self.leadership.term_is_durable = True

    def send(self, peer: ReplicaId, kind: type[ReplicaMessage], **fields) -> None:
        """Send a message under the current term."""
        self.send_in_term(self.term, peer, kind, **fields)

    def send_in_term(
        self,
        term: int,
        peer: ReplicaId,
        kind: type[ReplicaMessage],
        before_sync: bool = False,
        **fields,
    ) -> None:
        """Send a message under a given term."""
        message = kind(
            sender_folder=self.replica_id.folder,
            recipient_folder=peer.folder,
            cluster=self.hard_state.cluster,
            term=term,
            **fields,
        )
        self.effects.append(SendTo(peer.instance, message, before_sync))

    def save_hard_state(self, **changes) -> None:
        """Change the hard state, durably before anything is answered."""
        self.hard_state = self.hard_state._replace(**changes)
        self.effects.append(Persist(hard_state=self.hard_state))

    def append_as_leader(
        self, kind: EntryKind, payload: bytes, proposal_id: str, at: float
    ) -> Entry:
        """Append an entry of the own term as its leader.

        The leader's clock may be behind that of an earlier leader; states that
        count time by the entries would then see it run backwards, so the time of
        the entry before is the least that an entry can carry.
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
        """Commit entries in order, up to an index that is held."""
        first = self.commit_index + 1
        for committed in range(first, index + 1):
            entry = self.log.entry_at(committed)
            self.effects.append(Committed(committed, entry))
            self.commit_index = committed
            self.forget_proposal(committed)
        self.request_snapshot_when_due()

    def forget_proposal(self, index: int) -> None:
        """Forget a proposal whose outcome is known by its commit."""
        if self.leadership is not None:
            self.leadership.proposals.pop(index, None)

    def request_snapshot_when_due(self) -> None:
        """Ask for a snapshot once enough entries follow the last one."""
        grown = self.commit_index - self.log.snapshot_index
        if self.snapshot_wanted or grown < self.config.snapshot_after_entries:
            return
        self.snapshot_wanted = True
        self.effects.append(SnapshotWanted(self.commit_index))

    def refuse(self, proposal_id: str, reason: ProposalRefusal) -> None:
        """Refuse a proposal."""
        self.effects.append(ProposalRefused(proposal_id, reason, self.leader))

    def set_role(self, role: Role, leader: InstanceId | None) -> None:
        """Take a role, and report it where anything about it is new."""
        self.role = role
        self.leader = leader
        if self.last_reported != (role, self.term, leader):
            self.last_reported = (role, self.term, leader)
            self.effects.append(RoleChanged(role, self.term, leader))

    def become_follower(self, term: int, leader: InstanceId | None) -> None:
        """Follow in a term that is the current one or a later one."""
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
        """Tell proposers and readers that this replica leads no more."""
        for proposal_id in leadership.proposals.values():
            self.refuse(proposal_id, ProposalRefusal.OUTCOME_UNKNOWN)
        for read in leadership.reads:
            if read.asked_by is not None:
                continue
            self.effects.append(ReadFailed(read.read_id, self.leader))

    def restart_campaign_timer(self) -> None:
        """Wait for a shorter random time before standing again.

        A campaign fails where candidates split the votes. Nobody leads then, so
        the wait only has to outlast a round of votes and to tell them apart.
        """
        longest = self.config.election_seconds
        wait = self.random.uniform(longest / 4, longest)
        self.election_due = self.now + wait + self.sync_allowance

    def start_campaign_timer(self) -> None:
        """Wait for the shortest random time before standing after a start.

        Where all replicas were killed at once, nobody leads and nobody is served
        until one does. Where there is a leader, it keeps its place, since those who
        hear it give no pre-vote.
        """
        longest = self.config.election_seconds
        self.election_due = self.now + self.random.uniform(longest / 10, longest / 3)

    def restart_election_timer(self) -> None:
        """Wait for a random time before standing for election."""
        shortest = self.config.election_seconds
        wait = self.random.uniform(shortest, 2 * shortest)
        self.election_due = self.now + wait + self.sync_allowance
