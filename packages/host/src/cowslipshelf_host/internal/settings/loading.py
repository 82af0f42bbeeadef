"""Load the settings of a daemon and collect all problems."""

from os import PathLike
from pathlib import Path

import msgspec
from result import Err, Ok, Result

from cowslipshelf_host.internal.settings.document_check import DocumentChecker
from cowslipshelf_host.internal.settings.documents import DaemonSettings
from cowslipshelf_host.internal.settings.json_text import (
    MAX_FILE_BYTES,
    JsonTextError,
    read_json,
)
from cowslipshelf_host.internal.settings.problems import (
    WHOLE_FILE,
    SettingsProblem,
)
from cowslipshelf_host.internal.settings.rules import find_violations

Problems = tuple[SettingsProblem, ...]


def load_settings(path: str | PathLike[str]) -> Result[DaemonSettings, Problems]:
    """Read and check a settings file, or return every problem in it."""
    file = str(path)
    try:
        with Path(path).open("rb") as opened:
            data = opened.read(MAX_FILE_BYTES + 1)
    except (OSError, ValueError) as error:
        reason = getattr(error, "strerror", None) or str(error)
        allowed = "a readable JSON file"
        return Err((SettingsProblem(file, WHOLE_FILE, reason, allowed),))
    if len(data) > MAX_FILE_BYTES:
        allowed = f"at most {MAX_FILE_BYTES} bytes"
        return Err((SettingsProblem(file, WHOLE_FILE, "more bytes", allowed),))
    return decode_settings(data, file)


def decode_settings(data: bytes, file: str) -> Result[DaemonSettings, Problems]:
    """Decode and check settings; `file` is the name used in problems."""
    try:
        value = read_json(data)
    except JsonTextError as error:
        problem = SettingsProblem(file, error.location, error.found, error.allowed)
        return Err((problem,))
    checker = DocumentChecker(file)
    settings = msgspec.convert(
        checker.check_document(value, DaemonSettings), DaemonSettings
    )
    faulty = tuple(problem.field for problem in checker.problems)
    for violation in find_violations(settings):
        # A rule that read a placeholder says nothing about the given value.
        if not violation.depends_on_any(faulty):
            checker.add_problem(violation.field, violation.found, violation.allowed)
    return Err(tuple(checker.problems)) if checker.problems else Ok(settings)
