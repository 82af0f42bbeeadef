"""Check that a stream is forwarded in whole events, however it is fragmented."""

from itertools import cycle

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cowslipshelf_daemon.internal.gateway.event_stream import (
    EventBatch,
    EventSplitter,
    count_events,
)

END = st.sampled_from(["\n\n", "\r\n\r\n"])
EVENTS = st.lists(
    st.tuples(st.integers(0, 99), st.text("abc ", max_size=8), END), max_size=6
)

LINE_END = st.sampled_from(["\n", "\r\n", "\r"])
MIXED_EVENTS = st.lists(
    st.tuples(st.text("abc ", max_size=8), LINE_END, LINE_END, LINE_END), max_size=6
)
COMMENTS = st.lists(
    st.tuples(st.sampled_from(["", ": ping", ":"]), LINE_END), max_size=3
)
CUTS = st.lists(st.integers(1, 9), min_size=1)


def event(number: int, text: str, end: str) -> bytes:
    line = end[: len(end) // 2]
    return f"id: {number}{line}data: {text}{end}".encode()


@given(EVENTS, st.lists(st.integers(1, 9), min_size=1), st.binary(max_size=5))
def test_whole_events_come_out_however_they_are_cut(events, cuts, half):
    """Guards against a caller that gets half an event twice.

    An upstream fails in the middle of an event. The one that resumes sends the whole
    event, so its first half must not have been forwarded.
    """
    half = half.replace(b"\n", b"").replace(b"\r", b"")
    whole = b"".join(event(*each) for each in events)
    splitter, out, last = EventSplitter(), b"", None
    data, position, turn = whole + half, 0, 0
    while position < len(data):
        step = cuts[turn % len(cuts)]
        turn += 1
        batch = splitter.feed(data[position : position + step])
        position += step
        if batch is not None:
            out += batch.data
            last = batch.last_id or last
    assert out == whole
    assert splitter.take_rest() == half
    assert last == (str(events[-1][0]) if events else None)


def mixed_event(text: str, first: str, second: str, blank: str) -> bytes:
    # A lone CR before LF would be one line end instead of two.
    blank = "\r\n" if (second, blank) == ("\r", "\n") else blank
    return f"id: 1{first}data: {text}{second}{blank}".encode()


def feed_in_pieces(splitter: EventSplitter, data: bytes, cuts: list[int]) -> bytes:
    """Feed data cut into pieces of the given sizes; return the complete events."""
    out, position, sizes = b"", 0, cycle(cuts)
    while position < len(data):
        step = next(sizes)
        batch = splitter.feed(data[position : position + step])
        position += step
        out += batch.data if batch is not None else b""
    return out


@given(MIXED_EVENTS, COMMENTS, CUTS)
def test_a_whole_stream_ends_outside_of_an_event(events, comments, cuts):
    """Guards against whole streams that count as broken for how they are written."""
    whole = b"".join(mixed_event(*each) for each in events)
    whole += "".join(text + end for text, end in comments).encode()
    splitter = EventSplitter()
    out = feed_in_pieces(splitter, whole, cuts)
    assert not splitter.is_inside_event()
    assert out + splitter.take_rest() == whole


@given(MIXED_EVENTS, CUTS, st.data())
def test_a_stream_cut_inside_an_event_is_noticed(events, cuts, data):
    """Guards against a stream that broke off inside an event and counts as whole."""
    last = mixed_event("text", *data.draw(st.tuples(LINE_END, LINE_END, LINE_END)))
    kept = data.draw(st.integers(1, len(last.rstrip(b"\r\n"))))
    splitter = EventSplitter()
    whole = b"".join(mixed_event(*each) for each in events)
    feed_in_pieces(splitter, whole + last[:kept], cuts)
    assert splitter.is_inside_event()


@pytest.mark.parametrize("end", ["\n\n", "\r\n\r\n", "\r\r", "\r\n\n", "\n\r\n"])
def test_an_event_is_passed_on_before_the_next_one_begins(end):
    """Guards against events that are held until the stream ends."""
    data = f"id: 1\ndata: x{end}".encode()
    assert EventSplitter().feed(data) == EventBatch(data, "1")
    assert count_events(data) == 1
