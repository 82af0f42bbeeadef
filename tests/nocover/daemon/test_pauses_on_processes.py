"""Check, on real processes, what callers and operators see when processes pause.

A machine that is paused, or gets no CPU time, looks dead to its peers, and then
continues where it stopped.
"""

import signal
import threading
import time
from collections.abc import Iterator, Sequence
from contextlib import contextmanager
from pathlib import Path

import pytest

from common.daemon_fleet import (
    ENGINES,
    TIMINGS,
    StreamedCall,
    leader,
    put_weight,
    start_fleet,
    version,
)
from local_fleet import LocalFleet

PROMPT = "a lease that was read twice " * 20
LONGER_THAN_FIVE_ELECTIONS = 1.2 * 5 * TIMINGS["election_seconds"]


@pytest.fixture
def fleet(tmp_path: Path) -> Iterator[LocalFleet]:
    with LocalFleet(tmp_path, timings=TIMINGS) as fleet:
        start_fleet(fleet, ENGINES)
        yield fleet


@contextmanager
def paused(fleet: LocalFleet, names: Sequence[str], seconds: float) -> Iterator[None]:
    """Pause processes, and resume them after `seconds`."""
    for name in names:
        fleet.send_signal(name, signal.SIGSTOP)

    def resume() -> None:
        time.sleep(seconds)
        for name in names:
            fleet.send_signal(name, signal.SIGCONT)

    resuming = threading.Thread(target=resume)
    resuming.start()
    yield
    resuming.join()


def test_an_operator_hears_the_outcome_after_a_pause_of_the_quorum(fleet):
    """An operator confirms a change while most replicas are paused.

    The operator got "outcome unknown" after five election timeouts, 1.5 s here and
    three attempts, and the change was in force 0.2 s later. That timeout is meant for
    callers, who have a deadline; it cut short the operators' own timeout of 8 s.
    """
    base = version(fleet, "entry-1")
    led = leader(fleet)
    change = {"change_id": "weigh", "based_on": base, "change": put_weight(3)}
    status, plan = fleet.operator_call(led, "POST", "/v1/plans", change)
    assert status == 200, plan
    path = f"/v1/plans/{plan['plan']['plan_id']}/confirm"
    followers = [name for name in fleet.entry_names if name != led]
    with paused(fleet, followers, LONGER_THAN_FIVE_ELECTIONS):
        status, answer = fleet.operator_call(led, "POST", path, {})
    assert status == 200, answer
    assert answer["configuration_version"] == base + 1


def test_a_stream_goes_on_where_it_runs_after_a_pause_of_the_whole_fleet(fleet):
    """A machine is paused during a stream, for longer than an owner's lease.

    The sidecar's first tick after the pause came before the queued messages of its
    entries. It took every owner for dead and cancelled their attempts, and the stream
    was resumed at the other engine. With pauses of 3.6 and 4.7 s, eight of eight
    streams were placed twice.
    """
    call = StreamedCall(fleet, "entry-1", PROMPT, 60)
    call.wait_for_tokens(10)
    seconds = 1.2 * TIMINGS["owner_lease_seconds"]
    with paused(fleet, tuple(fleet.processes), seconds):
        pass
    assert call.text()
    request_id = call.response.headers["X-Request-Id"]
    path = f"/v1/explain/request/{request_id}"
    _, explained = fleet.operator_call("entry-1", "GET", path)
    placed = [line for line in explained["lines"] if " placed on " in line]
    assert len(placed) == 1, "\n".join(explained["lines"])
