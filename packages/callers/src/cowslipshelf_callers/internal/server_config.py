"""Bound what callers may cost."""

from typing import NamedTuple

MEBIBYTE = 1_048_576


class CallersServerConfig(NamedTuple):
    """Say where callers are served, and their limits."""

    listen_address: str
    """IP:port; port zero takes a free one."""
    max_open_calls: int = 1024
    """Calls at a time, one thread each; more are refused at once.

    At the size that the project aims for, 8,400 requests a second that stream for 16
    seconds each come to 350 for each of 400 daemons; the rest is for lost daemons.
    """
    min_threads: int = 4
    max_idle_connections: int = 2048
    """Connections that wait for a call without a thread."""
    max_header_bytes: int = 32_768
    max_body_bytes: int = 16 * MEBIBYTE
    idle_seconds: float = 60.0
    """How long a connection may wait for its next call."""
    request_seconds: float = 30.0
    """Time in which a call has to be sent whole, from its first byte."""
    write_seconds: float = 10.0
    """Time in which the caller has to take each piece of its answer."""
    send_buffer_bytes: int = 131_072
    """What the kernel holds for a caller that does not read."""
