"""Listen for callers before the rest of a gateway is imported."""

import socket

BACKLOG = 512
"""Connections that may queue while the gateway loads: those of a few seconds."""

RECEIVE_BUFFER_BYTES = 65_536
"""Bytes that the kernel may receive on a connection before they are read. Left to
itself, it takes megabytes, and all of them count as memory of the process."""


def listen_early(address: str = "") -> socket.socket | None:
    """Open the callers' socket; return None if that fails or no address is given.

    A restarted gateway takes some tenths of a second to load. Callers whose
    connections are refused meanwhile use up their retries at once, while those in
    the socket's queue get served. A failure here is reported when the gateway itself
    opens the socket.
    """
    if not address:
        return None
    try:
        return listen(address)
    except (OSError, ValueError):
        return None


def listen(address: str) -> socket.socket:
    """Return a non-blocking socket that listens on an address, given as IP and port."""
    host, _, port = address.rpartition(":")
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    listener = socket.socket(family, socket.SOCK_STREAM)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        # Accepted connections inherit it.
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        listener.bind((host.strip("[]"), int(port)))
        listener.listen(BACKLOG)
        listener.setblocking(False)
    except (OSError, ValueError):
        listener.close()
        raise
    return listener
