"""Configure the server for callers and its limits."""

from typing import NamedTuple

MEBIBYTE = 1_048_576


class CallersServerConfig(NamedTuple):
    """Hold the listen address and the limits of the server for callers."""

    listen_address: str
    """IP:port; port 0 takes a free port."""
    max_open_calls: int = 1024
    """Concurrent calls, one thread each; more are refused at once.

    At the target load, 8,400 requests per second that stream for 16 seconds each come
    to 350 for each of 400 daemons; the rest is spare for when daemons are lost.
    """
    min_threads: int = 4
    max_idle_connections: int = 2048
    """Connections that wait for a call, without a thread each."""
    max_header_bytes: int = 32_768
    max_body_bytes: int = 16 * MEBIBYTE
    idle_seconds: float = 60.0
    """Time that a connection may wait for its next call."""
    request_seconds: float = 30.0
    """Time limit for receiving a whole call, from its first byte."""
    write_seconds: float = 10.0
    """Time limit for the caller to take each chunk of its answer."""
    send_buffer_bytes: int = 131_072
    """Size of the kernel's send buffer, which fills if a caller does not read."""
