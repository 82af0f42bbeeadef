"""Fix the exit codes of the command line; scripts rely on them."""

from enum import IntEnum


class ExitCode(IntEnum):
    """Tell a script how a command ended."""

    DONE = 0
    FAULT = 1
    """A fault of the program itself."""
    USAGE = 2
    """The command line, or a file that it names, is wrong."""
    REFUSED = 3
    """An instance answered, and refused."""
    OUTDATED_PLAN = 4
    """Another change came first; a fresh plan waits where there can be one."""
    UNREACHABLE = 5
    """No instance answered, or none is ready; the same command may be sent again."""
    BAD_SETTINGS = 6
    NOT_WHOLE = 7
    """The load tool saw answers that were cut, or requests without any answer."""
