"""Load the settings of a daemon and collect all that is wrong with them."""

from os import PathLike
from pathlib import Path

import msgspec
from result import Err, Ok, Result

from cowslipshelf_host.internal.settings.document_check import DocumentCheck
from cowslipshelf_host.internal.settings.documents import DaemonSettings
from cowslipshelf_host.internal.settings.json_text import (
    LARGEST_FILE_BYTES,
    JsonTextError,
    read_json,
)
from cowslipshelf_host.internal.settings.problems import (
    WHOLE_FILE,
    SettingsProblem,
)
from cowslipshelf_host.internal.settings.rules import broken_rules

Problems = tuple[SettingsProblem, ...]


def load_settings(path: str | PathLike[str]) -> Result[DaemonSettings, Problems]:
    """Read and check the settings in a file, or return every problem in it."""
    file = str(path)
    try:
        with Path(path).open("rb") as opened:
            data = opened.read(LARGEST_FILE_BYTES + 1)
    except (OSError, ValueError) as error:
        reason = getattr(error, "strerror", None) or str(error)
        allowed = "a readable JSON file"
        return Err((SettingsProblem(file, WHOLE_FILE, reason, allowed),))
    if len(data) > LARGEST_FILE_BYTES:
        allowed = f"at most {LARGEST_FILE_BYTES} bytes"
        return Err((SettingsProblem(file, WHOLE_FILE, "more bytes", allowed),))
    return decode_settings(data, file)


def decode_settings(data: bytes, file: str) -> Result[DaemonSettings, Problems]:
    """Decode and check settings; the file is only named in problems."""
    try:
        value = read_json(data)
    except JsonTextError as error:
        problem = SettingsProblem(file, error.place, error.found, error.allowed)
        return Err((problem,))
    check = DocumentCheck(file)
    settings = msgspec.convert(check.document(value, DaemonSettings), DaemonSettings)
    faulty = tuple(problem.field for problem in check.problems)
    for broken in broken_rules(settings):
        # A rule that read a placeholder says nothing about what was written.
        if not broken.reads_any_of(faulty):
            check.note(broken.field, broken.found, broken.allowed)
    return Err(tuple(check.problems)) if check.problems else Ok(settings)
