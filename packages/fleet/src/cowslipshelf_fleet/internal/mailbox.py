"""Send and receive one-way messages between the system's own processes."""

import atexit
import logging
from collections.abc import Callable, Collection
from functools import cache
from random import Random, SystemRandom
from threading import Event, Lock, Thread
from time import monotonic, sleep
from typing import Any, NamedTuple

import pynng

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
)
from cowslipshelf_fleet.internal.link import FIRST_NUMBER_BITS, PeerLink
from cowslipshelf_fleet.internal.peer import Peer

logger = logging.getLogger(__name__)

TICKS_PER_HEARTBEAT = 4
MIN_HEARTBEATS_PER_SILENCE = 3
"""Heartbeats that must fit into the silence deadline."""
MAX_RECEIVED_QUEUE_MESSAGES = 256
FLUSH_POLL_SECONDS = 0.005
LIBRARY_UNLOAD_DELAY_SECONDS = 0.05
RECEIVE_LIMIT_FACTOR = 2
"""The library closes connections that send more; less is counted as oversized."""


@cache
def delay_library_unload() -> None:
    """Let the messaging library's threads finish before it is unloaded on exit.

    They finish what closing the sockets left to them a moment later, and the library
    aborts the process where it is unloaded meanwhile: a graceful shutdown would end
    with a signal. Functions for the exit run in the reverse order of registration, so
    this one runs after the mailboxes are stopped and before the library's own.
    """
    atexit.register(sleep, LIBRARY_UNLOAD_DELAY_SECONDS)


class MailboxConfig(NamedTuple):
    """Say who a mailbox is, where it listens and what it understands."""

    instance: InstanceId
    epoch: Epoch
    listen_address: str
    """IP:port; port 0 takes a free one, to be read from `Mailbox.address`."""
    cluster_key: bytes
    heartbeat_seconds: float
    silence_seconds: float
    """A connection that answers nothing for so long is closed and dialled anew."""
    message_types: Any
    """Union of the `Message` types that the mailbox may receive."""
    idle_seconds: float = 60.0
    """A peer that nothing is sent to for so long is disconnected."""
    max_message_bytes: int = 4 * 1024 * 1024
    max_unacknowledged_bytes: int = 8 * 1024 * 1024
    """Bytes that may wait for one peer, in memory or on their way."""
    flush_seconds: float = 0.5
    """Longest wait, on stopping, for what was sent to arrive."""


class Received(NamedTuple):
    """Be a message with what its envelope says of the sender."""

    sender: InstanceId
    sender_address: str
    sender_epoch: Epoch
    configuration_version: ConfigurationVersion
    message: Message


class Mailbox:
    """Exchange messages with any number of peers; any message may be lost."""

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
        self.listener: pynng.Pull0 | None = None
        self.threads: list[Thread] = []

    @classmethod
    def from_config(
        cls,
        config: MailboxConfig,
        receive: Callable[[Received], None],
        configuration_version: Callable[[], ConfigurationVersion],
    ) -> "Mailbox":
        """Make a mailbox that is not listening yet.

        `receive` runs on the mailbox's only receiving thread: while it works no
        other message is received and no heartbeat answered, so it must hand the
        message on and return. What it raises is logged and counted.
        """
        return cls(config, receive, configuration_version)

    @property
    def heartbeat_seconds(self) -> float:
        """Return the time between heartbeats, short enough for the silence deadline.

        An answer may take an interval and a round trip to be told; with only two
        intervals to the deadline, connections that work would be closed at times.
        """
        longest = self.config.silence_seconds / MIN_HEARTBEATS_PER_SILENCE
        return min(self.config.heartbeat_seconds, longest)

    @property
    def counters(self) -> MailboxCounters:
        """Return what was sent, received and dropped so far."""
        return self.counter_table.read()

    def start(self) -> None:
        """Listen and begin to receive; raise `pynng.AddressInUse` if that is taken."""
        self.listen()
        delay_library_unload()
        atexit.register(self.stop)
        for work in (self.receive_all, self.tick_all):
            thread = Thread(target=work, name=f"mailbox-{work.__name__}", daemon=True)
            thread.start()
            self.threads.append(thread)

    def listen(self) -> None:
        """Bind the listener and learn the real address."""
        self.listener = pynng.Pull0(
            recv_max_size=RECEIVE_LIMIT_FACTOR * self.config.max_message_bytes,
            recv_buffer_size=MAX_RECEIVED_QUEUE_MESSAGES,
        )
        bound = self.listener.listen(f"tcp://{self.config.listen_address}")
        self.address = bound.url.removeprefix("tcp://")

    def send(self, address: str, message: Message) -> None:
        """Send a message to the mailbox at the address; never wait, may lose it."""
        self.send_to_all((address,), message)

    def send_to_all(self, addresses: Collection[str], message: Message) -> None:
        """Send a message to several mailboxes; it is encoded and tagged once."""
        if not addresses:
            return
        data = self.encode(message)
        for address in addresses:
            if len(data) > self.config.max_message_bytes:
                self.counter_table.add(CountedEvent.TOO_LARGE)
            else:
                self.peer_at(address).send(data)

    def stop(self) -> None:
        """Let what was sent arrive, within a short time, and close everything.

        Closing a connection drops what still waits on it, and the last messages
        matter: a sidecar that has left says so in its last one. A process that ends
        without stopping its mailbox stops it on exit all the same: the library
        aborts the process where a thread still receives when it is unloaded.
        """
        atexit.unregister(self.stop)
        self.flush()
        self.stopping.set()
        if self.listener is not None:
            self.listener.close()
        for thread in self.threads:
            thread.join()
        with self.lock:
            peers = list(self.peers.values())
            self.peers.clear()
        for peer in peers:
            peer.close()

    def flush(self) -> None:
        """Wait until the peers have answered for all bytes sent, or for too long."""
        with self.lock:
            peers = list(self.peers.values())
        for peer in peers:
            peer.request_acknowledgement()
        end = monotonic() + self.config.flush_seconds
        while any(map(Peer.has_unacknowledged_bytes, peers)) and monotonic() < end:
            sleep(FLUSH_POLL_SECONDS)

    def encode(self, message: Message) -> bytes:
        """Put the message into an envelope, with the version in force right now."""
        envelope = Envelope(
            self.config.instance,
            self.address,
            self.config.epoch,
            self.configuration_version(),
            message,
        )
        return self.codec.encode(envelope)

    def peer_at(self, address: str) -> Peer:
        """Return the peer at the address, known or new."""
        with self.lock:
            peer = self.peers.get(address)
            if peer is None:
                peer = self.peers[address] = self.new_peer(address)
            return peer

    def new_peer(self, address: str) -> Peer:
        """Make a peer that is dialled when the first message is sent to it."""
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

    def receive_all(self) -> None:
        """Receive until the mailbox stops; the work of the receiving thread."""
        while not self.stopping.is_set():
            try:
                data = self.listener.recv()
            except pynng.Closed:
                return
            self.handle_data(data)

    def handle_data(self, data: bytes) -> None:
        """Handle one message's bytes, whatever they are."""
        envelope = self.codec.decode(data)
        if isinstance(envelope, Rejected):
            self.counter_table.add_rejection(envelope.reason)
            return
        self.counter_table.add_message(
            CountedEvent.RECEIVED, CountedEvent.RECEIVED_BYTES, len(data)
        )
        message = envelope.message
        known = self.peer_of_sender(envelope)
        if known is not None:
            known.record_received(message)
        if not isinstance(message, MailboxHeartbeat):
            self.deliver(envelope)

    def peer_of_sender(self, envelope: Envelope) -> Peer | None:
        """Return the sender as a peer; a heartbeat that wants answers makes it one.

        Did others do so too, two peers with nothing to say would take turns in
        making each other known again, and heartbeats would go on for ever.
        """
        match envelope.message:
            case MailboxHeartbeat(in_use=True):
                return self.peer_at(envelope.sender_address)
            case _:
                with self.lock:
                    return self.peers.get(envelope.sender_address)

    def deliver(self, envelope: Envelope) -> None:
        """Call the receiver; its failure must not end the receiving thread."""
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
        """Keep the connections' heartbeats; the work of the timer thread."""
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
