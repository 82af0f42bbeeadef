"""Send commands from any instance to the leader."""

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
    """Configure the replicas, timeouts and backoff of a proposal client."""

    replicas: tuple[InstanceId, ...]
    answer_timeout_seconds: float = 1.0
    """Time without an answer after which another replica is tried."""
    min_bytes_per_second: float = 200_000
    """Minimum transfer rate by which the timeout of a large proposal is extended.

    A sixth of a 10 Mbit/s link: 100 kB extend the timeout by 0.5 s.
    """
    initial_backoff_seconds: float = 0.02
    max_backoff_seconds: float = 0.5


@dataclass(frozen=True, slots=True)
class CommandSubmitted:
    """Ask for a command to be committed before a deadline in monotonic seconds."""

    proposal_id: str
    command: bytes
    deadline: float


@dataclass(frozen=True, slots=True)
class ProposalResultArrived:
    """Deliver the answer of a replica."""

    sender: InstanceId
    result: ProposalResult


@dataclass(frozen=True, slots=True)
class LeaderSeen:
    """Report the leader, as the replica in this process knows it."""

    leader: InstanceId | None


ProposalClientEvent = (
    CommandSubmitted | ProposalResultArrived | LeaderSeen | ReplicasSeen | TickElapsed
)


@dataclass(frozen=True, slots=True)
class ProposalAnswered:
    """Return the outcome of a command that was applied."""

    proposal_id: str
    index: int
    outcome: bytes


@dataclass(frozen=True, slots=True)
class ProposalFailed:
    """Report that a proposal has no outcome at its deadline.

    With `may_take_effect`, the command may have been or may still be applied.
    Without it, every replica that was asked has refused it.
    """

    proposal_id: str
    may_take_effect: bool
    last_refusal: ProposalRefusal | None
    last_asked: InstanceId | None
    attempts: int = 0
    """How many times it was sent."""
    leader: InstanceId | None = None
    """Instance assumed to be the leader at the deadline."""


ProposalClientEffect = SendTo | ProposalAnswered | ProposalFailed


@dataclass(slots=True)
class Submission:
    """Track one command until it is answered or its deadline passes."""

    proposal_id: str
    command: bytes
    deadline: float
    due: float
    """When to send it again, in monotonic seconds."""
    attempts: int = 0
    awaiting: InstanceId | None = None
    """Replica whose answer is outstanding."""
    last_asked: InstanceId | None = None
    last_refusal: ProposalRefusal | None = None
    may_take_effect: bool = False


@dataclass(slots=True)
class ProposalClient:
    """Send commands to the assumed leader until they are answered or expire.

    A command may be sent, and so committed, more than once, since replicas don't
    remove duplicates. Each command must have an id by which the state machine
    recognises a copy and returns the outcome of the first.
    """

    config: ProposalClientConfig
    replicas: tuple[InstanceId, ...]
    leader: InstanceId | None = None
    submissions: dict[str, Submission] = field(default_factory=dict)

    @classmethod
    def from_config(cls, config: ProposalClientConfig) -> "ProposalClient":
        """Create a client without a known leader."""
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
        """Resend commands that are due, and fail those past their deadline."""
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
        """Return the failure of a submission that has no outcome."""
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
        """Send a submission to the leader, or to any replica if none is known."""
        if submission.awaiting is not None:
            submission.may_take_effect = True
        target = self.leader or self.choose_replica(submission, random)
        if target is None:
            submission.due = now + self.backoff(submission, random)
            return []
        submission.attempts += 1
        submission.awaiting = submission.last_asked = target
        transfer_seconds = len(submission.command) / self.config.min_bytes_per_second
        submission.due = now + self.config.answer_timeout_seconds + transfer_seconds
        return [SendTo(target, Propose(submission.proposal_id, submission.command))]

    def choose_replica(
        self, submission: Submission, random: Random
    ) -> InstanceId | None:
        """Choose a replica other than the last one asked, if there is one."""
        others = [r for r in self.replicas if r != submission.last_asked]
        return random.choice(others or [*self.replicas]) if self.replicas else None

    def backoff(self, submission: Submission, random: Random) -> float:
        """Return an exponential backoff with jitter, in seconds."""
        delay = self.config.initial_backoff_seconds * 2 ** min(submission.attempts, 16)
        return random.uniform(0.5, 1.0) * min(delay, self.config.max_backoff_seconds)

    def handle_result(
        self, sender: InstanceId, result: ProposalResult, now: float, random: Random
    ) -> list[ProposalClientEffect]:
        """Finish a submission with its outcome, or retry it after a refusal."""
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
        # A late refusal by a replica asked earlier is not the answer of the one asked
        # now. Retrying after it would send an overloaded leader one more copy each
        # time.
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
        """Send the new leader all submissions that it was not sent yet.

        The former leader may be dead or partitioned and never answer. Waiting for it
        would add the whole answer timeout to every failover.
        """
        self.leader = leader
        if leader is None:
            return []
        effects = []
        for submission in self.submissions.values():
            if submission.awaiting != leader:
                effects += self.send(submission, now, random)
        return effects
