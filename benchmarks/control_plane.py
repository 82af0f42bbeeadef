"""Measure changes, their spreading and fail-over on real daemons.

Run as `python benchmarks/control_plane.py`; the table goes to standard output and the
figures to benchmarks/results/control_plane.json. Times are wall-clock seconds on a
machine that may be busy, so the load average is part of the result.
"""

import json
import os
import statistics
import sys
import tempfile
import time
from collections.abc import Callable
from pathlib import Path
from typing import NamedTuple

import urllib3

ROOT = Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT / "examples"), str(ROOT / "tests")]

from common.daemon_fleet import (  # noqa: E402 - found by the path above
    ENGINES,
    PLAIN,
    leader,
    start_fleet,
    state,
    version,
)
from local_fleet import LocalFleet, wait_until  # noqa: E402

RESULT = ROOT / "benchmarks" / "results" / "control_plane.json"
CHANGES = 30
FAIL_OVERS = 20
CATCH_UP_CHANGES = 200
POLL_SECONDS = 0.002


class Summary(NamedTuple):
    """Describe a sample of times, in seconds."""

    runs: int
    median: float
    p95: float
    worst: float


def summarise(seconds: list[float]) -> Summary:
    """Describe some times."""
    ordered = sorted(seconds)
    p95 = ordered[min(len(ordered) - 1, int(0.95 * len(ordered)))]
    return Summary(len(ordered), statistics.median(ordered), p95, ordered[-1])


def poll(condition: Callable[[], bool]) -> None:
    """Poll more often than the starter does."""
    while not condition():
        time.sleep(POLL_SECONDS)


def weigh(weight: int) -> dict:
    """Return a change of one customer's weight."""
    customer = {
        "name": "mill",
        "services": ["scribe"],
        "key_hash": "0" * 64,
        "weight": weight,
    }
    return {"put_customers": [customer]}


def everywhere(fleet: LocalFleet, wanted: int) -> bool:
    """Tell whether all processes show a version, as the first entry knows it."""
    instances = state(fleet, fleet.entry_names[0])["instances"]
    return all(one["configuration_version"] >= wanted for one in instances)


def measure_changes(fleet: LocalFleet) -> tuple[Summary, Summary, Summary]:
    """Measure plan and confirm, then in force at all entries, then at all processes."""
    confirms, entries, processes = [], [], []
    for number in range(CHANGES):
        begun = time.monotonic()
        answer = fleet.change(f"change-{number}", weigh(number + 1))
        confirmed = time.monotonic()
        wanted = answer["configuration_version"]
        for name in fleet.entry_names:
            poll(lambda name=name, wanted=wanted: version(fleet, name) >= wanted)
        entries.append(time.monotonic() - confirmed)
        poll(lambda wanted=wanted: everywhere(fleet, wanted))
        processes.append(time.monotonic() - confirmed)
        confirms.append(confirmed - begun)
    return summarise(confirms), summarise(entries), summarise(processes)


def accepts_change(fleet: LocalFleet, name: str, number: int) -> bool:
    """Try a change through one entry."""
    document = {
        "change_id": f"after-{number}",
        "based_on": number,
        "change": weigh(number % 100 + 1),
    }
    try:
        return fleet.try_change_at(name, document) is not None
    except urllib3.exceptions.HTTPError:
        return False


def measure_fail_over(fleet: LocalFleet) -> Summary:
    """Measure from the leader's kill to the next change in force at another entry."""
    seconds = []
    for _ in range(FAIL_OVERS):
        killed = leader(fleet)
        other = next(name for name in fleet.entry_names if name != killed)
        base = version(fleet, other)
        fleet.kill(killed)
        begun = time.monotonic()
        poll(lambda other=other, base=base: accepts_change(fleet, other, base))
        seconds.append(time.monotonic() - begun)
        fleet.start_entry(killed)
        wait_until(lambda killed=killed: fleet.is_ready(killed), "its return")
    return summarise(seconds)


def measure_catch_up(fleet: LocalFleet) -> float:
    """Measure an entry's start to readiness after many changes passed it by."""
    late = fleet.entry_names[-1]
    fleet.kill(late)
    for number in range(CATCH_UP_CHANGES):
        fleet.change(f"passed-by-{number}", weigh(number + 1))
    wanted = version(fleet, fleet.entry_names[0])
    begun = time.monotonic()
    fleet.start_entry(late)
    wait_until(lambda: fleet.is_ready(late), "its return")
    poll(lambda: version(fleet, late) >= wanted)
    return time.monotonic() - begun


def main() -> int:
    """Measure everything once, print and store it."""
    with (
        tempfile.TemporaryDirectory() as folder,
        LocalFleet(Path(folder) / "fleet") as fleet,
    ):
        start_fleet(fleet, (*ENGINES, PLAIN))
        before = os.getloadavg()
        confirm, entries, processes = measure_changes(fleet)
        fail_over = measure_fail_over(fleet)
        catch_up = measure_catch_up(fleet)
    result = {
        "load_average_before": before,
        "load_average_after": os.getloadavg(),
        "plan_and_confirm": confirm._asdict(),
        "in_force_at_all_entries": entries._asdict(),
        "in_force_at_all_processes": processes._asdict(),
        "fail_over_to_next_change": fail_over._asdict(),
        "start_after_changes_passed_by": {
            "changes": CATCH_UP_CHANGES,
            "seconds": catch_up,
        },
    }
    RESULT.parent.mkdir(parents=True, exist_ok=True)
    RESULT.write_text(json.dumps(result, indent=2) + "\n")
    print(json.dumps(result, indent=2))
    return 0


if __name__ == "__main__":
    sys.exit(main())
