"""Keep the attempts that this router has placed."""

from collections import Counter
from dataclasses import dataclass, field

from cowslipshelf_core.identifiers import AttemptId, CustomerName, ServiceName
from cowslipshelf_core.internal.routing.fleet import Fleet
from cowslipshelf_core.internal.routing.upstream_view import PlacedAttempt
from cowslipshelf_core.placement_feedback import AttemptOutcome

OUTPUT_LENGTH_SMOOTHING = 0.05


@dataclass(slots=True)
class OutputLengthEstimate:
    """Learn how long answers of a service are, in tokens."""

    tokens: float

    def add(self, tokens: float) -> None:
        """Take in the length of one whole answer."""
        self.tokens += OUTPUT_LENGTH_SMOOTHING * (tokens - self.tokens)


@dataclass(slots=True)
class AttemptTracker:
    """Know every placed attempt until it ends, and how many each customer has."""

    fleet: Fleet
    attempts: dict[AttemptId, PlacedAttempt] = field(default_factory=dict)
    running_per_customer: Counter[CustomerName] = field(default_factory=Counter)
    output_lengths: dict[ServiceName, OutputLengthEstimate] = field(
        default_factory=dict
    )

    def expected_output_tokens(self, service: ServiceName, most: int) -> float:
        """Return the answer length to reckon with, in tokens."""
        known = self.output_lengths.get(service)
        usual = known.tokens if known else self.fleet.config.cost.expected_output_tokens
        return min(float(most), usual)

    def place(self, attempt: PlacedAttempt) -> None:
        """Count an attempt on its upstream and for its customer."""
        self.end(attempt.attempt_id)
        self.attempts[attempt.attempt_id] = attempt
        self.running_per_customer[attempt.customer] += 1
        self.fleet.views[attempt.upstream_id].attempts[attempt.attempt_id] = attempt

    def record_first_token(
        self, attempt_id: AttemptId, seconds: float, now: float
    ) -> None:
        """Learn from the time that an attempt's first token took."""
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
        """End an attempt and learn from a whole answer's length."""
        attempt = self.end(attempt_id)
        if attempt is None:
            return None
        whole = outcome is AttemptOutcome.FINISHED
        if whole and attempt.first_token_at is not None:
            self.record_output_length(attempt, now - attempt.first_token_at)
        return attempt

    def record_output_length(self, attempt: PlacedAttempt, seconds: float) -> None:
        """Learn how many tokens an answer had from how long it streamed."""
        view = self.fleet.views.get(attempt.upstream_id)
        if view is None or not view.load.decode_seconds_per_token:
            return
        tokens = min(
            seconds / view.load.decode_seconds_per_token,
            float(attempt.most_output_tokens),
        )
        service = view.description.service
        usual = self.fleet.config.cost.expected_output_tokens
        self.output_lengths.setdefault(service, OutputLengthEstimate(usual)).add(tokens)

    def end(self, attempt_id: AttemptId) -> PlacedAttempt | None:
        """Stop counting an attempt."""
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
        """Stop counting attempts whose end was never reported.

        A reporter that died would otherwise use up its customer's limit for good. No
        attempt outlives its deadline, so one this old has ended.
        """
        lost = [a.attempt_id for a in self.attempts.values() if a.expires_at <= now]
        for attempt_id in lost:
            self.end(attempt_id)
