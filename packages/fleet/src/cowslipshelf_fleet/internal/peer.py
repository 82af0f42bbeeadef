"""Manage the connection of a mailbox to one peer."""

from collections.abc import Callable
from random import Random
from threading import Lock
from time import monotonic

import pynng

from cowslipshelf_core.messages import Message
from cowslipshelf_fleet.internal.counters import CountedEvent, CounterTable
from cowslipshelf_fleet.internal.envelope import MailboxHeartbeat
from cowslipshelf_fleet.internal.link import (
    CloseConnection,
    ForgetPeer,
    OpenConnection,
    PeerLink,
    SendHeartbeat,
)

MAX_QUEUED_MESSAGES = 1024
"""Far more than a burst; the limit in bytes normally applies first."""
MIN_RECONNECT_MILLISECONDS = 50
MAX_RECONNECT_MILLISECONDS = 1000


class Peer:
    """Send to one peer over a push socket that is dialled lazily.

    No call blocks on the network.
    """

    def __init__(
        self,
        address: str,
        link: PeerLink,
        encode: Callable[[Message], bytes],
        counters: CounterTable,
    ) -> None:
        self.address = address
        self.link = link
        self.encode = encode
        self.counters = counters
        self.lock = Lock()
        self.socket: pynng.Push0 | None = None
        self.forgotten = False

    def send(self, data: bytes) -> None:
        """Send an encoded message, or count why it was dropped."""
        now = monotonic()
        with self.lock:
            self.link.record_use(now)
            self.dial_if_due(now)
            if not self.link.dialled:
                self.counters.add(CountedEvent.NOT_CONNECTED)
                return
            if not self.link.can_send(len(data)) or not self.try_send(data):
                self.counters.add(CountedEvent.NO_ROOM)
                return
            self.link.record_sent(len(data))
            early = self.link.needs_early_heartbeat()
            heartbeat = (
                self.link.next_heartbeat(now, reply_requested=True) if early else None
            )
        self.counters.add_message(CountedEvent.SENT, CountedEvent.SENT_BYTES, len(data))
        if heartbeat is not None:
            self.send_heartbeat(heartbeat)

    def send_heartbeat(self, heartbeat: MailboxHeartbeat) -> None:
        """Send a heartbeat; a lost one is followed by later ones."""
        data = self.encode(heartbeat)
        with self.lock:
            self.try_send(data)

    def record_received(self, message: Message) -> None:
        """Record that the peer sent a message."""
        with self.lock:
            self.link.record_alive(monotonic())
        if isinstance(message, MailboxHeartbeat):
            self.handle_heartbeat(message)

    def handle_heartbeat(self, heartbeat: MailboxHeartbeat) -> None:
        """Record a heartbeat, and answer it if requested."""
        now = monotonic()
        with self.lock:
            self.link.record_heartbeat(heartbeat, now)
            self.dial_if_due(now)
            must_answer = heartbeat.reply_requested and self.link.dialled
            answer = (
                self.link.next_heartbeat(now, reply_requested=False)
                if must_answer
                else None
            )
        if answer is not None:
            self.send_heartbeat(answer)

    def tick(self, random: Random) -> None:
        """Perform the actions that are due now."""
        now = monotonic()
        with self.lock:
            effects = self.link.tick(now, random)
        for effect in effects:
            match effect:
                case OpenConnection():
                    with self.lock:
                        self.dial_if_due(now)
                case SendHeartbeat(heartbeat):
                    self.send_heartbeat(heartbeat)
                case CloseConnection():
                    self.counters.add(CountedEvent.SILENT)
                    self.close()
                case ForgetPeer():
                    self.counters.add(CountedEvent.IDLE)
                    self.forgotten = True

    def request_acknowledgement(self) -> None:
        """Request an answer at once, if there are unacknowledged bytes."""
        with self.lock:
            if not self.link.has_unacknowledged_bytes():
                return
            heartbeat = self.link.next_heartbeat(monotonic(), reply_requested=True)
        self.send_heartbeat(heartbeat)

    def has_unacknowledged_bytes(self) -> bool:
        """Return whether sent bytes are not acknowledged yet."""
        with self.lock:
            return self.link.has_unacknowledged_bytes()

    def close(self) -> None:
        """Close the socket, outside the lock, since closing blocks on the library."""
        with self.lock:
            socket, self.socket = self.socket, None
        if socket is not None:
            socket.close()

    def dial_if_due(self, now: float) -> None:
        """Dial a connection, if there is none and the backoff is over."""
        if self.link.dialled or now < self.link.dial_at:
            return
        self.socket = pynng.Push0(
            send_buffer_size=MAX_QUEUED_MESSAGES,
            reconnect_time_min=MIN_RECONNECT_MILLISECONDS,
            reconnect_time_max=MAX_RECONNECT_MILLISECONDS,
        )
        self.socket.dial(f"tcp://{self.address}", block=False)
        self.link.dial(now)
        self.counters.add(CountedEvent.DIALLED)

    def try_send(self, data: bytes) -> bool:
        """Pass bytes to the socket without blocking; return whether it took them."""
        if self.socket is None:
            return False
        try:
            self.socket.send(data, block=False)
        except (pynng.TryAgain, pynng.Closed):
            return False
        return True
