"""Write an attempt's events to a connection as soon as they exist.

Waking a thread for every event costs several times the CPU time of the write itself. So
the engine loop's thread writes new events to the socket without blocking, and the
connection's thread only writes comments and what a slow reader has not yet taken.
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
    """Report a stream that is cut before its final marker."""


class EventWriter:
    """Write an attempt's events to one connection."""

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
        """Write new events without blocking; called on the engine loop's thread."""
        # With a slow reader, the connection's thread may hold the lock for long. It
        # checks for new events after it has released the lock, so none is missed.
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
        """Send what the socket accepts without blocking."""
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
        """Append new events to the unsent bytes."""
        # Read the state first: all events exist once it is FINISHED.
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
        """Return the events that the fault `drop_after_events` lets through."""
        limit = self.injector.faults.drop_after_events
        if limit is None:
            return events
        return events[: max(0, limit - self.events_sent)]

    def run(self, keep_alive_seconds: float) -> None:
        """Run on the connection's thread until the stream ends or is cut."""
        while not (self.ended and not self.unsent):
            self.injector.wait_while_frozen()
            self.wake.clear()
            self.write_all(keep_alive_seconds)
            if not (self.ended or self.has_unsent_events()):
                self.wake.wait(keep_alive_seconds)
        if self.cut:
            raise StreamCutError("the stream is cut")

    def write_all(self, keep_alive_seconds: float) -> None:
        """Write all unsent bytes; if none for `keep_alive_seconds`, write a comment."""
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
        """Return whether there is anything that was not yet sent."""
        return self.attempt.ended or len(self.attempt.event_ends) > self.sequence


def chunk(data: bytes) -> bytes:
    """Encode data as one chunk of a chunked HTTP answer."""
    return b"%x\r\n%b\r\n" % (len(data), data)
