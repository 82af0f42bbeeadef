"""Decide when a connection to a peer is dialled, asked, closed and forgotten."""

from dataclasses import dataclass
from random import Random

from cowslipshelf_fleet.internal.envelope import MailboxPing, MailboxPong

PINGS_PER_WINDOW = 4
"""Pings sent while a whole window of bytes is sent at once."""

LEAST_BACKOFF_SECONDS = 0.1


@dataclass(frozen=True, slots=True)
class DialAnew:
    """Open a new connection to the peer."""


@dataclass(frozen=True, slots=True)
class CloseConnection:
    """Close the connection; messages that wait on it are lost."""


@dataclass(frozen=True, slots=True)
class SendPing:
    """Send a ping on the present connection."""

    ping: MailboxPing


@dataclass(frozen=True, slots=True)
class ForgetPeer:
    """Close the connection and drop all that is known of the peer."""


LinkEffect = DialAnew | CloseConnection | SendPing | ForgetPeer


@dataclass(slots=True)
class PeerLink:
    """Decide for one peer; times are monotonic seconds given by the caller.

    Guards against a connection that has gone silent for good while new ones work:
    something between the ends has lost track of it, so messages are accepted for
    sending and never arrive, and no error is ever seen. Every connection is pinged
    for as long as it is used, and one that has gone unanswered for
    `silence_seconds` is closed and dialled anew. A pong names the connection of
    its ping, so an answer to an old connection can't vouch for the new one.
    """

    heartbeat_seconds: float
    silence_seconds: float
    idle_seconds: float
    most_unanswered_bytes: int
    needed_until: float
    """End of the time for which own messages want the connection."""
    asked_until: float
    """End of the time for which the peer wants answers to its pings."""
    connection: int = 0
    dialled: bool = False
    answered: bool = False
    answered_at: float = 0.0
    pinged_at: float = 0.0
    dial_at: float = 0.0
    failures: int = 0
    """Connections in a row that were closed without a single pong."""
    sent_bytes: int = 0
    """Bytes of messages, pings and pongs left out, on the present connection."""
    answered_bytes: int = 0
    pinged_bytes: int = 0

    def use(self, now: float) -> None:
        """Note that own messages want the connection."""
        self.needed_until = now + self.idle_seconds

    def admits(self, size: int) -> bool:
        """Tell whether a message may be sent now.

        A peer that is dead or slow could otherwise fill memory with messages that
        wait for it: the library counts messages, whatever their size.
        """
        if not self.dialled:
            return False
        unanswered = self.sent_bytes - self.answered_bytes
        return unanswered == 0 or unanswered + size <= self.most_unanswered_bytes

    def sent(self, size: int) -> None:
        """Note that a message was handed to the connection."""
        self.sent_bytes += size

    def wants_early_ping(self) -> bool:
        """Tell whether enough was sent that a pong is needed before the next tick."""
        unpinged = self.sent_bytes - self.pinged_bytes
        return unpinged * PINGS_PER_WINDOW >= self.most_unanswered_bytes

    def has_unanswered(self) -> bool:
        """Tell whether bytes were sent here that no pong has vouched for."""
        return self.dialled and self.sent_bytes > self.answered_bytes

    def dial(self, now: float) -> None:
        """Begin a new connection."""
        self.connection += 1
        self.dialled = True
        self.answered = False
        self.answered_at = now
        self.pinged_at = now - self.heartbeat_seconds
        self.sent_bytes = self.answered_bytes = self.pinged_bytes = 0

    def next_ping(self, now: float) -> MailboxPing:
        """Return a ping that vouches for all bytes sent so far."""
        self.pinged_at = now
        self.pinged_bytes = self.sent_bytes
        answering = now >= self.needed_until
        return MailboxPing(self.connection, self.sent_bytes, answering)

    def heard_ping(self, ping: MailboxPing, now: float) -> None:
        """Note that the peer wants answers.

        A ping that is itself sent only for the sake of answers prolongs nothing:
        two idle peers would otherwise keep each other awake for ever.
        """
        if not ping.answering:
            self.asked_until = now + self.silence_seconds

    def heard_pong(self, pong: MailboxPong, now: float) -> None:
        """Note that a connection was answered; only the present one counts."""
        if pong.connection != self.connection or not self.dialled:
            return
        self.answered = True
        self.answered_at = now
        self.answered_bytes = max(self.answered_bytes, pong.sent_bytes)
        self.failures = 0

    def heard_anything(self, now: float) -> None:
        """Note that the peer lives: a pause before the next dial is cut short."""
        self.dial_at = min(self.dial_at, now)

    def end_of_use(self) -> float:
        """Return when the peer can be forgotten, if nothing more is sent to it.

        After the own use the link stays until the peer has stopped pinging, which
        it does within the silence deadline of the last ping that asked for it. Let
        go earlier, and the peer's last pings would go unanswered; stay much longer,
        and the own last pings would. Either would close a connection that works.
        """
        last_pings = self.silence_seconds + self.heartbeat_seconds
        return max(self.needed_until + last_pings, self.asked_until)

    def tick(self, now: float, random: Random) -> list[LinkEffect]:
        """Return what is to be done now."""
        if now >= self.end_of_use():
            return [ForgetPeer()]
        if not self.dialled:
            return [DialAnew()] if now >= self.dial_at else []
        if now - self.answered_at >= self.silence_seconds:
            self.close(now, random)
            return [CloseConnection()]
        if now - self.pinged_at >= self.heartbeat_seconds:
            return [SendPing(self.next_ping(now))]
        return []

    def close(self, now: float, random: Random) -> None:
        """Note that the connection is closed, and choose when to dial anew.

        A connection that worked before is replaced at once. Where even a new one
        gets no answer the pauses grow up to the silence deadline, and jitter keeps
        many processes from dialling a returning peer at the same moment.
        """
        self.dialled = False
        self.failures = 0 if self.answered else self.failures + 1
        pause = LEAST_BACKOFF_SECONDS * 2 ** min(self.failures, 16)
        pause = min(pause, self.silence_seconds) if self.failures else 0.0
        self.dial_at = now + pause * random.uniform(0.5, 1.0)
