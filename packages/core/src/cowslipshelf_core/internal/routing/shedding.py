"""Shed the requests of least value per engine second under overload."""

from dataclasses import dataclass, field
from math import exp

from cowslipshelf_core.identifiers import CustomerName
from cowslipshelf_core.internal.routing.settings import SheddingConfig


@dataclass(slots=True)
class Usage:
    """Hold a customer's recent demand as a decaying sum, in engine seconds."""

    seconds: float = 0.0
    updated_at: float = 0.0

    def decay(self, now: float, averaging_seconds: float) -> None:
        """Apply the exponential decay up to now."""
        self.seconds *= exp(-max(0.0, now - self.updated_at) / averaging_seconds)
        self.updated_at = now


@dataclass(slots=True)
class Shedding:
    """Maintain the minimum value per engine second that a group admits.

    The threshold rises while queues are long and falls once they are short. Requests
    of low value are then refused on arrival, before they have waited or taken memory,
    and goodput does not fall with offered load.
    """

    config: SheddingConfig
    threshold: float = 0.0
    updated_at: float = 0.0
    usage: dict[CustomerName, Usage] = field(default_factory=dict)

    def record_demand(self, customer: CustomerName, seconds: float, now: float) -> None:
        """Add the predicted work of a request to its customer's demand."""
        usage = self.usage.setdefault(customer, Usage(updated_at=now))
        usage.decay(now, self.config.averaging_seconds)
        usage.seconds += seconds

    def update_threshold(self, pressure: float, now: float) -> None:
        """Adjust the threshold to the fill of the fullest queue; 1 is its limit."""
        passed = max(0.0, now - self.updated_at)
        self.updated_at = now
        if pressure > self.config.high_pressure:
            start = max(self.threshold, self.config.min_threshold)
            risen = start * exp(self.config.rise_per_second * passed)
            self.threshold = min(risen, self.config.max_threshold)
        elif pressure < self.config.low_pressure:
            self.threshold *= exp(-self.config.fall_per_second * passed)
            if self.threshold < self.config.min_threshold:
                self.threshold = 0.0

    def refuses(
        self,
        customer: CustomerName,
        value_per_engine_second: float,
        capacity: float,
        weights: dict[CustomerName, float],
        now: float,
    ) -> bool:
        """Return whether a request is below the threshold and may be shed.

        A customer whose demand is within its share of the capacity is exempt, so that
        the burst of another customer does not affect it.
        """
        if value_per_engine_second >= self.threshold:
            return False
        usage = self.usage.get(customer)
        if usage is None:
            return False
        usage.decay(now, self.config.averaging_seconds)
        total = sum(weights.get(name, 1.0) for name in self.usage)
        share = capacity * weights.get(customer, 1.0) / total
        return usage.seconds / self.config.averaging_seconds > share

    def drop_idle_customers(self, now: float) -> None:
        """Drop customers whose demand has decayed to almost nothing."""
        for usage in self.usage.values():
            usage.decay(now, self.config.averaging_seconds)
        self.usage = {
            name: usage
            for name, usage in self.usage.items()
            if usage.seconds > self.config.min_tracked_seconds
        }
