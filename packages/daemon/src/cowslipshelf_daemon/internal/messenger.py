"""Send messages to instances by name or address, including this instance."""

import threading
from collections.abc import Callable, Collection
from typing import NamedTuple

from cowslipshelf_core.announcing import EntryEndpoint, digest_entries
from cowslipshelf_core.identifiers import InstanceId
from cowslipshelf_core.messages import Message
from cowslipshelf_fleet.mailboxes import Mailbox


class Delivered(NamedTuple):
    """Hold a message for an actor, from another process or from this one."""

    sender: InstanceId
    sender_address: str
    message: Message


class Messenger:
    """Send to entries by their known mailbox addresses; shared by the actors."""

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
        """Start to deliver; messages sent earlier are lost, as any message may be."""
        self.deliver_locally = deliver_locally
        self.mailbox = mailbox

    def add_entry(self, instance: InstanceId, address: str) -> None:
        """Record the address of an entry instance."""
        with self.lock:
            if self.addresses.get(instance) == address:
                return
            self.addresses[instance] = address
            places = [EntryEndpoint(*entry) for entry in self.addresses.items()]
            self.entries_digest = digest_entries(places)

    def entries(self) -> tuple[tuple[InstanceId, str], ...]:
        """Return the known entry instances with their addresses, including this one."""
        with self.lock:
            return tuple(self.addresses.items())

    def send_to_instance(self, instance: InstanceId, message: Message) -> None:
        """Send to an entry instance; a message to an unknown one is dropped."""
        with self.lock:
            address = self.addresses.get(instance)
        if address is not None:
            self.send(address, message)

    def send(self, address: str, message: Message) -> None:
        """Send to an address; to this process's own without using the network."""
        self.send_to_all((address,), message)

    def send_to_all(self, addresses: Collection[str], message: Message) -> None:
        """Send to several addresses; the message is encoded once."""
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
