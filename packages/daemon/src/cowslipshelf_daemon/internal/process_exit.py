"""Exit the process once its work is done."""

import os
import sys
from typing import NoReturn


def exit_process(code: int) -> NoReturn:
    """Exit at once, without the interpreter's own shutdown.

    The interpreter waits for all threads that were not stopped, and waits forever if
    one of them is blocked on a socket or a disk. The process would then serve nobody
    until it is killed, and its supervisor would not start another one. Nothing is
    lost, because everything that must outlive the process was synced before it was
    acted on.
    """
    sys.stdout.flush()
    sys.stderr.flush()
    os._exit(code)
