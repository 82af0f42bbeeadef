"""Implement the program `cowslipshelf`."""

import os
import sys
from collections.abc import Sequence

import cappa

from cowslipshelf_cli.exit_codes import ExitCode
from cowslipshelf_cli.internal.check_command import check
from cowslipshelf_cli.internal.command_context import CommandContext, connect
from cowslipshelf_cli.internal.commands import (
    AskPlan,
    Audit,
    Check,
    Confirm,
    Drain,
    Explain,
    Load,
    Losses,
    Program,
    Release,
    Status,
    Suspects,
)
from cowslipshelf_cli.internal.failures import CommandFailedError, failure_of
from cowslipshelf_cli.internal.load.command import run_load
from cowslipshelf_cli.internal.log_history import explain_from_logs
from cowslipshelf_cli.internal.log_losses import losses_from_logs
from cowslipshelf_cli.internal.output import Writer
from cowslipshelf_cli.internal.plan_commands import ask_plan, confirm, drain
from cowslipshelf_cli.internal.query_commands import explain, show_audit, show_status
from cowslipshelf_cli.internal.suspect_commands import release, show_suspects
from cowslipshelf_operators.errors import ClientError


def main() -> None:
    """Run the command line of this process and exit."""
    try:
        code = run(sys.argv[1:], CommandContext.from_process())
        sys.stdout.flush()
    except KeyboardInterrupt:
        code = ExitCode.INTERRUPTED
    except BrokenPipeError:
        # The reader, such as `head`, has closed the pipe. Unless standard output is
        # replaced, the interpreter's flush at exit fails too and prints a traceback.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        code = ExitCode.FAULT
    sys.exit(code)


def run(arguments: Sequence[str], context: CommandContext) -> ExitCode:
    """Run one command line; the parser exits on usage errors and on help."""
    program = cappa.parse(Program, argv=list(arguments), completion=False)
    writer = Writer(context.output, context.errors, program.json)
    try:
        return run_command(program, context, writer)
    except CommandFailedError as error:
        failure = error.failure
    except ClientError as error:
        failure = failure_of(error)
    writer.fail(failure)
    return failure.exit_code


def run_command(program: Program, context: CommandContext, writer: Writer) -> ExitCode:
    """Run a parsed command."""
    match program.command:
        case Check(settings=files):
            return check(files, writer)
        case Load() as command:
            return run_load(command, context, writer)
        case Explain(kind="request", log=[_, *_]) as command:
            return explain_from_logs(command, writer)
        case Losses() as command:
            return losses_from_logs(command, writer)
    fleet = connect(program, context)
    match program.command:
        case AskPlan() as command:
            return ask_plan(command, fleet, context, writer)
        case Confirm() as command:
            return confirm(command, fleet, writer)
        case Drain() as command:
            return drain(command, fleet, writer)
        case Status():
            return show_status(fleet, writer)
        case Explain() as command:
            return explain(command, fleet, writer)
        case Suspects():
            return show_suspects(fleet, writer)
        case Release(digest=digest):
            return release(digest, fleet, writer)
        case Audit() as command:
            return show_audit(command, fleet, writer)
    raise AssertionError(f"no such command: {program.command}")
