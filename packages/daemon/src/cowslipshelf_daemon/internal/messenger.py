"""Deliver messages to instances by name or address, this one included."""

import threading
from collections.abc import Callable, Collection
from typing import NamedTuple

from cowslipshelf_core.announcing import EntryEndpoint, digest_entries
from cowslipshelf_core.identifiers import InstanceId
from cowslipshelf_core.messages import Message
from cowslipshelf_fleet.mailboxes import Mailbox


class Delivered(NamedTuple):
    """Be a message for an actor, from another process or from this one."""

    sender: InstanceId
    sender_address: str
    message: Message


class Messenger:
    """Know the entries' mailbox addresses and send to them; shared by the actors."""

    def __init__(self, instance: InstanceId, address: str) -> None:
        self.instance = instance
        self.address = address
        self.mailbox: Mailbox | None = None
        self.deliver_locally: Callable[[Delivered], None] | None = None
        self.lock = threading.Lock()
        self.addresses: dict[InstanceId, str] = {}
        self.entries_digest = ""
        self.add_entry(instance, address)

    def attach(
        self, mailbox: Mailbox, deliver_locally: Callable[[Delivered], None]
    ) -> None:
        """Begin to deliver; what was sent before is lost, as any message may be."""
        self.deliver_locally = deliver_locally
        self.mailbox = mailbox

    def add_entry(self, instance: InstanceId, address: str) -> None:
        """Remember where an entry instance is."""
        with self.lock:
            if self.addresses.get(instance) == address:
                return
            self.addresses[instance] = address
            places = [EntryEndpoint(*entry) for entry in self.addresses.items()]
            self.entries_digest = digest_entries(places)

    def entries(self) -> tuple[tuple[InstanceId, str], ...]:
        """List the entry instances known, this one included."""
        with self.lock:
            return tuple(self.addresses.items())

    def send_to_instance(self, instance: InstanceId, message: Message) -> None:
        """Send to an entry instance; a message to an unknown one is lost."""
        with self.lock:
            address = self.addresses.get(instance)
        if address is not None:
            self.send(address, message)

    def send(self, address: str, message: Message) -> None:
        """Send to an address, without the network where it is this process's own."""
        self.send_to_all((address,), message)

    def send_to_all(self, addresses: Collection[str], message: Message) -> None:
        """Send to some addresses; the message is encoded once."""
        if self.mailbox is None:
            return
        others = [address for address in addresses if address != self.address]
        if len(others) < len(addresses):
            self.deliver_locally(Delivered(self.instance, self.address, message))
        self.mailbox.send_to_all(others, message)

    def send_to_other_entries(self, message: Message) -> None:
        """Send to every other entry instance."""
        others = [each for each in self.entries() if each[0] != self.instance]
        self.send_to_all([address for _, address in others], message)
