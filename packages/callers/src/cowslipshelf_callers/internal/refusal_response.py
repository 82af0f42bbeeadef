"""Convert refusals to the published error shape; their reason gives the status."""

import math
from typing import NamedTuple

import msgspec

from cowslipshelf_core.errors import Refusal, RefusalCode, RefusalReason
from cowslipshelf_core.identifiers import RequestId

MIN_RETRY_AFTER_SECONDS = 1.0

STATUS_BY_REASON = {
    RefusalReason.BUSY: 503,
    RefusalReason.OVERLOADED: 503,
    RefusalReason.LEAVING: 503,
    RefusalReason.STALE_CONFIGURATION: 503,
    RefusalReason.WRONG_EPOCH: 503,
    RefusalReason.TOMBSTONED: 503,
    RefusalReason.DUPLICATE_ATTEMPT: 503,
    RefusalReason.DEADLINE_PASSED: 504,
    RefusalReason.CANNOT_FINISH_IN_TIME: 503,
    RefusalReason.TOO_LARGE: 413,
    RefusalReason.NO_UPSTREAM: 503,
    RefusalReason.UNKNOWN_MODEL: 404,
    RefusalReason.UNKNOWN_SERVICE: 404,
    RefusalReason.NOT_ALLOWED: 403,
    RefusalReason.BAD_KEY: 401,
    RefusalReason.BAD_REQUEST: 400,
    RefusalReason.CUSTOMER_LIMIT: 429,
    RefusalReason.NOT_READY: 503,
    RefusalReason.NO_QUORUM: 503,
    RefusalReason.STILL_RUNNING: 409,
    RefusalReason.KEY_REUSED: 422,
    RefusalReason.UPSTREAM_FAILED: 502,
    RefusalReason.CONNECTION_LOST: 502,
    RefusalReason.CANCELLED: 503,
}

RETRYABLE_STATUSES = frozenset({429, 503})
BAD_GATEWAY = 502
TOO_LARGE = 413
CONFLICT = 409

TYPE_BY_STATUS = {
    401: "authentication_error",
    403: "permission_error",
    409: "conflict_error",
    429: "rate_limit_error",
}
FIRST_SERVER_ERROR = 500


class ErrorBody(msgspec.Struct, frozen=True):
    """Hold the error object of the published shape."""

    message: str
    type: str
    code: str
    reason: str
    step: str
    request_id: str
    retry_after_seconds: float | None = None


class ErrorDocument(msgspec.Struct, frozen=True):
    """Wrap the error object as the published shape does."""

    error: ErrorBody


class RefusalResponse(NamedTuple):
    """Hold a refusal as an HTTP response."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


def status_of(refusal: Refusal) -> int:
    """Return the HTTP status; only "not run" gets one that invites a retry."""
    status = STATUS_BY_REASON[refusal.reason]
    if refusal.code is RefusalCode.NOT_RUN:
        return status
    if status in RETRYABLE_STATUSES:
        return BAD_GATEWAY
    if status == TOO_LARGE:
        # The stored answer that a resend asks for is too large, not the request.
        return CONFLICT
    return status


def error_response(
    refusal: Refusal, request_id: RequestId, status: int | None = None
) -> RefusalResponse:
    """Return a refusal as a response; `status` overrides that of its reason."""
    status = status or status_of(refusal)
    seconds = refusal.retry_after_seconds
    if status in RETRYABLE_STATUSES:
        seconds = max(seconds or 0.0, MIN_RETRY_AFTER_SECONDS)
    headers = [("Content-Type", "application/json")]
    if seconds is not None:
        whole_seconds = math.ceil(max(seconds, MIN_RETRY_AFTER_SECONDS))
        headers.append(("Retry-After", str(whole_seconds)))
    if _must_not_retry(refusal):
        # Published clients retry most error statuses unless told not to.
        headers.append(("X-Should-Retry", "false"))
    body = msgspec.json.encode(_document(refusal, status, request_id, seconds))
    return RefusalResponse(status, tuple(headers), body)


def error_event(refusal: Refusal, request_id: RequestId) -> bytes:
    """Encode a refusal as an event of a stream that has already started."""
    status = status_of(refusal)
    seconds = refusal.retry_after_seconds
    body = msgspec.json.encode(_document(refusal, status, request_id, seconds))
    return b"data: " + body + b"\n\n"


def _must_not_retry(refusal: Refusal) -> bool:
    return (
        refusal.code is RefusalCode.OUTCOME_UNKNOWN
        and refusal.reason is not RefusalReason.STILL_RUNNING
    )


def _document(
    refusal: Refusal, status: int, request_id: RequestId, seconds: float | None
) -> ErrorDocument:
    default = (
        "server_error" if status >= FIRST_SERVER_ERROR else "invalid_request_error"
    )
    return ErrorDocument(
        ErrorBody(
            message=_message(refusal),
            type=TYPE_BY_STATUS.get(status, default),
            code=refusal.code.value,
            reason=refusal.reason.value,
            step=refusal.step,
            request_id=request_id,
            retry_after_seconds=seconds,
        )
    )


def _message(refusal: Refusal) -> str:
    summaries = {
        RefusalCode.NOT_RUN: "The request did not run",
        RefusalCode.OUTCOME_UNKNOWN: "The request may have run",
        RefusalCode.FAILED: "The request did not finish",
    }
    cause = refusal.detail or refusal.reason.value.replace("_", " ")
    return f"{summaries[refusal.code]}: {cause}."
