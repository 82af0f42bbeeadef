"""Answer where each request goes: the decider that daemons drive."""

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
from cowslipshelf_core.internal.routing.attempts import AttemptLedger
from cowslipshelf_core.internal.routing.cost import (
    RequestCost,
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
from cowslipshelf_core.internal.routing.fair_queue import WaitingAsk
from cowslipshelf_core.internal.routing.fleet import Fleet, Group, GroupKey
from cowslipshelf_core.internal.routing.prefix_memory import PrefixMemory
from cowslipshelf_core.internal.routing.settings import PromptClass, RouterConfig
from cowslipshelf_core.internal.routing.spreading import is_needed
from cowslipshelf_core.internal.routing.waiting_room import (
    QueueKey,
    WaitingRoom,
    queue_key,
)
from cowslipshelf_core.placement_feedback import (
    AttemptEnded,
    FirstTokenSeen,
    HandOverAccepted,
    HandOverRefused,
)
from cowslipshelf_core.upstream import LoadReport

REVIEW_SECONDS = 1.0


@dataclass(slots=True)
class Router:
    """Place requests where they do least harm, or queue or refuse them."""

    config: RouterConfig
    fleet: Fleet
    ledger: AttemptLedger
    room: WaitingRoom
    dispatcher: Dispatcher
    customers: dict[CustomerName, Customer] = field(default_factory=dict)
    weights: dict[CustomerName, float] = field(default_factory=dict)
    services: dict[ServiceName, Service] = field(default_factory=dict)
    reviewed_at: float = float("-inf")

    @classmethod
    def from_config(cls, config: RouterConfig) -> "Router":
        """Build a router that knows no upstream yet."""
        fleet = Fleet(config)
        ledger = AttemptLedger(fleet)
        room = WaitingRoom(config)
        prefixes = PrefixMemory(config.most_prefixes)
        dispatcher = Dispatcher(config, fleet, ledger, room, prefixes)
        return cls(config, fleet, ledger, room, dispatcher)

    def handle(
        self, event: RouterEvent, now: float, random: Random
    ) -> list[PlacementAnswered]:
        """Take in one event and return the answers that are due."""
        answers = [self.give_up_late(ask, now) for ask in self.room.hopeless(now)]
        match event:
            case PlacementAsked():
                answers += self.ask(event, now, random)
            case PlacementWithdrawn(placement_id=placement_id):
                waiting = self.room.asks.get(placement_id)
                if waiting is not None:
                    self.room.remove(waiting, served=False)
            case UpstreamAvailable(description=description):
                self.fleet.add(event, now)
                answers += self.after_change(now)
                answers += self.dispatcher.serve_upstream(description.upstream_id, now)
            case UpstreamUnavailable(upstream_id=upstream_id, reason=reason):
                self.fleet.remove(upstream_id, reason in RETURNING_REASONS)
                answers += self.after_change(now)
            case LoadUpdated(upstream_id=upstream_id, epoch=epoch, load=load):
                self.fleet.take_load(upstream_id, epoch, load, now)
                answers += self.dispatcher.serve_upstream(upstream_id, now)
            case ConfigurationApplied(configuration=configuration):
                self.fleet.apply_configuration(configuration)
                self.read_configuration()
                answers += self.after_change(now)
            case HandOverAccepted():
                pass
            case HandOverRefused(attempt_id=attempt_id, load=load):
                self.refused(attempt_id, load, now)
            case FirstTokenSeen(attempt_id=attempt_id, seconds=seconds):
                self.ledger.first_token(attempt_id, seconds, now)
            case AttemptEnded(attempt_id=attempt_id, outcome=outcome):
                ended = self.ledger.finish(attempt_id, outcome, now)
                if ended is not None:
                    answers += self.dispatcher.serve_upstream(ended.upstream_id, now)
            case TickElapsed():
                answers += self.tick(now, random)
        return answers

    def read_configuration(self) -> None:
        """Index the configuration in force."""
        configuration = self.fleet.configuration
        self.customers = {c.name: c for c in configuration.customers}
        self.weights = {c.name: float(c.weight) for c in configuration.customers}
        self.services = {s.name: s for s in configuration.services}

    def refused(self, attempt_id: AttemptId, load: LoadReport, now: float) -> None:
        """Believe the sidecar that refused, whatever was predicted."""
        attempt = self.ledger.end(attempt_id)
        view = self.fleet.views.get(attempt.upstream_id) if attempt else None
        if view is not None:
            view.take_load(load, now)

    def tick(self, now: float, random: Random) -> list[PlacementAnswered]:
        """Do what is due by time."""
        if now - self.reviewed_at >= REVIEW_SECONDS:
            self.reviewed_at = now
            self.ledger.forget_lost(now)
            outliers.review(self.fleet, now)
            self.room.forget_idle()
            for group in self.fleet.groups.values():
                group.shedding.forget_idle(now)
        answers = []
        for key, group in self.fleet.groups.items():
            group.measure_capacity()
            group.split()
            group.shedding.adjust(self.room.pressure(key, group.capacity), now)
            answers += self.dispatcher.serve_group(key, group, now, random)
            for queue in self.room.waiting_for(key):
                answers += self.shed_overfull(queue, now)
        return answers

    # Questions as they come in.

    def ask(
        self, asked: PlacementAsked, now: float, random: Random
    ) -> list[PlacementAnswered]:
        """Place a request, or refuse it, or let it wait."""
        facts = asked.facts
        cost = self.cost_of(facts)
        key = GroupKey(facts.service, facts.model)
        group = self.fleet.groups.get(key)
        refusal = self.refuse_at_once(asked, cost, group)
        if refusal is not None or group is None:
            return [answer_refusal(asked, refusal)]
        ask = self.estimate(asked, cost, group, now)
        group.demand.add(ask.engine_seconds, cost.prompt_class is PromptClass.LONG, now)
        group.shedding.count(ask.customer, ask.engine_seconds, now)
        if group.shedding.refuses(
            ask.customer, ask.worth_per_second, group.capacity, self.weights, now
        ):
            return [answer_refusal(asked, refusals.shed(self.retry_after(key)))]
        if ask.latest_start() <= now:
            least = ask.engine_seconds + ask.decode_seconds
            return [answer_refusal(asked, refusals.too_slow(least, facts))]
        if is_needed(group, cost):
            return [self.dispatcher.place_spread(ask, group, now)]
        queue = self.room.queue(QueueKey(key, cost.prompt_class))
        if not queue.seconds:
            drawn = self.dispatcher.draw(ask, group, random)
            placed = self.dispatcher.try_place(ask, drawn, now)
            if placed is not None:
                queue.charge_at_once(ask.customer, ask.engine_seconds, ask.weight)
                return [placed]
        return self.wait_or_refuse(ask, group, now)

    def refuse_at_once(
        self, asked: PlacementAsked, cost: RequestCost, group: Group | None
    ) -> Refusal | None:
        """Return why a request has no chance, whatever the load."""
        facts = asked.facts
        retry_after = self.config.least_retry_after_seconds
        if facts.deadline_seconds <= 0.0:
            return refusals.past_deadline()
        customer = self.customers.get(facts.customer)
        if customer is not None:
            name = customer.name
            running = self.ledger.running[name] + self.room.waiting_of[name]
            if running >= customer.most_concurrent:
                return refusals.customer_limit(customer.most_concurrent, retry_after)
        key = GroupKey(facts.service, facts.model)
        return refusals.impossible(
            group,
            cost,
            asked.excluded,
            retry_after,
            lambda: self.fleet.expected_back(key),
        )

    def cost_of(self, facts: PlacementFacts) -> RequestCost:
        """Return what a request needs, wherever it goes."""
        service = self.services.get(facts.service)
        return RequestCost(
            facts,
            self.config.class_of(facts.prompt_tokens),
            service.long_prompt_weight if service else 1.0,
            self.ledger.expected_output(facts.service, facts.most_output_tokens),
        )

    def estimate(
        self, asked: PlacementAsked, cost: RequestCost, group: Group, now: float
    ) -> WaitingAsk:
        """Predict what a request needs on a typical upstream of its group."""
        view = group.members[-1]
        return WaitingAsk(
            asked,
            cost,
            asked_at=now,
            deadline_at=now + asked.facts.deadline_seconds,
            engine_seconds=prefill_seconds(self.config, view, asked.facts),
            decode_seconds=decode_seconds(
                self.config, view, cost.expected_output_tokens
            ),
            weight=self.weights.get(asked.facts.customer, 1.0),
        )

    def wait_or_refuse(
        self, ask: WaitingAsk, group: Group, now: float
    ) -> list[PlacementAnswered]:
        """Queue a request, unless it would come out too late; keep the bound."""
        key = queue_key(ask)
        queue = self.room.queue(key)
        ahead = queue.seconds_ahead_of(ask.customer, ask.weight, self.weights)
        wait = ahead / group.capacity
        if now + wait > ask.latest_start():
            refusal = refusals.too_late(wait, self.retry_after(key.group))
            return [answer_refusal(ask.asked, refusal)]
        self.room.push(ask)
        return self.shed_overfull(key, now)

    def shed_overfull(self, key: QueueKey, now: float) -> list[PlacementAnswered]:
        """Refuse what makes a queue longer than its bound."""
        group = self.fleet.groups[key.group]
        given_up = self.room.overfull(key, group.capacity, self.weights)
        return [
            answer_refusal(
                victim.asked,
                refusals.shed(self.retry_after(key.group)),
                now - victim.asked_at,
            )
            for victim in given_up
        ]

    def retry_after(self, key: GroupKey) -> float:
        """Predict when a refused request would find room, in seconds."""
        group = self.fleet.groups.get(key)
        drain = self.room.drain_seconds(key, group.capacity) if group else 0.0
        return max(self.config.least_retry_after_seconds, drain)

    # Questions that wait.

    def give_up_late(self, ask: WaitingAsk, now: float) -> PlacementAnswered:
        """Refuse a waiting request as soon as it can't finish in time."""
        self.room.remove(ask, served=False)
        waited = now - ask.asked_at
        refusal = refusals.too_late(waited, self.retry_after(queue_key(ask).group))
        return answer_refusal(ask.asked, refusal, waited)

    def after_change(self, now: float) -> list[PlacementAnswered]:
        """Refuse what waits and has no chance since upstreams or settings changed."""
        answers = []
        for ask in list(self.room.asks.values()):
            key = queue_key(ask)
            group = self.fleet.groups.get(key.group)
            refusal = refusals.impossible(
                group,
                ask.cost,
                ask.asked.excluded,
                self.config.least_retry_after_seconds,
            )
            if refusal is not None:
                self.room.remove(ask, served=False)
                answers.append(answer_refusal(ask.asked, refusal, now - ask.asked_at))
            elif is_needed(group, ask.cost):
                # The upstreams that it fitted alone have gone while it waited.
                self.room.remove(ask, served=True)
                answers.append(self.dispatcher.place_spread(ask, group, now))
        for key in list(self.room.queues):
            answers += self.shed_overfull(key, now)
        return answers
