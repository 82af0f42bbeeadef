"""Export the gateway's settings for the adapter of the machines' protocol."""

from cowslipshelf_daemon.internal.gateway.settings import GatewaySettings

__all__ = ["GatewaySettings"]
