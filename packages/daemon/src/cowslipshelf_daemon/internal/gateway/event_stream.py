"""Cut a stream into whole events, so that a broken one can be resumed."""

from dataclasses import dataclass, field
from typing import NamedTuple

ID_FIELD = b"id:"
LINE_ENDS = (b"\r\n\r\n", b"\n\n", b"\r\r")


class EventBatch(NamedTuple):
    """Be some whole events, with the id of the last one that had any."""

    data: bytes
    last_id: str | None


@dataclass(slots=True)
class EventSplitter:
    """Hold back the bytes of an event until it is whole.

    An upstream may stop in the middle of an event. Its first half must not reach the
    caller, since the upstream that resumes the stream sends the whole event.
    """

    buffer: bytearray = field(default_factory=bytearray)

    def feed(self, data: bytes) -> EventBatch | None:
        """Take bytes, and return the events that they complete."""
        # The blank line that ends an event may begin in what is held already.
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
        """Return what is left at the end of a stream that is complete."""
        rest = bytes(self.buffer)
        self.buffer.clear()
        return rest


def last_event_id(data: bytes) -> str | None:
    """Return the id of the last event that has one."""
    for line in reversed(data.splitlines()):
        if line.startswith(ID_FIELD):
            return line[len(ID_FIELD) :].strip().decode("latin-1")
    return None
