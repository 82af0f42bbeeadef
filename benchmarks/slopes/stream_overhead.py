"""Measure the overhead of entry and sidecar over direct streams from engines."""

import tempfile
import time
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import NamedTuple

from common.daemon_fleet import available
from local_fleet import LocalFleet, Upstream, wait_until
from slopes.daemons import MeasuredFleet
from slopes.fitting import Experiment, Reading
from slopes.processes import MEBIBYTE, PERCENT, Usage, pid_of, read_usage
from slopes.stream_client import StreamClient

STREAM_COUNTS = (1, 50, 300)
ENGINES = 4
"""Enough that no engine or sidecar reaches its limit of open attempts."""
TOKEN_SECONDS = 0.044
OPEN_RATE_PER_SECOND = 21.0
"""Share of one of 400 entries of 8,400 streams per second."""
WINDOW_SECONDS = 4.0
MARGIN_SECONDS = 1.5
"""Time that streams go on after the measured window."""
CALLER_KEY = "a-measured-customer-key"
MODEL = "ledger-1"
SERVICE = "assist-llm"
ENTRY = "entry-1"
MILLISECONDS = 1e3
MICROSECONDS = 1e6
ENGINE_OPTIONS = (
    "--decode-seconds-per-token",
    str(TOKEN_SECONDS),
    "--batch-slow-down",
    "0",
)
UPSTREAMS = tuple(
    Upstream(f"runner-{n}", SERVICE, "model", (MODEL,), 4_000_000, True, ENGINE_OPTIONS)
    for n in range(ENGINES)
)
DIRECT_ENGINES = tuple(one._replace(name=f"alone-{one.name}") for one in UPSTREAMS)
"""Engines without a sidecar, as a sidecar ends attempts that it did not start."""
CHANGE = {
    "put_models": [{"name": MODEL, "version": "1"}],
    "put_services": [{"name": SERVICE, "kind": "model", "models": [MODEL]}],
    "put_customers": [
        {
            "name": "desk",
            "key": CALLER_KEY,
            "services": [SERVICE],
            "most_concurrent": 2_000,
        }
    ],
}


class StreamFigures(NamedTuple):
    """Hold the results of one run of open streams; times in seconds."""

    first_p50: float
    first_p95: float
    gap_p50: float
    gap_p95: float
    events_per_second: float
    """While all streams were open."""
    before: dict[str, Usage]
    opened: dict[str, Usage]
    later: dict[str, Usage]


def quantile(values: list[float], share: float) -> float:
    """Return a quantile of some values."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


@contextmanager
def streaming_fleet() -> Iterator[LocalFleet]:
    """Run one entry with several engines, and as many engines without a sidecar."""
    with (
        tempfile.TemporaryDirectory() as folder,
        MeasuredFleet(Path(folder), 1) as fleet,
    ):
        fleet.start_entry(ENTRY)
        for upstream in UPSTREAMS:
            fleet.start_upstream(upstream)
        for upstream in DIRECT_ENGINES:
            fleet.start_standin(upstream)
        fleet.wait_ready()
        fleet.change("first", CHANGE)
        wait_until(lambda: len(available(fleet, ENTRY)) == ENGINES, "announcements")
        yield fleet


def usages(fleet: LocalFleet) -> dict[str, Usage]:
    """Read the usage of the entry and all sidecars."""
    sidecars = [f"{upstream.name}-sidecar" for upstream in UPSTREAMS]
    names = (ENTRY, *sidecars)
    return {name: read_usage(pid_of(fleet, name)) for name in names}


def run_streams(fleet: LocalFleet, addresses: list[str], streams: int) -> StreamFigures:
    """Open streams, measure a window with all open, and read them to the end."""
    client = StreamClient(addresses, MODEL, CALLER_KEY)
    before = usages(fleet)
    seconds = streams / OPEN_RATE_PER_SECOND + WINDOW_SECONDS + MARGIN_SECONDS
    client.start(streams, round(seconds / TOKEN_SECONDS), 1.0 / OPEN_RATE_PER_SECOND)
    opened, first_events = usages(fleet), client.events()
    time.sleep(WINDOW_SECONDS)
    later, last_events = usages(fleet), client.events()
    seconds = later[ENTRY].at - opened[ENTRY].at
    client.wait()
    first, gaps = client.first_seconds(), client.gaps()
    return StreamFigures(
        quantile(first, 0.5),
        quantile(first, 0.95),
        quantile(gaps, 0.5),
        quantile(gaps, 0.95),
        (last_events - first_events) / seconds,
        before,
        opened,
        later,
    )


def measure_streams(streams: int, repeats: int) -> list[list[Reading]]:
    """Compare streams through entry and sidecar to direct ones."""
    with streaming_fleet() as fleet:
        engines = [
            fleet.upstream_addresses[upstream.name] for upstream in DIRECT_ENGINES
        ]
        # Warm-up runs, which fill pools and caches.
        for addresses in (engines, [fleet.callers[ENTRY]]):
            run_streams(fleet, addresses, min(streams, ENGINES))
        rounds = []
        for _ in range(repeats):
            direct_run = run_streams(fleet, engines, streams)
            proxied_run = run_streams(fleet, [fleet.callers[ENTRY]], streams)
            rounds.append(compare(direct_run, proxied_run, streams))
    return rounds


def compare(
    direct_run: StreamFigures, proxied_run: StreamFigures, streams: int
) -> list[Reading]:
    """Return the readings of both runs, and their ratios."""
    readings = []
    for what in ("first", "gap"):
        for share in ("p50", "p95"):
            field = f"{what}_{share}"
            direct, proxied = getattr(direct_run, field), getattr(proxied_run, field)
            name = f"{'first event' if what == 'first' else 'between events'} {share}"
            readings += [
                Reading(f"{name}, engine alone", "ms", direct * MILLISECONDS),
                Reading(f"{name}, through", "ms", proxied * MILLISECONDS),
                Reading(f"{name}, ratio", "", proxied / direct),
            ]
    readings += [
        Reading("events, engine alone", "1/s", direct_run.events_per_second),
        Reading("events, through", "1/s", proxied_run.events_per_second),
    ]
    return readings + process_readings(proxied_run, streams)


def process_readings(figures: StreamFigures, streams: int) -> list[Reading]:
    """Return the usage of entry and sidecars."""
    sidecars = [name for name in figures.before if name != ENTRY]
    readings = []
    for role, names in (("entry", [ENTRY]), ("sidecars", sidecars)):
        used = sum(processor_seconds(figures, name) for name in names)
        seconds = figures.later[ENTRY].at - figures.opened[ENTRY].at
        events = figures.events_per_second * seconds
        resident = sum(figures.later[name].resident_bytes for name in names)
        grown = resident - sum(figures.before[name].resident_bytes for name in names)
        readings += [
            Reading(f"{role}: processor", "% of a core", used / seconds * PERCENT),
            Reading(f"{role}: per event", "us", used / events * MICROSECONDS),
            Reading(f"{role}: memory", "MiB", resident / MEBIBYTE),
            Reading(f"{role}: memory grown", "KiB a stream", grown / 1024 / streams),
        ]
    return readings


def processor_seconds(figures: StreamFigures, name: str) -> float:
    """Return the processor time that one process used while all streams were open."""
    last, first = figures.later[name], figures.opened[name]
    return last.processor_seconds - first.processor_seconds


EXPERIMENTS = (Experiment("own path", "open stream", STREAM_COUNTS, measure_streams),)
