"""Decide when to dial, probe, close and forget the connection to a peer."""

from dataclasses import dataclass
from random import Random

from cowslipshelf_fleet.internal.envelope import MailboxHeartbeat

HEARTBEATS_PER_WINDOW = 16
"""Heartbeats sent per `max_unacknowledged_bytes` of messages, if sent in a burst."""

FOLLOWER_INTERVAL_FACTOR = 1.5
"""Factor on the heartbeat interval of the side that waits for the peer to start."""

FIRST_NUMBER_BITS = 32

MIN_BACKOFF_SECONDS = 0.1


@dataclass(frozen=True, slots=True)
class OpenConnection:
    """Dial a new connection to the peer."""


@dataclass(frozen=True, slots=True)
class CloseConnection:
    """Close the connection; messages still queued on it are lost."""


@dataclass(frozen=True, slots=True)
class SendHeartbeat:
    """Send a heartbeat on the current connection."""

    heartbeat: MailboxHeartbeat


@dataclass(frozen=True, slots=True)
class ForgetPeer:
    """Close the connection and discard all state of the peer."""


LinkEffect = OpenConnection | CloseConnection | SendHeartbeat | ForgetPeer


@dataclass(slots=True)
class PeerLink:
    """Track the connection to one peer and decide what to do with it.

    Times are monotonic seconds passed in by the caller.

    This detects a connection that no longer delivers although new ones would: a
    device on the path has dropped its connection state, so sends succeed, nothing
    arrives, and no error is reported. Heartbeats are sent on every connection while
    it is in use, and the peer's own heartbeats acknowledge the last one it received.
    A connection on which none was acknowledged for `silence_seconds` is closed and
    dialled again. Heartbeat numbers start at random and are never reused, so the
    current connection can't be confirmed by an acknowledgement for an old
    connection, by one for an earlier start of this process, or by a repeated one.
    """

    heartbeat_seconds: float
    silence_seconds: float
    idle_seconds: float
    max_unacknowledged_bytes: int
    needed_until: float
    """Time until which this side needs the connection for its own messages."""
    peer_needed_until: float
    """Time until which the peer needs answers to its heartbeats."""
    last_number: int
    """Number of the last heartbeat sent."""
    first_number: int = 0
    """Number of the first heartbeat on the current connection."""
    acknowledged_number: int = 0
    """Last number acknowledged on the current connection, or zero."""
    received_number: int = 0
    """Number of the last heartbeat received from the peer."""
    received_bytes: int = 0
    """`sent_bytes` of that heartbeat."""
    dialled: bool = False
    acknowledged_at: float = 0.0
    heartbeat_sent_at: float = 0.0
    dial_at: float = 0.0
    failures: int = 0
    """Consecutive connections that were closed without any acknowledgement."""
    sent_bytes: int = 0
    """Bytes of messages, without heartbeats, sent on the current connection."""
    acknowledged_bytes: int = 0
    heartbeat_sent_bytes: int = 0
    """`sent_bytes` at the last heartbeat sent."""

    def record_use(self, now: float) -> None:
        """Record that this side needs the connection for its own messages."""
        self.needed_until = now + self.idle_seconds

    def can_send(self, size: int) -> bool:
        """Return whether a message may be sent now.

        The library limits its queue by the number of messages, not by their size, so
        messages for a dead or slow peer could otherwise fill the memory.
        """
        if not self.dialled:
            return False
        unacknowledged = self.sent_bytes - self.acknowledged_bytes
        return (
            unacknowledged == 0
            or unacknowledged + size <= self.max_unacknowledged_bytes
        )

    def record_sent(self, size: int) -> None:
        """Record that a message was passed to the connection."""
        self.sent_bytes += size

    def needs_early_heartbeat(self) -> bool:
        """Return whether enough was sent to need a heartbeat before the next tick."""
        uncovered = self.sent_bytes - self.heartbeat_sent_bytes
        return uncovered * HEARTBEATS_PER_WINDOW >= self.max_unacknowledged_bytes

    def has_unacknowledged_bytes(self) -> bool:
        """Return whether bytes sent on this connection are not acknowledged yet."""
        return self.dialled and self.sent_bytes > self.acknowledged_bytes

    def dial(self, now: float) -> None:
        """Reset the state for a new connection."""
        self.dialled = True
        self.first_number = self.last_number + 1
        self.acknowledged_number = 0
        self.acknowledged_at = now
        self.heartbeat_sent_at = now - self.heartbeat_seconds
        self.sent_bytes = self.acknowledged_bytes = self.heartbeat_sent_bytes = 0

    def heartbeat_interval(self) -> float:
        """Return the seconds between heartbeats that are not answers.

        An answer is a heartbeat too, so only one side has to start. The side with the
        lower number waits longer and only starts if the other one does not: this takes
        two messages per interval instead of four.
        """
        leads = self.last_number > self.received_number
        return self.heartbeat_seconds * (1.0 if leads else FOLLOWER_INTERVAL_FACTOR)

    def next_heartbeat(self, now: float, reply_requested: bool) -> MailboxHeartbeat:
        """Return the next heartbeat, which covers all bytes sent so far."""
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
        """Record a heartbeat of the peer, and which heartbeat it acknowledges.

        A heartbeat from a peer that does not use the connection itself does not keep
        the link open: two idle peers would otherwise exchange heartbeats forever.
        """
        self.received_number = heartbeat.number
        self.received_bytes = heartbeat.sent_bytes
        if heartbeat.in_use:
            self.peer_needed_until = now + self.silence_seconds
        newest_acknowledged = max(self.acknowledged_number, self.first_number - 1)
        if (
            self.dialled
            and newest_acknowledged < heartbeat.acknowledged_number <= self.last_number
        ):
            self.acknowledged_number = heartbeat.acknowledged_number
            self.acknowledged_at = now
            self.acknowledged_bytes = heartbeat.acknowledged_bytes
            self.failures = 0

    def record_alive(self, now: float) -> None:
        """Record that the peer is alive, which ends the backoff before a dial."""
        self.dial_at = min(self.dial_at, now)

    def expires_at(self) -> float:
        """Return when the peer can be forgotten, if nothing more is sent to it.

        After its own last use, this side keeps the link until the peer's heartbeats
        end, which they do within the silence timeout after the last one sent in use.
        If it dropped the link earlier, the peer's last heartbeats would go unanswered;
        if much later, its own last ones would. Either closes a working connection.
        """
        last_heartbeats = self.silence_seconds + self.heartbeat_seconds
        return max(self.needed_until + last_heartbeats, self.peer_needed_until)

    def tick(self, now: float, random: Random) -> list[LinkEffect]:
        """Return the actions that are due now."""
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
        """Record that the connection is closed, and schedule the next dial.

        A connection that was ever acknowledged is replaced at once. Otherwise the
        backoff doubles, up to the silence timeout, with jitter so that many processes
        don't dial a returning peer at the same moment.
        """
        self.dialled = False
        self.failures = 0 if self.acknowledged_number else self.failures + 1
        backoff = MIN_BACKOFF_SECONDS * 2 ** min(self.failures, 16)
        backoff = min(backoff, self.silence_seconds) if self.failures else 0.0
        self.dial_at = now + backoff * random.uniform(0.5, 1.0)
