"""Hold what is known of a request across its attempts, and decide on another one."""

from dataclasses import dataclass, field

from cowslipshelf_core.gateway import UNRANKED, RequestRank
from cowslipshelf_core.identifiers import UpstreamId
from cowslipshelf_daemon.internal.gateway.attempt_outcomes import (
    AttemptOutcome,
    AttemptTask,
    Broken,
    FailedThere,
    NotReached,
    NotReserved,
    NotRun,
)

BUSY_RETRY_SECONDS = 0.2
"""Minimum retry-after if the upstreams are full: a few passes of an engine."""
MAX_UNREACHED = 4
"""Times that one request may find upstreams that can't be reached or reserve no memory;
they don't count as attempts."""
MAX_UNREACHED_IN_OUTAGE = 8
"""The same if a data centre turned out to be doubtful meanwhile: the tries before that
were spent on upstreams that ended together, and further ones avoid them."""


@dataclass(slots=True)
class RequestProgress:
    """Hold the state of a request across its attempts."""

    excluded: set[UpstreamId] = field(default_factory=set)
    sent: int = 0
    unreached: int = 0
    may_have_run: bool = False
    waited: bool = False
    """Whether the request has waited for a first upstream."""
    permit_wait_until: float | None = None
    """Boot time until which it waits for permits; None if it did not wait yet."""
    met_outage: bool = False
    """Whether it was offered to upstreams of a data centre that is doubtful now."""
    last_failure: FailedThere | None = None
    last_reason: str = ""
    retry_after_seconds: float | None = BUSY_RETRY_SECONDS
    """Retry-after in seconds; None if a retry would not help."""
    rank: RequestRank = UNRANKED
    lacks_capacity: bool = True
    """Whether a refusal counts as one for lack of capacity. It doesn't if upstreams
    ended under the request, or if there is no upstream that may be used."""

    def record(
        self, outcome: AttemptOutcome, upstream_id: UpstreamId, ran_before: bool
    ) -> None:
        """Record the outcome of an attempt, and which upstreams not to try again.

        `ran_before` tells whether the request may have run in an earlier attempt.
        """
        at_fault = outcome.at_fault if isinstance(outcome, NotRun) else None
        # Placing again avoids what is evacuated, which may be a helper only, and what
        # has no room.
        withheld = isinstance(outcome, NotReached) and outcome.withheld
        if at_fault is not None and at_fault not in self.excluded:
            self.excluded.add(at_fault)
        elif not withheld and not isinstance(outcome, NotReserved):
            self.excluded.add(upstream_id)
        match outcome:
            case NotReached():
                self.sent -= 1
                self.unreached += 1
                self.may_have_run = ran_before
                self.last_reason = "no upstream could be reached"
            case NotReserved(silent=silent, refused=refused):
                self.sent -= 1
                self.unreached += 1
                self.may_have_run = ran_before
                self.last_reason = "the engines reserved no memory"
                self.excluded |= silent | refused
            case NotRun():
                self.may_have_run = ran_before
                self.last_reason = "the upstream was full"
            case FailedThere():
                self.last_failure = outcome
            case Broken():
                self.last_reason = f"{outcome.step} failed"


def may_try_another(
    task: AttemptTask, outcome: AttemptOutcome, progress: RequestProgress
) -> bool:
    """Return whether another upstream may be tried after this outcome."""
    match outcome:
        case NotReached() | NotReserved():
            in_outage = progress.met_outage
            return progress.unreached < (
                MAX_UNREACHED_IN_OUTAGE if in_outage else MAX_UNREACHED
            )
        case NotRun():
            return progress.sent < task.route.max_attempts
        case _:
            return task.route.repeatable and progress.sent < task.route.max_attempts
