"""Run the state machine of one caller request, up to its one final answer.

The driver performs the effects in the order given and feeds back their results as
events. It loops until `has_ended`, even after the caller has disconnected: an attempt
that must run at most once and was handed over continues to its stored answer, which a
resend gets.

A request without a key on a service that is not idempotent has no claim. It runs at
most once, since no attempt follows one that may have arrived, but a resend by the
caller is a separate request and may run again. Only a key makes resending safe.
"""

from dataclasses import dataclass

from cowslipshelf_core.errors import Refusal, RefusalReason
from cowslipshelf_core.internal.requests.caller_request import (
    CallerRequest,
    RequestConfig,
)
from cowslipshelf_core.internal.requests.claim_lookup import on_claim_lookup_answered
from cowslipshelf_core.internal.requests.claiming import (
    on_claim_answered,
    on_claim_unavailable,
    on_holder_revoke_answered,
    revoke_holder,
)
from cowslipshelf_core.internal.requests.delivery import Delivery
from cowslipshelf_core.internal.requests.effects import RequestEffect
from cowslipshelf_core.internal.requests.ending import (
    finish_late_grant,
    refuse_with_reason,
)
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
    on_hand_over_answered,
    on_hand_over_lost,
    on_revoke_answered,
    resume,
    revoke,
)
from cowslipshelf_core.internal.requests.placing import (
    choose_placement,
    on_placed,
    on_placement_refused,
    release_unused,
)
from cowslipshelf_core.internal.requests.retrying import on_retry_answered
from cowslipshelf_core.internal.requests.state import OpenAttempt, Phase, RequestState
from cowslipshelf_core.internal.requests.streaming import (
    on_frame_arrived,
    on_resume_answered,
    on_stream_lost,
)
from cowslipshelf_core.messages import ClaimGranted
from cowslipshelf_core.placement_feedback import AttemptOutcome

CLAIM_PHASES = frozenset({Phase.CLAIMING, Phase.MOVING_CLAIM})


@dataclass(slots=True)
class RequestMachine:
    """Turn events into effects for one request; times are monotonic seconds."""

    state: RequestState

    @classmethod
    def from_config(
        cls, request: CallerRequest, config: RequestConfig
    ) -> "RequestMachine":
        """Create the machine of a request that was admitted and not yet placed."""
        delivery = Delivery.from_config(request, config)
        return cls(RequestState(request, config, delivery))

    def has_ended(self) -> bool:
        """Return whether the final effect was produced."""
        return self.state.phase is Phase.ENDED

    def deadline(self) -> float:
        """Return the monotonic time at which the driver sends `DeadlinePassed`."""
        return self.state.deadline

    def handle(self, event: RequestEvent, now: float) -> list[RequestEffect]:
        """Handle an event and return the effects to perform, in order."""
        state = self.state
        if isinstance(event, Started):
            return self.start(now)
        if state.phase is Phase.ENDED or state.phase is Phase.CREATED:
            return self.clean_up_late_event(event)
        if isinstance(event, DeadlinePassed) or now >= state.deadline:
            return self.end_at_deadline(event)
        match event:
            case CallerGone():
                return self.on_caller_gone()
            case WaitElapsed():
                return self.on_wait_elapsed(now)
            case Placed(chosen):
                if state.phase is Phase.PLACING:
                    return on_placed(state, chosen, now)
                return release_unused(state, chosen)
            case PlacementRefused(refusal) if state.phase is Phase.PLACING:
                return on_placement_refused(state, refusal)
            case RetryAnswered() if state.phase is Phase.ASKING_BUDGET:
                return on_retry_answered(state, event, now)
        if state.phase is Phase.LOOKING_UP and state.placement_refusal is not None:
            return self.handle_lookup_event(state.placement_refusal, event)
        if state.attempt is None:
            return state.drop_event()
        return self.handle_attempt_event(state.attempt, event, now)

    def handle_lookup_event(
        self, refusal: Refusal, event: RequestEvent
    ) -> list[RequestEffect]:
        """Handle the look-up of the key of a request that got no upstream."""
        match event:
            case ClaimAnswered():
                return on_claim_lookup_answered(self.state, refusal, event)
            case ClaimUnavailable():
                return on_claim_unavailable(self.state, event)
            case _:
                return self.state.drop_event()

    def handle_attempt_event(
        self, attempt: OpenAttempt, event: RequestEvent, now: float
    ) -> list[RequestEffect]:
        """Handle an event that is valid only while an attempt is open."""
        state = self.state
        match event:
            case ClaimAnswered() if state.phase in CLAIM_PHASES:
                return on_claim_answered(state, attempt, event, now)
            case ClaimUnavailable() if state.phase in CLAIM_PHASES:
                return on_claim_unavailable(state, event)
            case RevokeAnswered() if (
                state.phase is Phase.REVOKING_HELD
                and state.other_claim is not None
                and event.attempt_id == state.other_claim.attempt_id
            ):
                return on_holder_revoke_answered(
                    state, attempt, state.other_claim, event, now
                )
            case (
                HandOverAnswered()
                | HandOverLost()
                | FrameArrived()
                | StreamLost()
                | ResumeAnswered()
                | RevokeAnswered()
            ) if state.is_open(event.attempt_id):
                return self.handle_sidecar_event(attempt, event, now)
            case _:
                return state.drop_event()

    def handle_sidecar_event(
        self, attempt: OpenAttempt, event: RequestEvent, now: float
    ) -> list[RequestEffect]:
        """Handle an answer of the open attempt's sidecar."""
        state = self.state
        match state.phase, event:
            case Phase.HANDING_OVER, HandOverAnswered():
                return on_hand_over_answered(state, attempt, event)
            case Phase.HANDING_OVER, HandOverLost():
                return on_hand_over_lost(state, attempt, event)
            case Phase.STREAMING, FrameArrived(frame=frame):
                return on_frame_arrived(state, attempt, frame, now)
            case Phase.STREAMING, StreamLost():
                return on_stream_lost(state, attempt)
            case Phase.RESUMING, ResumeAnswered(resumed=resumed):
                return on_resume_answered(state, attempt, resumed, now)
            case Phase.REVOKING, RevokeAnswered():
                return on_revoke_answered(state, attempt, event, now)
            case _:
                return state.drop_event()

    def start(self, now: float) -> list[RequestEffect]:
        """Set the deadline and request the first placement."""
        state = self.state
        if state.phase is not Phase.CREATED:
            return state.drop_event()
        state.deadline = now + state.request.deadline_seconds
        if state.request.deadline_seconds <= 0:
            return refuse_with_reason(state, RefusalReason.DEADLINE_PASSED, "start")
        return choose_placement(state, now)

    def on_wait_elapsed(self, now: float) -> list[RequestEffect]:
        """Continue after a wait, by the phase that started it."""
        state = self.state
        match state.phase, state.attempt, state.other_claim:
            case Phase.WAITING_TO_PLACE, _, _:
                return choose_placement(state, now)
            case Phase.WAITING_TO_REVOKE, OpenAttempt() as attempt, _:
                return revoke(state, attempt)
            case Phase.WAITING_TO_RESUME, OpenAttempt() as attempt, _:
                return resume(state, attempt)
            case Phase.WAITING_TO_REVOKE_HELD, _, held if held is not None:
                return revoke_holder(state, held)
            case _:
                return state.drop_event()

    def on_caller_gone(self) -> list[RequestEffect]:
        """Cancel the request, unless it must run at most once and may have run."""
        state = self.state
        state.caller_gone = True
        if state.request.is_non_idempotent() and state.may_have_run:
            return []
        return refuse_with_reason(
            state,
            RefusalReason.CANCELLED,
            "caller",
            outcome=AttemptOutcome.CANCELLED,
        )

    def end_at_deadline(self, event: RequestEvent) -> list[RequestEffect]:
        """End because the deadline passed, and clean up after the event."""
        ended = refuse_with_reason(
            self.state,
            RefusalReason.DEADLINE_PASSED,
            self.state.phase.name.lower().replace("_", " "),
            outcome=AttemptOutcome.CANCELLED,
        )
        return [*ended, *self.clean_up_late_event(event)]

    def clean_up_late_event(self, event: RequestEvent) -> list[RequestEffect]:
        """Release the placement or claim that an event brings after the end."""
        match event:
            case Placed(chosen):
                return release_unused(self.state, chosen)
            case ClaimAnswered(answer=ClaimGranted() as granted):
                return finish_late_grant(self.state, granted)
            case _:
                return self.state.drop_event()
