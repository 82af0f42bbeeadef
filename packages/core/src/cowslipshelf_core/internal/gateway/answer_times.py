"""Estimate how long each service takes to answer, to detect upstreams that hang."""

from dataclasses import dataclass, field

from cowslipshelf_core.identifiers import ServiceName

MEAN_WEIGHT = 1 / 8
DEVIATION_WEIGHT = 1 / 4
"""Smoothing weights of one answer, as in TCP's retransmission timer (RFC 6298)."""
TIMEOUT_DEVIATIONS = 8.0
"""Deviations above the mean after which an answer times out. TCP uses four for round
trips; request durations vary more, and one in a hundred takes five times the mean."""
USUAL_DEVIATIONS = 4.0
"""Deviations above the mean up to which an answer is usual, as in TCP."""
MIN_TIMEOUT_SECONDS = 0.25
"""Lower bound on the timeout: a pause of the interpreter or a lost packet delays an
answer by about as long."""
MIN_ANSWERS = 10
"""Answers needed before a service's times are used."""


@dataclass(slots=True)
class ServiceTimes:
    """Hold the mean and deviation of a service's answer times, in seconds."""

    mean: float = 0.0
    deviation: float = 0.0
    answers: int = 0


@dataclass(slots=True)
class AnswerTimes:
    """Track the answer times of all services."""

    services: dict[ServiceName, ServiceTimes] = field(default_factory=dict)
    answered_routes: set[str] = field(default_factory=set)
    """Routes that were answered at least once. A route's work may take longer than its
    callers wait, and then a healthy upstream is silent too."""

    def add(self, service: ServiceName, seconds: float) -> None:
        """Record the duration of a complete answer."""
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
        """Return the timeout for an answer in seconds, or None with too few answers."""
        times = self.services.get(service)
        if times is None or times.answers < MIN_ANSWERS:
            return None
        wait = times.mean + TIMEOUT_DEVIATIONS * times.deviation
        return max(MIN_TIMEOUT_SECONDS, wait)

    def slowness(self, service: ServiceName, seconds: float) -> float | None:
        """Return an answer's duration as a multiple of the service's mean."""
        times = self.services.get(service)
        if times is None or times.answers < MIN_ANSWERS:
            return None
        return seconds / max(times.mean, 1e-3)

    def is_usual(self, service: ServiceName, seconds: float) -> bool:
        """Return whether an answer took no longer than many of its service do."""
        times = self.services.get(service)
        if times is None:
            return True
        return seconds <= times.mean + USUAL_DEVIATIONS * times.deviation
