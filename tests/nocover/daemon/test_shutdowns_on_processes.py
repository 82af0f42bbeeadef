"""Check, on real processes, that a daemon exits when it must, with the right code."""

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
"""About 50 s at the slow engines: longer than any of these tests waits."""
SHUTDOWN_SECONDS = 1.0
ENTRY = "entry-1"


@pytest.fixture
def fleet(tmp_path: Path) -> Iterator[LocalFleet]:
    timings = TIMINGS | {"shutdown_seconds": SHUTDOWN_SECONDS}
    with LocalFleet(tmp_path, timings=timings) as fleet:
        start_fleet(fleet, ENGINES)
        yield fleet


def streaming_sidecar(fleet: LocalFleet) -> str:
    """Start a long stream through the entry; return the sidecar that forwards it."""
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
    """A process gets SIGTERM while it streams, and its grace period runs out.

    Or a second signal asks it to exit at once. The process logged `Work was cut.` but
    kept running, without serving, until it was killed: its servers' threads are no
    daemon threads, so the interpreter waited for them for ever. In each of the four
    cases it had to be killed after 40 s, and an entry still took part in an election
    19 s after `Work was cut.`.
    """
    sidecar = streaming_sidecar(fleet)
    name = ENTRY if role == "entry" else sidecar
    fleet.send_signal(name, signal.SIGTERM)
    if signals > 1:
        # Two pending signals of one kind are delivered as one.
        wait_until(lambda: "Shutdown begins." in log_of(fleet, name), "the first")
        fleet.send_signal(name, signal.SIGTERM)
    assert fleet.wait_for_exit(name) == EXIT_WORK_ABORTED, log_of(fleet, name)
    assert "Work was cut." in log_of(fleet, name)


def test_an_entry_that_can_not_listen_for_callers_ends(fleet):
    """The callers' port is in use when an entry starts; the operators' port is free.

    The entry logs that it was not started. It must also exit, so that its supervisor
    notices, rather than keep running with only the operators' port open.
    """
    fleet.kill(ENTRY)
    host, port = fleet.callers[ENTRY].split(":")
    with socket.socket() as other:
        other.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        other.bind((host, int(port)))
        other.listen()
        fleet.start_entry(ENTRY)
        assert fleet.wait_for_exit(ENTRY) == EXIT_NOT_STARTED, log_of(fleet, ENTRY)
