"""Run the gateway that an adapter describes, as the daemon's process."""

import asyncio
import importlib
import sys

from result import Err, Ok

from cowslipshelf_daemon.internal.gateway.assembly import serve
from cowslipshelf_host.logs import configure_logs
from cowslipshelf_host.settings import LogSettings

EXIT_DONE = 0
EXIT_BAD_SETTINGS = 6


def run_gateway(adapter_name: str) -> int:
    """Load an adapter by its module's name, and run a gateway with it.

    The module offers `load_gateway_settings()` and `MachinesDialect`.
    """
    adapter = importlib.import_module(adapter_name)
    configure_logs(LogSettings(), sys.stdout)
    match adapter.load_gateway_settings():
        case Ok(settings):
            asyncio.run(serve(settings, adapter.MachinesDialect()))
            return EXIT_DONE
        case Err(problem):
            print(problem, file=sys.stderr)
            return EXIT_BAD_SETTINGS
