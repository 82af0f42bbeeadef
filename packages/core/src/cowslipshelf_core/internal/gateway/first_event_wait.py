"""Decide how long to wait for a first event before another engine is tried.

An engine may be silent because it is dead, or because it prefills what other gateways
placed there in the same milliseconds. The simulated engine tells one from the other:
its forecast includes what was placed later. A caller leaves after a silence, so an
engine that is busy for longer gives way to one that still answers in time for it.
"""

from typing import NamedTuple

from cowslipshelf_core.internal.gateway.engine_forecast import abandon_seconds

FIRST_CHECK_FACTOR = 2.0
FIRST_CHECK_SECONDS = 1.0
"""Added to twice the prediction, after which the forecast is looked at: an attempt that
is moved has its prompt prefilled twice."""
MARGIN_SECONDS = 0.5
"""Time beyond the forecast after which an engine counts as silent: several passes and a
packet that was lost on the way."""
MARGIN_OBJECTIVES = 0.25
"""The same as a share of the objective, where that is longer: forecasts of long prompts
are less exact, and prefilling them again costs more."""
MIN_WAIT_SECONDS = 0.01
"""Shorter waits count as over."""
RETRY_SECONDS = 0.25
"""Time that a second attempt takes beyond its predicted first event."""


class FirstEventWait(NamedTuple):
    """Describe an attempt that waits for its first event."""

    objective_seconds: float
    pause_seconds: float
    predicted_seconds: float
    """First event as predicted when the attempt was placed, on an engine that was
    chosen freely; another one would take about as long."""

    @property
    def margin_seconds(self) -> float:
        """Return the time beyond the forecast that a sound engine may take."""
        return max(MARGIN_SECONDS, MARGIN_OBJECTIVES * self.objective_seconds)

    @property
    def first_check_seconds(self) -> float:
        """Return the silence after which the forecast is looked at."""
        return FIRST_CHECK_FACTOR * self.predicted_seconds + FIRST_CHECK_SECONDS

    @property
    def latest_move_seconds(self) -> float:
        """Return the silence after which another engine would answer too late."""
        patience = abandon_seconds(self.objective_seconds, self.pause_seconds)
        return patience - self.predicted_seconds - RETRY_SECONDS

    def left_seconds(self, waited_seconds: float, due_seconds: float) -> float:
        """Return how much longer to wait; zero if another engine is to be tried.

        `due_seconds` is the time until the engine should be ready by the present
        forecast, negative if it is overdue.
        """
        left = due_seconds + self.margin_seconds
        if self.first_check_seconds < self.latest_move_seconds:
            left = min(left, self.latest_move_seconds - waited_seconds)
        return left if left > MIN_WAIT_SECONDS else 0.0
