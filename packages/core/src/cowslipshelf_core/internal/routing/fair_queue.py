"""Queue requests of one class with weighted fair sharing between customers."""

from collections import deque
from dataclasses import dataclass, field

from cowslipshelf_core.identifiers import CustomerName
from cowslipshelf_core.internal.routing.cost import RequestProfile
from cowslipshelf_core.internal.routing.events import PlacementAsked


@dataclass(slots=True)
class PendingRequest:
    """Hold one request that waits for an upstream."""

    asked: PlacementAsked
    profile: RequestProfile
    asked_at: float
    deadline_at: float
    engine_seconds: float
    """Predicted prefill time on an idle, typical upstream."""
    decode_seconds: float
    weight: float
    start_tag: float = 0.0

    @property
    def customer(self) -> CustomerName:
        """Return the customer that sent the request."""
        return self.profile.facts.customer

    @property
    def value_per_engine_second(self) -> float:
        """Return the request's value per engine second spent on it."""
        return self.profile.value / max(self.engine_seconds, 1e-9)

    def latest_start(self) -> float:
        """Return the latest start that still meets the deadline."""
        return self.deadline_at - self.engine_seconds - self.decode_seconds


@dataclass(slots=True)
class Flow:
    """Hold the queued requests of one customer."""

    waiting: deque[PendingRequest] = field(default_factory=deque)
    finish_tag: float = 0.0
    seconds: float = 0.0


@dataclass(slots=True)
class FairQueue:
    """Order requests by start-time fair queueing over predicted engine seconds.

    A customer that sends nothing lends its share to the others and accumulates no
    credit. One that sends a burst only moves its own start tags into the future.
    """

    flows: dict[CustomerName, Flow] = field(default_factory=dict)
    virtual_time: float = 0.0
    seconds: float = 0.0

    def __len__(self) -> int:
        return sum(len(flow.waiting) for flow in self.flows.values())

    def charge(self, customer: CustomerName, seconds: float, weight: float) -> float:
        """Charge a customer for work and return the work's start tag."""
        flow = self.flows.setdefault(customer, Flow())
        start = max(self.virtual_time, flow.finish_tag)
        flow.finish_tag = start + seconds / weight
        return start

    def charge_immediate(
        self, customer: CustomerName, seconds: float, weight: float
    ) -> None:
        """Charge for a request that was placed without queueing."""
        start = self.charge(customer, seconds, weight)
        self.virtual_time = max(self.virtual_time, start)

    def push(self, request: PendingRequest) -> None:
        """Add a request at the end of its customer's flow."""
        request.start_tag = self.charge(
            request.customer, request.engine_seconds, request.weight
        )
        flow = self.flows[request.customer]
        flow.waiting.append(request)
        flow.seconds += request.engine_seconds
        self.seconds += request.engine_seconds

    def heads(self, limit: int) -> list[PendingRequest]:
        """Return the first request of each of the customers served next, in order."""
        firsts = [flow.waiting[0] for flow in self.flows.values() if flow.waiting]
        firsts.sort(key=lambda request: request.start_tag)
        return firsts[:limit]

    def remove(self, request: PendingRequest, served: bool) -> None:
        """Remove a request; one that was served advances the virtual time."""
        flow = self.flows[request.customer]
        flow.waiting.remove(request)
        flow.seconds -= request.engine_seconds
        self.seconds -= request.engine_seconds
        if served:
            self.virtual_time = max(self.virtual_time, request.start_tag)
        else:
            flow.finish_tag -= request.engine_seconds / request.weight
        if not any(flow.waiting for flow in self.flows.values()):
            self.seconds = 0.0
        if not flow.waiting:
            flow.seconds = 0.0

    def waiting(self) -> list[PendingRequest]:
        """Return all queued requests."""
        return [request for flow in self.flows.values() for request in flow.waiting]

    def drop_idle_customers(self) -> None:
        """Drop customers with an empty queue that have caught up in virtual time."""
        self.flows = {
            customer: flow
            for customer, flow in self.flows.items()
            if flow.waiting or flow.finish_tag > self.virtual_time
        }

    def seconds_ahead_of(
        self, customer: CustomerName, weight: float, weights: dict[CustomerName, float]
    ) -> float:
        """Return the work ahead of a customer's new request, in engine seconds."""
        flow = self.flows.get(customer)
        own = flow.seconds if flow else 0.0
        others = sum(
            weights.get(name, 1.0)
            for name, other in self.flows.items()
            if other.waiting and name != customer
        )
        return min(self.seconds, own * (weight + others) / weight)

    def victim(self, weights: dict[CustomerName, float]) -> PendingRequest:
        """Return the request to evict first when the queue is too long.

        It is the request of lowest value per engine second among the customers that
        have queued at least their share; a customer below its share loses none.
        """
        active = {name: flow for name, flow in self.flows.items() if flow.waiting}
        total = sum(weights.get(name, 1.0) for name in active)
        over = [
            request
            for name, flow in active.items()
            if flow.seconds * total >= self.seconds * weights.get(name, 1.0) * 0.999
            for request in flow.waiting
        ]
        return min(
            over,
            key=lambda request: (request.value_per_engine_second, -request.start_tag),
        )
