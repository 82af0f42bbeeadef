"""End the process once its work is done."""

import os
import sys
from typing import NoReturn


def exit_process(code: int) -> NoReturn:
    """End at once, without the interpreter's own end.

    That waits for threads which nobody stopped, for ever where one of them waits for a
    socket or a disk: the process serves nobody and stays until it is killed, and
    whoever watches processes starts no other one. Everything that must outlive the
    process was synced before it was acted on, so nothing is lost.
    """
    sys.stdout.flush()
    sys.stderr.flush()
    os._exit(code)
