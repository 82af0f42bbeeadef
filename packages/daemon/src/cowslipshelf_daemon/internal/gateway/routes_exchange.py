"""Fetch newer configurations from other gateways, and send them this one's."""

import time
from collections.abc import Callable

from cowslipshelf_core.dialect import Dialect
from cowslipshelf_core.gateway import RoutesFetch, decompress_configuration
from cowslipshelf_core.identifiers import InstanceId
from cowslipshelf_core.messages import FetchRoutes, RoutesDocument, RoutesSnapshot
from cowslipshelf_daemon.internal.gateway.control_client import ControlClient
from cowslipshelf_daemon.internal.gateway.fleet_view import FleetView
from cowslipshelf_daemon.internal.messenger import Messenger
from cowslipshelf_host.logs import part_logger

LOG = part_logger("routes_exchange")


class RoutesExchange:
    """Hold the state of the current fetch."""

    def __init__(
        self,
        view: FleetView,
        messenger: Messenger,
        client: ControlClient,
        dialect: Dialect,
        send_alive: Callable[[], None],
    ) -> None:
        self.view = view
        self.messenger = messenger
        self.client = client
        self.dialect = dialect
        self.send_alive = send_alive
        """Announces to the other gateways which version is in force here."""
        self.fetch = RoutesFetch()
        self.copies = 0
        """Copies of configurations received, useful or not."""

    def answer(self, address: str, query: FetchRoutes) -> None:
        """Send the configuration in force to a gateway with an older one."""
        if self.view.document.version > query.have_version:
            self.messenger.send(address, RoutesSnapshot(self.view.document, False))

    def fetch_when_due(self) -> None:
        """Continue a fetch in progress; called several times a second."""
        if self.fetch.due is not None:
            self.fetch_newer()

    def fetch_newer(self) -> None:
        """Request a newer configuration from a peer, unless an answer is pending."""
        now = time.monotonic()
        peers = self.view.peers
        if self.fetch.is_waiting(lambda peer: peers.is_alive(peer, now), now):
            return
        have = self.view.document.version
        holders = peers.peers_with_newer(have, now)
        known = [peers.known[peer].alive for peer in holders]
        size = max((alive.routes_bytes for alive in known), default=0)
        waits = self.view.table is None
        chosen = self.fetch.next_peer(holders, size, waits, now)
        if chosen is None:
            return
        LOG.info(
            "Configuration asked for.",
            peer=chosen,
            version=max(alive.routes_version for alive in known),
            have=have,
            holders=len(holders),
            asked=len(self.fetch.asked),
            patience=round(self.fetch.due - now, 3),
        )
        address = self.view.settings.peer_address(chosen)
        self.messenger.send(address, FetchRoutes(have))

    def receive_snapshot(self, sender: InstanceId, snapshot: RoutesSnapshot) -> None:
        """Handle a peer's copy, the answer to a read, or the own replica's document."""
        document = snapshot.document
        if snapshot.query_id:
            self.client.record_answer(snapshot)
        elif sender != self.view.settings.instance:
            self.log_copy(sender, document)
        if document.body and self.apply_routes(document):
            self.fetch.record_copy(len(document.body), time.monotonic())

    def log_copy(self, sender: InstanceId, document: RoutesDocument) -> None:
        """Log and count a received copy; needless copies saturate links."""
        self.copies += 1
        LOG.info(
            "Configuration came.",
            peer=sender,
            version=document.version,
            have=self.view.document.version,
            bytes=len(document.body),
            since_asked_seconds=round(time.monotonic() - self.fetch.asked_at, 3),
            copies=self.copies,
        )

    def apply_routes(self, document: RoutesDocument) -> bool:
        """Put a newer configuration in force and announce it; return whether it was."""
        if document.version <= self.view.document.version:
            return False
        read = decompress_configuration(document.body).and_then(
            self.dialect.read_accepted
        )
        if read.is_err():
            # It was validated before it was accepted; only a gateway of another
            # software version can reject it, and keeps its configuration.
            LOG.error(
                "Configuration not understood.",
                version=document.version,
                reason=read.err_value,
            )
            return False
        self.view.apply_configuration(document, read.ok_value)
        self.send_alive()
        return True
