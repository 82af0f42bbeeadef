"""Hold the size that is aimed at, and what is assumed about it."""

from typing import NamedTuple

from cowslipshelf_core.configuration import DEFAULT_DEADLINE_SECONDS
from cowslipshelf_core.internal.control.limits import CLAIM_RETENTION_SECONDS


class Size(NamedTuple):
    """Be the size to be carried, and the limits, as the users' letter gives them."""

    entries: int = 400
    upstreams: int = 5_200
    requests_per_second: float = 8_400.0
    tokens_per_second: float = 2.8e6
    customers: int = 1_900
    changes_per_day: float = 16_000.0
    failures_per_day: float = 34.0
    restarts_per_day: float = 1_800.0
    set_aside: int = 16
    core_percent: float = 4.5
    memory_mebibytes: float = 244.1
    """256 MB."""
    kilobytes_per_second: float = 21.0
    in_force_seconds: float = 6.0


class Assumptions(NamedTuple):
    """Be what neither the letter nor a measurement gives."""

    entries_announced_to: int = 4
    """Entries that each sidecar announces itself to."""
    claimed_share: float = 0.05
    """Part of all requests that must run at most once."""
    usable_core_percent: float = 60.0
    """Share of a core that a process set aside may use at the peak."""
    replicas_in_group: int = 5
    region_round_trip_seconds: float = 0.15
    claim_kept_seconds: float = CLAIM_RETENTION_SECONDS + DEFAULT_DEADLINE_SECONDS
    claims_memory_mebibytes: float = 150.0
    """Of a process's limit, what is left for claims beside all else it holds."""
