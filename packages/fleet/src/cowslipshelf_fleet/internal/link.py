"""Decide when a connection to a peer is dialled, asked, closed and forgotten."""

from dataclasses import dataclass
from random import Random

from cowslipshelf_fleet.internal.envelope import MailboxHeartbeat

HEARTBEATS_PER_WINDOW = 16
"""Heartbeats sent while a whole window of bytes is sent at once."""

FOLLOWER_INTERVAL_FACTOR = 1.5

FIRST_NUMBER_BITS = 32

MIN_BACKOFF_SECONDS = 0.1


@dataclass(frozen=True, slots=True)
class OpenConnection:
    """Open a new connection to the peer."""


@dataclass(frozen=True, slots=True)
class CloseConnection:
    """Close the connection; messages that wait on it are lost."""


@dataclass(frozen=True, slots=True)
class SendHeartbeat:
    """Send a heartbeat on the present connection."""

    heartbeat: MailboxHeartbeat


@dataclass(frozen=True, slots=True)
class ForgetPeer:
    """Close the connection and drop all that is known of the peer."""


LinkEffect = OpenConnection | CloseConnection | SendHeartbeat | ForgetPeer


@dataclass(slots=True)
class PeerLink:
    """Decide for one peer; times are monotonic seconds given by the caller.

    Guards against a connection that has gone silent for good while new ones work:
    something between the ends has lost track of it, so messages are accepted for
    sending and never arrive, and no error is ever seen. Heartbeats are sent on
    every connection for as long as it is used, and the peer's own heartbeats say
    which it heard. A connection on which none was heard for `silence_seconds` is
    closed and dialled anew. Numbers never repeat and begin at random, so neither
    an answer to an old connection, nor one to an earlier start of this process,
    nor the same answer told again can vouch for the present connection.
    """

    heartbeat_seconds: float
    silence_seconds: float
    idle_seconds: float
    max_unacknowledged_bytes: int
    needed_until: float
    """End of the time for which own messages want the connection."""
    peer_needed_until: float
    """End of the time for which the peer wants answers to its heartbeats."""
    last_number: int
    """Number of the last heartbeat sent."""
    first_number: int = 0
    """Number of the present connection's first heartbeat."""
    acknowledged_number: int = 0
    received_number: int = 0
    received_bytes: int = 0
    dialled: bool = False
    acknowledged_at: float = 0.0
    heartbeat_sent_at: float = 0.0
    dial_at: float = 0.0
    failures: int = 0
    """Connections in a row that were closed without a single answer."""
    sent_bytes: int = 0
    """Bytes of messages, heartbeats left out, on the present connection."""
    acknowledged_bytes: int = 0
    heartbeat_sent_bytes: int = 0

    def record_use(self, now: float) -> None:
        """Note that own messages want the connection."""
        self.needed_until = now + self.idle_seconds

    def can_send(self, size: int) -> bool:
        """Tell whether a message may be sent now.

        A peer that is dead or slow could otherwise fill memory with messages that
        wait for it: the library counts messages, whatever their size.
        """
        if not self.dialled:
            return False
        unanswered = self.sent_bytes - self.acknowledged_bytes
        return unanswered == 0 or unanswered + size <= self.max_unacknowledged_bytes

    def record_sent(self, size: int) -> None:
        """Note that a message was handed to the connection."""
        self.sent_bytes += size

    def needs_early_heartbeat(self) -> bool:
        """Tell whether an answer is needed before the next tick, for all the bytes."""
        unbeaten = self.sent_bytes - self.heartbeat_sent_bytes
        return unbeaten * HEARTBEATS_PER_WINDOW >= self.max_unacknowledged_bytes

    def has_unacknowledged_bytes(self) -> bool:
        """Tell whether bytes were sent here that no heartbeat has vouched for."""
        return self.dialled and self.sent_bytes > self.acknowledged_bytes

    def dial(self, now: float) -> None:
        """Begin a new connection."""
        self.dialled = True
        self.first_number = self.last_number + 1
        self.acknowledged_number = 0
        self.acknowledged_at = now
        self.heartbeat_sent_at = now - self.heartbeat_seconds
        self.sent_bytes = self.acknowledged_bytes = self.heartbeat_sent_bytes = 0

    def heartbeat_interval(self) -> float:
        """Return the time between heartbeats that are not answers.

        An answer is a heartbeat too. So it is enough that one side begins, and the
        side with the lower number leaves that to the other one, for as long as it
        does: two messages in each interval instead of four.
        """
        leads = self.last_number > self.received_number
        return self.heartbeat_seconds * (1.0 if leads else FOLLOWER_INTERVAL_FACTOR)

    def next_heartbeat(self, now: float, reply_requested: bool) -> MailboxHeartbeat:
        """Return a heartbeat that vouches for all bytes sent so far."""
        self.last_number += 1
        self.heartbeat_sent_at = now
        self.heartbeat_sent_bytes = self.sent_bytes
        return MailboxHeartbeat(
            number=self.last_number,
            sent_bytes=self.sent_bytes,
            in_use=now < self.needed_until,
            reply_requested=reply_requested,
            acknowledged_number=self.received_number,
            acknowledged_bytes=self.received_bytes,
        )

    def record_heartbeat(self, heartbeat: MailboxHeartbeat, now: float) -> None:
        """Note what the peer sent, and which heartbeat it has heard.

        A heartbeat that is itself sent only for the sake of answers prolongs
        nothing: two idle peers would otherwise keep each other awake for ever.
        """
        self.received_number = heartbeat.number
        self.received_bytes = heartbeat.sent_bytes
        if heartbeat.in_use:
            self.peer_needed_until = now + self.silence_seconds
        newest_answered = max(self.acknowledged_number, self.first_number - 1)
        if (
            self.dialled
            and newest_answered < heartbeat.acknowledged_number <= self.last_number
        ):
            self.acknowledged_number = heartbeat.acknowledged_number
            self.acknowledged_at = now
            self.acknowledged_bytes = heartbeat.acknowledged_bytes
            self.failures = 0

    def record_alive(self, now: float) -> None:
        """Note that the peer lives: a pause before the next dial is cut short."""
        self.dial_at = min(self.dial_at, now)

    def expires_at(self) -> float:
        """Return when the peer can be forgotten, if nothing more is sent to it.

        After the own use the link stays until the peer's heartbeats end, which they
        do within the silence deadline of the last one that wanted them. Let go
        earlier, and the peer's last heartbeats would go unanswered; stay much longer,
        and the own last ones would. Either would close a connection that works.
        """
        last_heartbeats = self.silence_seconds + self.heartbeat_seconds
        return max(self.needed_until + last_heartbeats, self.peer_needed_until)

    def tick(self, now: float, random: Random) -> list[LinkEffect]:
        """Return what is to be done now."""
        if now >= self.expires_at():
            return [ForgetPeer()]
        if not self.dialled:
            return [OpenConnection()] if now >= self.dial_at else []
        if now - self.acknowledged_at >= self.silence_seconds:
            self.close(now, random)
            return [CloseConnection()]
        if now - self.heartbeat_sent_at >= self.heartbeat_interval():
            return [SendHeartbeat(self.next_heartbeat(now, reply_requested=True))]
        return []

    def close(self, now: float, random: Random) -> None:
        """Note that the connection is closed, and choose when to dial anew.

        A connection that worked before is replaced at once. Where even a new one
        gets no answer the pauses grow up to the silence deadline, and jitter keeps
        many processes from dialling a returning peer at the same moment.
        """
        self.dialled = False
        self.failures = 0 if self.acknowledged_number else self.failures + 1
        pause = MIN_BACKOFF_SECONDS * 2 ** min(self.failures, 16)
        pause = min(pause, self.silence_seconds) if self.failures else 0.0
        self.dial_at = now + pause * random.uniform(0.5, 1.0)
