"""Measure changes, their propagation and fail-over on real daemons.

Run `python benchmarks/control_plane.py`; the results go to standard output and to
benchmarks/results/control_plane.json. Times are wall-clock seconds on a machine that
may be busy, so the results include the load average.
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
    """Summarize measured times, in seconds."""

    runs: int
    median: float
    p95: float
    worst: float


def summarize(seconds: list[float]) -> Summary:
    """Summarize some times."""
    ordered = sorted(seconds)
    p95 = ordered[min(len(ordered) - 1, int(0.95 * len(ordered)))]
    return Summary(len(ordered), statistics.median(ordered), p95, ordered[-1])


def poll(condition: Callable[[], bool]) -> None:
    """Wait for a condition, polling more often than `wait_until`."""
    while not condition():
        time.sleep(POLL_SECONDS)


def weight_change(weight: int) -> dict:
    """Build a change of one customer's weight."""
    customer = {
        "name": "mill",
        "services": ["scribe"],
        "key_hash": "0" * 64,
        "weight": weight,
    }
    return {"put_customers": [customer]}


def is_applied_everywhere(fleet: LocalFleet, wanted: int) -> bool:
    """Return whether the first entry sees a version at all processes."""
    instances = state(fleet, fleet.entry_names[0])["instances"]
    return all(one["configuration_version"] >= wanted for one in instances)


def measure_changes(fleet: LocalFleet) -> tuple[Summary, Summary, Summary]:
    """Measure the time to confirm changes, then to all entries and all processes."""
    confirm_seconds, entry_seconds, process_seconds = [], [], []
    for number in range(CHANGES):
        began = time.monotonic()
        answer = fleet.change(f"change-{number}", weight_change(number + 1))
        confirmed = time.monotonic()
        wanted = answer["configuration_version"]
        for name in fleet.entry_names:
            poll(lambda name=name, wanted=wanted: version(fleet, name) >= wanted)
        entry_seconds.append(time.monotonic() - confirmed)
        poll(lambda wanted=wanted: is_applied_everywhere(fleet, wanted))
        process_seconds.append(time.monotonic() - confirmed)
        confirm_seconds.append(confirmed - began)
    return (
        summarize(confirm_seconds),
        summarize(entry_seconds),
        summarize(process_seconds),
    )


def accepts_change(fleet: LocalFleet, name: str, number: int) -> bool:
    """Try a change at one entry, and return whether it was accepted."""
    document = {
        "change_id": f"after-{number}",
        "based_on": number,
        "change": weight_change(number % 100 + 1),
    }
    try:
        return fleet.try_change_at(name, document) is not None
    except urllib3.exceptions.HTTPError:
        return False


def measure_fail_over(fleet: LocalFleet) -> Summary:
    """Measure from killing the leader to the next accepted change at another entry."""
    seconds = []
    for _ in range(FAIL_OVERS):
        killed = leader(fleet)
        other = next(name for name in fleet.entry_names if name != killed)
        base = version(fleet, other)
        fleet.kill(killed)
        began = time.monotonic()
        poll(lambda other=other, base=base: accepts_change(fleet, other, base))
        seconds.append(time.monotonic() - began)
        fleet.start_entry(killed)
        wait_until(lambda killed=killed: fleet.is_ready(killed), "its return")
    return summarize(seconds)


def measure_catch_up(fleet: LocalFleet) -> float:
    """Measure an entry's start until it is ready and up to date after many changes."""
    restarted = fleet.entry_names[-1]
    fleet.kill(restarted)
    for number in range(CATCH_UP_CHANGES):
        fleet.change(f"passed-by-{number}", weight_change(number + 1))
    wanted = version(fleet, fleet.entry_names[0])
    began = time.monotonic()
    fleet.start_entry(restarted)
    wait_until(lambda: fleet.is_ready(restarted), "its return")
    poll(lambda: version(fleet, restarted) >= wanted)
    return time.monotonic() - began


def main() -> int:
    """Run all measurements, and print and store the results."""
    with (
        tempfile.TemporaryDirectory() as folder,
        LocalFleet(Path(folder) / "fleet") as fleet,
    ):
        start_fleet(fleet, (*ENGINES, PLAIN))
        before = os.getloadavg()
        confirm, entry_seconds, process_seconds = measure_changes(fleet)
        fail_over = measure_fail_over(fleet)
        catch_up = measure_catch_up(fleet)
    result = {
        "load_average_before": before,
        "load_average_after": os.getloadavg(),
        "plan_and_confirm": confirm._asdict(),
        "in_force_at_all_entries": entry_seconds._asdict(),
        "in_force_at_all_processes": process_seconds._asdict(),
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
