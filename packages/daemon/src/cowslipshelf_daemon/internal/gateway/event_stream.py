"""Split a stream into complete events, so that a broken one can be resumed."""

import re
from dataclasses import dataclass, field
from typing import NamedTuple

ID_FIELD = b"id:"
# Two line ends. A CR after CRLF or LF at the end of the bytes is probably the first
# half of a CRLF, and does not count yet.
EVENT_END = re.compile(rb"(?>\r\r\n?|(?>\r\n|\r|\n)(?>\r\n|\n|\r(?!\Z)))")
MAX_EVENT_END_BYTES = 4
USUAL_EVENT_ENDS = (b"\n\n", b"\r\n\r\n")
LINE_ENDS = (b"\n", b"\r")
COMMENT_MARK = b":"


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
        begin = max(0, len(self.buffer) - MAX_EVENT_END_BYTES + 1)
        self.buffer += data
        end = self.end_of_events(begin)
        if end == 0:
            return None
        whole = bytes(self.buffer[:end])
        del self.buffer[:end]
        return EventBatch(whole, last_event_id(whole))

    def end_of_events(self, begin: int) -> int:
        """Return the length of the complete events; the first ends after `begin`."""
        if self.buffer.endswith(USUAL_EVENT_ENDS):
            return len(self.buffer)
        end = 0
        for match in EVENT_END.finditer(self.buffer, begin):
            end = match.end()
        return end

    def is_inside_event(self) -> bool:
        """Return whether a stream that ends here breaks off inside an event.

        Comments belong to no event. A line without an end counts as one, whatever it
        is: the format has an end of each line, so more was to come.
        """
        inside = False
        for line in self.buffer.splitlines(keepends=True):
            if not line.endswith(LINE_ENDS):
                return True
            is_blank = not line.rstrip(b"\r\n")
            inside = not is_blank and (inside or not line.startswith(COMMENT_MARK))
        return inside

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
    return len(EVENT_END.findall(data))
