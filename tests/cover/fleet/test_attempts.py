"""Test attempts over HTTP, with failures between client and server."""

from threading import Thread

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from common.fleet_attempts import (
    EPOCH,
    LOWEST_PRIORITY,
    SILENCE_SECONDS,
    ScriptedHandler,
    chunks,
    client,
    frames_of,
    hand_over_of,
    read_until_lost,
    serving,
    whole_answer,
)
from common.forwarder import CutLimits, Forwarder
from common.polling import wait_for
from cowslipshelf_core.messages import (
    AttemptRefused,
    MayHaveRun,
    NeverRan,
    StreamChunk,
    StreamEnd,
    StreamHead,
    StreamHeartbeat,
)
from cowslipshelf_fleet.attempts import (
    AttemptStream,
    FrameBuffer,
    HandOverFailed,
    StreamLostError,
)
from cowslipshelf_fleet.internal.attempts_protocol import (
    CancelRequest,
    FramesRequest,
    HandOverRequest,
    RevokeRequest,
    parse_request,
    request_target,
)

FEW = settings(derandomize=True, deadline=None, max_examples=25)


@FEW
@given(
    st.text(min_size=1, max_size=8),
    st.integers(0, 2**63),
)
def test_every_request_is_understood_as_it_was_meant(attempt, after):
    for method, request in (
        ("POST", HandOverRequest()),
        ("GET", FramesRequest(attempt, after)),
        ("POST", RevokeRequest(attempt)),
        ("DELETE", CancelRequest(attempt)),
    ):
        assert parse_request(method, request_target(request)) == request


def test_every_answer_of_the_sidecar_reaches_the_entry(server, handler):
    handler.script = frames_of([b"a", b"b"])
    entry = client()
    answer = entry.hand_over(server.address, hand_over_of("1"))
    assert whole_answer(answer) == handler.script
    refused = entry.hand_over(server.address, hand_over_of("2", b"", LOWEST_PRIORITY))
    assert isinstance(refused, AttemptRefused)
    assert refused.load.running == 3
    assert entry.revoke(server.address, "1", EPOCH) == MayHaveRun("1", known=True)
    assert entry.revoke(server.address, "3", EPOCH, 7) == NeverRan("3")
    assert handler.revoked_sequences == [0, 7]
    assert entry.cancel(server.address, "1")
    assert handler.cancelled == ["1"]
    assert whole_answer(entry.resume(server.address, "1", 2)) == [StreamEnd(2)]
    assert entry.resume(server.address, "unknown", 0) is None


def test_a_client_without_the_cluster_key_reaches_nothing(server, handler):
    unauthorized = client(cluster_key=b"other key" * 100)
    before = len(handler.handed_over), len(handler.cancelled)
    failed = unauthorized.hand_over(server.address, hand_over_of("stranger"))
    assert isinstance(failed, HandOverFailed)
    assert unauthorized.resume(server.address, "1", 0) is None
    assert unauthorized.revoke(server.address, "1", EPOCH) is None
    assert not unauthorized.cancel(server.address, "1")
    assert before == (len(handler.handed_over), len(handler.cancelled))


@FEW
@given(
    st.lists(st.binary(min_size=1, max_size=300), max_size=12),
    st.lists(st.integers(200, 1500), max_size=6),
)
def test_a_stream_cut_anywhere_is_resumed_exactly(server, handler, pieces, cuts):
    """A caller could miss or repeat parts of its answer after a resume.

    The connection is repeatedly cut in the middle of the answer, after different
    numbers of bytes; the entry resumes after the last complete chunk.
    """
    handler.script = frames_of(pieces)
    entry, frames = client(), []
    with Forwarder(server.address) as forwarder:
        handler.buffers.clear()
        stream = entry.hand_over(server.address, hand_over_of("cut"))
        for cut in cuts:
            stream.close()
            forwarder.limits = CutLimits(after_target_bytes=cut)
            stream = entry.resume(forwarder.address, "cut", len(chunks(frames)))
            if stream is not None and not read_until_lost(stream, frames):
                break
        last = entry.resume(server.address, "cut", len(chunks(frames)))
        assert not read_until_lost(last, frames)
    assert chunks(frames) == chunks(handler.script)


def test_a_stream_gone_silent_is_lost_in_time_and_resumed(server, handler):
    """An answer could stop in the middle without any error.

    The connection goes silent after the first chunk, and so do its heartbeats. The
    entry detects that by the read timeout, and resumes over a new connection.
    """
    entry, frames, buffer = client(SILENCE_SECONDS), [], FrameBuffer()
    handler.script = []
    with Forwarder(server.address) as forwarder:
        stream = entry.hand_over(forwarder.address, hand_over_of("silent"))
        buffer = handler.buffers["silent"]
        buffer.append(StreamHead(200, ()))
        buffer.append(StreamChunk(1, b"first"))
        with pytest.raises(StreamLostError) as lost:
            for frame in stream:
                frames.append(frame)
                if isinstance(frame, StreamChunk):
                    forwarder.silence_existing()
                    buffer.append(StreamChunk(2, b"second"))
                    buffer.append(StreamEnd(2))
        assert (lost.value.step, lost.value.peer) == ("frames", forwarder.address)
        resumed = entry.resume(forwarder.address, "silent", len(chunks(frames)))
        assert not read_until_lost(resumed, frames)
    assert b"".join(chunk.data for chunk in chunks(frames)) == b"firstsecond"


def test_heartbeats_fill_an_idle_stream(server, handler):
    """The connection of a long prompt, whose answer starts late, could count as lost.

    No frame is written for several heartbeat intervals. The reader gets heartbeats, so
    that it can check its deadline, and then the whole answer.
    """
    handler.script = []
    stream = client().hand_over(server.address, hand_over_of("idle"))
    frames = iter(stream)
    assert [next(frames) for _ in range(3)] == [StreamHeartbeat()] * 3
    answer = frames_of([b"late"])
    handler.write(handler.buffers["idle"], answer)
    assert [frame for frame in frames if frame != StreamHeartbeat()] == answer


def test_connections_are_kept_after_whole_streams(server, handler):
    handler.script = frames_of([b"a"])
    entry = client()
    with Forwarder(server.address) as forwarder:
        for number in range(5):
            list(entry.hand_over(forwarder.address, hand_over_of(f"kept {number}")))
        assert len(forwarder.connections) == 1


def test_a_client_that_stops_reading_costs_no_thread():
    """A frozen entry could occupy a server thread for each of its streams.

    It requests a long answer and reads nothing, so the server blocks in sending. The
    send times out, and the frames are still available over a new connection.
    """
    handler = ScriptedHandler()
    handler.script = frames_of([bytes(500_000)] * 20)
    with serving(handler, stalled_seconds=0.2) as server:
        entry = client()
        stream = entry.hand_over(server.address, hand_over_of("stalled"))
        wait_for(lambda: not busy_threads(server))
        frames = []
        assert read_until_lost(stream, frames)
        resumed = entry.resume(server.address, "stalled", len(chunks(frames)))
        assert not read_until_lost(resumed, frames)
        assert chunks(frames) == chunks(handler.script)


def busy_threads(server) -> int:
    return sum(worker.conn is not None for worker in server.requests._threads)


def test_many_streams_run_at_once():
    """Every stream occupies a thread, so the thread pool must grow with the streams."""
    handler = ScriptedHandler()
    with serving(handler) as server:
        entry = client()
        names = [f"{number}" for number in range(100)]
        streams = []
        for name in names:
            streams.append(entry.hand_over(server.address, hand_over_of(name)))
            assert isinstance(streams[-1], AttemptStream)
        for name in names:
            handler.write(handler.buffers[name], frames_of([name.encode()]))
        for name, stream in zip(names, streams, strict=True):
            assert whole_answer(stream) == frames_of([name.encode()])


def test_a_stream_is_closed_from_another_thread():
    """A cancelled request must not wait for the next frame of its sidecar."""
    handler = ScriptedHandler()
    with serving(handler) as server:
        stream = client().hand_over(server.address, hand_over_of("closed"))
        lost = []
        reader = Thread(
            target=lambda: lost.append(read_until_lost(stream, [])), daemon=True
        )
        reader.start()
        wait_for(lambda: stream.reading)
        stream.close()
        reader.join(timeout=30.0)
        assert lost == [True]
