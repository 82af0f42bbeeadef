"""Pause processes, and know that they have stopped."""

import signal
from collections.abc import Sequence
from pathlib import Path

from local_fleet import LocalFleet, wait_until

STOPPED = "T"


def pause_processes(fleet: LocalFleet, names: Sequence[str]) -> None:
    """Pause processes, and return once all their threads have stopped.

    SIGSTOP returns before the process stops, and a thread may run for some more
    milliseconds where processors are scarce.
    """
    for name in names:
        fleet.send_signal(name, signal.SIGSTOP)
    for name in names:
        process_id = fleet.processes[name].pid
        wait_until(
            lambda process_id=process_id: has_stopped(process_id),
            f"the pause of {name}",
        )


def has_stopped(process_id: int) -> bool:
    """Say whether all threads of a process are stopped by a signal."""
    threads = Path(f"/proc/{process_id}/task").iterdir()
    return all(thread_state(thread) == STOPPED for thread in threads)


def thread_state(thread: Path) -> str:
    """Return the state letter of a thread, as in proc(5)."""
    status = (thread / "stat").read_text()
    # The command's name comes before the state, and may hold blanks and brackets.
    return status.rpartition(")")[2].split()[0]
