"""Run one role until a signal ends it."""

import sys
import threading
import time
import traceback
from collections.abc import Callable
from typing import NoReturn

from cowslipshelf_daemon.internal.entry.assembly import EntryRole, start_entry
from cowslipshelf_daemon.internal.errors import StartError
from cowslipshelf_daemon.internal.process_exit import exit_process
from cowslipshelf_daemon.internal.sidecar.assembly import SidecarRole, start_sidecar
from cowslipshelf_host.logs import configure_logs, part_logger
from cowslipshelf_host.memory import return_freed_memory
from cowslipshelf_host.settings import DaemonSettings
from cowslipshelf_host.signals import ShutdownSignals

LOG = part_logger("daemon")

EXIT_DONE = 0
EXIT_WORK_ABORTED = 1
EXIT_NOT_STARTED = 7

STOP_SECONDS = 6.0
"""Time for closing the servers, actors and sockets after the work is done. The
operators' server gives its last answers 5 s and the mailbox its last messages 0.5 s;
nothing else waits."""


class Shutdown:
    """Pass the signals from their callbacks to the main thread."""

    def __init__(self) -> None:
        self.begun = threading.Event()
        self.ended = threading.Event()

    def begin(self, signal_name: str) -> None:
        """Begin a graceful shutdown."""
        LOG.info("Shutdown begins.", signal=signal_name)
        self.begun.set()

    def end(self, signal_name: str) -> None:
        """End the shutdown, finished or not."""
        LOG.warning("Shutdown cut short.", signal=signal_name)
        self.ended.set()


def start_role(settings: DaemonSettings) -> EntryRole | SidecarRole:
    """Start the role of the settings."""
    match settings.role:
        case "entry":
            return start_entry(settings)
        case "sidecar":
            return start_sidecar(settings)


def run_daemon(
    settings: DaemonSettings,
    start_role: Callable[[DaemonSettings], EntryRole | SidecarRole] = start_role,
) -> NoReturn:
    """Run the role of the settings, and exit the process with its exit code.

    The servers' threads are not daemon threads. They keep running if they were not
    stopped because work was aborted or a part did not start.
    """
    code = run_role(settings, start_role)
    LOG.info("Ended.", code=code)
    exit_process(code)


def run_role(
    settings: DaemonSettings,
    start_role: Callable[[DaemonSettings], EntryRole | SidecarRole],
) -> int:
    """Run the role until it has left or was aborted; return the exit code."""
    configure_logs(settings.log)
    return_freed_memory()
    shutdown = Shutdown()
    signals = ShutdownSignals.from_callbacks(shutdown.begin, shutdown.end)
    signals.install()
    try:
        role = start_role(settings)
    except (StartError, OSError) as error:
        LOG.error("Not started.", step="start", error=str(error))
        return EXIT_NOT_STARTED
    LOG.info("Started.", instance=settings.instance, role=settings.role)
    shutdown.begun.wait()
    return leave(role, shutdown)


def leave(role: EntryRole | SidecarRole, shutdown: Shutdown) -> int:
    """Finish the running work, or abort it after a second signal."""
    finished = threading.Event()
    outcome: list[bool] = []
    began = time.monotonic()

    def finish() -> None:
        outcome.append(role.leave())
        finished.set()
        shutdown.ended.set()

    threading.Thread(target=finish, name="leave", daemon=True).start()
    shutdown.ended.wait()
    if not finished.is_set() or not outcome[0]:
        LOG.warning("Work was cut.", requests=role.running_work())
        return EXIT_WORK_ABORTED
    LOG.info("Work finished.", seconds=round(time.monotonic() - began, 3))
    stop(role)
    return EXIT_DONE


def stop(role: EntryRole | SidecarRole) -> None:
    """Close a role whose work is done; if that takes too long, log all threads.

    A socket or thread that does not close must not delay the exit: once the grace
    period is over, the process would be killed as if it had aborted work.
    """
    stopping = threading.Thread(target=role.stop, name="stop", daemon=True)
    stopping.start()
    stopping.join(STOP_SECONDS)
    if stopping.is_alive():
        LOG.error("Stop not finished.", threads=thread_stacks())


def thread_stacks() -> dict[str, str]:
    """Return the stack trace of each thread of this process, by name."""
    names = {thread.ident: thread.name for thread in threading.enumerate()}
    return {
        names.get(ident, str(ident)): "".join(traceback.format_stack(frame))
        for ident, frame in sys._current_frames().items()
    }
