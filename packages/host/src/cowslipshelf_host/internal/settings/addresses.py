"""Parse addresses of the form IP:PORT."""

from ipaddress import IPv4Address, IPv6Address, ip_address
from typing import NamedTuple

MAX_PORT = 65_535


class NetworkAddress(NamedTuple):
    """Hold an IP address and a port."""

    ip: IPv4Address | IPv6Address
    port: int

    def conflicts_with(self, other: "NetworkAddress") -> bool:
        """Return whether one machine can't bind both addresses."""
        if self.port != other.port:
            return False
        same = self.ip == other.ip
        return same or self.ip.is_unspecified or other.ip.is_unspecified


class AddressError(ValueError):
    """Report why a text is not an address."""


def parse_address(text: str) -> NetworkAddress:
    """Parse IP:PORT, or raise `AddressError` with the reason."""
    host, colon, port = text.rpartition(":")
    if not colon:
        raise AddressError("without a port")
    if not (port.isascii() and port.isdigit()):
        raise AddressError("whose port is no number")
    # The length is checked first: Python refuses to convert very long numbers.
    if len(port) > len(str(MAX_PORT)) or not 1 <= int(port) <= MAX_PORT:
        raise AddressError(f"whose port is not between 1 and {MAX_PORT}")
    return NetworkAddress(parse_ip(host), int(port))


def parse_ip(host: str) -> IPv4Address | IPv6Address:
    """Parse an IP address, IPv6 in brackets, or raise `AddressError`."""
    bracketed = host.startswith("[") and host.endswith("]")
    try:
        ip = ip_address(host[1:-1] if bracketed else host)
    except ValueError:
        raise AddressError("a hostname where an IP number is needed") from None
    if bracketed != isinstance(ip, IPv6Address):
        raise AddressError("with brackets that do not fit: [IPv6]:PORT or IPv4:PORT")
    return ip
