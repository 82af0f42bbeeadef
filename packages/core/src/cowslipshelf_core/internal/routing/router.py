"""Decide where each request goes: the state machine that the entry daemon drives."""

from dataclasses import dataclass, field
from random import Random

from cowslipshelf_core.configuration import Customer, Service
from cowslipshelf_core.directory_events import (
    RETURNING_REASONS,
    LoadUpdated,
    UpstreamAvailable,
    UpstreamUnavailable,
)
from cowslipshelf_core.errors import Refusal
from cowslipshelf_core.identifiers import (
    AttemptId,
    CustomerName,
    ServiceName,
)
from cowslipshelf_core.internal.routing import outliers, refusals
from cowslipshelf_core.internal.routing.attempts import AttemptTracker
from cowslipshelf_core.internal.routing.cost import (
    RequestProfile,
    decode_seconds,
    prefill_seconds,
)
from cowslipshelf_core.internal.routing.dispatcher import (
    Dispatcher,
    answer_refusal,
)
from cowslipshelf_core.internal.routing.events import (
    ConfigurationApplied,
    PlacementAnswered,
    PlacementAsked,
    PlacementFacts,
    PlacementWithdrawn,
    RouterEvent,
    TickElapsed,
)
from cowslipshelf_core.internal.routing.fair_queue import PendingRequest
from cowslipshelf_core.internal.routing.fleet import Fleet, Group, GroupKey
from cowslipshelf_core.internal.routing.recent_prefixes import RecentPrefixes
from cowslipshelf_core.internal.routing.request_queues import (
    QueueKey,
    RequestQueues,
    queue_key,
)
from cowslipshelf_core.internal.routing.settings import PromptClass, RouterConfig
from cowslipshelf_core.internal.routing.spread_planning import needs_spread
from cowslipshelf_core.placement_feedback import (
    AttemptEnded,
    FirstTokenSeen,
    HandOverAccepted,
    HandOverRefused,
)
from cowslipshelf_core.upstream import LoadReport

MAINTENANCE_INTERVAL_SECONDS = 1.0


@dataclass(slots=True)
class Router:
    """Place requests on the upstream of least cost, or queue or refuse them."""

    config: RouterConfig
    fleet: Fleet
    tracker: AttemptTracker
    queues: RequestQueues
    dispatcher: Dispatcher
    customers: dict[CustomerName, Customer] = field(default_factory=dict)
    weights: dict[CustomerName, float] = field(default_factory=dict)
    services: dict[ServiceName, Service] = field(default_factory=dict)
    maintained_at: float = float("-inf")

    @classmethod
    def from_config(cls, config: RouterConfig) -> "Router":
        """Create a router without upstreams."""
        fleet = Fleet(config)
        tracker = AttemptTracker(fleet)
        queues = RequestQueues(config)
        prefixes = RecentPrefixes(config.max_prefixes)
        dispatcher = Dispatcher(config, fleet, tracker, queues, prefixes)
        return cls(config, fleet, tracker, queues, dispatcher)

    def handle(
        self, event: RouterEvent, now: float, random: Random
    ) -> list[PlacementAnswered]:
        """Apply one event and return the placement answers that follow from it."""
        answers = [
            self.refuse_expired(request, now)
            for request in self.queues.pop_expired(now)
        ]
        match event:
            case PlacementAsked():
                answers += self.place_or_queue(event, now, random)
            case PlacementWithdrawn(placement_id=placement_id):
                waiting = self.queues.requests.get(placement_id)
                if waiting is not None:
                    self.queues.remove(waiting, served=False)
            case UpstreamAvailable(description=description):
                self.fleet.add(event, now)
                answers += self.recheck_queued(now)
                answers += self.dispatcher.dispatch_to_upstream(
                    description.upstream_id, now
                )
            case UpstreamUnavailable(upstream_id=upstream_id, reason=reason):
                self.fleet.remove(upstream_id, reason in RETURNING_REASONS)
                answers += self.recheck_queued(now)
            case LoadUpdated(upstream_id=upstream_id, epoch=epoch, load=load):
                self.fleet.update_load(upstream_id, epoch, load, now)
                answers += self.dispatcher.dispatch_to_upstream(upstream_id, now)
            case ConfigurationApplied(configuration=configuration):
                self.fleet.apply_configuration(configuration)
                self.index_configuration()
                answers += self.recheck_queued(now)
            case HandOverAccepted():
                pass
            case HandOverRefused(attempt_id=attempt_id, load=load):
                self.handle_refused_hand_over(attempt_id, load, now)
            case FirstTokenSeen(attempt_id=attempt_id, seconds=seconds):
                self.tracker.record_first_token(attempt_id, seconds, now)
            case AttemptEnded(attempt_id=attempt_id, outcome=outcome):
                ended = self.tracker.finish(attempt_id, outcome, now)
                if ended is not None:
                    answers += self.dispatcher.dispatch_to_upstream(
                        ended.upstream_id, now
                    )
            case TickElapsed():
                answers += self.tick(now, random)
        return answers

    def index_configuration(self) -> None:
        """Index the configuration in force."""
        configuration = self.fleet.configuration
        self.customers = {c.name: c for c in configuration.customers}
        self.weights = {c.name: float(c.weight) for c in configuration.customers}
        self.services = {s.name: s for s in configuration.services}

    def handle_refused_hand_over(
        self, attempt_id: AttemptId, load: LoadReport, now: float
    ) -> None:
        """Use the load that a sidecar reported in a refusal, over any prediction."""
        attempt = self.tracker.end(attempt_id)
        view = self.fleet.views.get(attempt.upstream_id) if attempt else None
        if view is not None:
            view.update_load(load, now)

    def tick(self, now: float, random: Random) -> list[PlacementAnswered]:
        """Run periodic maintenance and dispatch queued requests."""
        if now - self.maintained_at >= MAINTENANCE_INTERVAL_SECONDS:
            self.maintained_at = now
            self.tracker.expire_lost(now)
            outliers.update_ejections(self.fleet, now)
            self.queues.drop_idle_customers()
            for group in self.fleet.groups.values():
                group.shedding.drop_idle_customers(now)
        answers = []
        for key, group in self.fleet.groups.items():
            group.estimate_capacity()
            group.assign_long_prompt_pool()
            group.shedding.update_threshold(
                self.queues.pressure(key, group.capacity), now
            )
            answers += self.dispatcher.dispatch_group(key, group, now, random)
            for queue in self.queues.nonempty_queues(key):
                answers += self.shed_excess(queue, now)
        return answers

    # New requests.

    def place_or_queue(
        self, asked: PlacementAsked, now: float, random: Random
    ) -> list[PlacementAnswered]:
        """Place a new request, queue it or refuse it."""
        facts = asked.facts
        profile = self.profile_of(facts)
        key = GroupKey(facts.service, facts.model)
        group = self.fleet.groups.get(key)
        refusal = self.refuse_unplaceable(asked, profile, group)
        if refusal is not None or group is None:
            return [answer_refusal(asked, refusal)]
        request = self.estimate(asked, profile, group, now)
        group.long_prompt_demand.add(
            request.engine_seconds, profile.prompt_class is PromptClass.LONG, now
        )
        group.shedding.record_demand(request.customer, request.engine_seconds, now)
        if group.shedding.refuses(
            request.customer,
            request.value_per_engine_second,
            group.capacity,
            self.weights,
            now,
        ):
            return [answer_refusal(asked, refusals.shed(self.retry_after(key)))]
        if request.latest_start() <= now:
            least = request.engine_seconds + request.decode_seconds
            return [answer_refusal(asked, refusals.too_slow(least, facts))]
        if needs_spread(group, profile):
            return [self.dispatcher.place_spread(request, group, now)]
        queue = self.queues.queue(QueueKey(key, profile.prompt_class))
        if not queue.seconds:
            sampled = self.dispatcher.sample_upstreams(request, group, random)
            placed = self.dispatcher.try_place(request, sampled, now)
            if placed is not None:
                queue.charge_immediate(
                    request.customer, request.engine_seconds, request.weight
                )
                return [placed]
        return self.queue_or_refuse(request, group, now)

    def refuse_unplaceable(
        self, asked: PlacementAsked, profile: RequestProfile, group: Group | None
    ) -> Refusal | None:
        """Return a refusal if a request can't be placed whatever the load."""
        facts = asked.facts
        retry_after = self.config.min_retry_after_seconds
        if facts.deadline_seconds <= 0.0:
            return refusals.past_deadline()
        customer = self.customers.get(facts.customer)
        if customer is not None:
            name = customer.name
            running = (
                self.tracker.running_per_customer[name]
                + self.queues.queued_per_customer[name]
            )
            if running >= customer.most_concurrent:
                return refusals.customer_limit(customer.most_concurrent, retry_after)
        key = GroupKey(facts.service, facts.model)
        return refusals.unplaceable(
            group,
            profile,
            asked.excluded,
            retry_after,
            lambda: self.fleet.expected_back(key),
        )

    def profile_of(self, facts: PlacementFacts) -> RequestProfile:
        """Return what a request needs on any upstream."""
        service = self.services.get(facts.service)
        return RequestProfile(
            facts,
            self.config.class_of(facts.prompt_tokens),
            service.long_prompt_weight if service else 1.0,
            self.tracker.expected_output_tokens(facts.service, facts.max_output_tokens),
        )

    def estimate(
        self, asked: PlacementAsked, profile: RequestProfile, group: Group, now: float
    ) -> PendingRequest:
        """Estimate the work of a request on a typical upstream of its group."""
        view = group.members[-1]
        return PendingRequest(
            asked,
            profile,
            asked_at=now,
            deadline_at=now + asked.facts.deadline_seconds,
            engine_seconds=prefill_seconds(self.config, view, asked.facts),
            decode_seconds=decode_seconds(
                self.config, view, profile.expected_output_tokens
            ),
            weight=self.weights.get(asked.facts.customer, 1.0),
        )

    def queue_or_refuse(
        self, request: PendingRequest, group: Group, now: float
    ) -> list[PlacementAnswered]:
        """Queue a request unless it would start too late; trim the queue."""
        key = queue_key(request)
        queue = self.queues.queue(key)
        ahead = queue.seconds_ahead_of(request.customer, request.weight, self.weights)
        wait = ahead / group.capacity
        if now + wait > request.latest_start():
            refusal = refusals.too_late(wait, self.retry_after(key.group))
            return [answer_refusal(request.asked, refusal)]
        self.queues.push(request)
        return self.shed_excess(key, now)

    def shed_excess(self, key: QueueKey, now: float) -> list[PlacementAnswered]:
        """Refuse the requests that exceed the limit of a queue."""
        group = self.fleet.groups[key.group]
        evicted = self.queues.evict_excess(key, group.capacity, self.weights)
        return [
            answer_refusal(
                victim.asked,
                refusals.shed(self.retry_after(key.group)),
                now - victim.asked_at,
            )
            for victim in evicted
        ]

    def retry_after(self, key: GroupKey) -> float:
        """Predict when a refused request could be admitted, in seconds."""
        group = self.fleet.groups.get(key)
        drain = self.queues.drain_seconds(key, group.capacity) if group else 0.0
        return max(self.config.min_retry_after_seconds, drain)

    # Queued requests.

    def refuse_expired(self, request: PendingRequest, now: float) -> PlacementAnswered:
        """Refuse a queued request that can't finish before its deadline any more."""
        self.queues.remove(request, served=False)
        waited = now - request.asked_at
        refusal = refusals.too_late(waited, self.retry_after(queue_key(request).group))
        return answer_refusal(request.asked, refusal, waited)

    def recheck_queued(self, now: float) -> list[PlacementAnswered]:
        """Refuse queued requests that no upstream can take after a change."""
        answers = []
        for request in list(self.queues.requests.values()):
            key = queue_key(request)
            group = self.fleet.groups.get(key.group)
            refusal = refusals.unplaceable(
                group,
                request.profile,
                request.asked.excluded,
                self.config.min_retry_after_seconds,
            )
            if refusal is not None:
                self.queues.remove(request, served=False)
                answers.append(
                    answer_refusal(request.asked, refusal, now - request.asked_at)
                )
            elif needs_spread(group, request.profile):
                # The upstreams that could hold it alone have gone since it was queued.
                self.queues.remove(request, served=True)
                answers.append(self.dispatcher.place_spread(request, group, now))
        for key in list(self.queues.by_key):
            answers += self.shed_excess(key, now)
        return answers
