"""Place requests on upstreams: cost model, fair queues, admission and outliers."""

from cowslipshelf_core.chosen_upstream import ChosenUpstream
from cowslipshelf_core.directory_events import (
    LoadUpdated,
    UpstreamAvailable,
    UpstreamUnavailable,
)
from cowslipshelf_core.internal.routing.events import (
    ConfigurationApplied,
    ConsideredUpstream,
    PlacementAnswered,
    PlacementAsked,
    PlacementExplanation,
    PlacementFacts,
    PlacementId,
    PlacementWithdrawn,
    Prediction,
    RouterEvent,
    TickElapsed,
)
from cowslipshelf_core.internal.routing.router import Router
from cowslipshelf_core.internal.routing.settings import RouterConfig
from cowslipshelf_core.placement_feedback import (
    AttemptEnded,
    AttemptOutcome,
    FirstTokenSeen,
    HandOverAccepted,
    HandOverRefused,
)

__all__ = [
    "PlacementId",
    "AttemptEnded",
    "AttemptOutcome",
    "ChosenUpstream",
    "ConfigurationApplied",
    "ConsideredUpstream",
    "FirstTokenSeen",
    "HandOverAccepted",
    "HandOverRefused",
    "LoadUpdated",
    "PlacementAnswered",
    "PlacementAsked",
    "PlacementExplanation",
    "PlacementFacts",
    "PlacementWithdrawn",
    "Prediction",
    "Router",
    "RouterConfig",
    "RouterEvent",
    "TickElapsed",
    "UpstreamAvailable",
    "UpstreamUnavailable",
]
