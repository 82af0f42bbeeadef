"""Listen for callers before the rest of a gateway is loaded."""

import socket

BACKLOG = 512
"""Connections that wait while the gateway loads: as many as come in some seconds."""


def listen_early(address: str = "") -> socket.socket | None:
    """Open the callers' socket; return nothing where that can't be done yet.

    A gateway that was killed loads for some tenths of a second. Callers whose
    connections are refused meanwhile use up their retries at once; those that wait
    in the socket's queue are served. What can't be opened here is told when the
    gateway itself tries.
    """
    if not address:
        return None
    host, _, port = address.rpartition(":")
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((host, int(port)))
        listener.listen(BACKLOG)
        listener.setblocking(False)
    except (OSError, ValueError):
        listener.close()
        return None
    return listener
