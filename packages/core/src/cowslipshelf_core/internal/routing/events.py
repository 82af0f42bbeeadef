"""Define the events, answers and explanations of the router."""

from dataclasses import dataclass
from typing import NamedTuple, NewType

from cowslipshelf_core.chosen_upstream import ChosenUpstream
from cowslipshelf_core.configuration import FleetConfiguration
from cowslipshelf_core.directory_events import (
    LoadUpdated,
    UpstreamAvailable,
    UpstreamUnavailable,
)
from cowslipshelf_core.errors import Refusal
from cowslipshelf_core.identifiers import (
    AttemptId,
    CustomerName,
    ModelName,
    RequestId,
    ServiceName,
    UpstreamId,
)
from cowslipshelf_core.placement_feedback import (
    AttemptEnded,
    FirstTokenSeen,
    HandOverAccepted,
    HandOverRefused,
)

PlacementId = NewType("PlacementId", str)
"""Identifies one placement request; unique within a process."""


class PlacementFacts(NamedTuple):
    """Describe a request to be placed on an upstream."""

    request_id: RequestId
    attempt_id: AttemptId
    customer: CustomerName
    service: ServiceName
    model: ModelName
    """Empty for a plain service."""
    prompt_tokens: int
    max_output_tokens: int
    prefix_hash: int
    """Hash of the start of the prompt; zero where there is none."""
    deadline_seconds: float
    """Time left until the caller's deadline when the placement is requested."""


class Prediction(NamedTuple):
    """Hold the predicted times and cost of a placement, in seconds."""

    wait_seconds: float
    prefill_seconds: float
    decode_seconds: float
    delay_to_others_seconds: float
    """Total added delay of the other attempts on the upstream."""
    cost: float
    """Weighted sum that the choice of an upstream minimises."""

    @property
    def first_token_seconds(self) -> float:
        """Return the time from hand-over to first token, in seconds."""
        return self.wait_seconds + self.prefill_seconds

    @property
    def total_seconds(self) -> float:
        """Return the time from hand-over to last token, in seconds."""
        return self.first_token_seconds + self.decode_seconds


class ConsideredUpstream(NamedTuple):
    """Describe one upstream that was considered for a placement."""

    upstream_id: UpstreamId
    prediction: Prediction
    fits: bool
    takes_long_prompts: bool


class PlacementExplanation(NamedTuple):
    """Explain the answer to one placement request."""

    request_id: RequestId
    attempt_id: AttemptId
    chosen: UpstreamId | None
    considered: tuple[ConsideredUpstream, ...]
    queued_seconds: float
    reason: str


@dataclass(frozen=True, slots=True)
class ConfigurationApplied:
    """Report that a configuration is now in force in this process."""

    configuration: FleetConfiguration


@dataclass(frozen=True, slots=True)
class PlacementAsked:
    """Request a placement; exactly one answer follows unless it is withdrawn."""

    placement_id: PlacementId
    facts: PlacementFacts
    excluded: frozenset[UpstreamId] = frozenset()


@dataclass(frozen=True, slots=True)
class PlacementWithdrawn:
    """Withdraw a placement request; no answer is needed any more."""

    placement_id: PlacementId


@dataclass(frozen=True, slots=True)
class TickElapsed:
    """Report that time has passed; sent several times a second."""


RouterEvent = (
    UpstreamAvailable
    | UpstreamUnavailable
    | LoadUpdated
    | ConfigurationApplied
    | PlacementAsked
    | PlacementWithdrawn
    | HandOverAccepted
    | HandOverRefused
    | FirstTokenSeen
    | AttemptEnded
    | TickElapsed
)


@dataclass(frozen=True, slots=True)
class PlacementAnswered:
    """Answer a placement request; the answer is final."""

    placement_id: PlacementId
    answer: ChosenUpstream | Refusal
    explanation: PlacementExplanation
