"""Describe why a command failed and what the operator can do next."""

from http import HTTPStatus
from typing import NamedTuple

from cowslipshelf_cli.exit_codes import ExitCode
from cowslipshelf_operators.errors import ClientError, HttpStatusError

NEXT_STEPS = {
    "bad_key": "set COWSLIPSHELF_OPERATOR_KEY or --key-file to an operator's key",
    "unknown_plan": "ask for a plan again with `cowslipshelf plan FILE`",
    "unknown_name": "check the name with `cowslipshelf status` or `cowslipshelf audit`",
    "refused": "mend what the reasons name, and plan again under a new change id",
}
DEFAULT_NEXT_STEP = "see the message; `cowslipshelf status` shows the fleet"


class CommandFailure(NamedTuple):
    """Hold the exit code, the message and the next step of a failed command."""

    exit_code: ExitCode
    message: str
    next_step: str


class CommandFailedError(Exception):
    """Signal that a command failed."""

    def __init__(self, exit_code: ExitCode, message: str, next_step: str) -> None:
        super().__init__(message)
        self.failure = CommandFailure(exit_code, message, next_step)


def failure_of(error: ClientError) -> CommandFailure:
    """Convert an error of the operators' client."""
    if not isinstance(error, HttpStatusError):
        next_step = "check --entry, COWSLIPSHELF_ENTRIES and the network, then resend"
        return CommandFailure(ExitCode.UNREACHABLE, str(error), next_step)
    if error.status == HTTPStatus.SERVICE_UNAVAILABLE:
        wait = error.retry_after_seconds
        when = "shortly" if wait is None else f"in {wait:g} s"
        next_step = f"send the same command again {when}; that is safe"
        return CommandFailure(ExitCode.UNREACHABLE, str(error), next_step)
    next_step = NEXT_STEPS.get(error.code, DEFAULT_NEXT_STEP)
    return CommandFailure(ExitCode.REFUSED, str(error), next_step)
