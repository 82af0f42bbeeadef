"""Send and receive one-way messages between the processes of the system."""

import atexit
import logging
from collections.abc import Callable, Collection
from functools import cache
from random import Random, SystemRandom
from threading import Event, Lock, Thread
from time import monotonic, sleep
from typing import Any, NamedTuple

from cowslipshelf_core.identifiers import ConfigurationVersion, Epoch, InstanceId
from cowslipshelf_core.messages import Message
from cowslipshelf_fleet.internal.counters import (
    CountedEvent,
    CounterTable,
    MailboxCounters,
)
from cowslipshelf_fleet.internal.envelope import (
    Envelope,
    EnvelopeCodec,
    MailboxHeartbeat,
    Rejected,
    RejectionReason,
)
from cowslipshelf_fleet.internal.inbound import InboundConfig, InboundMessages
from cowslipshelf_fleet.internal.link import FIRST_NUMBER_BITS, PeerLink
from cowslipshelf_fleet.internal.peer import Peer

logger = logging.getLogger(__name__)

TICKS_PER_HEARTBEAT = 4
MIN_HEARTBEATS_PER_SILENCE = 3
"""Heartbeat intervals that must fit into the silence timeout."""
FLUSH_POLL_SECONDS = 0.005
LIBRARY_UNLOAD_DELAY_SECONDS = 0.05


@cache
def delay_library_unload() -> None:
    """Let the threads of the messaging library finish before it is unloaded on exit.

    They finish closing the sockets in the background, and the library aborts the
    process if it is unloaded meanwhile: a graceful shutdown would end with a signal.
    Exit handlers run in reverse order of registration, so this one runs after the
    mailboxes are stopped and before the library's own.
    """
    atexit.register(sleep, LIBRARY_UNLOAD_DELAY_SECONDS)


class MailboxConfig(NamedTuple):
    """Configure the identity, the address and the message types of a mailbox."""

    instance: InstanceId
    epoch: Epoch
    listen_address: str
    """IP:port; port 0 picks a free port, see `Mailbox.address`."""
    cluster_key: bytes
    heartbeat_seconds: float
    silence_seconds: float
    """Time without an acknowledgement after which a connection is dialled again."""
    message_types: Any
    """Union of the `Message` types that the mailbox can receive."""
    idle_seconds: float = 60.0
    """Time without messages to a peer after which it is disconnected."""
    max_message_bytes: int = 4 * 1024 * 1024
    max_begun_bytes: int = 12 * 1024 * 1024
    """Limit on the bytes of all messages that have begun to arrive."""
    max_unacknowledged_bytes: int = 8 * 1024 * 1024
    """Limit on bytes queued or in flight to one peer."""
    flush_seconds: float = 0.5
    """Maximum wait for sent messages to be acknowledged when stopping."""


class Received(NamedTuple):
    """Hold a received message and the sender details from its envelope."""

    sender: InstanceId
    sender_address: str
    sender_epoch: Epoch
    configuration_version: ConfigurationVersion
    message: Message


class Mailbox:
    """Exchange messages with any number of peers, without a delivery guarantee."""

    def __init__(
        self,
        config: MailboxConfig,
        receive: Callable[[Received], None],
        configuration_version: Callable[[], ConfigurationVersion],
    ) -> None:
        self.config = config
        self.receive = receive
        self.configuration_version = configuration_version
        self.address = config.listen_address
        self.codec = EnvelopeCodec.from_config(
            config.cluster_key, config.message_types, config.max_message_bytes
        )
        self.counter_table = CounterTable()
        self.peers: dict[str, Peer] = {}
        self.lock = Lock()
        self.random: Random = SystemRandom()
        self.stopping = Event()
        self.inbound = InboundMessages(
            InboundConfig(
                config.listen_address, config.max_message_bytes, config.max_begun_bytes
            ),
            self.handle_data,
            lambda: self.counter_table.add_rejection(RejectionReason.OVERSIZED),
        )
        self.threads: list[Thread] = []

    @classmethod
    def from_config(
        cls,
        config: MailboxConfig,
        receive: Callable[[Received], None],
        configuration_version: Callable[[], ConfigurationVersion],
    ) -> "Mailbox":
        """Create a mailbox that is not listening yet.

        `receive` runs on the mailbox's only receiving thread: until it returns, no
        other message is received and no heartbeat is answered, so it must pass the
        message on and return. Its exceptions are logged and counted.
        """
        return cls(config, receive, configuration_version)

    @property
    def heartbeat_seconds(self) -> float:
        """Return the heartbeat interval, shortened to suit the silence timeout.

        An acknowledgement may take an interval and a round trip to arrive; if the
        timeout had only two intervals, working connections would sometimes be closed.
        """
        longest = self.config.silence_seconds / MIN_HEARTBEATS_PER_SILENCE
        return min(self.config.heartbeat_seconds, longest)

    @property
    def counters(self) -> MailboxCounters:
        """Return the counters of messages and connections so far."""
        return self.counter_table.read()

    def start(self) -> None:
        """Listen and start the threads; raise `OSError` if the address is taken."""
        self.address = self.inbound.listen()
        delay_library_unload()
        atexit.register(self.stop)
        works = {"receive": self.inbound.run, "tick": self.tick_all}
        for name, work in works.items():
            thread = Thread(target=work, name=f"mailbox-{name}", daemon=True)
            thread.start()
            self.threads.append(thread)

    def send(self, address: str, message: Message) -> None:
        """Send a message to the mailbox at the address; never block, may lose it."""
        self.send_to_all((address,), message)

    def send_to_all(self, addresses: Collection[str], message: Message) -> None:
        """Send a message to several mailboxes, encoded and tagged only once."""
        if not addresses:
            return
        data = self.encode(message)
        for address in addresses:
            if len(data) > self.config.max_message_bytes:
                self.counter_table.add(CountedEvent.TOO_LARGE)
            else:
                self.peer_at(address).send(data)

    def stop(self) -> None:
        """Wait briefly for sent messages to arrive, and close everything.

        Closing a connection drops the messages still queued on it, and the last ones
        matter: a sidecar that has left announces it in its last one. An exit handler
        stops the mailbox if the process does not, since the library aborts the process
        if a thread is still receiving when it is unloaded.
        """
        atexit.unregister(self.stop)
        self.flush()
        self.stopping.set()
        self.inbound.stop()
        for thread in self.threads:
            thread.join()
        with self.lock:
            peers = list(self.peers.values())
            self.peers.clear()
        for peer in peers:
            peer.close()

    def flush(self) -> None:
        """Wait until the peers have acknowledged all bytes, or for `flush_seconds`."""
        with self.lock:
            peers = list(self.peers.values())
        for peer in peers:
            peer.request_acknowledgement()
        end = monotonic() + self.config.flush_seconds
        while any(map(Peer.has_unacknowledged_bytes, peers)) and monotonic() < end:
            sleep(FLUSH_POLL_SECONDS)

    def encode(self, message: Message) -> bytes:
        """Encode the message in an envelope with the current configuration version."""
        envelope = Envelope(
            self.config.instance,
            self.address,
            self.config.epoch,
            self.configuration_version(),
            message,
        )
        return self.codec.encode(envelope)

    def peer_at(self, address: str) -> Peer:
        """Return the peer at the address, creating it if needed."""
        with self.lock:
            peer = self.peers.get(address)
            if peer is None:
                peer = self.peers[address] = self.new_peer(address)
            return peer

    def new_peer(self, address: str) -> Peer:
        """Create a peer that is dialled when the first message is sent to it."""
        now = monotonic()
        link = PeerLink(
            heartbeat_seconds=self.heartbeat_seconds,
            silence_seconds=self.config.silence_seconds,
            idle_seconds=self.config.idle_seconds,
            max_unacknowledged_bytes=self.config.max_unacknowledged_bytes,
            needed_until=now,
            peer_needed_until=now + self.config.silence_seconds,
            last_number=self.random.getrandbits(FIRST_NUMBER_BITS),
        )
        return Peer(address, link, self.encode, self.counter_table)

    def handle_data(self, data: bytes) -> bool:
        """Handle the bytes of one message; return whether they were valid."""
        envelope = self.codec.decode(data)
        if isinstance(envelope, Rejected):
            self.counter_table.add_rejection(envelope.reason)
            return False
        self.counter_table.add_message(
            CountedEvent.RECEIVED, CountedEvent.RECEIVED_BYTES, len(data)
        )
        message = envelope.message
        known = self.peer_of_sender(envelope)
        if known is not None:
            known.record_received(message)
        if not isinstance(message, MailboxHeartbeat):
            self.deliver(envelope)
        return True

    def peer_of_sender(self, envelope: Envelope) -> Peer | None:
        """Return the sender as a peer; only a heartbeat with `in_use` creates one.

        If other messages created peers too, two idle peers would keep recreating each
        other, and their heartbeats would never end.
        """
        match envelope.message:
            case MailboxHeartbeat(in_use=True):
                return self.peer_at(envelope.sender_address)
            case _:
                with self.lock:
                    return self.peers.get(envelope.sender_address)

    def deliver(self, envelope: Envelope) -> None:
        """Call the receiver, whose exceptions must not end the receiving thread."""
        received = Received(
            envelope.sender,
            envelope.sender_address,
            envelope.sender_epoch,
            envelope.configuration_version,
            envelope.message,
        )
        try:
            self.receive(received)
        except Exception:
            self.counter_table.add(CountedEvent.RECEIVER_FAILED)
            logger.exception("mailbox: receiver failed on %s", type(envelope.message))

    def tick_all(self) -> None:
        """Run the periodic work of all connections, on the timer thread."""
        interval = self.heartbeat_seconds / TICKS_PER_HEARTBEAT
        while not self.stopping.wait(interval):
            with self.lock:
                peers = list(self.peers.values())
            for peer in peers:
                peer.tick(self.random)
                if peer.forgotten:
                    self.forget(peer)

    def forget(self, peer: Peer) -> None:
        """Drop a peer and close its connection."""
        with self.lock:
            del self.peers[peer.address]
        peer.close()
