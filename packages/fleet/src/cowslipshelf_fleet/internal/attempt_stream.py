"""Read the frames of one attempt from an HTTP response."""

from collections.abc import Iterator
from contextlib import suppress
from time import monotonic

from urllib3 import BaseHTTPResponse
from urllib3.exceptions import HTTPError

from cowslipshelf_core.messages import Frame, StreamEnd
from cowslipshelf_fleet.errors import FrameError, StreamLostError
from cowslipshelf_fleet.internal.frame_codec import FrameDecoder

STEP = "frames"


class AttemptStream:
    """Iterate over the frames of an attempt up to the last one, heartbeats included.

    Heartbeats let the reader check its deadline while no other frame arrives. Raise
    `StreamLostError` if the connection closes or times out before the last frame.
    """

    def __init__(self, response: BaseHTTPResponse, peer: str) -> None:
        self.response = response
        self.connection = response.connection
        self.pieces = response.stream()
        self.peer = peer
        self.reading = False
        self.ended = False

    def __iter__(self) -> Iterator[Frame]:
        self.reading = True
        decoder = FrameDecoder()
        try:
            for piece in self.pieces:
                for frame in decoder.decode(piece):
                    self.ended = isinstance(frame, StreamEnd)
                    yield frame
                if self.ended:
                    self.return_connection()
                    return
        except (HTTPError, OSError, FrameError) as error:
            raise StreamLostError(STEP, self.peer, str(error)) from error
        finally:
            self.response.close()
        raise StreamLostError(STEP, self.peer, "ended before its last frame")

    def return_connection(self) -> None:
        """Read to the end of the response, so that its connection can be reused."""
        self.connection.last_received_at = monotonic()
        try:
            for _ in self.pieces:
                raise FrameError("a frame after the last one")
        except (HTTPError, OSError, FrameError):
            return
        self.response.release_conn()

    def close(self) -> None:
        """Abandon the stream; may be called while another thread reads it.

        Closing the file descriptor would not wake a thread that is blocked in the
        socket. Shutting the connection down does, and that thread cleans up.
        """
        if self.ended:
            return
        # The other errors mean that there is no connection left to shut down.
        with suppress(OSError, RuntimeError, ValueError):
            self.response.shutdown()
        if not self.reading:
            self.response.close()
