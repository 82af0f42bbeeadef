"""Check, on real processes, how the fleet survives a full disk and lost replicas."""

import os
import resource
import shutil
import subprocess
import sys
from collections.abc import Iterator
from pathlib import Path

import pytest

from common.daemon_fleet import (
    ENGINES,
    TIMINGS,
    StreamedCall,
    leader,
    put_weight,
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


def test_an_entry_with_a_full_disk_serves_callers_and_votes_no_more(fleet):
    """The leader's disk becomes full, so that it cannot even write its log file.

    Another replica must lead and accept changes. The entry must report the failure and
    still serve its callers, under the newest configuration.
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


def force_members(fleet: LocalFleet, name: str, *options: str):
    """Run the daemon with `--force-members`, and wait for its exit."""
    command = [sys.executable, "-m", "cowslipshelf_daemon", "--settings"]
    return subprocess.run(
        [*command, str(fleet.settings[name]), "--force-members", *options],
        env=os.environ | {"PYTHONPATH": os.pathsep.join(sys.path)},
        capture_output=True,
        text=True,
        timeout=60.0,
        check=False,
    )


def voter_instances(fleet: LocalFleet, name: str) -> set[str]:
    notes = state(fleet, name)["notes"]
    return {note.split()[1] for note in notes if note.startswith("voter")}


def test_one_replica_goes_on_after_two_were_lost_for_good(fleet):
    """Two of three data folders are lost, and no change can be committed.

    The operator forces the third replica to be the only member. Changes must continue
    from its state, the audit trail must show the forced membership, and a lost folder
    that is found again and started under its old name must have no vote.
    """
    before = fleet.change("before", put_weight(2))["configuration_version"]
    kept, found, wiped = fleet.entry_names
    wait_until(lambda: version(fleet, kept) == before, "the change at the kept one")
    refused = force_members(fleet, kept, "--operator", "ana", "--yes")
    assert (refused.returncode, "lock" in refused.stderr) == (9, True), refused
    for name in fleet.entry_names:
        fleet.kill(name)
    found_folder = fleet.folder / f"{found}-data"
    found_folder.rename(fleet.folder / "found-data")
    shutil.rmtree(fleet.folder / f"{wiped}-data")
    asked = force_members(fleet, kept, "--operator", "ana")
    assert asked.returncode == 8
    assert "WARNING" in asked.stdout and "--yes" in asked.stderr
    assert force_members(fleet, kept, "--yes").returncode == 2
    assert force_members(fleet, wiped, "--operator", "a", "--yes").returncode == 2
    forced = force_members(fleet, kept, "--operator", "ana", "--yes")
    assert forced.returncode == 0, forced
    fleet.start_entry(kept)
    wait_until(lambda: fleet.is_ready(kept), "the forced entry")
    after = fleet.change("after", put_weight(3))["configuration_version"]
    assert after == before + 1
    _, audit = fleet.operator_call(kept, "GET", "/v1/audit")
    assert any("ana" in str(one) and "forced" in str(one) for one in audit["records"])
    (fleet.folder / "found-data").rename(found_folder)
    fleet.start_entry(found)
    fleet.start_entry(wiped)
    wait_until(
        lambda: voter_instances(fleet, kept) == {kept, wiped}, "the wiped one's vote"
    )
    fleet.wait_ready((found,))
    fleet.change("with the found one", put_weight(4))
    assert voter_instances(fleet, kept) == {kept, wiped}
    wait_until(lambda: version(fleet, found) == after + 1, "the version there")
