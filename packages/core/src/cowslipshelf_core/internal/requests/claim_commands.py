"""Build the claim commands of a request."""

from cowslipshelf_core.chosen_upstream import ChosenUpstream
from cowslipshelf_core.errors import Refusal
from cowslipshelf_core.identifiers import AttemptId, RequestId
from cowslipshelf_core.internal.requests.caller_request import CallerRequest
from cowslipshelf_core.messages import (
    ClaimAsked,
    ClaimFinished,
    ClaimLookedUp,
    ClaimMoved,
    StoredAnswer,
)


def build_claim_asked(
    request: CallerRequest, chosen: ChosenUpstream, deadline_seconds: float
) -> ClaimAsked:
    """Build the command that claims the key for a placed attempt.

    It names the sidecar that other requests under the key can ask about the attempt.
    """
    return ClaimAsked(
        customer=request.customer,
        key=request.idempotency_key or "",
        request_id=request.request_id,
        attempt_id=chosen.attempt_id,
        upstream_id=chosen.upstream_id,
        sidecar_epoch=chosen.epoch,
        owner=request.owner,
        body_digest=request.body_digest,
        deadline_seconds=deadline_seconds,
    )


def build_claim_looked_up(request: CallerRequest) -> ClaimLookedUp:
    """Build the command that asks who holds the key of an unplaced request."""
    return ClaimLookedUp(
        customer=request.customer,
        key=request.idempotency_key or "",
        request_id=request.request_id,
        body_digest=request.body_digest,
    )


def build_claim_moved(
    request: CallerRequest,
    from_attempt: AttemptId,
    chosen: ChosenUpstream,
    deadline_seconds: float,
) -> ClaimMoved:
    """Build the command that moves the key from a revoked attempt to a placed one."""
    return ClaimMoved(
        customer=request.customer,
        key=request.idempotency_key or "",
        request_id=request.request_id,
        from_attempt=from_attempt,
        to_attempt=chosen.attempt_id,
        upstream_id=chosen.upstream_id,
        sidecar_epoch=chosen.epoch,
        owner=request.owner,
        deadline_seconds=deadline_seconds,
    )


def build_claim_finished(
    request: CallerRequest,
    holder: RequestId,
    attempt_id: AttemptId,
    outcome: StoredAnswer | Refusal | None,
) -> ClaimFinished:
    """Build the command that stores the outcome under the key for its holder."""
    return ClaimFinished(
        customer=request.customer,
        key=request.idempotency_key or "",
        request_id=holder,
        attempt_id=attempt_id,
        answer=outcome if isinstance(outcome, StoredAnswer) else None,
        refusal=outcome if isinstance(outcome, Refusal) else None,
    )
