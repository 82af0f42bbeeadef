"""Measure the cost of a hand-over to a sidecar, and of an announcement to an entry.

Prints JSON. Usage: `python benchmarks/sidecar.py`, with the core package installed.
"""

import gc
import json
import sys
import tracemalloc
from collections.abc import Callable
from statistics import median
from time import process_time
from typing import TypedDict

from cowslipshelf_core.configuration import (
    Customer,
    FleetConfiguration,
    Model,
    Service,
)
from cowslipshelf_core.directory import (
    AnnounceArrived,
    Directory,
    DirectoryConfig,
    TickElapsed,
)
from cowslipshelf_core.messages import Announce
from cowslipshelf_core.sidecar import (
    ConfigurationApplied,
    FirstTokenArrived,
    HandOverArrived,
    SidecarConfig,
    SidecarState,
    UpstreamAccepted,
    UpstreamFinished,
)
from cowslipshelf_core.upstream import HandOver, LoadReport, UpstreamDescription

FLEET_SIZES = (13, 104, 1000)
CUSTOMERS = 1900
ROUNDS = 7
CYCLES = 2000
OPEN_ATTEMPTS = 64
ENDED_ATTEMPTS = 10_000
MICROSECONDS = 1e6
MEMORY_TOKENS = 10**9
HOT_PREFIXES = tuple(range(2**60, 2**60 + 16))


class Summary(TypedDict):
    """Summarize one quantity over the rounds."""

    median: float
    least: float
    most: float


def summarize(values: list[float]) -> Summary:
    """Return the median, minimum and maximum."""
    return Summary(
        median=round(median(values), 2),
        least=round(min(values), 2),
        most=round(max(values), 2),
    )


def microseconds_per_call(call: Callable[[], None], calls: int) -> float:
    """Return the processor time of `call`, which repeats an action `calls` times."""
    gc.collect()
    began_at = process_time()
    call()
    return (process_time() - began_at) * MICROSECONDS / calls


def build_description(name: str) -> UpstreamDescription:
    """Build the description of an upstream."""
    return UpstreamDescription(
        name, "maadi", "scribe", "model", ("small",), MEMORY_TOKENS, True, "127.0.0.1:1"
    )


def hand_over(name: str) -> HandOver:
    """Build the hand-over of an attempt."""
    return HandOver(
        request_id="request",
        attempt_id=name,
        owner="entry-1",
        upstream_id="runner-1",
        sidecar_epoch="start-1",
        configuration_version=1,
        customer=f"customer-{CUSTOMERS // 2}",
        service="scribe",
        model="small",
        non_idempotent=False,
        deadline_seconds=60.0,
        prompt_tokens=1000,
        max_output_tokens=200,
        priority=0,
        prefix_hash=0,
        method="POST",
        path="/v1/completions",
        headers=(),
        body=b"",
        load_sequence=1,
    )


def new_sidecar() -> SidecarState:
    """Build a sidecar with a configuration of the target size."""
    state = SidecarState.from_config(
        SidecarConfig(build_description("runner-1"), "start-1")
    )
    customers = tuple(
        Customer(f"customer-{index}", "", ("scribe",)) for index in range(CUSTOMERS)
    )
    configuration = FleetConfiguration(
        1,
        customers,
        (Service("scribe", "model", ("small",)),),
        (Model("small", "1"),),
    )
    state.handle(ConfigurationApplied(configuration), 0.0)
    return state


def run_cycles(state: SidecarState, names: list[str]) -> None:
    """Run attempts from hand-over to end."""
    for name in names:
        state.handle(HandOverArrived(hand_over(name)), 1.0)
        state.handle(UpstreamAccepted(name), 1.0)
        state.handle(FirstTokenArrived(name), 1.1)
        state.handle(UpstreamFinished(name, True, 100), 1.5)


def measure_hand_overs() -> Summary:
    """Measure the cycle of an attempt beside other open attempts."""
    state = new_sidecar()
    for index in range(OPEN_ATTEMPTS):
        state.handle(HandOverArrived(hand_over(f"alive-{index}")), 0.0)
    rounds = []
    for number in range(ROUNDS):
        names = [f"{number}-{index}" for index in range(CYCLES)]
        call = lambda names=names: run_cycles(state, names)  # noqa: E731
        rounds.append(microseconds_per_call(call, CYCLES))
    return summarize(rounds)


def measure_reports() -> Summary:
    """Measure a load report with open attempts."""
    state = new_sidecar()
    for index in range(OPEN_ATTEMPTS):
        state.handle(HandOverArrived(hand_over(f"alive-{index}")), 0.0)
    call = lambda: [state.load_report() for _ in range(CYCLES)]  # noqa: E731
    return summarize([microseconds_per_call(call, CYCLES) for _ in range(ROUNDS)])


def announcements(fleet: int, sequence: int) -> list[AnnounceArrived]:
    """Build an announcement of each upstream of a fleet."""
    load = LoadReport(sequence=sequence, hot_prefixes=HOT_PREFIXES)
    return [
        AnnounceArrived(
            Announce(build_description(f"runner-{index}"), f"start-{index}", 3.0, load),
            f"sidecar-{index}",
            "127.0.0.1:1",
        )
        for index in range(fleet)
    ]


def measure_announcements(fleet: int) -> Summary:
    """Measure an announcement with a newer load report."""
    directory = Directory.from_config(DirectoryConfig())
    rounds = []
    for sequence in range(1, ROUNDS + 2):
        events = announcements(fleet, sequence)
        call = lambda events=events: [  # noqa: E731
            directory.handle(event, 0.0) for event in events
        ]
        rounds.append(microseconds_per_call(call, fleet))
    return summarize(rounds[1:])


def measure_ticks(fleet: int) -> Summary:
    """Measure a tick of the directory."""
    directory = Directory.from_config(DirectoryConfig())
    for event in announcements(fleet, 1):
        directory.handle(event, 0.0)
    ticks = 20
    call = lambda: [directory.handle(TickElapsed(), 0.1) for _ in range(ticks)]  # noqa: E731
    return summarize([microseconds_per_call(call, ticks) for _ in range(ROUNDS)])


def bytes_per_item(build: Callable[[], object], items: int) -> int:
    """Return the bytes that `build` leaves allocated per item."""
    gc.collect()
    tracemalloc.start()
    built = build()
    gc.collect()
    used, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del built
    return round(used / items)


def build_directory() -> Directory:
    """Build a directory with a description and load report for every upstream."""
    directory = Directory.from_config(DirectoryConfig())
    for index in range(FLEET_SIZES[-1]):
        prefixes = tuple(hash_ + index for hash_ in HOT_PREFIXES)
        load = LoadReport(sequence=1000 + index, hot_prefixes=prefixes)
        announce = Announce(
            build_description(f"runner-{index}"), f"start-{index}", 3.0, load
        )
        directory.handle(AnnounceArrived(announce, "sidecar", "127.0.0.1:1"), 0.0)
    return directory


def open_attempts(state: SidecarState) -> SidecarState:
    """Open a number of attempts at a sidecar."""
    for index in range(OPEN_ATTEMPTS):
        state.handle(HandOverArrived(hand_over(f"alive-{index}")), 0.0)
    return state


def end_attempts(state: SidecarState) -> SidecarState:
    """Run a number of attempts that a sidecar keeps as ended."""
    for index in range(0, ENDED_ATTEMPTS, CYCLES):
        run_cycles(state, [f"attempt-{index + offset:032}" for offset in range(CYCLES)])
    return state


def main() -> None:
    """Print all measurements as JSON."""
    open_sidecar, ended_sidecar = new_sidecar(), new_sidecar()
    figures = {
        "python": sys.version.split()[0],
        "rounds": ROUNDS,
        "alive_attempts": OPEN_ATTEMPTS,
        "customers": CUSTOMERS,
        "microseconds_per_hand_over_cycle": measure_hand_overs(),
        "microseconds_per_load_report": measure_reports(),
        "microseconds_per_announcement": {
            fleet: measure_announcements(fleet) for fleet in FLEET_SIZES
        },
        "microseconds_per_directory_tick": {
            fleet: measure_ticks(fleet) for fleet in FLEET_SIZES
        },
        "bytes_per_upstream": bytes_per_item(build_directory, FLEET_SIZES[-1]),
        "bytes_per_alive_attempt": bytes_per_item(
            lambda: open_attempts(open_sidecar), OPEN_ATTEMPTS
        ),
        "bytes_per_ended_attempt": bytes_per_item(
            lambda: end_attempts(ended_sidecar), ENDED_ATTEMPTS
        ),
    }
    json.dump(figures, sys.stdout, indent=2)
    print()


if __name__ == "__main__":
    main()
