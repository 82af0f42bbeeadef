"""Buffer the frames of one attempt, so that an interrupted stream can resume."""

from threading import Condition
from time import monotonic

from cowslipshelf_core.errors import Refusal
from cowslipshelf_core.messages import (
    AttemptReserved,
    Frame,
    PartPrefilled,
    StreamChunk,
    StreamEnd,
    StreamHead,
)
from cowslipshelf_fleet.errors import FrameOrderError

MAX_BUFFERED_BYTES = 16 * 1024 * 1024
MAX_FRAMES_PER_READ = 256
"""Limit on frames per read, so that a resume doesn't copy a whole answer at once."""
FRAME_OVERHEAD_BYTES = 128
"""Memory of a frame besides its data, so that many empty frames are limited too."""


class FrameBuffer:
    """Hold all frames of an attempt until it is forgotten; thread-safe.

    One thread writes, another one may end the stream meanwhile, and each response
    reads. Positions count frames; sequence numbers count chunks, from one.
    """

    def __init__(self, max_bytes: int = MAX_BUFFERED_BYTES) -> None:
        self.max_bytes = max_bytes
        self.frames: list[Frame] = []
        self.buffered_bytes = 0
        self.last_sequence = 0
        self.frames_before_chunks = 0
        self.started = False
        """Whether a `StreamHead` or a `PartPrefilled` was appended."""
        self.finished = False
        """Whether the last frame of the stream was appended."""
        self.read_to_end = False
        """Whether a reader has read the last frame."""
        self.closed = False
        self.current_reader = 0
        """Number of the only reader that still gets frames."""
        self.changed = Condition()

    def append(self, frame: Frame) -> bool:
        """Append the next frame, or return False if it is not accepted.

        If the buffer is full, the writer must end the stream with a refusal: the last
        frame is always accepted. Frames already sent can't be discarded to make room,
        since a resumed stream may need them.
        """
        size = frame_size(frame)
        with self.changed:
            if self.finished:
                return False
            self.check_order(frame)
            is_last = isinstance(frame, StreamEnd)
            if self.closed or (
                self.buffered_bytes + size > self.max_bytes and not is_last
            ):
                return False
            self.frames.append(frame)
            self.buffered_bytes += size
            self.update_state(frame)
            self.changed.notify_all()
            return True

    def end(self, refusal: Refusal | None = None, upstream_ended: bool = False) -> bool:
        """End the stream after the appended frames; return False if it had ended."""
        with self.changed:
            end = StreamEnd(self.last_sequence, refusal, upstream_ended)
            return self.append(end)

    def read_after(self, sequence: int, timeout: float) -> list[Frame]:
        """Return the next frames after a chunk; wait up to `timeout` seconds for one.

        Sequence zero means the start, including the head: a client that has received
        the head but no chunk gets the head again.
        """
        return self.read_from(
            self.position_after(sequence), timeout, self.current_reader
        )

    def position_after(self, sequence: int) -> int:
        """Return the position of the first frame after a chunk."""
        if sequence <= 0:
            return 0
        with self.changed:
            return self.frames_before_chunks + sequence

    def replace_reader(self) -> int:
        """Make the caller the only reader, and return its number.

        A stream that went silent is resumed over a new connection while the response
        on the old one still waits; without this, each resume would leave a blocked
        thread behind until the attempt ends.
        """
        with self.changed:
            self.current_reader += 1
            self.changed.notify_all()
            return self.current_reader

    def read_from(self, position: int, timeout: float, reader: int) -> list[Frame]:
        """Return the frames from a position on; a replaced reader gets none."""
        end = monotonic() + timeout
        with self.changed:
            while self.must_wait(position, reader):
                left = end - monotonic()
                if left <= 0:
                    return []
                self.changed.wait(left)
            if reader != self.current_reader:
                return []
            taken = self.frames[position : position + MAX_FRAMES_PER_READ]
            if self.finished and position + len(taken) >= len(self.frames):
                self.read_to_end = True
            return taken

    def must_wait(self, position: int, reader: int) -> bool:
        """Return whether a reader at the position has to wait."""
        if self.closed or self.finished or reader != self.current_reader:
            return False
        return position >= len(self.frames)

    def is_ended_for(self, position: int, reader: int) -> bool:
        """Return whether a reader will never get another frame."""
        with self.changed:
            if reader != self.current_reader or self.closed:
                return True
            return self.finished and position >= len(self.frames)

    def close(self) -> None:
        """Discard the frames and wake every reader."""
        with self.changed:
            self.closed = True
            self.frames = []
            self.buffered_bytes = 0
            self.changed.notify_all()

    def check_order(self, frame: Frame) -> None:
        """Raise `FrameOrderError` if the frame can't come next."""
        match frame:
            case AttemptReserved():
                in_order = not self.frames
            case StreamHead() | PartPrefilled():
                in_order = not self.started and not self.last_sequence
            case StreamChunk(sequence=sequence):
                in_order = sequence == self.last_sequence + 1
            case StreamEnd(last_sequence=last_sequence):
                in_order = last_sequence == self.last_sequence
            case _:
                in_order = False
        if not in_order:
            raise FrameOrderError(f"after chunk {self.last_sequence}: {frame!r:.100}")

    def update_state(self, frame: Frame) -> None:
        """Update the state of the stream for an appended frame."""
        match frame:
            case AttemptReserved():
                self.frames_before_chunks += 1
            case StreamHead() | PartPrefilled():
                self.started = True
                self.frames_before_chunks += 1
            case StreamChunk(sequence=sequence):
                self.last_sequence = sequence
            case StreamEnd():
                self.finished = True


def frame_size(frame: Frame) -> int:
    """Return the approximate memory of a frame in bytes."""
    data = len(frame.data) if isinstance(frame, StreamChunk) else 0
    return data + FRAME_OVERHEAD_BYTES
