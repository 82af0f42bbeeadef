"""Define what the router is told, what it answers, and how it explains itself."""

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
"""Names one question for a placement; unique within a process."""


class PlacementFacts(NamedTuple):
    """Be what the choice of an upstream may depend on."""

    request_id: RequestId
    attempt_id: AttemptId
    customer: CustomerName
    service: ServiceName
    model: ModelName
    """Empty for a plain service."""
    prompt_tokens: int
    most_output_tokens: int
    prefix_hash: int
    """Hash of the start of the prompt; zero where there is none."""
    deadline_seconds: float
    """Time left of the caller's deadline when the question is put."""


class Prediction(NamedTuple):
    """Be what a placement is expected to cost, in seconds."""

    wait_seconds: float
    prefill_seconds: float
    decode_seconds: float
    delay_to_others_seconds: float
    """Sum over the other attempts on the upstream."""
    cost: float
    """Weighed sum that the choice minimises."""

    @property
    def first_token_seconds(self) -> float:
        """Return the time from hand-over to first token, in seconds."""
        return self.wait_seconds + self.prefill_seconds

    @property
    def total_seconds(self) -> float:
        """Return the time from hand-over to last token, in seconds."""
        return self.first_token_seconds + self.decode_seconds


class ConsideredUpstream(NamedTuple):
    """Be one upstream that a choice looked at, with what it expected there."""

    upstream_id: UpstreamId
    prediction: Prediction
    fits: bool
    takes_long_prompts: bool


class PlacementExplanation(NamedTuple):
    """Explain one answer to one question for a placement."""

    request_id: RequestId
    attempt_id: AttemptId
    chosen: UpstreamId | None
    considered: tuple[ConsideredUpstream, ...]
    queued_seconds: float
    reason: str


@dataclass(frozen=True, slots=True)
class ConfigurationApplied:
    """Say that a configuration is now in force in this process."""

    configuration: FleetConfiguration


@dataclass(frozen=True, slots=True)
class PlacementAsked:
    """Ask for an upstream; exactly one answer follows unless it is withdrawn."""

    placement_id: PlacementId
    facts: PlacementFacts
    excluded: frozenset[UpstreamId] = frozenset()


@dataclass(frozen=True, slots=True)
class PlacementWithdrawn:
    """Say that nobody waits for the answer any more."""

    placement_id: PlacementId


@dataclass(frozen=True, slots=True)
class TickElapsed:
    """Say that time has passed; sent several times a second."""


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
    """Answer a question for a placement, for good."""

    placement_id: PlacementId
    answer: ChosenUpstream | Refusal
    explanation: PlacementExplanation
