"""Encode, decode and keep the frames of streamed answers."""

from cowslipshelf_fleet.internal.frame_buffer import FrameBuffer, FrameOrderError
from cowslipshelf_fleet.internal.frame_codec import FrameDecoder, encode_frame

__all__ = ["FrameBuffer", "FrameDecoder", "FrameOrderError", "encode_frame"]
