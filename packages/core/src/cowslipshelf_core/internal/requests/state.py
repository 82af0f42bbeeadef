"""Define the state of one request."""

from dataclasses import dataclass, field
from enum import Enum, auto

from cowslipshelf_core.chosen_upstream import ChosenUpstream
from cowslipshelf_core.errors import Refusal, RefusalCode
from cowslipshelf_core.identifiers import AttemptId, RequestId, UpstreamId
from cowslipshelf_core.internal.requests.caller_request import (
    CallerRequest,
    RequestConfig,
)
from cowslipshelf_core.internal.requests.delivery import Delivery
from cowslipshelf_core.internal.requests.effects import RequestEffect
from cowslipshelf_core.messages import ClaimHeld


class Phase(Enum):
    """Name what a request is waiting for."""

    CREATED = auto()
    PLACING = auto()
    LOOKING_UP = auto()
    CLAIMING = auto()
    REVOKING_HELD = auto()
    MOVING_CLAIM = auto()
    HANDING_OVER = auto()
    STREAMING = auto()
    RESUMING = auto()
    REVOKING = auto()
    ASKING_BUDGET = auto()
    WAITING_TO_PLACE = auto()
    WAITING_TO_RESUME = auto()
    WAITING_TO_REVOKE = auto()
    WAITING_TO_REVOKE_HELD = auto()
    ENDED = auto()


@dataclass(slots=True)
class OpenAttempt:
    """Track the one attempt whose frames go to the caller."""

    chosen: ChosenUpstream
    handed_over: bool = False
    handed_over_at: float = 0.0
    """Monotonic seconds."""
    head_seen: bool = False
    first_token_seen: bool = False
    sequence: int = 0
    """Sequence number of the last chunk received in order."""
    resumes: int = 0
    """Resumes since the last new chunk."""
    revokes: int = 0
    followed: bool = False
    """Whether another request placed the attempt, and this one only reads it."""


@dataclass(slots=True)
class RequestState:
    """Hold the state that all steps of one request share."""

    request: CallerRequest
    config: RequestConfig
    delivery: Delivery
    phase: Phase = Phase.CREATED
    deadline: float = 0.0
    """Monotonic seconds; set by `Started`."""
    attempt: OpenAttempt | None = None
    placed_attempts: set[AttemptId] = field(default_factory=set)
    """Every attempt that the router placed for this request."""
    may_have_run: set[AttemptId] = field(default_factory=set)
    """Attempts that were handed over and may have reached an upstream."""
    frame_seen: bool = False
    """Whether an attempt is known to have run, by its frames."""
    excluded: set[UpstreamId] = field(default_factory=set)
    """Upstreams that the router must not choose again."""
    hand_over_count: int = 0
    last_refusal: Refusal | None = None
    placement_refusal: Refusal | None = None
    """The router's refusal, kept while the key is looked up."""
    key_is_unused: bool = False
    """Whether the replicated state answered that nothing ran under the key."""
    claim_attempt: AttemptId | None = None
    """The attempt for which this request holds its key or follows the holder."""
    followed_request: RequestId | None = None
    """The followed holder of the claim; None if this request holds it itself."""
    other_claim: ClaimHeld | None = None
    """The claim of another request on the key, while its attempt is revoked."""
    holder_revokes: int = 0
    """Revoke calls for the attempt of the key's other holder."""
    caller_gone: bool = False
    dropped_events: int = 0
    """Events that were late, duplicated or of another attempt."""

    def seconds_left(self, now: float) -> float:
        """Return the seconds until the caller's deadline."""
        return self.deadline - now

    def is_open(self, attempt_id: AttemptId) -> bool:
        """Return whether the id names the open attempt."""
        return self.attempt is not None and (
            self.attempt.chosen.attempt_id == attempt_id
        )

    def refusal_code(self) -> RefusalCode:
        """Return the refusal code that is known to be true now.

        "Not run" requires that every attempt was refused, revoked or never sent. Under
        a key it also requires that this request holds the key or that the key is known
        to be unused: otherwise the caller may be resending a request that ran, and
        would pay again under a new key. A request that must run at most once is never
        "failed" because of a lost stream, since its upstream may have finished it.
        """
        if not self.may_have_run:
            known = self.claim_attempt is not None or self.key_is_unused
            if self.request.has_key() and not known:
                return RefusalCode.OUTCOME_UNKNOWN
            return RefusalCode.NOT_RUN
        if self.frame_seen and not self.request.is_non_idempotent():
            return RefusalCode.FAILED
        return RefusalCode.OUTCOME_UNKNOWN

    def drop_event(self) -> list[RequestEffect]:
        """Ignore an event that is late, duplicated or of another attempt."""
        self.dropped_events += 1
        return []
