"""Hold the frame buffers of a sidecar's attempts."""

import threading

from cowslipshelf_core.identifiers import AttemptId
from cowslipshelf_fleet.attempts import FrameBuffer


class FrameBufferTable:
    """Map attempts to their frame buffers; shared by the actor and HTTP threads."""

    def __init__(self) -> None:
        self.buffers: dict[AttemptId, FrameBuffer] = {}
        self.lock = threading.Lock()

    def open(self, attempt_id: AttemptId) -> FrameBuffer:
        """Create the buffer of a new attempt."""
        buffer = FrameBuffer()
        with self.lock:
            self.buffers[attempt_id] = buffer
        return buffer

    def find(self, attempt_id: AttemptId) -> FrameBuffer | None:
        """Return the buffer of an attempt, or None if it was dropped."""
        with self.lock:
            return self.buffers.get(attempt_id)

    def unread(self) -> int:
        """Count the attempts whose last frame no reader has taken yet."""
        with self.lock:
            return sum(not buffer.read_to_end for buffer in self.buffers.values())

    def drop(self, attempt_id: AttemptId) -> None:
        """Drop an attempt's frames, after which its stream cannot be resumed."""
        with self.lock:
            buffer = self.buffers.pop(attempt_id, None)
        if buffer is not None:
            buffer.close()
