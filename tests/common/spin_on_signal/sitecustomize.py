"""Make a process with this folder in its PYTHONPATH run forever on a signal.

The handler runs in the main thread, and an event loop there gets no further turn.
"""

import signal


def spin(*_: object) -> None:
    """Use processor time forever."""
    while True:
        pass


signal.signal(signal.SIGUSR1, spin)
