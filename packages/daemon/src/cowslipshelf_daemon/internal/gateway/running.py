"""Run a gateway with an adapter as the daemon's process."""

import asyncio
import importlib
import socket
import sys
from typing import NoReturn

from result import Err, Ok

from cowslipshelf_daemon.internal.gateway.assembly import serve
from cowslipshelf_daemon.internal.process_exit import exit_process
from cowslipshelf_host.logs import (
    QueuedLineWriter,
    configure_queued_logs,
    part_logger,
)
from cowslipshelf_host.memory import return_freed_memory
from cowslipshelf_host.settings import LogSettings

LOG = part_logger("gateway")

EXIT_DONE = 0
EXIT_FAILED = 1
EXIT_BAD_SETTINGS = 6
EXIT_STUCK = 10


def run_gateway(adapter_name: str, early_listener: socket.socket | None) -> NoReturn:
    """Run a gateway with the named adapter package, and end the process.

    The package's module `gateway` provides `MachineSettings` and `MachinesDialect`.
    """
    adapter = importlib.import_module(f"{adapter_name}.gateway")
    source = adapter.MachineSettings.from_environment()
    match source.load():
        case Ok(settings):
            pass
        case Err(problem):
            print(problem, file=sys.stderr)
            exit_process(EXIT_BAD_SETTINGS)
    return_freed_memory()
    writer = configure_queued_logs(LogSettings(), sys.stdout)
    # The runner is not closed: that would wait for threads that write to a disk, and
    # the shutdown grace period leaves no time to cancel the remaining tasks.
    runner = asyncio.Runner()

    def end_stuck() -> None:
        end_with_logs(writer, EXIT_STUCK)

    try:
        dialect = adapter.MachinesDialect()
        runner.run(serve(settings, source, dialect, end_stuck, early_listener))
    except Exception:
        LOG.exception("Gateway failed.")
        end_with_logs(writer, EXIT_FAILED)
    end_with_logs(writer, EXIT_DONE)


def end_with_logs(writer: QueuedLineWriter, code: int) -> NoReturn:
    """Flush the logs and end the process."""
    writer.stop()
    exit_process(code)
