"""Run the daemon as `python -m cowslipshelf_daemon`.

Either with what the command line of `cowslipshelfd` takes, or as a gateway: with the
word `gateway`, the package of the machines' adapter, and the address for callers.
"""

import sys

from cowslipshelf_daemon.internal.early_listener import listen_early

GATEWAY = "gateway"


def run() -> int:
    """Run a gateway, or what the command line says.

    A gateway that was killed serves nobody until it has loaded again, so it loads
    nothing that only the other roles and the command line need.
    """
    match sys.argv[1:]:
        case [role, adapter, *callers_address] if role == GATEWAY:
            listener = listen_early(*callers_address)
            from cowslipshelf_daemon.internal.gateway.running import run_gateway

            return run_gateway(adapter, listener)
        case _:
            from cowslipshelf_daemon.program import main

            return main()


if __name__ == "__main__":
    sys.exit(run())
