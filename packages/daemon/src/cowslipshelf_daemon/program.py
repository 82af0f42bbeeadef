"""Run `cowslipshelfd`: one role, as the settings say, until asked to end."""

import sys
from pathlib import Path
from typing import Annotated

import cappa
from result import Err, Ok

from cowslipshelf_daemon.internal.running import run_daemon
from cowslipshelf_platform.settings import load_settings

EXIT_BAD_SETTINGS = 6


@cappa.command(name="cowslipshelfd")
class Arguments:
    """Run one daemon of the fleet."""

    settings: Annotated[Path, cappa.Arg(long=True, help="Settings file, in JSON.")]


def main() -> int:
    """Run the daemon that the command line asks for; return its exit code."""
    arguments = cappa.parse(Arguments)
    match load_settings(arguments.settings):
        case Ok(settings):
            return run_daemon(settings)
        case Err(problems):
            for problem in problems:
                print(problem, file=sys.stderr)
            return EXIT_BAD_SETTINGS
