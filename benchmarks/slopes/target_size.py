"""Define the target size of a fleet, and assumptions about it."""

from typing import NamedTuple

from cowslipshelf_core.configuration import DEFAULT_DEADLINE_SECONDS
from cowslipshelf_core.internal.control.limits import CLAIM_RETENTION_SECONDS


class Size(NamedTuple):
    """Hold the fleet size and the cost limits that users require."""

    entries: int = 400
    upstreams: int = 5_200
    requests_per_second: float = 8_400.0
    tokens_per_second: float = 2.8e6
    customers: int = 1_900
    changes_per_day: float = 16_000.0
    failures_per_day: float = 34.0
    restarts_per_day: float = 1_800.0
    set_aside: int = 16
    """Processes set aside for replicas."""
    core_percent: float = 4.5
    memory_mebibytes: float = 244.1
    """256 MB."""
    kilobytes_per_second: float = 21.0
    in_force_seconds: float = 6.0


class Assumptions(NamedTuple):
    """Hold values that are neither required nor measured."""

    entries_announced_to: int = 4
    """Entries that each sidecar announces itself to."""
    claimed_share: float = 0.05
    """Share of all requests that must run at most once."""
    usable_core_percent: float = 60.0
    """Share of a core that a process set aside may use at the peak."""
    replicas_in_group: int = 5
    region_round_trip_seconds: float = 0.15
    claim_kept_seconds: float = CLAIM_RETENTION_SECONDS + DEFAULT_DEADLINE_SECONDS
    claims_memory_mebibytes: float = 150.0
    """Part of a process's memory limit that is left for claims."""
