"""Keep the questions that wait for an upstream, within bounds of predicted time."""

from collections import Counter
from dataclasses import dataclass, field
from heapq import heappop, heappush
from itertools import count
from typing import NamedTuple

from cowslipshelf_core.identifiers import CustomerName
from cowslipshelf_core.internal.routing.events import PlacementId
from cowslipshelf_core.internal.routing.fair_queue import FairQueue, WaitingAsk
from cowslipshelf_core.internal.routing.fleet import GroupKey
from cowslipshelf_core.internal.routing.settings import PromptClass, RouterConfig


class QueueKey(NamedTuple):
    """Name the queue of one class of requests for one group."""

    group: GroupKey
    prompt_class: PromptClass


class Expiry(NamedTuple):
    """Order waiting questions by when they become hopeless."""

    latest_start: float
    order: int
    placement_id: PlacementId


@dataclass(slots=True)
class WaitingRoom:
    """Hold one fair queue for each group and class."""

    config: RouterConfig
    queues: dict[QueueKey, FairQueue] = field(default_factory=dict)
    asks: dict[PlacementId, WaitingAsk] = field(default_factory=dict)
    waiting_of: Counter[CustomerName] = field(default_factory=Counter)
    expiries: list[Expiry] = field(default_factory=list)
    order: count = field(default_factory=count)

    def queue(self, key: QueueKey) -> FairQueue:
        """Return a queue, made when first used."""
        return self.queues.setdefault(key, FairQueue())

    def push(self, ask: WaitingAsk) -> None:
        """Let a question wait."""
        placement_id = ask.asked.placement_id
        self.queue(queue_key(ask)).push(ask)
        self.asks[placement_id] = ask
        self.waiting_of[ask.customer] += 1
        heappush(
            self.expiries, Expiry(ask.latest_start(), next(self.order), placement_id)
        )

    def remove(self, ask: WaitingAsk, served: bool) -> None:
        """Let a question wait no longer."""
        del self.asks[ask.asked.placement_id]
        self.queues[queue_key(ask)].remove(ask, served)
        self.waiting_of[ask.customer] -= 1
        if self.waiting_of[ask.customer] <= 0:
            del self.waiting_of[ask.customer]

    def hopeless(self, now: float) -> list[WaitingAsk]:
        """Return those that can't finish in time any more."""
        found = []
        while self.expiries and self.expiries[0].latest_start <= now:
            ask = self.asks.get(heappop(self.expiries).placement_id)
            if ask is not None and ask.latest_start() <= now:
                found.append(ask)
        return found

    def waiting_for(self, key: GroupKey) -> list[QueueKey]:
        """Return the queues of a group where somebody waits, shortest class first."""
        keys = (QueueKey(key, prompt_class) for prompt_class in PromptClass)
        return [k for k in keys if k in self.queues and self.queues[k].seconds > 0.0]

    def overfull(
        self,
        key: QueueKey,
        capacity: float,
        weights: dict[CustomerName, float],
    ) -> list[WaitingAsk]:
        """Take out and return what makes a queue longer than its bound."""
        queue = self.queue(key)
        most = self.config.limits_of(key.prompt_class).max_queued_seconds * capacity
        given_up = []
        while queue.seconds > most and queue.seconds > 0.0:
            victim = queue.victim(weights)
            self.remove(victim, served=False)
            given_up.append(victim)
        return given_up

    def long_has_waited(self, key: GroupKey, now: float) -> bool:
        """Return whether a long prompt has lost patience waiting for a group.

        While one has, others keep off the upstreams set apart for it. A long prompt
        needs much memory free at once; shorter ones would take it bit by bit as it
        becomes free, and the long one would wait until its deadline. That costs the
        shorter ones more than it brings unless the service gives long ones more weight.
        """
        queue = self.queues.get(QueueKey(key, PromptClass.LONG))
        if queue is None or queue.seconds <= 0.0:
            return False
        patience = self.config.long_set.patience_seconds
        return any(
            ask.cost.worth > 1.0 and (now - ask.asked_at) * ask.cost.worth >= patience
            for ask in queue.heads(self.config.heads_tried)
        )

    def pressure(self, key: GroupKey, capacity: float) -> float:
        """Return the length of a group's fullest queue against its bound."""
        lengths = (
            self.queues[k].seconds
            / (self.config.limits_of(k.prompt_class).max_queued_seconds * capacity)
            for k in self.waiting_for(key)
        )
        return max(lengths, default=0.0)

    def drain_seconds(self, key: GroupKey, capacity: float) -> float:
        """Predict how long what waits for a group keeps it busy."""
        work = sum(self.queues[k].seconds for k in self.waiting_for(key))
        return work / capacity

    def forget_idle(self) -> None:
        """Drop the records of customers that wait for nothing."""
        for queue in self.queues.values():
            queue.forget_idle()


def queue_key(ask: WaitingAsk) -> QueueKey:
    """Return the queue that a question waits in."""
    facts = ask.cost.facts
    return QueueKey(GroupKey(facts.service, facts.model), ask.cost.prompt_class)
