"""Dispatch the messages that arrive at an entry to its actors."""

from typing import NamedTuple

from pykka import ActorRef

from cowslipshelf_core.agreement import ProposalResult
from cowslipshelf_core.configuration_view import VersionSeen
from cowslipshelf_core.gateway import PromptPartsTold, SuspectRequestsTold
from cowslipshelf_core.messages import (
    Announce,
    ConfigurationSnapshot,
    EntryAlive,
    FetchConfiguration,
    Suspect,
    Withdraw,
)
from cowslipshelf_daemon.internal.entry.configuration_in_force import (
    ConfigurationInForce,
)
from cowslipshelf_daemon.internal.messenger import Delivered
from cowslipshelf_daemon.internal.suspect_requests import SuspectRequests
from cowslipshelf_fleet.mailboxes import Received


class MessageDispatcher(NamedTuple):
    """Dispatch messages to the actors of one entry."""

    routing: ActorRef
    configuration: ActorRef
    proposal_client: ActorRef
    replica: ActorRef | None
    in_force: ConfigurationInForce
    suspects: SuspectRequests

    def receive(self, received: Received) -> None:
        """Dispatch a message from another process; runs on the mailbox's thread."""
        version = received.configuration_version
        if version > self.in_force.index.configuration.version:
            seen = VersionSeen(received.sender_address, version)
            self.configuration.tell(seen)
        match received.message:
            case Announce() | Withdraw() | Suspect() | EntryAlive():
                self.routing.tell(received)
            case SuspectRequestsTold() as told:
                self.suspects.merge_reports(received.sender, told)
            case PromptPartsTold() as told:
                self.suspects.parts.merge_report(received.sender, told)
            case message:
                delivered = Delivered(received.sender, received.sender_address, message)
                self.deliver(delivered)

    def deliver(self, delivered: Delivered) -> None:
        """Dispatch a message from this process or another to its actor."""
        match delivered.message:
            case ConfigurationSnapshot():
                self.configuration.tell(delivered)
            case ProposalResult():
                self.proposal_client.tell(delivered)
            case FetchConfiguration() if self.replica is None:
                self.configuration.tell(delivered)
            case _ if self.replica is not None:
                self.replica.tell(delivered)
