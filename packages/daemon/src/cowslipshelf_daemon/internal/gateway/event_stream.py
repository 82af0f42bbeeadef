"""Split a stream into complete events, so that a broken one can be resumed."""

from dataclasses import dataclass, field
from typing import NamedTuple

ID_FIELD = b"id:"
LINE_ENDS = (b"\r\n\r\n", b"\n\n", b"\r\r")


class EventBatch(NamedTuple):
    """Hold some complete events and the last event id among them."""

    data: bytes
    last_id: str | None


@dataclass(slots=True)
class EventSplitter:
    """Buffer the bytes of an event until it is complete.

    An upstream may fail in the middle of an event. The first half must not reach the
    caller, since the upstream that resumes the stream sends the whole event again.
    """

    buffer: bytearray = field(default_factory=bytearray)

    def feed(self, data: bytes) -> EventBatch | None:
        """Add bytes and return the events that they complete, or None."""
        # The blank line that ends an event may begin in the buffered bytes.
        begin = max(0, len(self.buffer) - len(LINE_ENDS[0]))
        self.buffer += data
        end = max(
            (
                self.buffer.rfind(mark, begin) + len(mark)
                for mark in LINE_ENDS
                if self.buffer.rfind(mark, begin) >= 0
            ),
            default=0,
        )
        if end == 0:
            return None
        whole = bytes(self.buffer[:end])
        del self.buffer[:end]
        return EventBatch(whole, last_event_id(whole))

    def take_rest(self) -> bytes:
        """Return and clear the bytes left at the end of a complete stream."""
        rest = bytes(self.buffer)
        self.buffer.clear()
        return rest


def last_event_id(data: bytes) -> str | None:
    """Return the id of the last event that has one."""
    for line in reversed(data.splitlines()):
        if line.startswith(ID_FIELD):
            return line[len(ID_FIELD) :].strip().decode("latin-1")
    return None


def count_events(data: bytes) -> int:
    """Return how many events some complete ones are."""
    return sum(data.count(mark) for mark in LINE_ENDS)
