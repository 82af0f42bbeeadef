"""Check, on real processes, what callers and operators see when processes pause.

A machine that is paused as a whole, or starved, looks to its peers like a dead one,
and goes on where it was.
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
    """Stop processes, and let them go on after so long."""
    for name in names:
        fleet.send_signal(name, signal.SIGSTOP)

    def go_on() -> None:
        time.sleep(seconds)
        for name in names:
            fleet.send_signal(name, signal.SIGCONT)

    waking = threading.Thread(target=go_on)
    waking.start()
    yield
    waking.join()


def test_an_operator_hears_the_outcome_after_a_pause_of_the_quorum(fleet):
    """An operator confirms a change while most replicas stand still for a moment.

    The operator was told "outcome unknown" after five election timeouts, 1.5 s here,
    and the change was in force 0.2 s later: `Command not answered.` with three
    attempts at 51.44, `in force` at 51.64. The bound was made for callers, who have a
    deadline; the operators' own, 8 s, never came into force.
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
    """A machine is paused in mid-stream, for longer than an owner's lease.

    The sidecar's first tick came before the words of its entries that had waited, so it
    took every owner for gone and cancelled their attempts; the stream went on at the
    other engine: `stream lost after piece 10; resuming` at 4.110 s, `trying elsewhere
    after cancelled at run at upstream` at 4.128 s, after a pause of 3.6 s that began
    at 0.5 s. Eight of eight streams were placed twice by pauses of 3.6 and 4.7 s.
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
