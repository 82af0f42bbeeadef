"""Run the daemon as `python -m cowslipshelf_daemon`."""

import sys
from importlib import import_module

from cowslipshelf_daemon.internal.early_listener import listen_early

GATEWAY = "gateway"


def run() -> int:
    """Run a gateway with the adapter that is named, or what the command line says.

    A gateway that was killed serves nobody until it has loaded again, so it loads
    nothing that only the other roles and the command line need.
    """
    match sys.argv[1:]:
        case [role, adapter] if role == GATEWAY:
            addresses = import_module(f"{adapter}.addresses")
            listener = listen_early(addresses.callers_address())
            from cowslipshelf_daemon.internal.gateway.running import run_gateway

            return run_gateway(adapter, listener)
        case _:
            from cowslipshelf_daemon.program import main

            return main()


if __name__ == "__main__":
    sys.exit(run())
