"""Let an operator go on with one replica after the others are lost for good."""

import sys
import time
from pathlib import Path

from result import Err, Ok

from cowslipshelf_core.agreement import FORCED_MEMBERS_WARNING
from cowslipshelf_host.settings import DaemonSettings
from cowslipshelf_host.storage import (
    ReplicaStorageConfig,
    force_members_in_folder,
)

EXIT_FORCED = 0
EXIT_BAD_ARGUMENTS = 2
EXIT_NOT_CONFIRMED = 8
EXIT_NOT_FORCED = 9

MOST_OPERATOR_LETTERS = 64


def force_members(settings: DaemonSettings, operator: str, confirmed: bool) -> int:
    """Make the replica of the settings its cluster's only member; return an exit code.

    Without the operator's confirmation nothing is touched.
    """
    problem = problem_with(settings, operator)
    if problem:
        return say(EXIT_BAD_ARGUMENTS, problem)
    folder = Path(settings.entry.data_folder)
    print(f"Instance {settings.instance}, data folder {folder}.\n")
    print(f"WARNING. {FORCED_MEMBERS_WARNING}\n")
    if not confirmed:
        return say(EXIT_NOT_CONFIRMED, "Nothing was done. Add --yes to go on.")
    config = ReplicaStorageConfig(folder, settings.instance)
    match force_members_in_folder(config, operator, time.time()):
        case Ok(forced):
            print(
                f"Done: {forced.replica_id.instance} is the only member from log index "
                f"{forced.last_index} on, in term {forced.term}. Start its daemon now."
            )
            return EXIT_FORCED
        case Err(error):
            return say(EXIT_NOT_FORCED, f"Nothing was done. {error}")


def problem_with(settings: DaemonSettings, operator: str) -> str:
    """Find what stands against forcing, before the folder is touched."""
    if settings.entry is None or settings.entry.data_folder is None:
        return "These settings name no data folder; only a replica can be forced."
    if not Path(settings.entry.data_folder).is_dir():
        # Opening would make an empty folder, under a new identity.
        return f"There is no data folder {settings.entry.data_folder}."
    if not operator.strip() or len(operator) > MOST_OPERATOR_LETTERS:
        return (
            "Name yourself by --operator, for the audit trail, in at most "
            f"{MOST_OPERATOR_LETTERS} letters."
        )
    return ""


def say(code: int, text: str) -> int:
    """Tell what went wrong and return the exit code for it."""
    print(text, file=sys.stderr)
    return code
