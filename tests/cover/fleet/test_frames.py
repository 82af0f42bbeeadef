"""Test the encoding of frames, and the buffers that hold them."""

from threading import Thread

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from common.fleet_attempts import frames_of
from common.type_strategies import values_of
from cowslipshelf_core.errors import Refusal, RefusalCode, RefusalReason
from cowslipshelf_core.messages import (
    AttemptReserved,
    Frame,
    PartPrefilled,
    StreamChunk,
    StreamEnd,
    StreamHead,
)
from cowslipshelf_fleet.attempts import (
    FrameBuffer,
    FrameDecoder,
    FrameError,
    FrameOrderError,
    encode_frame,
)

MANY = settings(derandomize=True, deadline=None, max_examples=200)
PIECES = st.lists(st.binary(max_size=20), max_size=12)


def split(data: bytes, cuts: list[int]) -> list[bytes]:
    bounds = [0, *sorted(cut % (len(data) + 1) for cut in cuts), len(data)]
    return [data[start:end] for start, end in zip(bounds, bounds[1:], strict=False)]


@MANY
@given(st.lists(values_of(Frame), max_size=8), st.lists(st.integers(0, 10**6)))
def test_frames_arrive_whole_however_their_bytes_are_cut(frames, cuts):
    decoder = FrameDecoder()
    data = b"".join(map(encode_frame, frames))
    arrived = [f for piece in split(data, cuts) for f in decoder.decode(piece)]
    assert arrived == frames


@MANY
@given(st.lists(st.binary(max_size=60), max_size=6))
def test_arbitrary_bytes_give_frames_or_a_frame_error(pieces):
    decoder = FrameDecoder()
    try:
        for piece in pieces:
            decoder.decode(piece)
    except FrameError:
        return
    assert len(decoder.remainder) <= sum(map(len, pieces))


@MANY
@given(PIECES, st.integers(0, 15))
def test_a_reader_gets_exactly_what_follows_a_chunk(pieces, after):
    frames = frames_of(pieces)
    buffer = FrameBuffer()
    for frame in frames:
        assert buffer.append(frame)
    after = min(after, len(pieces))
    expected = frames[after + 1 :] if after else frames
    assert buffer.read_after(after, timeout=0.0) == expected


ABANDONED = Refusal(RefusalCode.FAILED, RefusalReason.CANCELLED, "run")
CHUNK_RANK = 2
FRAME_RANKS = {
    AttemptReserved: 0,
    StreamHead: 1,
    PartPrefilled: 1,
    StreamChunk: CHUNK_RANK,
    StreamEnd: 3,
}


@MANY
@given(st.lists(values_of(Frame), max_size=8))
def test_a_buffer_holds_only_streams_in_order(frames):
    """Whatever a faulty writer does, no reader gets missing or duplicate chunks."""
    buffer = FrameBuffer()
    for frame in frames:
        try:
            buffer.append(frame)
        except FrameOrderError:
            continue
    kept = buffer.read_after(0, timeout=0.0)
    chunks = [frame for frame in kept if isinstance(frame, StreamChunk)]
    assert [chunk.sequence for chunk in chunks] == list(range(1, len(chunks) + 1))
    # Reserved, head or part, chunks and end, in this order; only chunks repeat.
    ranks = [FRAME_RANKS[type(frame)] for frame in kept]
    assert ranks == sorted(ranks)
    assert all(ranks.count(rank) <= 1 for rank in ranks if rank != CHUNK_RANK)
    assert all(frame.last_sequence == len(chunks) for frame in kept if is_end(frame))
    assert all(not is_end(frame) for frame in kept[:-1])


def is_end(frame: Frame) -> bool:
    return isinstance(frame, StreamEnd)


@MANY
@given(PIECES, st.integers(0, 12))
def test_an_aborted_stream_ends_after_what_was_sent(pieces, sent):
    """A deadline passes in mid-stream, while the reader of the upstream still writes.

    The thread that aborts the attempt can't know how many chunks there are by then.
    Frames written after the end must be neither sent nor an error.
    """
    frames = frames_of(pieces)
    buffer = FrameBuffer()
    before = frames[: sent + 1]
    for frame in before:
        buffer.append(frame)
    ended = buffer.end()
    assert ended == (not is_end(before[-1]))
    assert not any(buffer.append(frame) for frame in frames[sent + 1 :])
    assert not buffer.end()
    kept = buffer.read_after(0, timeout=0.0)
    assert kept[: len(before)] == before
    assert [is_end(frame) for frame in kept].count(True) == 1
    assert is_end(kept[-1])


@MANY
@given(st.lists(st.integers(0, 400), min_size=1, max_size=50))
def test_a_buffer_is_bounded_and_always_takes_the_end(sizes):
    buffer = FrameBuffer(max_bytes=2000)
    last = 0
    for size in sizes:
        if buffer.append(StreamChunk(last + 1, bytes(size))):
            last += 1
    assert buffer.buffered_bytes <= 2000
    assert buffer.append(StreamEnd(last))


@pytest.mark.parametrize("frames", [[StreamHead(200, ())], []])
def test_a_waiting_reader_wakes_for_the_next_frame_and_for_closing(frames):
    buffer, read = FrameBuffer(), []
    reader = Thread(target=lambda: read.append(buffer.read_after(0, timeout=600.0)))
    reader.start()
    for frame in frames:
        buffer.append(frame)
    if not frames:
        buffer.close()
    reader.join(timeout=30.0)
    assert read == [frames]


def test_a_replaced_reader_gets_nothing_more():
    """If two responses shared an attempt, each resume would occupy a thread."""
    buffer = FrameBuffer()
    first = buffer.replace_reader()
    second = buffer.replace_reader()
    buffer.append(StreamHead(200, ()))
    assert buffer.is_ended_for(0, first)
    assert buffer.read_from(0, 0.0, first) == []
    assert buffer.read_from(0, 0.0, second) == [StreamHead(200, ())]


@pytest.mark.parametrize("bad", [b"\xff\xff\xff\xff", b"\x00\x00\x00\x01\xc1"])
def test_bytes_that_are_no_frame_are_an_error(bad):
    with pytest.raises(FrameError):
        FrameDecoder().decode(bad)


@MANY
@given(st.lists(st.binary(max_size=20), max_size=12), st.booleans())
def test_a_stream_ends_once_however_many_end_it_and_when(pieces, begun):
    """Check that cancelling an attempt in mid-answer ends its stream exactly once.

    A caller disconnects while tokens arrive. The sidecar ends the stream, and the
    thread that reads from the engine ends it too when its connection is cut.
    """
    buffer = FrameBuffer()
    if begun:
        buffer.append(StreamHead(200, ()))
    for number, piece in enumerate(pieces, start=1):
        buffer.append(StreamChunk(number, piece))
    buffer.end(ABANDONED)
    buffer.end(None)
    kept = buffer.read_after(0, timeout=0.0)
    assert kept[-1] == StreamEnd(len(pieces), ABANDONED)
    assert sum(map(is_end, kept)) == 1
