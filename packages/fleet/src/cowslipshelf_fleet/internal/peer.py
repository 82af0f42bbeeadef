"""Own the connection of a mailbox to one peer."""

from collections.abc import Callable
from random import Random
from threading import Lock
from time import monotonic

import pynng

from cowslipshelf_core.messages import Message
from cowslipshelf_fleet.internal.counters import CountedEvent, CounterTable
from cowslipshelf_fleet.internal.envelope import MailboxPing, MailboxPong
from cowslipshelf_fleet.internal.link import (
    CloseConnection,
    DialAnew,
    ForgetPeer,
    PeerLink,
    SendPing,
)

QUEUED_MESSAGES = 4096
"""Far more than a burst; what may wait is bounded in bytes first."""
LEAST_REDIAL_MILLISECONDS = 50
MOST_REDIAL_MILLISECONDS = 1000


class Peer:
    """Send to one peer over a push socket that is dialled lazily.

    Every call is short: nothing here waits for the network.
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
        """Send encoded bytes, or count why they were dropped."""
        now = monotonic()
        with self.lock:
            self.link.use(now)
            self.dial_if_due(now)
            if not self.link.dialled:
                self.counters.add(CountedEvent.NOT_CONNECTED)
                return
            if not self.link.admits(len(data)) or not self.push(data):
                self.counters.add(CountedEvent.NO_ROOM)
                return
            self.link.sent(len(data))
            ping = self.link.next_ping(now) if self.link.wants_early_ping() else None
        self.counters.add_message(CountedEvent.SENT, CountedEvent.SENT_BYTES, len(data))
        if ping is not None:
            self.send_own(ping)

    def send_own(self, message: MailboxPing | MailboxPong) -> None:
        """Send a message of the mailbox itself; a lost one is sent again in time."""
        data = self.encode(message)
        with self.lock:
            self.dial_if_due(monotonic())
            self.push(data)

    def answer(self, ping: MailboxPing) -> None:
        """Answer a ping over the own connection to the peer."""
        with self.lock:
            self.link.heard_ping(ping, monotonic())
        self.send_own(MailboxPong(ping.connection, ping.sent_bytes))

    def heard(self, message: Message) -> None:
        """Note that the peer sent something."""
        now = monotonic()
        with self.lock:
            self.link.heard_anything(now)
            if isinstance(message, MailboxPong):
                self.link.heard_pong(message, now)

    def tick(self, random: Random) -> None:
        """Do what is due now."""
        now = monotonic()
        with self.lock:
            effects = self.link.tick(now, random)
        for effect in effects:
            match effect:
                case DialAnew():
                    with self.lock:
                        self.dial_if_due(now)
                case SendPing(ping):
                    self.send_own(ping)
                case CloseConnection():
                    self.counters.add(CountedEvent.SILENT)
                    self.close()
                case ForgetPeer():
                    self.counters.add(CountedEvent.IDLE)
                    self.forgotten = True

    def ask_for_answer(self) -> None:
        """Ping, where bytes were sent that no pong has vouched for."""
        with self.lock:
            if not self.link.has_unanswered():
                return
            ping = self.link.next_ping(monotonic())
        self.send_own(ping)

    def has_unanswered(self) -> bool:
        """Tell whether bytes were sent that no pong has vouched for."""
        with self.lock:
            return self.link.has_unanswered()

    def close(self) -> None:
        """Close the socket; outside the lock, as closing waits for the library."""
        with self.lock:
            socket, self.socket = self.socket, None
        if socket is not None:
            socket.close()

    def dial_if_due(self, now: float) -> None:
        """Open the connection where there is none and its pause is over."""
        if self.link.dialled or now < self.link.dial_at:
            return
        self.socket = pynng.Push0(
            send_buffer_size=QUEUED_MESSAGES,
            reconnect_time_min=LEAST_REDIAL_MILLISECONDS,
            reconnect_time_max=MOST_REDIAL_MILLISECONDS,
        )
        self.socket.dial(f"tcp://{self.address}", block=False)
        self.link.dial(now)
        self.counters.add(CountedEvent.DIALLED)

    def push(self, data: bytes) -> bool:
        """Hand bytes to the socket without waiting; tell whether it took them."""
        if self.socket is None:
            return False
        try:
            self.socket.send(data, block=False)
        except (pynng.TryAgain, pynng.Closed):
            return False
        return True
