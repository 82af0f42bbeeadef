"""Run `cowslipshelfd`: one role of the settings, until a signal ends it."""

import sys
from pathlib import Path
from typing import Annotated

import cappa
from result import Err, Ok

from cowslipshelf_daemon.internal.forced_members import (
    EXIT_BAD_ARGUMENTS,
    force_members,
    print_error,
)
from cowslipshelf_daemon.internal.running import run_daemon
from cowslipshelf_host.settings import load_settings

EXIT_BAD_SETTINGS = 6


@cappa.command(name="cowslipshelfd")
class Arguments:
    """Run one daemon of the fleet."""

    settings: Annotated[Path, cappa.Arg(long=True, help="Settings file, in JSON.")]
    force_members: Annotated[
        bool,
        cappa.Arg(
            long=True,
            help=(
                "Start nothing; make the replica of these settings its cluster's only "
                "member. For a quorum that is lost for good; see docs/OPERATIONS.md."
            ),
        ),
    ] = False
    operator: Annotated[
        str, cappa.Arg(long=True, help="Who forces, for the audit trail.")
    ] = ""
    yes: Annotated[
        bool, cappa.Arg(long=True, help="Force after the warning was read.")
    ] = False


def main() -> int:
    """Run what the command line asks for; return only if that is not a daemon."""
    arguments = cappa.parse(Arguments)
    if not arguments.force_members and (arguments.operator or arguments.yes):
        return print_error(
            EXIT_BAD_ARGUMENTS, "--operator and --yes need --force-members."
        )
    match load_settings(arguments.settings):
        case Ok(settings) if arguments.force_members:
            return force_members(settings, arguments.operator, arguments.yes)
        case Ok(settings):
            return run_daemon(settings)
        case Err(problems):
            for problem in problems:
                print(problem, file=sys.stderr)
            return EXIT_BAD_SETTINGS
