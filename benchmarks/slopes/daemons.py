"""Measure the processes of an idle fleet: cost of announcements and heartbeats."""

import tempfile
import time
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

from common.daemon_fleet import available, leader
from local_fleet import DATA_CENTRES, LocalFleet, Upstream, wait_until
from slopes.announcers import Intervals, announced_upstreams
from slopes.fitting import Experiment, Reading
from slopes.processes import WINDOW_SECONDS, observe

UPSTREAM_COUNTS = (0, 16, 48, 100)
ENTRY_COUNTS = (1, 3, 5, 7)
SETTLE_SECONDS = 2.0
INTERVALS = Intervals(0.5, 3.0, 0.5, 2.5, 5.0)
SLOW_INTERVALS = Intervals(3.0, 12.0, 3.0, 10.0, 20.0)
ENGINE = Upstream("runner-1", "assist-llm", "model", ("ledger-1",))
SIDECAR = "runner-1-sidecar"
FIRST_CHANGE = {
    "put_models": [{"name": "ledger-1", "version": "1"}],
    "put_services": [{"name": "assist-llm", "kind": "model", "models": ["ledger-1"]}],
}


class MeasuredFleet(LocalFleet):
    """Run a fleet of any size, with an entry in every data centre used."""

    def data_centre(self, index: int) -> str:
        """Spread instances over the data centres that have entries."""
        return DATA_CENTRES[index % min(len(self.entry_names), len(DATA_CENTRES))]

    def common_settings(self, name: str, index: int, mailbox: str) -> dict[str, Any]:
        """Leave out data centres without an instance, which settings may not name."""
        document = super().common_settings(name, index, mailbox)
        used = {entry["data_centre"] for entry in document["entries"]}
        return document | {"data_centres": sorted(used)}


@contextmanager
def running_fleet(
    entries: int, sidecars: bool = True, timings: dict[str, float] | None = None
) -> Iterator[LocalFleet]:
    """Run entries, and one engine with its sidecar; default intervals if not given."""
    with (
        tempfile.TemporaryDirectory() as folder,
        MeasuredFleet(Path(folder), entries, timings) as fleet,
    ):
        for name in fleet.entry_names:
            fleet.start_entry(name)
        if sidecars:
            fleet.start_upstream(ENGINE)
        fleet.wait_ready()
        fleet.change("first", FIRST_CHANGE)
        if sidecars:
            for name in fleet.entry_names:
                wait_until(
                    lambda name=name: available(fleet, name), f"announcement at {name}"
                )
        yield fleet


def measure_upstreams(upstreams: int, repeats: int) -> list[list[Reading]]:
    """Measure one entry with a number of sidecars, at the default intervals."""
    return measure_announcements(upstreams, repeats, INTERVALS)


def measure_slow_upstreams(upstreams: int, repeats: int) -> list[list[Reading]]:
    """Measure one entry with a number of sidecars, at six times the intervals."""
    return measure_announcements(upstreams, repeats, SLOW_INTERVALS)


def measure_announcements(
    upstreams: int, repeats: int, intervals: Intervals
) -> list[list[Reading]]:
    """Measure one entry that receives announcements of a number of sidecars."""
    with running_fleet(1, sidecars=False, timings=intervals._asdict()) as fleet:
        entry = fleet.entry_names[0]
        addresses = [fleet.mailboxes[entry]]
        with announced_upstreams(upstreams, addresses, intervals):
            wait_until(
                lambda: len(available(fleet, entry)) == upstreams, "announcements"
            )
            time.sleep(SETTLE_SECONDS)
            return [observe_as(fleet, {entry: "entry"}) for _ in range(repeats)]


def measure_entries(entries: int, repeats: int) -> list[list[Reading]]:
    """Measure an idle fleet of entries, each with a replica, and one sidecar."""
    with running_fleet(entries) as fleet:
        time.sleep(SETTLE_SECONDS)
        leader_name = leader(fleet)
        roles = {leader_name: "leader", SIDECAR: "sidecar"}
        followers = [name for name in fleet.entry_names if name != leader_name]
        # A fleet of one entry has no follower; its readings count for both roles.
        roles |= {followers[0]: "follower"} if followers else {}
        rounds = [observe_as(fleet, roles) for _ in range(repeats)]
    if not followers:
        rounds = [add_follower_readings(readings) for readings in rounds]
    return rounds


def add_follower_readings(readings: list[Reading]) -> list[Reading]:
    """Copy the only entry's readings as a follower's, an upper bound for those."""
    copies = [
        reading._replace(quantity=reading.quantity.replace("leader", "follower"))
        for reading in readings
        if reading.quantity.startswith("leader")
    ]
    return readings + copies


def observe_as(fleet: LocalFleet, roles: dict[str, str]) -> list[Reading]:
    """Observe instances and name the readings after their roles."""
    entries = [name for name in roles if name in fleet.entry_names]
    others = [name for name in roles if name not in fleet.entry_names]
    readings = observe(fleet, entries, others, WINDOW_SECONDS)
    return [renamed(reading, roles) for reading in readings]


def renamed(reading: Reading, roles: dict[str, str]) -> Reading:
    """Name a reading after the role of its instance."""
    instance, what = reading.quantity.split(": ", 1)
    return reading._replace(quantity=f"{roles[instance]}: {what}")


EXPERIMENTS = (
    Experiment("upstreams", "upstream heard", UPSTREAM_COUNTS, measure_upstreams),
    Experiment(
        "slow upstreams", "upstream heard", UPSTREAM_COUNTS, measure_slow_upstreams
    ),
    Experiment("entries", "entry instance", ENTRY_COUNTS, measure_entries),
)
