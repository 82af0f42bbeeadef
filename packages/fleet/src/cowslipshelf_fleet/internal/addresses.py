"""Parse and format the addresses of processes."""

from typing import NamedTuple


class HostPort(NamedTuple):
    """Hold an IP address and a port."""

    host: str
    port: int


def parse_address(address: str) -> HostPort:
    """Split `ip:port`, with an IPv6 address in brackets."""
    host, separator, port = address.rpartition(":")
    if not separator or not host or not port.isdecimal():
        raise ValueError(f"not an address of the form ip:port: {address!r}")
    return HostPort(host.removeprefix("[").removesuffix("]"), int(port))


def format_address(address: HostPort) -> str:
    """Format an address as `ip:port`, with an IPv6 address in brackets."""
    host = f"[{address.host}]" if ":" in address.host else address.host
    return f"{host}:{address.port}"
