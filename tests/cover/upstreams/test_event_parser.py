"""Test parsing server-sent events that are split anywhere."""

import pytest
from hypothesis import example, given
from hypothesis import strategies as st

from common.upstreams import steady
from cowslipshelf_upstreams.internal.event_parser import (
    MAX_EVENT_BYTES,
    EventParser,
    EventTooLargeError,
    ServerSentEvent,
)

LINES = st.text(
    st.characters(blacklist_characters="\r\n", blacklist_categories=("Cs",))
)
EVENTS = st.lists(st.tuples(st.integers(1, 999), st.lists(LINES, min_size=1)))


@steady
@given(
    events=EVENTS,
    line_end=st.sampled_from(["\n", "\r\n", "\r"]),
    comments=st.booleans(),
    cuts=st.lists(st.integers(0, 200)),
)
@example(events=[(1, ["a"]), (2, ["b"])], line_end="\r\n", comments=True, cuts=[8, 9])
@example(events=[(1, ["a"])], line_end="\r", comments=False, cuts=[])
def test_events_are_the_same_wherever_the_bytes_are_cut(
    events, line_end, comments, cuts
) -> None:
    wire = ""
    for number, lines in events:
        if comments:
            wire += f": keep-alive{line_end}{line_end}"
        wire += f"id: {number}{line_end}"
        wire += "".join(f"data: {line}{line_end}" for line in lines) + line_end
    parser = EventParser()
    parsed = []
    raw = wire.encode()
    places = [0, *sorted(min(cut, len(raw)) for cut in cuts), len(raw)]
    for start, end in zip(places, places[1:], strict=False):
        parsed += parser.feed(raw[start:end])
    assert parsed == [
        ServerSentEvent(b"%d" % number, "\n".join(lines).encode())
        for number, lines in events
    ]
    assert parser.buffer == b""


@steady
@given(pieces=st.lists(st.binary(max_size=50)))
def test_any_bytes_are_parsed_without_an_exception(pieces) -> None:
    parser = EventParser()
    for piece in pieces:
        for event in parser.feed(piece):
            assert event.data is not None


def test_an_event_that_never_ends_is_refused() -> None:
    parser = EventParser()
    with pytest.raises(EventTooLargeError):
        parser.feed(b"data: " + b"x" * MAX_EVENT_BYTES)
