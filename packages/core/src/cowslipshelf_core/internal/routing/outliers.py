"""Set aside upstreams that have become slow without saying so."""

from statistics import median

from cowslipshelf_core.identifiers import UpstreamId
from cowslipshelf_core.internal.routing.fleet import Fleet, keys_of
from cowslipshelf_core.internal.routing.settings import OutlierConfig
from cowslipshelf_core.internal.routing.upstream_view import (
    SlownessEstimate,
    UpstreamView,
)

LEAST_PEERS = 3


def note_overdue(view: UpstreamView, config: OutlierConfig, now: float) -> None:
    """Count attempts that should have had their first token long ago.

    An upstream that hardly answers gives hardly any first tokens to compare. Waiting
    for them would leave it in use; an overdue attempt is a sample already.
    """
    for attempt in view.attempts.values():
        if attempt.first_token_at is not None or attempt.counted_overdue:
            continue
        if attempt.is_spread:
            continue
        waited = now - attempt.placed_at
        predicted = attempt.predicted_first_token_seconds
        if waited > 1.0 + config.slower_than_peers * predicted:
            attempt.counted_overdue = True
            view.slowness.add(waited, predicted, now)


def review(fleet: Fleet, now: float) -> None:
    """Take back upstreams whose pause is over, and set aside new outliers."""
    changed = set()
    for view in fleet.views.values():
        note_overdue(view, fleet.config.outliers, now)
        view.slowness.drop_old(now)
        if view.set_aside_until is not None and now >= view.set_aside_until:
            take_back(view, now)
            changed.add(view.description.upstream_id)
    for peers in services(fleet):
        keep_from_long(peers, fleet.config.outliers, now)
        for view in outliers(peers, fleet.config.outliers):
            set_aside(view, fleet.config.outliers, now)
            changed.add(view.description.upstream_id)
        changed |= enforce_cap(peers, fleet.config.outliers, now)
    keys = {
        key
        for upstream_id in changed
        for key in keys_of(fleet.views[upstream_id].description)
    }
    for key in sorted(keys):
        fleet.rebuild(key)


def services(fleet: Fleet) -> list[list[UpstreamView]]:
    """Return the upstreams of each service."""
    by_service: dict[str, list[UpstreamView]] = {}
    for view in fleet.views.values():
        by_service.setdefault(view.description.service, []).append(view)
    return list(by_service.values())


def most_set_aside(upstreams: int, config: OutlierConfig) -> int:
    """Return how many of these many upstreams may be set aside at a time."""
    if upstreams < LEAST_PEERS:
        return 0
    return max(1, int(upstreams * config.most_set_aside_share))


def outliers(peers: list[UpstreamView], config: OutlierConfig) -> list[UpstreamView]:
    """Return the slowest upstreams that stand out, no more than may be set aside.

    The cap holds when all seem slow at once: then the cause is not the upstreams, and
    setting them aside would take the fleet away.
    """
    already = sum(view.set_aside_until is not None for view in peers)
    room = most_set_aside(len(peers), config) - already
    if room <= 0:
        return []
    usual = median(view.slowness.factor for view in peers)
    slow = [
        view
        for view in peers
        if view.set_aside_until is None
        and view.slowness.factor > config.slower_than_peers * usual
    ]
    slow.sort(key=lambda view: view.slowness.factor, reverse=True)
    return slow[:room]


def keep_from_long(
    peers: list[UpstreamView], config: OutlierConfig, now: float
) -> None:
    """Mark the upstreams that long prompts must not be risked on.

    The cap holds here too: where all are late at once, long prompts go on as before.
    """
    doubts = {
        view.description.upstream_id: view.slowness.doubt(config, now) for view in peers
    }
    bound = config.long_slower_than_peers * median(doubts.values())
    doubted = [u for u, doubt in doubts.items() if doubt > bound]
    doubted.sort(key=lambda u: doubts[u], reverse=True)
    kept = doubted[: most_set_aside(len(peers), config)]
    for view in peers:
        view.kept_from_long = view.description.upstream_id in kept


def enforce_cap(
    peers: list[UpstreamView], config: OutlierConfig, now: float
) -> set[UpstreamId]:
    """Take back the earliest set aside where peers were lost since; return them."""
    aside = [view for view in peers if view.set_aside_until is not None]
    excess = len(aside) - most_set_aside(len(peers), config)
    if excess <= 0:
        return set()
    aside.sort(key=lambda view: view.set_aside_until or 0.0)
    for view in aside[:excess]:
        take_back(view, now)
    return {view.description.upstream_id for view in aside[:excess]}


def set_aside(view: UpstreamView, config: OutlierConfig, now: float) -> None:
    """Give an upstream no new work for a while, longer each time."""
    pause = config.set_aside_seconds * 2.0**view.times_set_aside
    view.set_aside_until = now + min(pause, config.most_set_aside_seconds)
    view.times_set_aside += 1


def take_back(view: UpstreamView, now: float) -> None:
    """Let an upstream prove itself again, with little work at first."""
    view.set_aside_until = None
    view.slowness = SlownessEstimate(last=view.slowness.last)
    view.available_since = now
