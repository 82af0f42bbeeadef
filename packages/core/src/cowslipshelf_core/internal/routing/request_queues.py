"""Queue requests that wait for an upstream, up to limits of predicted time."""

from collections import Counter
from dataclasses import dataclass, field
from heapq import heappop, heappush
from itertools import count
from typing import NamedTuple

from cowslipshelf_core.identifiers import CustomerName
from cowslipshelf_core.internal.routing.events import PlacementId
from cowslipshelf_core.internal.routing.fair_queue import FairQueue, PendingRequest
from cowslipshelf_core.internal.routing.fleet import GroupKey
from cowslipshelf_core.internal.routing.settings import PromptClass, RouterConfig


class QueueKey(NamedTuple):
    """Identify the queue of one class of requests for one group."""

    group: GroupKey
    prompt_class: PromptClass


class Expiry(NamedTuple):
    """Order queued requests by their latest start."""

    latest_start: float
    sequence: int
    placement_id: PlacementId


@dataclass(slots=True)
class RequestQueues:
    """Hold one fair queue for each group and class."""

    config: RouterConfig
    by_key: dict[QueueKey, FairQueue] = field(default_factory=dict)
    requests: dict[PlacementId, PendingRequest] = field(default_factory=dict)
    queued_per_customer: Counter[CustomerName] = field(default_factory=Counter)
    expiries: list[Expiry] = field(default_factory=list)
    sequence: count = field(default_factory=count)

    def queue(self, key: QueueKey) -> FairQueue:
        """Return a queue, created on first use."""
        return self.by_key.setdefault(key, FairQueue())

    def push(self, request: PendingRequest) -> None:
        """Queue a request."""
        placement_id = request.asked.placement_id
        self.queue(queue_key(request)).push(request)
        self.requests[placement_id] = request
        self.queued_per_customer[request.customer] += 1
        heappush(
            self.expiries,
            Expiry(request.latest_start(), next(self.sequence), placement_id),
        )

    def remove(self, request: PendingRequest, served: bool) -> None:
        """Remove a request from its queue."""
        del self.requests[request.asked.placement_id]
        self.by_key[queue_key(request)].remove(request, served)
        self.queued_per_customer[request.customer] -= 1
        if self.queued_per_customer[request.customer] <= 0:
            del self.queued_per_customer[request.customer]

    def pop_expired(self, now: float) -> list[PendingRequest]:
        """Return the queued requests that can't finish in time any more."""
        found = []
        while self.expiries and self.expiries[0].latest_start <= now:
            request = self.requests.get(heappop(self.expiries).placement_id)
            if request is not None and request.latest_start() <= now:
                found.append(request)
        return found

    def nonempty_queues(self, key: GroupKey) -> list[QueueKey]:
        """Return the non-empty queues of a group, shortest prompt class first."""
        keys = (QueueKey(key, prompt_class) for prompt_class in PromptClass)
        return [k for k in keys if k in self.by_key and self.by_key[k].seconds > 0.0]

    def evict_excess(
        self,
        key: QueueKey,
        capacity: float,
        weights: dict[CustomerName, float],
    ) -> list[PendingRequest]:
        """Remove and return the requests that exceed the limit of a queue."""
        queue = self.queue(key)
        limit = self.config.limits_of(key.prompt_class).max_queued_seconds * capacity
        evicted = []
        while queue.seconds > limit and queue.seconds > 0.0:
            victim = queue.victim(weights)
            self.remove(victim, served=False)
            evicted.append(victim)
        return evicted

    def has_starving_long_prompt(self, key: GroupKey, now: float) -> bool:
        """Return whether a long prompt has waited too long for a group.

        While one has, shorter prompts are kept off the pool for long prompts. A long
        prompt needs much memory free at once; shorter ones would take it bit by bit as
        it becomes free, and the long one would wait until its deadline. This costs the
        shorter ones more than it gains unless the service gives long prompts a weight
        above 1.
        """
        queue = self.by_key.get(QueueKey(key, PromptClass.LONG))
        if queue is None or queue.seconds <= 0.0:
            return False
        starvation_seconds = self.config.long_prompt_pool.starvation_seconds
        return any(
            request.profile.value > 1.0
            and (now - request.asked_at) * request.profile.value >= starvation_seconds
            for request in queue.heads(self.config.heads_tried)
        )

    def pressure(self, key: GroupKey, capacity: float) -> float:
        """Return the length of a group's fullest queue relative to its limit."""
        lengths = (
            self.by_key[k].seconds
            / (self.config.limits_of(k.prompt_class).max_queued_seconds * capacity)
            for k in self.nonempty_queues(key)
        )
        return max(lengths, default=0.0)

    def drain_seconds(self, key: GroupKey, capacity: float) -> float:
        """Predict the time to work off all queues of a group, in seconds."""
        work = sum(self.by_key[k].seconds for k in self.nonempty_queues(key))
        return work / capacity

    def drop_idle_customers(self) -> None:
        """Drop the flows of customers without queued requests."""
        for queue in self.by_key.values():
            queue.drop_idle_customers()


def queue_key(request: PendingRequest) -> QueueKey:
    """Return the key of the queue for a request."""
    facts = request.profile.facts
    return QueueKey(GroupKey(facts.service, facts.model), request.profile.prompt_class)
