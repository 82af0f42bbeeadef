"""Choose an upstream for a request whose cost is not known in advance."""

from random import Random
from typing import NamedTuple

from cowslipshelf_core.identifiers import UpstreamId

FAILURE_COST = 3.0
"""Cost of a failure rate of 1, as a share of the slots: a rate of one third counts as
much as requests in all slots."""
AVOIDED_COST = 100.0
"""Makes an upstream that was just unreachable the last choice, but still one."""
REMOTE_COST = 0.05
"""Cost of another data centre, as a share of the slots: it only breaks ties."""


class UpstreamCandidate(NamedTuple):
    """Describe an upstream that may be chosen."""

    upstream_id: UpstreamId
    slots: int
    running: int
    """Requests that this gateway has there."""
    failure_rate: float
    slowness: float
    avoided: bool
    local: bool
    surcharge: float = 0.0
    """Cost of using the upstream at all, as a share of the slots."""


def choose_upstream(
    candidates: list[UpstreamCandidate], random: Random
) -> UpstreamId | None:
    """Return the upstream that is likely to answer first, if there is any."""
    if not candidates:
        return None
    shuffled = random.sample(candidates, len(candidates))
    return min(shuffled, key=expected_cost).upstream_id


def expected_cost(candidate: UpstreamCandidate) -> float:
    """Return a cost that grows with load, failures, slowness and distance."""
    load = (candidate.running + 1) / max(1, candidate.slots)
    cost = load * candidate.slowness + FAILURE_COST * candidate.failure_rate
    cost += candidate.surcharge
    if candidate.avoided:
        cost += AVOIDED_COST
    if not candidate.local:
        cost += REMOTE_COST
    return cost
