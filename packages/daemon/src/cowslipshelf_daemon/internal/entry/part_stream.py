"""Hold the frames of one part of a spread prompt."""

from collections.abc import Iterator
from threading import Thread

from cowslipshelf_core.identifiers import AttemptId
from cowslipshelf_core.messages import (
    AttemptReserved,
    Frame,
    PartPrefilled,
    StreamEnd,
)
from cowslipshelf_core.spread import (
    PartFilled,
    PartLost,
    PartReserved,
    SpreadEvent,
    TimePassed,
)
from cowslipshelf_fleet.attempts import AttemptStream, StreamLostError


class PartStream:
    """Own the stream of one accepted part."""

    def __init__(self, attempt_id: AttemptId, stream: AttemptStream) -> None:
        self.attempt_id = attempt_id
        self.stream = stream
        self.frames = iter(stream)
        self.loss_reason = ""
        """Why the part was lost after it was prefilled; empty while it is held."""

    def __iter__(self) -> Iterator[Frame]:
        return self.frames

    def next_event(self) -> SpreadEvent:
        """Wait for the next frame; heartbeats bound the wait."""
        try:
            frame = next(self.frames)
        except StreamLostError as error:
            return PartLost(self.attempt_id, None, str(error))
        match frame:
            case AttemptReserved():
                return PartReserved(self.attempt_id)
            case PartPrefilled(part):
                return PartFilled(self.attempt_id, part)
            case StreamEnd(refusal=refusal):
                return PartLost(self.attempt_id, refusal, "the part ended early")
            case _:
                return TimePassed()

    def watch_for_loss(self) -> None:
        """Notice on a thread of its own when a prefilled part is lost."""
        name = f"part-{self.attempt_id}"
        Thread(target=self.read_to_end, name=name, daemon=True).start()

    def read_to_end(self) -> None:
        """Read to the end, which comes only where the part is given up."""
        try:
            for frame in self.frames:
                if isinstance(frame, StreamEnd):
                    break
        except StreamLostError as error:
            self.loss_reason = str(error)
            return
        self.loss_reason = f"{self.stream.peer} gave its part of the prompt up"

    def close(self) -> None:
        """Give up the connection; the part itself is ended by a cancel."""
        self.stream.close()
