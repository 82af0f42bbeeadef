"""Run one role until a signal asks it to end."""

import threading
from collections.abc import Callable

from cowslipshelf_daemon.internal.entry.assembly import EntryRole, start_entry
from cowslipshelf_daemon.internal.errors import StartError
from cowslipshelf_daemon.internal.sidecar.assembly import SidecarRole, start_sidecar
from cowslipshelf_host.logs import configure_logs, part_logger
from cowslipshelf_host.settings import DaemonSettings
from cowslipshelf_host.signals import ShutdownSignals

LOG = part_logger("daemon")

EXIT_DONE = 0
EXIT_CUT = 1
EXIT_NOT_STARTED = 7


class Shutdown:
    """Bring the signals' callbacks to the main thread."""

    def __init__(self) -> None:
        self.begun = threading.Event()
        self.ended = threading.Event()

    def begin(self, signal_name: str) -> None:
        """Begin a graceful shutdown."""
        LOG.info("Shutdown begins.", signal=signal_name)
        self.begun.set()

    def end(self, signal_name: str) -> None:
        """End it, finished or not."""
        LOG.warning("Shutdown cut short.", signal=signal_name)
        self.ended.set()


def start_role(settings: DaemonSettings) -> EntryRole | SidecarRole:
    """Start what the settings ask for."""
    match settings.role:
        case "entry":
            return start_entry(settings)
        case "sidecar":
            return start_sidecar(settings)


def run_daemon(
    settings: DaemonSettings,
    start_role: Callable[[DaemonSettings], EntryRole | SidecarRole] = start_role,
) -> int:
    """Run the role of the settings; return the process's exit code."""
    configure_logs(settings.log)
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
    """Leave gracefully, or at once after a second signal."""
    finished = threading.Event()
    outcome: list[bool] = []

    def finish() -> None:
        outcome.append(role.leave())
        finished.set()
        shutdown.ended.set()

    threading.Thread(target=finish, name="leave", daemon=True).start()
    shutdown.ended.wait()
    if not finished.is_set() or not outcome[0]:
        LOG.warning("Work was cut.", requests=role.running_work())
        return EXIT_CUT
    role.stop()
    LOG.info("Ended.")
    return EXIT_DONE
