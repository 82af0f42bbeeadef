"""Build the refusals of the router; all are `NOT_RUN`, as nothing was sent."""

from collections.abc import Callable, Sequence

from cowslipshelf_core.errors import Refusal, RefusalCode, RefusalReason
from cowslipshelf_core.identifiers import UpstreamId
from cowslipshelf_core.internal.routing.cost import RequestProfile
from cowslipshelf_core.internal.routing.events import PlacementFacts
from cowslipshelf_core.internal.routing.fleet import Group
from cowslipshelf_core.internal.routing.spread_planning import (
    MAX_PARTS,
    needs_spread,
    plan_spread,
)
from cowslipshelf_core.internal.routing.upstream_view import UpstreamView

STEP = "placement"


def not_run(
    reason: RefusalReason, detail: str, retry_after_seconds: float | None = None
) -> Refusal:
    """Build a refusal of a request that was not placed."""
    return Refusal(
        RefusalCode.NOT_RUN,
        reason,
        STEP,
        detail=detail,
        retry_after_seconds=retry_after_seconds,
    )


def unplaceable(
    group: Group | None,
    profile: RequestProfile,
    excluded: frozenset[UpstreamId],
    retry_after_seconds: float,
    list_expected_back: Callable[[], Sequence[UpstreamView]] = tuple,
) -> Refusal | None:
    """Return a refusal if no upstream can take a request however long it waits.

    Upstreams that are expected back are listed only if the group is too small: to look
    for them among thousands of upstreams would slow down every placement.
    """
    facts = profile.facts
    if group is None or not group.members:
        wanted = f"model {facts.model} for " if facts.model else ""
        return not_run(
            RefusalReason.NO_UPSTREAM,
            f"no upstream takes {wanted}service {facts.service} now",
            retry_after_seconds,
        )
    if (
        needs_spread(group, profile)
        and plan_spread(group, profile, frozenset()) is None
    ):
        expected_back = list_expected_back()
        if expected_back and fits_together([*group.members, *expected_back], profile):
            return not_run(
                RefusalReason.NO_UPSTREAM,
                f"{profile.memory_tokens} tokens of memory are needed, which the "
                f"upstreams of service {facts.service} have only together with "
                f"{len(expected_back)} that take no work now",
                retry_after_seconds,
            )
        return too_large(group, profile)
    if excluded and all(v.description.upstream_id in excluded for v in group.members):
        return not_run(
            RefusalReason.NO_UPSTREAM,
            f"all {len(group.members)} upstreams of service {facts.service} were tried",
            retry_after_seconds,
        )
    return None


def fits_together(views: list[UpstreamView], profile: RequestProfile) -> bool:
    """Return whether upstreams have the memory for a request, whole or in parts."""
    limits = sorted((view.memory_limit() for view in views), reverse=True)
    return sum(limits[:MAX_PARTS]) >= profile.memory_tokens


def too_large(group: Group, profile: RequestProfile) -> Refusal:
    """Refuse a request that all upstreams together can't hold; retries don't help."""
    facts = profile.facts
    together = sum(view.memory_limit() for view in group.members)
    return not_run(
        RefusalReason.TOO_LARGE,
        f"{facts.prompt_tokens} prompt and up to {facts.max_output_tokens} output "
        f"tokens need {profile.memory_tokens} tokens of memory; the largest upstream "
        f"of service {facts.service} has {group.largest_memory}, all "
        f"{len(group.members)} have {together}, and one prompt is spread over "
        f"{MAX_PARTS} at most",
    )


def past_deadline() -> Refusal:
    """Refuse a request whose deadline has passed."""
    return not_run(RefusalReason.DEADLINE_PASSED, "no time was left to place it")


def too_slow(least_seconds: float, facts: PlacementFacts) -> Refusal:
    """Refuse a request that even an idle upstream would finish too late."""
    return not_run(
        RefusalReason.CANNOT_FINISH_IN_TIME,
        f"needs {least_seconds:.1f} s on an idle upstream, "
        f"and {facts.deadline_seconds:.1f} s are left",
    )


def too_late(wait_seconds: float, retry_after_seconds: float) -> Refusal:
    """Refuse a request that would be queued too long to finish in time."""
    return not_run(
        RefusalReason.CANNOT_FINISH_IN_TIME,
        f"would wait {wait_seconds:.1f} s and then not finish in time",
        retry_after_seconds,
    )


def shed(retry_after_seconds: float) -> Refusal:
    """Refuse a request of low value under overload."""
    return not_run(
        RefusalReason.OVERLOADED,
        "too much is asked for; of the work over its customer's share this is worth "
        "least for each engine second",
        retry_after_seconds,
    )


def customer_limit(limit: int, retry_after_seconds: float) -> Refusal:
    """Refuse a request of a customer that is at its concurrency limit."""
    return not_run(
        RefusalReason.CUSTOMER_LIMIT,
        f"the customer already runs {limit} requests here, which is its limit",
        retry_after_seconds,
    )
