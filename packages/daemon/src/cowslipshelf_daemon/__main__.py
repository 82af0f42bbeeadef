"""Run the daemon as `python -m cowslipshelf_daemon`.

With the arguments of `cowslipshelfd`, or as a gateway with the arguments `gateway`, the
name of the adapter package and, optionally, the address for callers.
"""

import sys

from cowslipshelf_daemon.internal.early_listener import listen_early

GATEWAY = "gateway"


def run() -> int:
    """Run a gateway, or what the command line asks for.

    A gateway that was killed serves nobody until it has loaded again. To load fast, it
    imports nothing that only the other roles or the command line need.
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
