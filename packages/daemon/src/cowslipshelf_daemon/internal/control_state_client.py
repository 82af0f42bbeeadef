"""Commit commands in the replicated control state and wait for their outcomes."""

import random
import time
import uuid
from queue import Empty, SimpleQueue
from typing import Any, NamedTuple

from pykka import ActorDeadError, ActorRef

from cowslipshelf_core.agreement import (
    CommandSubmitted,
    LeaderSeen,
    ProposalAnswered,
    ProposalClient,
    ProposalClientEvent,
    ProposalFailed,
    ProposalResult,
    ProposalResultArrived,
    ReplicasSeen,
    SendTo,
    TickElapsed,
)
from cowslipshelf_core.control import (
    ControlCommand,
    ControlOutcome,
    decode_outcome,
    encode_command,
)
from cowslipshelf_core.errors import Refusal, RefusalCode, RefusalReason
from cowslipshelf_daemon.internal.actor import DaemonActor
from cowslipshelf_daemon.internal.messenger import Delivered, Messenger
from cowslipshelf_daemon.internal.ticker import Tick
from cowslipshelf_host.logs import part_logger

LOG = part_logger("control")

STEP = "ask_control_state"
ELECTIONS_PER_WAIT = 5
"""Election timeouts a command waits; a leader is replaced within two or three."""
REPLY_MARGIN_SECONDS = 1.0
RETRY_AFTER_SECONDS = 1.0


class CommandRequest(NamedTuple):
    """Ask for a command to be committed, with a queue for its outcome."""

    submit: CommandSubmitted
    reply: "SimpleQueue[ControlOutcome | Refusal]"


class GatewayActor(DaemonActor):
    """Send commands to the leading replica, and results to the threads that wait."""

    def __init__(self, client: ProposalClient, messenger: Messenger) -> None:
        super().__init__()
        self.client = client
        self.messenger = messenger
        self.random = random.Random()
        self.replies: dict[str, SimpleQueue[ControlOutcome | Refusal]] = {}

    def on_receive(self, message: Any) -> None:
        """Turn one message into an event for the proposal client."""
        match message:
            case Tick():
                self.handle(TickElapsed())
            case CommandRequest(submit=submit, reply=reply):
                self.replies[submit.proposal_id] = reply
                self.handle(submit)
            case Delivered(sender=sender, message=ProposalResult() as result):
                self.handle(ProposalResultArrived(sender, result))
            case LeaderSeen() | ReplicasSeen():
                self.handle(message)

    def handle(self, event: ProposalClientEvent) -> None:
        """Pass an event to the proposal client and perform the effects."""
        for effect in self.client.handle(event, time.monotonic(), self.random):
            match effect:
                case SendTo(instance, message):
                    self.messenger.send_to_instance(instance, message)
                case ProposalAnswered(proposal_id, _, outcome):
                    self.answer(proposal_id, decode_outcome(outcome))
                case ProposalFailed():
                    log_failure(effect)
                    self.answer(effect.proposal_id, refusal_of(effect))

    def answer(self, proposal_id: str, outcome: ControlOutcome | Refusal) -> None:
        """Hand an outcome to the thread that waits for it, if any."""
        reply = self.replies.pop(proposal_id, None)
        if reply is not None:
            reply.put(outcome)


def log_failure(failed: ProposalFailed) -> None:
    """Log why a command has no outcome."""
    LOG.warning(
        "Command not answered.",
        proposal=failed.proposal_id,
        attempts=failed.attempts,
        last_asked=failed.last_asked,
        last_refusal=failed.last_refusal,
        leader=failed.leader,
        may_take_effect=failed.may_take_effect,
    )


def refusal_of(failed: ProposalFailed) -> Refusal:
    """Return the refusal of a command that got no outcome in time."""
    code = (
        RefusalCode.OUTCOME_UNKNOWN if failed.may_take_effect else RefusalCode.NOT_RUN
    )
    detail = failed.last_refusal or "no replica answered"
    return Refusal(
        code,
        RefusalReason.NO_QUORUM,
        STEP,
        failed.last_asked or "",
        detail,
        RETRY_AFTER_SECONDS,
    )


class ControlStateClient:
    """Commit commands in the replicated control state, from any thread."""

    def __init__(self, actor: ActorRef, election_seconds: float) -> None:
        self.actor = actor
        self.max_wait_seconds = ELECTIONS_PER_WAIT * election_seconds

    def commit(
        self, command: ControlCommand, seconds: float
    ) -> ControlOutcome | Refusal:
        """Commit a command for a caller and wait for its outcome.

        The wait is long enough for a lost leader to be replaced, but not longer: if
        the quorum is lost, the refusal must come before the caller's deadline.
        """
        return self.commit_within(command, min(seconds, self.max_wait_seconds))

    def commit_within(
        self, command: ControlCommand, timeout_seconds: float
    ) -> ControlOutcome | Refusal:
        """Commit a command and wait up to `timeout_seconds` for its outcome."""
        reply: SimpleQueue[ControlOutcome | Refusal] = SimpleQueue()
        submit = CommandSubmitted(
            uuid.uuid4().hex,
            encode_command(command),
            time.monotonic() + timeout_seconds,
        )
        try:
            self.actor.tell(CommandRequest(submit, reply))
            return reply.get(timeout=max(0.0, timeout_seconds) + REPLY_MARGIN_SECONDS)
        except (ActorDeadError, Empty):
            return Refusal(
                RefusalCode.OUTCOME_UNKNOWN,
                RefusalReason.NO_QUORUM,
                STEP,
                detail="the control state did not answer in time",
                retry_after_seconds=RETRY_AFTER_SECONDS,
            )
