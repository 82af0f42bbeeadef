"""Track the attempts that this router has placed."""

from collections import Counter
from dataclasses import dataclass, field

from cowslipshelf_core.identifiers import AttemptId, CustomerName, ServiceName
from cowslipshelf_core.internal.routing.fleet import Fleet
from cowslipshelf_core.internal.routing.upstream_view import PlacedAttempt
from cowslipshelf_core.placement_feedback import AttemptOutcome

OUTPUT_LENGTH_SMOOTHING = 0.05


@dataclass(slots=True)
class OutputLengthEstimate:
    """Estimate the answer length of a service, in tokens."""

    tokens: float

    def add(self, tokens: float) -> None:
        """Update the moving average with the length of one complete answer."""
        self.tokens += OUTPUT_LENGTH_SMOOTHING * (tokens - self.tokens)


@dataclass(slots=True)
class AttemptTracker:
    """Track every placed attempt until it ends, and the number of each customer."""

    fleet: Fleet
    attempts: dict[AttemptId, PlacedAttempt] = field(default_factory=dict)
    running_per_customer: Counter[CustomerName] = field(default_factory=Counter)
    output_lengths: dict[ServiceName, OutputLengthEstimate] = field(
        default_factory=dict
    )

    def expected_output_tokens(self, service: ServiceName, max_tokens: int) -> float:
        """Return the expected answer length, in tokens."""
        known = self.output_lengths.get(service)
        expected = (
            known.tokens if known else self.fleet.config.cost.expected_output_tokens
        )
        return min(float(max_tokens), expected)

    def place(self, attempt: PlacedAttempt) -> None:
        """Add an attempt to its upstream and to its customer's count."""
        self.end(attempt.attempt_id)
        self.attempts[attempt.attempt_id] = attempt
        self.running_per_customer[attempt.customer] += 1
        self.fleet.views[attempt.upstream_id].attempts[attempt.attempt_id] = attempt

    def record_first_token(
        self, attempt_id: AttemptId, seconds: float, now: float
    ) -> None:
        """Record an attempt's first token as a sample of its upstream's slowness."""
        attempt = self.attempts.get(attempt_id)
        if attempt is None or attempt.first_token_at is not None:
            return
        attempt.first_token_at = now
        view = self.fleet.views.get(attempt.upstream_id)
        if attempt.is_spread:
            return
        if view is not None and attempt_id in view.attempts:
            view.slowness.add(seconds, attempt.predicted_first_token_seconds, now)

    def finish(
        self, attempt_id: AttemptId, outcome: AttemptOutcome, now: float
    ) -> PlacedAttempt | None:
        """Remove an ended attempt and record the length of a complete answer."""
        attempt = self.end(attempt_id)
        if attempt is None:
            return None
        whole = outcome is AttemptOutcome.FINISHED
        if whole and attempt.first_token_at is not None:
            self.record_output_length(attempt, now - attempt.first_token_at)
        return attempt

    def record_output_length(self, attempt: PlacedAttempt, seconds: float) -> None:
        """Estimate an answer's length in tokens from the time that it streamed."""
        view = self.fleet.views.get(attempt.upstream_id)
        if view is None or not view.load.decode_seconds_per_token:
            return
        tokens = min(
            seconds / view.load.decode_seconds_per_token,
            float(attempt.max_output_tokens),
        )
        service = view.description.service
        initial = self.fleet.config.cost.expected_output_tokens
        self.output_lengths.setdefault(service, OutputLengthEstimate(initial)).add(
            tokens
        )

    def end(self, attempt_id: AttemptId) -> PlacedAttempt | None:
        """Remove an attempt from its upstream and from its customer's count."""
        attempt = self.attempts.pop(attempt_id, None)
        if attempt is None:
            return None
        self.running_per_customer[attempt.customer] -= 1
        if self.running_per_customer[attempt.customer] <= 0:
            del self.running_per_customer[attempt.customer]
        view = self.fleet.views.get(attempt.upstream_id)
        if view is not None:
            view.attempts.pop(attempt_id, None)
        return attempt

    def expire_lost(self, now: float) -> None:
        """Remove attempts whose end was never reported.

        A request thread that died would otherwise use up its customer's limit for
        ever. No attempt outlives its deadline, so one past its expiry has ended.
        """
        lost = [a.attempt_id for a in self.attempts.values() if a.expires_at <= now]
        for attempt_id in lost:
            self.end(attempt_id)
