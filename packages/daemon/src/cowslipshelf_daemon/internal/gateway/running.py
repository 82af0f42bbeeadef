"""Run the gateway that an adapter describes, as the daemon's process."""

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
from cowslipshelf_host.settings import LogSettings

LOG = part_logger("gateway")

EXIT_DONE = 0
EXIT_FAILED = 1
EXIT_BAD_SETTINGS = 6


def run_gateway(adapter_name: str, early_listener: socket.socket | None) -> NoReturn:
    """Run a gateway with an adapter, given by its package's name, and end the process.

    The package's module `gateway` offers `MachineSettings` and `MachinesDialect`.
    """
    adapter = importlib.import_module(f"{adapter_name}.gateway")
    source = adapter.MachineSettings.from_environment()
    match source.load():
        case Ok(settings):
            pass
        case Err(problem):
            print(problem, file=sys.stderr)
            exit_process(EXIT_BAD_SETTINGS)
    writer = configure_queued_logs(LogSettings(), sys.stdout)
    # Not closed: that would wait for threads which write to a disk, and at the end of
    # the grace there is no time to cancel what is left one by one.
    runner = asyncio.Runner()
    try:
        dialect = adapter.MachinesDialect()
        runner.run(serve(settings, source, dialect, early_listener))
    except Exception:
        LOG.exception("Gateway failed.")
        end_with_logs(writer, EXIT_FAILED)
    end_with_logs(writer, EXIT_DONE)


def end_with_logs(writer: QueuedLineWriter, code: int) -> NoReturn:
    """End the process once its log is written."""
    writer.stop()
    exit_process(code)
