"""Learn how long a service takes to answer, to tell slow upstreams from silent ones."""

from dataclasses import dataclass, field

from cowslipshelf_core.identifiers import ServiceName

MEAN_WEIGHT = 1 / 8
DEVIATION_WEIGHT = 1 / 4
"""Weights of one answer, as TCP has them for its retransmission timer (RFC 6298)."""
DEVIATIONS_WAITED = 8.0
"""Deviations beyond the mean that an answer is waited for. TCP takes four, for a round
trip; work varies more, and one answer in a hundred takes five times the mean."""
LEAST_WAITED_SECONDS = 0.25
"""Shortest wait: below it, a pause of the interpreter or a lost packet looks alike."""
ANSWERS_NEEDED = 10
"""Answers before which a service's times are not judged by."""


@dataclass(slots=True)
class ServiceTimes:
    """Hold the mean and deviation of a service's answer times, in seconds."""

    mean: float = 0.0
    deviation: float = 0.0
    answers: int = 0


@dataclass(slots=True)
class AnswerTimes:
    """Hold the answer times of all services."""

    services: dict[ServiceName, ServiceTimes] = field(default_factory=dict)
    answered_routes: set[str] = field(default_factory=set)
    """Routes of which an answer was seen. A route may ask for work that takes longer
    than its callers wait; the silence of a sound upstream is then no sign."""

    def add(self, service: ServiceName, seconds: float) -> None:
        """Note a whole answer."""
        times = self.services.setdefault(service, ServiceTimes())
        times.answers += 1
        if times.answers == 1:
            times.mean = seconds
            times.deviation = seconds / 2
            return
        error = seconds - times.mean
        times.deviation += DEVIATION_WEIGHT * (abs(error) - times.deviation)
        times.mean += MEAN_WEIGHT * error

    def answer_timeout(self, service: ServiceName) -> float | None:
        """Return how long an answer is worth waiting for; nothing where not known."""
        times = self.services.get(service)
        if times is None or times.answers < ANSWERS_NEEDED:
            return None
        wait = times.mean + DEVIATIONS_WAITED * times.deviation
        return max(LEAST_WAITED_SECONDS, wait)

    def slowness(self, service: ServiceName, seconds: float) -> float | None:
        """Return how many times longer than usual an answer took."""
        times = self.services.get(service)
        if times is None or times.answers < ANSWERS_NEEDED:
            return None
        return seconds / max(times.mean, 1e-3)
