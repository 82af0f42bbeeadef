"""Define the exit codes of the command line, which scripts rely on."""

from enum import IntEnum


class ExitCode(IntEnum):
    """Enumerate how a command can end."""

    DONE = 0
    FAULT = 1
    USAGE = 2
    REFUSED = 3
    OUTDATED_PLAN = 4
    UNREACHABLE = 5
    BAD_SETTINGS = 6
    NOT_WHOLE = 7
    INTERRUPTED = 130


MEANINGS = {
    ExitCode.DONE: "done",
    ExitCode.FAULT: "fault of the program itself",
    ExitCode.USAGE: "wrong command line, or a file that it names",
    ExitCode.REFUSED: "an instance answered and refused",
    ExitCode.OUTDATED_PLAN: "another change came first; a fresh plan is shown",
    ExitCode.UNREACHABLE: "no instance answered or was ready; send it again",
    ExitCode.BAD_SETTINGS: "settings with problems",
    ExitCode.NOT_WHOLE: "answers that were cut, or requests without any (load)",
    ExitCode.INTERRUPTED: "interrupted",
}


def meanings_text() -> str:
    """List all exit codes and their meanings in one sentence."""
    return "; ".join(f"{code.value} {meaning}" for code, meaning in MEANINGS.items())
