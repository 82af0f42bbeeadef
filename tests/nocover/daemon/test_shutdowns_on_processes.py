"""Check, on real processes, that a daemon that has to end ends, with its code."""

import signal
import socket
from collections.abc import Iterator
from pathlib import Path

import pytest

from common.daemon_fleet import (
    ENGINES,
    TIMINGS,
    StreamedCall,
    start_fleet,
    state,
)
from local_fleet import LocalFleet, wait_until

EXIT_WORK_ABORTED = 1
EXIT_NOT_STARTED = 7
PROMPT = "a long lease " * 40
ENDLESS_TOKENS = 1_000
"""Some 50 s of the slow engines: longer than any of these tests waits."""
SHUTDOWN_SECONDS = 1.0
ENTRY = "entry-1"


@pytest.fixture
def fleet(tmp_path: Path) -> Iterator[LocalFleet]:
    timings = TIMINGS | {"shutdown_seconds": SHUTDOWN_SECONDS}
    with LocalFleet(tmp_path, timings=timings) as fleet:
        start_fleet(fleet, ENGINES)
        yield fleet


def streaming_sidecar(fleet: LocalFleet) -> str:
    """Begin a long stream through the entry; name the sidecar that passes it on."""
    StreamedCall(fleet, ENTRY, PROMPT, ENDLESS_TOKENS).wait_for_tokens(3)
    busy = wait_until(
        lambda: [u for u in state(fleet, ENTRY)["upstreams"] if u["running"]],
        "the attempt in a load report",
    )
    return f"{busy[0]['upstream_id']}-sidecar"


def log_of(fleet: LocalFleet, name: str) -> str:
    return (fleet.folder / f"{name}.log").read_text()


@pytest.mark.parametrize("role", ["entry", "sidecar"])
@pytest.mark.parametrize("signals", [1, 2])
def test_a_daemon_whose_work_is_cut_ends(fleet, role, signals):
    """A process is asked to end while it streams, and its time for that runs out.

    Or a second signal asks it to end at once. The log said `Work was cut.`, and then
    the process stayed, serving nobody, until it was killed: its servers' threads are
    no daemon threads, so the interpreter waited for them for ever. Shown by -9, 40 s
    later, in each of the four cases, and by `role changed`, logged 19 s after
    `Work was cut.` by an entry that should have been gone.
    """
    sidecar = streaming_sidecar(fleet)
    name = ENTRY if role == "entry" else sidecar
    fleet.send_signal(name, signal.SIGTERM)
    if signals > 1:
        # Two signals that wait together are one to the process.
        wait_until(lambda: "Shutdown begins." in log_of(fleet, name), "the first")
        fleet.send_signal(name, signal.SIGTERM)
    assert fleet.wait_for_end(name) == EXIT_WORK_ABORTED, log_of(fleet, name)
    assert "Work was cut." in log_of(fleet, name)


def test_an_entry_that_can_not_listen_for_callers_ends(fleet):
    """The callers' port is taken when an entry starts; the operators' is free.

    The log says that it was not started. Whoever watches processes has to see its
    end, and not one that lives on with the operators' door open behind which nobody
    works.
    """
    fleet.kill(ENTRY)
    host, port = fleet.callers[ENTRY].split(":")
    with socket.socket() as other:
        other.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        other.bind((host, int(port)))
        other.listen()
        fleet.start_entry(ENTRY)
        assert fleet.wait_for_end(ENTRY) == EXIT_NOT_STARTED, log_of(fleet, ENTRY)
