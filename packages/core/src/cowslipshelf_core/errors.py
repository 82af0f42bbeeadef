"""Define the errors and refusals that the system's parts hand to each other."""

from enum import StrEnum
from typing import NamedTuple


class RefusalCode(StrEnum):
    """Say what a refusal claims about the request."""

    NOT_RUN = "not_run"
    """It never ran and never will."""
    OUTCOME_UNKNOWN = "outcome_unknown"
    """It may have run; nobody can say."""
    FAILED = "failed"
    """It ran, and did not finish whole."""


class RefusalReason(StrEnum):
    """Name why a request was refused or given up."""

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
    """Tell why a request gets no (further) answer, from which step and peer."""

    code: RefusalCode
    reason: RefusalReason
    step: str
    peer: str = ""
    detail: str = ""
    retry_after_seconds: float | None = None
