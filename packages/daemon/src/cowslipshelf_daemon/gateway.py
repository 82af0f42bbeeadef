"""Offer the gateway, which serves requests by route, to the adapter of its machines."""

from cowslipshelf_daemon.internal.gateway.settings import GatewaySettings

__all__ = ["GatewaySettings"]
