"""Check, on real processes, what a full disk and lost replicas leave to callers."""

import resource
from collections.abc import Iterator
from pathlib import Path

import pytest

from common.daemon_fleet import (
    ENGINES,
    TIMINGS,
    StreamedCall,
    leader,
    start_fleet,
    state,
    version,
)
from local_fleet import LocalFleet, wait_until


@pytest.fixture
def fleet(tmp_path: Path) -> Iterator[LocalFleet]:
    with LocalFleet(tmp_path, timings=TIMINGS) as fleet:
        start_fleet(fleet, ENGINES[:1])
        yield fleet


def put_weight(weight: int) -> dict:
    customer = {"name": "mill", "services": ["scribe"], "key_hash": "0" * 64}
    return {"put_customers": [customer | {"weight": weight}]}


def test_an_entry_with_a_full_disk_serves_callers_and_votes_no_more(fleet):
    """The leader's disk becomes full, its log lines included.

    Another replica leads and accepts changes. The entry itself says what is wrong,
    and its callers are answered as before, under the newest configuration.
    """
    full = leader(fleet)
    limits = resource.RLIMIT_FSIZE
    _, hard = resource.prlimit(fleet.processes[full].pid, limits)
    resource.prlimit(fleet.processes[full].pid, limits, (0, hard))
    accepted = fleet.change("after", put_weight(7))["configuration_version"]
    status, health = fleet.operator_call(full, "GET", "/healthz")
    assert status == 503, health
    (note, *_) = state(fleet, full)["notes"]
    assert "disk failed" in note
    wait_until(lambda: leader(fleet) != full, "another leader")
    wait_until(lambda: version(fleet, full) == accepted, "the version at the full one")
    assert fleet.is_ready(full)
    assert StreamedCall(fleet, full, "a tare note", 3).text()
