"""Test that slow readers neither block an engine nor lose a byte."""

import socket
from threading import Thread

import pytest
from hypothesis import given
from hypothesis import strategies as st

from common.upstreams import steady
from cowslipshelf_standins.internal.attempts import Attempt, AttemptState
from cowslipshelf_standins.internal.event_stream import DONE_EVENT, answer_event
from cowslipshelf_standins.internal.event_writer import (
    EventWriter,
    StreamCutError,
    chunk,
)
from cowslipshelf_standins.internal.faults import FaultInjector, Faults
from cowslipshelf_standins.internal.prompts import Prompt

QUIET_SECONDS = 60.0
SMALL_BUFFER_BYTES = 4_096


def new_attempt(output: int) -> Attempt:
    prompt = Prompt("small", 10, output, True, False, 5, ())
    return Attempt("attempt", "request", prompt, 0, 0, 0, 10, 0, 1)


def read_to_end(sock: socket.socket) -> bytes:
    sock.settimeout(30.0)
    return b"".join(iter(lambda: sock.recv(65_536), b""))


@steady
@given(
    steps=st.lists(
        st.one_of(
            st.tuples(st.just("generate"), st.integers(1, 4_000)),
            st.tuples(st.just("read"), st.integers(1, 20_000)),
        ),
        max_size=30,
    )
)
def test_a_reader_that_stops_gets_every_byte_later_and_blocks_nobody(steps) -> None:
    """A reader accepts no data for a while.

    The engine loop's thread writes to all streams. If it blocked on this one, all
    others would stop.
    """
    attempt = new_attempt(1 + sum(n for kind, n in steps if kind == "generate"))
    ours, theirs = socket.socketpair()
    ours.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SMALL_BUFFER_BYTES)
    writer = EventWriter(ours, attempt, 0, FaultInjector())
    received = b""
    for kind, number in steps:
        if kind == "generate":
            attempt.publish(AttemptState.DECODING, attempt.generated + number)
            # If this blocked, the test would hang: nothing is being read.
            writer.push()
        else:
            theirs.setblocking(False)
            try:
                received += theirs.recv(number)
            except BlockingIOError:
                continue
    attempt.publish(AttemptState.FINISHED, attempt.generated + 1)
    writer.push()
    # Deleting a finished attempt pushes once more.
    writer.push()

    def serve() -> None:
        writer.run(QUIET_SECONDS)
        ours.close()

    Thread(target=serve, daemon=True).start()
    received += read_to_end(theirs)
    theirs.close()
    last = len(attempt.event_ends)
    events = [answer_event(attempt, n) for n in range(1, last + 1)]
    wire = b"".join(map(chunk, [*events, DONE_EVENT % (last + 1)])) + b"0\r\n\r\n"
    assert received == wire


@steady
@given(events=st.integers(0, 6), limit=st.integers(0, 6))
def test_a_stream_is_cut_after_as_many_events_as_the_fault_says(events, limit) -> None:
    attempt = new_attempt(events + 1)
    ours, theirs = socket.socketpair()
    injector = FaultInjector()
    injector.set(Faults(drop_after_events=limit))
    writer = EventWriter(ours, attempt, 0, injector)
    for number in range(events):
        attempt.publish(AttemptState.DECODING, number + 1)
        writer.push()
    attempt.publish(AttemptState.FINISHED, events + 1)
    whole = limit >= events + 2
    if whole:
        writer.run(QUIET_SECONDS)
    else:
        with pytest.raises(StreamCutError):
            writer.run(QUIET_SECONDS)
    ours.close()
    received = read_to_end(theirs)
    theirs.close()
    assert received.count(b"id: ") == min(limit, events + 2)
    assert received.endswith(b"0\r\n\r\n") == whole
