"""Choose the upstream for one attempt, by the gateway's view of the fleet."""

import time
import uuid
from typing import NamedTuple

from cowslipshelf_core.dialect import CallerFacts, MemoryTicket, PrefillHelper
from cowslipshelf_core.gateway import (
    UNRANKED,
    ColdChoice,
    Distance,
    EngineCandidate,
    EngineModel,
    EnginePart,
    EnginesChosen,
    EngineWork,
    FirstEventWait,
    LimitChoice,
    NoEngine,
    Permit,
    PromptToPlace,
    RequestRank,
    Route,
    UpstreamCandidate,
    UpstreamHeartbeat,
    choose_upstream,
    link_surcharge,
    place_prompt,
)
from cowslipshelf_core.identifiers import AttemptId, ServiceName, UpstreamId
from cowslipshelf_daemon.internal.gateway.fleet_view import FleetView

RETRY_AFTER_SECONDS = 1.0
"""Retry-after if no upstream is known: one heartbeat interval."""

MIN_LIMIT_RETRY_SECONDS = 0.1
"""Least retry-after if limits leave no room, where it is not known when one does."""

COLD_SURCHARGE = 0.1
"""Cost of an engine that is cold, in units of the value of a short prompt's answer. It
exceeds that of using an empty engine and that of crossing data centres, so that a warm
engine is preferred when the forecasts are alike."""
COLD_LOAD = 0.5
"""The same for a plain upstream, as a share of its slots."""
DOUBTFUL_SURCHARGE = 1.0
"""Cost of an engine whose data centre may have failed, in units of the value of a short
prompt's answer. It looks idle, and is only used where the others would answer late."""


class SilenceLimits(NamedTuple):
    """Limit the silences of one attempt, in seconds; None means no limit."""

    first_event_seconds: float | None = None
    between_events_seconds: float | None = None
    first_event_wait: FirstEventWait | None = None
    """Decides about a longer wait for the first event; None without a forecast."""


class Placement(NamedTuple):
    """Hold the upstream chosen for one attempt, and how to use it."""

    upstream: UpstreamHeartbeat
    work: EngineWork | None = None
    helpers: tuple[PrefillHelper, ...] = ()
    tickets: tuple[MemoryTicket, ...] = ()
    """Memory to reserve before the request is sent."""
    first_token_seconds: float | None = None
    """Predicted time to the first event of the answer."""
    priority: int | None = None
    candidates: int = 0
    cost: float = 0.0
    silence_limits: SilenceLimits = SilenceLimits()
    permit: Permit | None = None
    """Permit to send the request, if its upstream is limited."""

    @property
    def helper_parts(self) -> tuple[EnginePart, ...]:
        """Return the parts of the prompt that other engines prefill."""
        return () if self.work is None else self.work.parts[1:]

    @property
    def upstream_ids(self) -> tuple[UpstreamId, ...]:
        """Return the upstream that gets the request, and those that prefill for it."""
        helping = (part.upstream_id for part in self.helper_parts)
        return (self.upstream.upstream_id, *helping)


class NoPlacement(NamedTuple):
    """Report why there is no upstream, and when to retry."""

    reason: str
    retry_after_seconds: float
    cold: bool = False
    """Whether only cold upstreams without room are left."""
    limited: frozenset[UpstreamId] = frozenset()
    """The upstreams that are left, if the limits of all of them leave no room."""
    lacks_capacity: bool = True
    """Whether there are upstreams that might have served it with more capacity."""


def place(
    view: FleetView,
    route: Route,
    service: ServiceName,
    facts: CallerFacts,
    left_seconds: float,
    excluded: frozenset[UpstreamId],
    rank: RequestRank = UNRANKED,
) -> Placement | NoPlacement:
    """Choose an upstream that was not tried before.

    The service may have been removed since the request was admitted.
    """
    configured = view.table.services.get(service)
    if configured is None:
        return NoPlacement(
            "the service was removed", RETRY_AFTER_SECONDS, lacks_capacity=False
        )
    known = view.upstreams_of(service)
    cold = view.cold_choice(service, known)
    untried = [each.upstream_id for each in known if each.upstream_id not in excluded]
    limit = view.limit_choice(service, untried)
    unused = excluded | cold.blocked | limit.blocked
    upstreams = [each for each in known if each.upstream_id not in unused]
    if not upstreams and cold.blocked - excluded:
        reason = "only cold upstreams without room are left"
        return NoPlacement(reason, cold.retry_after_seconds, cold=True)
    if not upstreams and limit.blocked:
        return no_room(view, limit)
    if not upstreams:
        reason = "every upstream was tried" if known else "no upstream is known"
        if view.is_evacuated(service):
            reason = "every upstream is evacuated"
        return NoPlacement(reason, RETRY_AFTER_SECONDS, lacks_capacity=bool(known))
    model = configured.engine
    if model is not None and facts.prompt is not None:
        return place_on_engines(
            view, route, facts, left_seconds, upstreams, model, rank, cold
        )
    return place_by_load(view, upstreams, cold)


def no_room(view: FleetView, limit: LimitChoice) -> NoPlacement:
    """Report that only upstreams are left whose limits leave no room.

    The times to retry are spread, so that callers who are refused together don't return
    together.
    """
    wait = max(MIN_LIMIT_RETRY_SECONDS, limit.retry_after_seconds)
    reason = "only upstreams whose limit leaves no room are left"
    return NoPlacement(
        reason, wait * view.random.uniform(1.0, 2.0), limited=limit.blocked
    )


def place_by_load(
    view: FleetView, upstreams: list[UpstreamHeartbeat], cold: ColdChoice
) -> Placement:
    """Choose by load, failure rate and data centre."""
    now = time.monotonic()
    candidates = []
    for upstream in upstreams:
        health = view.health.estimate(upstream.upstream_id, now)
        candidates.append(
            UpstreamCandidate(
                upstream.upstream_id,
                upstream.slots,
                view.open_requests.get(upstream.upstream_id, 0),
                health.failure_rate,
                health.slowness,
                health.avoided or view.outages.is_doubtful(upstream.upstream_id, now),
                upstream.data_centre == view.settings.data_centre,
                COLD_LOAD if upstream.upstream_id in cold.cold else 0.0,
            )
        )
    chosen = choose_upstream(candidates, view.random)
    upstream = next(each for each in upstreams if each.upstream_id == chosen)
    return Placement(upstream, candidates=len(candidates))


def place_on_engines(
    view: FleetView,
    route: Route,
    facts: CallerFacts,
    left_seconds: float,
    upstreams: list[UpstreamHeartbeat],
    model: EngineModel,
    rank: RequestRank,
    cold: ColdChoice,
) -> Placement | NoPlacement:
    """Choose the engines with the lowest cost.

    Engines of a data centre that may have failed are used if the others can't answer:
    it may be a false alarm, and the request would be refused.
    """
    now = time.monotonic()
    lossy = view.lossy_data_centres()
    shares_health = view.settings.shares_health
    candidates, doubtful = [], []
    for upstream in upstreams:
        health = view.health.estimate(upstream.upstream_id, now)
        if health.avoided and len(upstreams) > 1:
            continue
        is_doubtful = view.outages.is_doubtful(upstream.upstream_id, now)
        (doubtful if is_doubtful else candidates).append(
            EngineCandidate(
                upstream.upstream_id,
                health.slowness,
                health.failure_rate,
                upstream.data_centre,
                link_surcharge(route.pause_seconds, upstream.data_centre in lossy)
                + (COLD_SURCHARGE if upstream.upstream_id in cold.cold else 0.0),
                pending_slowness=health.slowness if shares_health else 1.0,
                may_help=view.limits.rate_of(upstream.upstream_id) is None,
            )
        )
    asked = PromptToPlace(
        AttemptId(uuid.uuid4().hex),
        facts.prompt,
        route.objective_seconds,
        route.pause_seconds,
        left_seconds,
        rank.weight,
    )
    distance = Distance(view.settings.data_centre, view.settings.crossing_cost)
    chosen = place_prompt(
        asked, candidates, model, view.engines, now, view.random, distance
    )
    if isinstance(chosen, NoEngine) and doubtful:
        candidates += [
            each._replace(surcharge=each.surcharge + DOUBTFUL_SURCHARGE)
            for each in doubtful
        ]
        chosen = place_prompt(
            asked, candidates, model, view.engines, now, view.random, distance
        )
    if isinstance(chosen, NoEngine):
        return NoPlacement(chosen.reason, chosen.retry_after_seconds)
    by_id = {each.upstream_id: each for each in upstreams}
    tickets = tickets_of(chosen, by_id)
    names = {ticket.upstream_id: ticket.name for ticket in tickets}
    return Placement(
        by_id[chosen.upstream_id],
        chosen.work,
        tuple(
            PrefillHelper(by_id[helper].address, names.get(helper))
            for helper in chosen.helpers
        ),
        tickets,
        chosen.first_token_seconds,
        rank.admission_priority(facts.prompt),
        len(candidates),
        chosen.cost,
    )


def tickets_of(
    chosen: EnginesChosen, by_id: dict[UpstreamId, UpstreamHeartbeat]
) -> tuple[MemoryTicket, ...]:
    """List the memory that helpers reserve for a prompt too large for one engine."""
    return tuple(
        MemoryTicket(
            part.upstream_id,
            by_id[part.upstream_id].address,
            f"{chosen.work.attempt_id}-{number}",
            part.memory_tokens,
        )
        for number, part in enumerate(chosen.work.parts[1:])
        if part.memory_tokens
    )
