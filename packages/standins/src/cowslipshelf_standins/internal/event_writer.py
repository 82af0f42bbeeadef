"""Write an attempt's events to a connection as soon as they are there.

A thread that is woken for every event costs several times the processor time of the
write itself. So the scheduler writes fresh events straight to the socket, without ever
blocking, and the connection's own thread only writes comments and what a slow reader
has not taken yet.
"""

import socket
from threading import Event, Lock
from time import monotonic

from cowslipshelf_standins.internal.attempts import Attempt, AttemptState
from cowslipshelf_standins.internal.event_stream import (
    DONE_EVENT,
    KEEP_ALIVE_COMMENT,
    answer_event,
)
from cowslipshelf_standins.internal.faults import FaultInjector

LAST_CHUNK = b"0\r\n\r\n"


class StreamCutError(OSError):
    """Report a stream that must end without its final marker."""


class EventWriter:
    """Be one reader's connection to an attempt's events."""

    def __init__(
        self, sock: socket.socket, attempt: Attempt, after: int, injector: FaultInjector
    ) -> None:
        self.sock = sock
        self.attempt = attempt
        self.sequence = after
        self.injector = injector
        self.lock = Lock()
        self.wake = Event()
        self.unsent = b""
        self.events_sent = 0
        self.last_write = monotonic()
        self.ended = False
        self.cut = False

    def push(self) -> None:
        """Write fresh events without blocking; called by the scheduler's thread."""
        # The connection's thread may hold the lock for long, with a slow reader. It
        # looks for fresh events after it has released it, so none is forgotten.
        if not self.lock.acquire(blocking=False):
            return
        try:
            if not (self.unsent or self.ended or self.injector.faults.freeze):
                self.append_new_events()
                self.send_available()
        finally:
            self.lock.release()
        if self.unsent or self.ended:
            self.wake.set()

    def send_available(self) -> None:
        """Send what the socket takes at once."""
        try:
            sent = self.sock.send(self.unsent, socket.MSG_DONTWAIT)
        except BlockingIOError:
            return
        except OSError:
            self.ended = self.cut = True
            return
        self.unsent = self.unsent[sent:]
        self.last_write = monotonic()

    def append_new_events(self) -> None:
        """Add what is new to what has to be sent."""
        # The state is read first: once it says finished, all events are there.
        state = self.attempt.state
        last = len(self.attempt.event_ends)
        events = [
            answer_event(self.attempt, sequence)
            for sequence in range(self.sequence + 1, last + 1)
        ]
        if state is AttemptState.FINISHED:
            events.append(DONE_EVENT % (last + 1))
        self.sequence = last
        allowed = self.events_before_cut(events)
        self.events_sent += len(allowed)
        self.unsent += b"".join(map(chunk, allowed))
        if len(allowed) < len(events) or state is AttemptState.CANCELLED:
            self.ended = self.cut = True
        elif state is AttemptState.FINISHED:
            self.unsent += LAST_CHUNK
            self.ended = True

    def events_before_cut(self, events: list[bytes]) -> list[bytes]:
        """Return the events that come before a cut, where that fault is in play."""
        limit = self.injector.faults.drop_after_events
        if limit is None:
            return events
        return events[: max(0, limit - self.events_sent)]

    def run(self, keep_alive_seconds: float) -> None:
        """Serve the connection's thread until the stream ends or must be cut."""
        while not (self.ended and not self.unsent):
            self.injector.wait_while_frozen()
            self.wake.clear()
            self.write_all(keep_alive_seconds)
            if not (self.ended or self.has_unsent_events()):
                self.wake.wait(keep_alive_seconds)
        if self.cut:
            raise StreamCutError("the stream is cut")

    def write_all(self, keep_alive_seconds: float) -> None:
        """Write everything there is, or a comment after a quiet time."""
        with self.lock:
            if not self.ended:
                self.append_new_events()
            quiet = monotonic() - self.last_write >= keep_alive_seconds
            if quiet and not self.unsent:
                self.unsent = chunk(KEEP_ALIVE_COMMENT)
            if self.unsent:
                self.sock.sendall(self.unsent)
                self.unsent = b""
                self.last_write = monotonic()

    def has_unsent_events(self) -> bool:
        """Say whether there is something that was not yet sent."""
        return self.attempt.ended or len(self.attempt.event_ends) > self.sequence


def chunk(data: bytes) -> bytes:
    """Return data as one chunk of an HTTP answer."""
    return b"%x\r\n%b\r\n" % (len(data), data)
