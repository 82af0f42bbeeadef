"""Carry one request of a caller from its start to its one final answer.

The driver performs the effects in the order given and feeds back what came of them.
It loops until `has_ended`, also after the caller has gone: work that must run at most
once and was handed over goes on to its stored answer, which a resend gets.

A request without a key on a service that is not idempotent has no claim: it runs at
most once, since no attempt follows one that may have arrived, but a resend by the
caller is a request of its own and may run again. Only a key makes resending safe.
"""

from dataclasses import dataclass

from cowslipshelf_core.errors import Refusal, RefusalReason
from cowslipshelf_core.internal.requests.caller_request import (
    CallerRequest,
    RequestConfig,
)
from cowslipshelf_core.internal.requests.claim_lookup import looked_up
from cowslipshelf_core.internal.requests.claiming import (
    claim_answered,
    claim_unavailable,
    held_revoke_answered,
    revoke_held,
)
from cowslipshelf_core.internal.requests.delivery import Delivery
from cowslipshelf_core.internal.requests.effects import RequestEffect
from cowslipshelf_core.internal.requests.ending import finish_late_grant, refuse_for
from cowslipshelf_core.internal.requests.events import (
    CallerGone,
    ClaimAnswered,
    ClaimUnavailable,
    DeadlinePassed,
    FrameArrived,
    HandOverAnswered,
    HandOverLost,
    Placed,
    PlacementRefused,
    RequestEvent,
    ResumeAnswered,
    RetryAnswered,
    RevokeAnswered,
    Started,
    StreamLost,
    WaitElapsed,
)
from cowslipshelf_core.internal.requests.handing_over import (
    hand_over_answered,
    hand_over_lost,
    resume,
    revoke,
    revoke_answered,
)
from cowslipshelf_core.internal.requests.placing import (
    choose_placement,
    placed,
    placement_refused,
    release_unused,
)
from cowslipshelf_core.internal.requests.retrying import retry_answered
from cowslipshelf_core.internal.requests.state import OpenAttempt, Phase, RequestState
from cowslipshelf_core.internal.requests.streaming import (
    frame_arrived,
    resume_answered,
    stream_lost,
)
from cowslipshelf_core.messages import ClaimGranted
from cowslipshelf_core.placement_feedback import AttemptOutcome

CLAIM_PHASES = frozenset({Phase.CLAIMING, Phase.MOVING_CLAIM})


@dataclass(slots=True)
class RequestMachine:
    """Decide the steps of one request; times are monotonic seconds."""

    state: RequestState

    @classmethod
    def from_config(
        cls, request: CallerRequest, config: RequestConfig
    ) -> "RequestMachine":
        """Begin with a request that was admitted and not yet placed."""
        delivery = Delivery.from_config(request, config)
        return cls(RequestState(request, config, delivery))

    def has_ended(self) -> bool:
        """Tell whether the final effect has been given."""
        return self.state.phase is Phase.ENDED

    def deadline(self) -> float:
        """Give the monotonic time at which the driver sends `DeadlinePassed`."""
        return self.state.deadline

    def handle(self, event: RequestEvent, now: float) -> list[RequestEffect]:
        """Take an event and give the effects to perform, in order."""
        state = self.state
        if isinstance(event, Started):
            return self.start(now)
        if state.phase is Phase.ENDED or state.phase is Phase.CREATED:
            return self.clean_up(event)
        if isinstance(event, DeadlinePassed) or now >= state.deadline:
            return self.give_up(event)
        match event:
            case CallerGone():
                return self.leave_caller()
            case WaitElapsed():
                return self.go_on(now)
            case Placed(chosen):
                if state.phase is Phase.PLACING:
                    return placed(state, chosen, now)
                return release_unused(state, chosen)
            case PlacementRefused(refusal) if state.phase is Phase.PLACING:
                return placement_refused(state, refusal)
            case RetryAnswered() if state.phase is Phase.ASKING_BUDGET:
                return retry_answered(state, event, now)
        if state.phase is Phase.LOOKING_UP and state.placement_refusal is not None:
            return self.handle_for_look_up(state.placement_refusal, event)
        if state.attempt is None:
            return state.drop()
        return self.handle_for_attempt(state.attempt, event, now)

    def handle_for_look_up(
        self, refusal: Refusal, event: RequestEvent
    ) -> list[RequestEffect]:
        """Take what is known of the key of a request that got no upstream."""
        match event:
            case ClaimAnswered():
                return looked_up(self.state, refusal, event)
            case ClaimUnavailable():
                return claim_unavailable(self.state, event)
            case _:
                return self.state.drop()

    def handle_for_attempt(
        self, attempt: OpenAttempt, event: RequestEvent, now: float
    ) -> list[RequestEffect]:
        """Take an event that only counts while an attempt is open."""
        state = self.state
        match event:
            case ClaimAnswered() if state.phase in CLAIM_PHASES:
                return claim_answered(state, attempt, event, now)
            case ClaimUnavailable() if state.phase in CLAIM_PHASES:
                return claim_unavailable(state, event)
            case RevokeAnswered() if (
                state.phase is Phase.REVOKING_HELD
                and state.held is not None
                and event.attempt_id == state.held.attempt_id
            ):
                return held_revoke_answered(state, attempt, state.held, event, now)
            case (
                HandOverAnswered()
                | HandOverLost()
                | FrameArrived()
                | StreamLost()
                | ResumeAnswered()
                | RevokeAnswered()
            ) if state.is_open(event.attempt_id):
                return self.handle_for_hand_over(attempt, event, now)
            case _:
                return state.drop()

    def handle_for_hand_over(
        self, attempt: OpenAttempt, event: RequestEvent, now: float
    ) -> list[RequestEffect]:
        """Take what the sidecar of the open attempt answered."""
        state = self.state
        match state.phase, event:
            case Phase.HANDING_OVER, HandOverAnswered():
                return hand_over_answered(state, attempt, event)
            case Phase.HANDING_OVER, HandOverLost():
                return hand_over_lost(state, attempt, event)
            case Phase.STREAMING, FrameArrived(frame=frame):
                return frame_arrived(state, attempt, frame, now)
            case Phase.STREAMING, StreamLost():
                return stream_lost(state, attempt)
            case Phase.RESUMING, ResumeAnswered(resumed=resumed):
                return resume_answered(state, attempt, resumed, now)
            case Phase.REVOKING, RevokeAnswered():
                return revoke_answered(state, attempt, event, now)
            case _:
                return state.drop()

    def start(self, now: float) -> list[RequestEffect]:
        """Set the deadline and ask for the first placement."""
        state = self.state
        if state.phase is not Phase.CREATED:
            return state.drop()
        state.deadline = now + state.request.deadline_seconds
        if state.request.deadline_seconds <= 0:
            return refuse_for(state, RefusalReason.DEADLINE_PASSED, "start")
        return choose_placement(state, now)

    def go_on(self, now: float) -> list[RequestEffect]:
        """Do what the elapsed wait was for."""
        state = self.state
        match state.phase, state.attempt, state.held:
            case Phase.WAITING_TO_PLACE, _, _:
                return choose_placement(state, now)
            case Phase.WAITING_TO_REVOKE, OpenAttempt() as attempt, _:
                return revoke(state, attempt)
            case Phase.WAITING_TO_RESUME, OpenAttempt() as attempt, _:
                return resume(state, attempt)
            case Phase.WAITING_TO_REVOKE_HELD, _, held if held is not None:
                return revoke_held(state, held)
            case _:
                return state.drop()

    def leave_caller(self) -> list[RequestEffect]:
        """Stop for a caller that went away, but never cut work that runs once."""
        state = self.state
        state.caller_gone = True
        if state.request.is_non_idempotent() and state.may_have_run:
            return []
        return refuse_for(
            state,
            RefusalReason.CANCELLED,
            "caller",
            outcome=AttemptOutcome.CANCELLED,
        )

    def give_up(self, event: RequestEvent) -> list[RequestEffect]:
        """End at the deadline; what came too late is only cleaned up."""
        ended = refuse_for(
            self.state,
            RefusalReason.DEADLINE_PASSED,
            self.state.phase.name.lower().replace("_", " "),
            outcome=AttemptOutcome.CANCELLED,
        )
        return [*ended, *self.clean_up(event)]

    def clean_up(self, event: RequestEvent) -> list[RequestEffect]:
        """Give back what a late answer brings."""
        match event:
            case Placed(chosen):
                return release_unused(self.state, chosen)
            case ClaimAnswered(answer=ClaimGranted() as granted):
                return finish_late_grant(self.state, granted)
            case _:
                return self.state.drop()
