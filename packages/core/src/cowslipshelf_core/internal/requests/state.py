"""Hold what is known of a request while it is carried."""

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
    """Name the one answer that a request waits for."""

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
    """Follow the one attempt whose frames are passed on."""

    chosen: ChosenUpstream
    handed_over: bool = False
    handed_over_at: float = 0.0
    head_seen: bool = False
    first_token_seen: bool = False
    sequence: int = 0
    """Last piece that was taken in order."""
    resumes: int = 0
    """Resumes since the last new piece."""
    revokes: int = 0
    followed: bool = False
    """Whether another request placed it, and this one only reads its frames."""


@dataclass(slots=True)
class RequestState:
    """Be everything that the steps of one request share."""

    request: CallerRequest
    config: RequestConfig
    delivery: Delivery
    phase: Phase = Phase.CREATED
    deadline: float = 0.0
    attempt: OpenAttempt | None = None
    placed_attempts: set[AttemptId] = field(default_factory=set)
    may_have_run: set[AttemptId] = field(default_factory=set)
    """Attempts handed over, and not known to have never reached an upstream."""
    frame_seen: bool = False
    """Whether a frame of any attempt has been seen."""
    excluded: set[UpstreamId] = field(default_factory=set)
    hand_over_count: int = 0
    last_refusal: Refusal | None = None
    placement_refusal: Refusal | None = None
    """The router's refusal, while it is asked whether the key has an answer."""
    key_is_unused: bool = False
    """Whether the replicated state has told that nothing ran under the key."""
    claim_attempt: AttemptId | None = None
    """The attempt under which this request holds its key, or follows its holder."""
    followed_request: RequestId | None = None
    """The request whose claim is followed; None where the claim is this one's."""
    other_claim: ClaimHeld | None = None
    """Who else holds the key, while that one's attempt is revoked."""
    holder_revokes: int = 0
    caller_gone: bool = False
    dropped_events: int = 0
    """Events that were late, doubled or of another attempt."""

    def seconds_left(self, now: float) -> float:
        """Give the seconds until the caller's deadline."""
        return self.deadline - now

    def is_open(self, attempt_id: AttemptId) -> bool:
        """Tell whether the id names the attempt whose answers count."""
        return self.attempt is not None and (
            self.attempt.chosen.attempt_id == attempt_id
        )

    def refusal_code(self) -> RefusalCode:
        """Say what may truly be claimed about the request now.

        "Not run" needs every attempt to be refused, revoked or never sent. A request
        that may not run twice is never called failed on the strength of a lost
        stream, since its upstream may have finished it. Under a key it also needs
        the key to be this request's, or known to be unused: the caller may be
        resending a request that ran, and would pay again under a new key.
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
        """Ignore an event that is late, doubled or of another attempt."""
        self.dropped_events += 1
        return []
