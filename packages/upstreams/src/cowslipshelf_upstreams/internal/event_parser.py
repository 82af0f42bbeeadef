"""Parse server-sent events as they arrive."""

from typing import NamedTuple

MAX_EVENT_BYTES = 4 * 1024 * 1024


class ServerSentEvent(NamedTuple):
    """Hold one server-sent event."""

    event_id: bytes
    data: bytes


class EventTooLargeError(ValueError):
    """Report an event above `MAX_EVENT_BYTES`."""


class EventParser:
    """Parse events from bytes that may be split anywhere."""

    def __init__(self) -> None:
        self.buffer = b""
        self.is_after_cr = False
        """Whether the last byte was a CR, whose line end an LF may belong to."""

    def feed(self, piece: bytes) -> list[ServerSentEvent]:
        """Return the events that the next piece of bytes completes."""
        if self.is_after_cr:
            piece = piece.removeprefix(b"\n")
        if piece:
            self.is_after_cr = piece.endswith(b"\r")
        self.buffer += piece.replace(b"\r\n", b"\n").replace(b"\r", b"\n")
        *blocks, self.buffer = self.buffer.split(b"\n\n")
        if len(self.buffer) > MAX_EVENT_BYTES:
            raise EventTooLargeError(f"an event exceeds {MAX_EVENT_BYTES} bytes")
        events = [parse_block(block) for block in blocks]
        return [event for event in events if event is not None]


def parse_block(block: bytes) -> ServerSentEvent | None:
    """Return the event that a block of lines holds; None if it has no data."""
    event_id = b""
    data = []
    for line in block.split(b"\n"):
        name, _, value = line.partition(b":")
        value = value.removeprefix(b" ")
        match name:
            case b"data":
                data.append(value)
            case b"id":
                event_id = value
    return ServerSentEvent(event_id, b"\n".join(data)) if data else None
