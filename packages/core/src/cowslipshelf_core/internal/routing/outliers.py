"""Eject upstreams that are much slower than their load reports predict."""

from statistics import median

from cowslipshelf_core.identifiers import UpstreamId
from cowslipshelf_core.internal.routing.fleet import Fleet, group_keys_of
from cowslipshelf_core.internal.routing.settings import OutlierConfig
from cowslipshelf_core.internal.routing.upstream_view import (
    SlownessEstimate,
    UpstreamView,
)

MIN_PEERS = 3


def record_overdue(view: UpstreamView, config: OutlierConfig, now: float) -> None:
    """Record attempts whose first token is long overdue as samples of slowness.

    An upstream that hardly answers yields hardly any first tokens to compare. Without
    these samples it would stay in use.
    """
    for attempt in view.attempts.values():
        if attempt.first_token_at is not None or attempt.counted_overdue:
            continue
        if attempt.is_spread:
            continue
        waited = now - attempt.placed_at
        predicted = attempt.predicted_first_token_seconds
        if waited > 1.0 + config.slow_ratio * predicted:
            attempt.counted_overdue = True
            view.slowness.add(waited, predicted, now)


def update_ejections(fleet: Fleet, now: float) -> None:
    """Readmit upstreams whose ejection has ended, and eject new outliers."""
    changed = set()
    for view in fleet.views.values():
        record_overdue(view, fleet.config.outliers, now)
        view.slowness.drop_old(now)
        if view.ejected_until is not None and now >= view.ejected_until:
            readmit(view, now)
            changed.add(view.description.upstream_id)
    for peers in peers_by_service(fleet):
        mark_avoided_for_long_prompts(peers, fleet.config.outliers, now)
        for view in outliers(peers, fleet.config.outliers):
            eject(view, fleet.config.outliers, now)
            changed.add(view.description.upstream_id)
        changed |= enforce_cap(peers, fleet.config.outliers, now)
    keys = {
        key
        for upstream_id in changed
        for key in group_keys_of(fleet.views[upstream_id].description)
    }
    for key in sorted(keys):
        fleet.rebuild(key)


def peers_by_service(fleet: Fleet) -> list[list[UpstreamView]]:
    """Group the upstreams by service."""
    by_service: dict[str, list[UpstreamView]] = {}
    for view in fleet.views.values():
        by_service.setdefault(view.description.service, []).append(view)
    return list(by_service.values())


def max_ejected(upstreams: int, config: OutlierConfig) -> int:
    """Return how many of a service's upstreams may be ejected at a time."""
    if upstreams < MIN_PEERS:
        return 0
    return max(1, int(upstreams * config.max_ejected_share))


def outliers(peers: list[UpstreamView], config: OutlierConfig) -> list[UpstreamView]:
    """Return the slowest outliers, no more than may be ejected.

    The cap matters when all upstreams seem slow at once: the cause is then not the
    upstreams, and ejecting them would leave no capacity.
    """
    already = sum(view.ejected_until is not None for view in peers)
    remaining = max_ejected(len(peers), config) - already
    if remaining <= 0:
        return []
    typical = median(view.slowness.factor for view in peers)
    slow = [
        view
        for view in peers
        if view.ejected_until is None
        and view.slowness.factor > config.slow_ratio * typical
    ]
    slow.sort(key=lambda view: view.slowness.factor, reverse=True)
    return slow[:remaining]


def mark_avoided_for_long_prompts(
    peers: list[UpstreamView], config: OutlierConfig, now: float
) -> None:
    """Mark the upstreams that long prompts avoid because their last answer was late.

    The cap applies here too: if all are late at once, long prompts go on as before.
    """
    last_factors = {
        view.description.upstream_id: view.slowness.last_factor(config, now)
        for view in peers
    }
    bound = config.long_prompt_slow_ratio * median(last_factors.values())
    late = [u for u, factor in last_factors.items() if factor > bound]
    late.sort(key=lambda u: last_factors[u], reverse=True)
    avoided = late[: max_ejected(len(peers), config)]
    for view in peers:
        view.avoid_for_long_prompts = view.description.upstream_id in avoided


def enforce_cap(
    peers: list[UpstreamView], config: OutlierConfig, now: float
) -> set[UpstreamId]:
    """Readmit the ejected upstreams above the cap, which shrinks as peers are lost.

    Those whose ejection ends first are readmitted; returns their ids.
    """
    ejected = [view for view in peers if view.ejected_until is not None]
    excess = len(ejected) - max_ejected(len(peers), config)
    if excess <= 0:
        return set()
    ejected.sort(key=lambda view: view.ejected_until or 0.0)
    for view in ejected[:excess]:
        readmit(view, now)
    return {view.description.upstream_id for view in ejected[:excess]}


def eject(view: UpstreamView, config: OutlierConfig, now: float) -> None:
    """Eject an upstream for a time that doubles with each ejection."""
    pause = config.ejection_seconds * 2.0**view.ejection_count
    view.ejected_until = now + min(pause, config.max_ejection_seconds)
    view.ejection_count += 1


def readmit(view: UpstreamView, now: float) -> None:
    """Put an upstream back in use with no slowness samples and a slow start."""
    view.ejected_until = None
    view.slowness = SlownessEstimate(last=view.slowness.last)
    view.available_since = now
