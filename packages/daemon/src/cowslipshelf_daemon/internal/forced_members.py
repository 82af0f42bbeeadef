"""Make one replica its cluster's only member when the others are lost for good."""

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

MAX_OPERATOR_CHARACTERS = 64


def force_members(settings: DaemonSettings, operator: str, confirmed: bool) -> int:
    """Make the replica of the settings its cluster's only member; return an exit code.

    Without the operator's confirmation nothing is changed.
    """
    problem = find_problem(settings, operator)
    if problem:
        return print_error(EXIT_BAD_ARGUMENTS, problem)
    folder = Path(settings.entry.data_folder)
    print(f"Instance {settings.instance}, data folder {folder}.\n")
    print(f"WARNING. {FORCED_MEMBERS_WARNING}\n")
    if not confirmed:
        return print_error(EXIT_NOT_CONFIRMED, "Nothing was done. Add --yes to go on.")
    config = ReplicaStorageConfig(folder, settings.instance)
    match force_members_in_folder(config, operator, time.time()):
        case Ok(forced):
            print(
                f"Done: {forced.replica_id.instance} is the only member from log index "
                f"{forced.last_index} on, in term {forced.term}. Start its daemon now."
            )
            return EXIT_FORCED
        case Err(error):
            return print_error(EXIT_NOT_FORCED, f"Nothing was done. {error}")


def find_problem(settings: DaemonSettings, operator: str) -> str:
    """Return why forcing is not possible, or "", without touching the folder."""
    if settings.entry is None or settings.entry.data_folder is None:
        return "These settings name no data folder; only a replica can be forced."
    if not Path(settings.entry.data_folder).is_dir():
        # Opening the storage would create an empty folder with a new identity.
        return f"There is no data folder {settings.entry.data_folder}."
    if not operator.strip() or len(operator) > MAX_OPERATOR_CHARACTERS:
        return (
            "Name yourself by --operator, for the audit trail, in at most "
            f"{MAX_OPERATOR_CHARACTERS} letters."
        )
    return ""


def print_error(code: int, text: str) -> int:
    """Print an error and return its exit code."""
    print(text, file=sys.stderr)
    return code
