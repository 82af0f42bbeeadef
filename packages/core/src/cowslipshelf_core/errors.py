"""Define the refusals that the parts of the system return to each other."""

from enum import StrEnum
from typing import NamedTuple


class RefusalCode(StrEnum):
    """Define what a refusal states about the execution of the request."""

    NOT_RUN = "not_run"
    """It never ran and never will."""
    OUTCOME_UNKNOWN = "outcome_unknown"
    """It may have run; whether it did is unknown."""
    FAILED = "failed"
    """It ran, but did not complete."""


class RefusalReason(StrEnum):
    """Define why a request was refused or aborted."""

    BUSY = "busy"
    OVERLOADED = "overloaded"
    LEAVING = "leaving"
    STALE_CONFIGURATION = "stale_configuration"
    WRONG_EPOCH = "wrong_epoch"
    TOMBSTONED = "tombstoned"
    DUPLICATE_ATTEMPT = "duplicate_attempt"
    DEADLINE_PASSED = "deadline_passed"
    CANNOT_FINISH_IN_TIME = "cannot_finish_in_time"
    TOO_LARGE = "too_large"
    NO_UPSTREAM = "no_upstream"
    UNKNOWN_MODEL = "unknown_model"
    UNKNOWN_SERVICE = "unknown_service"
    NOT_ALLOWED = "not_allowed"
    BAD_KEY = "bad_key"
    BAD_REQUEST = "bad_request"
    CUSTOMER_LIMIT = "customer_limit"
    NOT_READY = "not_ready"
    NO_QUORUM = "no_quorum"
    STILL_RUNNING = "still_running"
    KEY_REUSED = "key_reused"
    UPSTREAM_FAILED = "upstream_failed"
    CONNECTION_LOST = "connection_lost"
    CANCELLED = "cancelled"


class Refusal(NamedTuple):
    """Describe why a request gets no (further) answer, and at which step and peer."""

    code: RefusalCode
    reason: RefusalReason
    step: str
    peer: str = ""
    detail: str = ""
    retry_after_seconds: float | None = None
