"""Read the frames of one attempt from an HTTP response."""

from collections.abc import Iterator
from time import monotonic

from urllib3 import BaseHTTPResponse
from urllib3.exceptions import HTTPError

from cowslipshelf_core.messages import Frame, StreamEnd
from cowslipshelf_fleet.errors import FrameError, StreamLostError
from cowslipshelf_fleet.internal.frame_codec import FrameDecoder

STEP = "frames"


class AttemptStream:
    """Iterate over an attempt's frames up to the last one, heartbeats included.

    Heartbeats let the reader look at its deadline while nothing else comes. Raise `StreamLostError` where the connection is cut or silent before that.
    """

    def __init__(self, response: BaseHTTPResponse, peer: str) -> None:
        self.response = response
        self.connection = response.connection
        self.peer = peer
        self.ended = False

    def __iter__(self) -> Iterator[Frame]:
        decoder = FrameDecoder()
        try:
            for piece in self.response.stream():
                for frame in decoder.decode(piece):
                    if isinstance(frame, StreamEnd):
                        self.end()
                    yield frame
                if self.ended:
                    return
        except (HTTPError, OSError, FrameError) as error:
            raise self.lost(str(error)) from error
        finally:
            self.close()
        raise self.lost("ended before its last frame")

    def end(self) -> None:
        """Read the response's own end, so that its connection can be used again."""
        self.ended = True

    def lost(self, detail: str) -> StreamLostError:
        """Return the error to raise."""
        return StreamLostError(STEP, self.peer, detail)

    def close(self) -> None:
        """Give up the stream; an unfinished one closes its connection."""
        if not self.ended:
            self.response.close()
            return
        try:
            self.response.drain_conn()
        except (HTTPError, OSError):
            self.response.close()
            return
        self.connection.last_heard = monotonic()
        self.response.release_conn()
