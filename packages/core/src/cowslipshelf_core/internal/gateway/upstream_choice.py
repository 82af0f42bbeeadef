"""Choose an upstream for a request whose cost is not known beforehand."""

from random import Random
from typing import NamedTuple

from cowslipshelf_core.identifiers import UpstreamId

FAILING_COST = 3.0
"""Busy slots that a certain failure counts for: a share of failures of one third is
as bad as a full slot more."""
AVOIDED_COST = 100.0
"""Makes an upstream that was just lost the last choice, but still one."""
FAR_COST = 0.05
"""Parts of the slots that another data centre counts for: it breaks ties only."""


class UpstreamCandidate(NamedTuple):
    """Be an upstream that may be chosen."""

    upstream_id: UpstreamId
    slots: int
    running: int
    """Requests that this gateway has there."""
    failure_rate: float
    slowness: float
    avoided: bool
    near: bool


def choose_upstream(
    candidates: list[UpstreamCandidate], random: Random
) -> UpstreamId | None:
    """Return the upstream that is likely to answer first, or nothing without any."""
    if not candidates:
        return None
    shuffled = random.sample(candidates, len(candidates))
    return min(shuffled, key=expected_cost).upstream_id


def expected_cost(candidate: UpstreamCandidate) -> float:
    """Return a cost that grows with load, failures, slowness and distance."""
    load = (candidate.running + 1) / max(1, candidate.slots)
    cost = load * candidate.slowness + FAILING_COST * candidate.failure_rate
    if candidate.avoided:
        cost += AVOIDED_COST
    if not candidate.near:
        cost += FAR_COST
    return cost
