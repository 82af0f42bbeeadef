"""Encode frames, and decode them from a stream of bytes."""

from collections.abc import Iterable

import msgspec

from cowslipshelf_core.messages import Frame
from cowslipshelf_fleet.errors import FrameError

LENGTH_BYTES = 4
MAX_FRAME_BYTES = 16 * 1024 * 1024

encoder = msgspec.msgpack.Encoder()
frame_decoder = msgspec.msgpack.Decoder(Frame)


def encode_frame(frame: Frame) -> bytes:
    """Return the frame, after its length in four big-endian bytes."""
    content = encoder.encode(frame)
    return len(content).to_bytes(LENGTH_BYTES) + content


def encode_frames(frames: Iterable[Frame]) -> bytes:
    """Return the concatenated encodings of several frames."""
    return b"".join(map(encode_frame, frames))


class FrameDecoder:
    """Buffer bytes until they form whole frames."""

    def __init__(self) -> None:
        self.remainder = b""

    def decode(self, data: bytes) -> list[Frame]:
        """Return the frames that the bytes complete; raise `FrameError` if invalid."""
        data = self.remainder + data if self.remainder else data
        frames: list[Frame] = []
        start = 0
        while len(data) - start >= LENGTH_BYTES:
            length = int.from_bytes(data[start : start + LENGTH_BYTES])
            if length > MAX_FRAME_BYTES:
                raise FrameError(f"a frame of {length} bytes")
            end = start + LENGTH_BYTES + length
            if end > len(data):
                break
            frames.append(decode_content(data[start + LENGTH_BYTES : end]))
            start = end
        self.remainder = data[start:]
        return frames


def decode_content(content: bytes) -> Frame:
    """Decode the content of a frame, without its length."""
    try:
        return frame_decoder.decode(content)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise FrameError(str(error)) from error
