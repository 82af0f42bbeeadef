"""Check that a stream is forwarded in whole events, however it is fragmented."""

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


@pytest.mark.parametrize("end", ["\n\n", "\r\n\r\n", "\r\r", "\r\n\n", "\n\r\n"])
def test_an_event_is_passed_on_before_the_next_one_begins(end):
    """Guards against events that are held until the stream ends."""
    data = f"id: 1\ndata: x{end}".encode()
    assert EventSplitter().feed(data) == EventBatch(data, "1")
    assert count_events(data) == 1
