"""Run the gateway that an adapter describes, as the daemon's process."""

import asyncio
import importlib
import socket
import sys

from result import Err, Ok

from cowslipshelf_daemon.internal.gateway.assembly import serve
from cowslipshelf_host.logs import configure_queued_logs
from cowslipshelf_host.settings import LogSettings

EXIT_DONE = 0
EXIT_BAD_SETTINGS = 6


def run_gateway(adapter_name: str, early_listener: socket.socket | None) -> int:
    """Run a gateway with an adapter, given by its package's name.

    The package's module `gateway` offers `MachineSettings` and `MachinesDialect`.
    """
    adapter = importlib.import_module(f"{adapter_name}.gateway")
    source = adapter.MachineSettings.from_environment()
    match source.load():
        case Ok(settings):
            pass
        case Err(problem):
            print(problem, file=sys.stderr)
            return EXIT_BAD_SETTINGS
    writer = configure_queued_logs(LogSettings(), sys.stdout)
    try:
        dialect = adapter.MachinesDialect()
        asyncio.run(serve(settings, source, dialect, early_listener))
    finally:
        writer.stop()
    return EXIT_DONE
