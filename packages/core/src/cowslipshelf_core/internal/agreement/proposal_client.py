"""Bring commands from any entry instance to the leader."""

from dataclasses import dataclass, field
from random import Random
from typing import NamedTuple

from cowslipshelf_core.identifiers import InstanceId
from cowslipshelf_core.internal.agreement.effects import SendTo
from cowslipshelf_core.internal.agreement.events import ReplicasSeen, TickElapsed
from cowslipshelf_core.internal.agreement.messages import (
    ProposalRefusal,
    ProposalResult,
    Propose,
)


class ProposalClientConfig(NamedTuple):
    """Set where proposals go and how patient the client is."""

    replicas: tuple[InstanceId, ...]
    answer_timeout_seconds: float = 1.0
    """Silence after which a proposal is sent to another replica."""
    min_bytes_per_second: float = 200_000
    """Pace at which a large proposal travels at least; its answer may take so much
    longer. A sixth of a link of 10 Mbit/s: one of 100 kB is given 0.5 s more."""
    initial_backoff_seconds: float = 0.02
    max_backoff_seconds: float = 0.5


@dataclass(frozen=True, slots=True)
class CommandSubmitted:
    """Ask for a command to be committed before a time (monotonic seconds)."""

    proposal_id: str
    command: bytes
    deadline: float


@dataclass(frozen=True, slots=True)
class ProposalResultArrived:
    """Bring a replica's answer."""

    sender: InstanceId
    result: ProposalResult


@dataclass(frozen=True, slots=True)
class LeaderSeen:
    """Tell who leads, as a replica of this process reports it."""

    leader: InstanceId | None


ProposalClientEvent = (
    CommandSubmitted | ProposalResultArrived | LeaderSeen | ReplicasSeen | TickElapsed
)


@dataclass(frozen=True, slots=True)
class ProposalAnswered:
    """Bring the outcome of a command that was applied."""

    proposal_id: str
    index: int
    outcome: bytes


@dataclass(frozen=True, slots=True)
class ProposalFailed:
    """Give up a proposal at its deadline.

    With `may_take_effect`, nobody can say whether the command was, or will be,
    applied; without it, every replica that was asked has refused it.
    """

    proposal_id: str
    may_take_effect: bool
    last_refusal: ProposalRefusal | None
    last_asked: InstanceId | None
    attempts: int = 0
    """How often it was sent."""
    leader: InstanceId | None = None
    """Who was believed to lead at the end."""


ProposalClientEffect = SendTo | ProposalAnswered | ProposalFailed


@dataclass(slots=True)
class Submission:
    """Be one command on its way."""

    proposal_id: str
    command: bytes
    deadline: float
    due: float
    """When to send next."""
    attempts: int = 0
    awaiting: InstanceId | None = None
    """The replica whose answer is waited for."""
    last_asked: InstanceId | None = None
    last_refusal: ProposalRefusal | None = None
    may_take_effect: bool = False


@dataclass(slots=True)
class ProposalClient:
    """Send commands to the believed leader until one answers or time is up.

    A command may be sent, and so committed, more than once: replicas remove no
    duplicates. Whoever proposes gives each command an id by which the state that
    it is applied to recognises a copy and answers it as it did the first.
    """

    config: ProposalClientConfig
    replicas: tuple[InstanceId, ...]
    leader: InstanceId | None = None
    submissions: dict[str, Submission] = field(default_factory=dict)

    @classmethod
    def from_config(cls, config: ProposalClientConfig) -> "ProposalClient":
        """Create a client that knows no leader yet."""
        return cls(config, config.replicas)

    def handle(
        self, event: ProposalClientEvent, now: float, random: Random
    ) -> list[ProposalClientEffect]:
        """Handle one event; `now` is monotonic, in seconds."""
        match event:
            case CommandSubmitted(proposal_id, command, deadline):
                submission = Submission(proposal_id, command, deadline, now)
                self.submissions[proposal_id] = submission
                return self.send(submission, now, random)
            case ProposalResultArrived(sender, result):
                return self.handle_result(sender, result, now, random)
            case LeaderSeen(leader):
                return self.handle_leader_change(leader, now, random)
            case ReplicasSeen(replicas):
                self.replicas = replicas
                return []
            case TickElapsed():
                return self.tick(now, random)

    def tick(self, now: float, random: Random) -> list[ProposalClientEffect]:
        """Send what is due again, and give up what is late."""
        effects = []
        for submission in list(self.submissions.values()):
            if now >= submission.deadline:
                del self.submissions[submission.proposal_id]
                effects.append(self.describe_failure(submission))
            elif now >= submission.due:
                if (
                    submission.awaiting is not None
                    and submission.awaiting == self.leader
                ):
                    self.leader = None
                effects += self.send(submission, now, random)
        return effects

    def describe_failure(self, submission: Submission) -> ProposalFailed:
        """Describe how a submission ended without an outcome."""
        unanswered = submission.awaiting is not None
        return ProposalFailed(
            submission.proposal_id,
            submission.may_take_effect or unanswered,
            submission.last_refusal,
            submission.last_asked,
            submission.attempts,
            self.leader,
        )

    def send(
        self, submission: Submission, now: float, random: Random
    ) -> list[ProposalClientEffect]:
        """Send a submission to the leader or, where none is known, to anybody."""
        if submission.awaiting is not None:
            submission.may_take_effect = True
        target = self.leader or self.choose_replica(submission, random)
        if target is None:
            submission.due = now + self.backoff(submission, random)
            return []
        submission.attempts += 1
        submission.awaiting = submission.last_asked = target
        travels = len(submission.command) / self.config.min_bytes_per_second
        submission.due = now + self.config.answer_timeout_seconds + travels
        return [SendTo(target, Propose(submission.proposal_id, submission.command))]

    def choose_replica(
        self, submission: Submission, random: Random
    ) -> InstanceId | None:
        """Choose a replica other than the last one asked, if there is one."""
        others = [r for r in self.replicas if r != submission.last_asked]
        return random.choice(others or [*self.replicas]) if self.replicas else None

    def backoff(self, submission: Submission, random: Random) -> float:
        """Return a growing pause with jitter, in seconds."""
        grown = self.config.initial_backoff_seconds * 2 ** min(submission.attempts, 16)
        return random.uniform(0.5, 1.0) * min(grown, self.config.max_backoff_seconds)

    def handle_result(
        self, sender: InstanceId, result: ProposalResult, now: float, random: Random
    ) -> list[ProposalClientEffect]:
        """Finish a submission by its outcome, or send it elsewhere after a refusal."""
        submission = self.submissions.get(result.proposal_id)
        if submission is None:
            return []
        if result.refusal is None:
            del self.submissions[result.proposal_id]
            self.leader = sender
            return [ProposalAnswered(result.proposal_id, result.index, result.outcome)]
        submission.last_refusal = result.refusal
        if result.refusal is ProposalRefusal.OUTCOME_UNKNOWN:
            submission.may_take_effect = True
        # A late refusal, by a replica asked earlier, says nothing of the one that
        # is asked now; taken for its answer, an overloaded leader would be sent one
        # copy more for each of them.
        if submission.awaiting != sender:
            return []
        submission.awaiting = None
        hinted = result.leader if result.leader != sender else None
        if self.leader in (None, sender):
            self.leader = hinted
        if hinted is not None and submission.attempts == 1:
            return self.send(submission, now, random)
        submission.due = now + self.backoff(submission, random)
        return []

    def handle_leader_change(
        self, leader: InstanceId | None, now: float, random: Random
    ) -> list[ProposalClientEffect]:
        """Send at once what the new leader has not been asked for.

        What was sent to the former one may never be answered: it is dead, or cut off.
        Waiting for its answer would add the whole patience to every fail-over.
        """
        self.leader = leader
        if leader is None:
            return []
        effects = []
        for submission in self.submissions.values():
            if submission.awaiting != leader:
                effects += self.send(submission, now, random)
        return effects
