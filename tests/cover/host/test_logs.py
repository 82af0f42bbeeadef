"""Check that each log entry is one valid line, with a prefix and no secrets."""

import io
import json
import threading
from typing import NamedTuple

import pytest
from hypothesis import given
from hypothesis import strategies as st

from common.deterministic import DETERMINISTIC
from common.settings import CLUSTER_KEY, entry_document
from cowslipshelf_host.logs import QueuedLineWriter, configure_logs, part_logger
from cowslipshelf_host.settings import LogSettings, decode_settings

ASCII_PART_OF_SECRET = "cret-of-a-customer"
SECRET = "\u00a7" + ASCII_PART_OF_SECRET
LOG = part_logger("entry")
FORMATS = ("json", "console")


class Call(NamedTuple):
    """Hold the fields of a call, as an example of a record that is logged."""

    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes


class Unprintable:
    """Raise an error in `__repr__`."""

    def __repr__(self) -> str:
        raise RuntimeError(SECRET)


SECRET_FIELDS = st.sampled_from(
    ["Authorization", "api_key", "key", "X-Api-Key", "cookie", "password", "key_hash"]
)
PLACES = st.sampled_from(
    [
        lambda name: {name: SECRET},
        lambda name: {"headers": [(name, SECRET)]},
        lambda name: {"call": Call("/v1", ((name, SECRET),), SECRET.encode())},
        lambda name: {"outer": [{"inner": {name: [SECRET]}}]},
        lambda _name: {"sent": f"Bearer {SECRET}"},
        lambda _name: {
            "error": ValueError(f"refused 'authorization: bearer {SECRET}'")
        },
        lambda _name: {"broken": Unprintable()},
    ]
)


@DETERMINISTIC
@given(st.sampled_from(FORMATS), PLACES, SECRET_FIELDS, st.text())
def test_a_secret_never_reaches_a_line(log_format, place, name, sentence) -> None:
    """Guard against a customer's key in the log, which many people may read.

    When something fails, a part logs the request with all its headers; the key is in
    one of them, nested in a record.
    """
    stream = io.StringIO()
    configure_logs(LogSettings(format=log_format), stream)
    LOG.warning(sentence, **place(name))
    written = stream.getvalue()
    assert SECRET not in written
    assert ASCII_PART_OF_SECRET not in written
    assert written.endswith("\n")
    assert len(written.splitlines()) == 1


@pytest.mark.parametrize("log_format", FORMATS)
def test_settings_can_be_logged_whole(log_format: str) -> None:
    stream = io.StringIO()
    configure_logs(LogSettings(format=log_format), stream)
    settings = decode_settings(json.dumps(entry_document()).encode(), "f").unwrap()
    LOG.info("Started.", settings=settings)
    assert "10.0.0.1:7000" in stream.getvalue()
    assert CLUSTER_KEY not in stream.getvalue()


VALUES = st.recursive(
    st.none()
    | st.integers()
    | st.floats()
    | st.text()
    | st.binary()
    | st.builds(object),
    lambda inner: st.lists(inner) | st.dictionaries(st.text() | st.integers(), inner),
    max_leaves=5,
)


@DETERMINISTIC
@given(st.text(), st.dictionaries(st.from_regex(r"[a-d]\Z", fullmatch=True), VALUES))
def test_any_value_becomes_one_json_line_with_the_prefix(sentence, fields) -> None:
    stream = io.StringIO()
    configure_logs(LogSettings(), stream)
    LOG.info(sentence, **fields)
    (line,) = stream.getvalue().splitlines()
    entry = json.loads(line)
    assert entry["event"].startswith("entry: ")
    assert entry["part"] == "entry"
    assert fields.keys() <= entry.keys()


def test_a_value_that_contains_itself_is_logged() -> None:
    stream = io.StringIO()
    configure_logs(LogSettings(), stream)
    endless: list[object] = []
    endless.append(endless)
    LOG.info("Endless.", value=endless)
    assert json.loads(stream.getvalue())["event"] == "entry: Endless."


@pytest.mark.parametrize("log_format", FORMATS)
def test_a_lost_log_stream_never_stops_the_part_that_logs(log_format: str) -> None:
    """Guard against requests that fail because the log pipe is closed.

    After a restart of the log collector, writing a line would raise in the thread that
    serves a caller, and fail its request.
    """
    stream = io.StringIO()
    writer = configure_logs(LogSettings(format=log_format), stream)
    stream.close()
    LOG.info("Nobody reads this.")
    assert writer.lost_lines == 1


def test_lines_below_the_level_are_left_out() -> None:
    stream = io.StringIO()
    configure_logs(LogSettings(level="warning"), stream)
    LOG.info("Quiet.")
    LOG.error("Loud.")
    assert [json.loads(line)["level"] for line in stream.getvalue().splitlines()] == [
        "error"
    ]


def test_a_full_pipe_holds_up_nobody():
    """Guard against requests that hang because nothing reads the log pipe."""
    released = threading.Event()

    class FullPipe(io.StringIO):
        def write(self, text: str) -> int:
            released.wait()
            return super().write(text)

    pipe = FullPipe()
    writer = QueuedLineWriter(pipe)
    for number in range(10_000):
        writer.write_line(f"line {number}")
    released.set()
    writer.stop()


def test_lines_beyond_the_bound_are_counted_and_the_count_is_written():
    stream = io.StringIO()
    writer = QueuedLineWriter(stream)
    for number in range(5_000):
        writer.write_line(f"line {number}")
    writer.stop()
    writer.thread.join()
    lines = stream.getvalue().splitlines()
    counts = [json.loads(line)["count"] for line in lines if line.startswith("{")]
    written = [line for line in lines if line.startswith("line")]
    assert len(written) + sum(counts) == 5_000
    assert sum(counts) > 0


def test_the_last_lines_go_out_before_the_process_ends():
    stream = io.StringIO()
    writer = QueuedLineWriter(stream)
    writer.write_line("last words")
    writer.stop()
    writer.thread.join()
    assert stream.getvalue() == "last words\n"
