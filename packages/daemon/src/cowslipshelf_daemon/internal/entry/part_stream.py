"""Read the frames of one part of a spread prompt."""

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
    """Read the stream of one part that a sidecar has accepted."""

    def __init__(self, attempt_id: AttemptId, stream: AttemptStream) -> None:
        self.attempt_id = attempt_id
        self.stream = stream
        self.frames = iter(stream)
        self.loss_reason = ""
        """Why the part was lost after its prefill; empty as long as it is not lost."""

    def __iter__(self) -> Iterator[Frame]:
        return self.frames

    def next_event(self) -> SpreadEvent:
        """Wait for the next frame; heartbeat frames bound the wait."""
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
        """Watch on a separate thread for the loss of a prefilled part."""
        name = f"part-{self.attempt_id}"
        Thread(target=self.read_to_end, name=name, daemon=True).start()

    def read_to_end(self) -> None:
        """Read to the stream's end, which comes only if the sidecar drops the part."""
        try:
            for frame in self.frames:
                if isinstance(frame, StreamEnd):
                    break
        except StreamLostError as error:
            self.loss_reason = str(error)
            return
        self.loss_reason = f"{self.stream.peer} gave its part of the prompt up"

    def close(self) -> None:
        """Close the connection; only a cancel ends the part itself."""
        self.stream.close()
