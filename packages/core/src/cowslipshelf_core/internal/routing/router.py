"""Choose an upstream for each request."""

from dataclasses import dataclass, field
from random import Random

from cowslipshelf_core.configuration import FleetConfiguration
from cowslipshelf_core.directory_events import (
    LoadUpdated,
    UpstreamAvailable,
    UpstreamUnavailable,
)
from cowslipshelf_core.errors import Refusal, RefusalCode, RefusalReason
from cowslipshelf_core.identifiers import UpstreamId
from cowslipshelf_core.internal.routing.events import (
    ChosenUpstream,
    ConfigurationApplied,
    PlacementAnswered,
    PlacementAsked,
    PlacementExplanation,
    RouterEvent,
)
from cowslipshelf_core.internal.routing.settings import RouterConfig

STEP = "placement"
RETRY_AFTER_SECONDS = 1.0


@dataclass
class Router:
    """Choose the upstream with the fewest running attempts."""

    config: RouterConfig
    configuration: FleetConfiguration = field(default_factory=FleetConfiguration)
    upstreams: dict[UpstreamId, UpstreamAvailable] = field(default_factory=dict)

    @classmethod
    def from_config(cls, config: RouterConfig) -> "Router":
        """Build a router that knows no upstream yet."""
        return cls(config)

    def handle(
        self, event: RouterEvent, now: float, random: Random
    ) -> list[PlacementAnswered]:
        """Take in one event and return the answers that are due."""
        del now
        match event:
            case UpstreamAvailable(description=description):
                self.upstreams[description.upstream_id] = event
            case UpstreamUnavailable(upstream_id=upstream_id):
                self.upstreams.pop(upstream_id, None)
            case LoadUpdated(upstream_id=upstream_id, epoch=epoch, load=load):
                known = self.upstreams.get(upstream_id)
                if known is not None and known.epoch == epoch:
                    self.upstreams[upstream_id] = UpstreamAvailable(
                        known.description, epoch, load
                    )
            case ConfigurationApplied(configuration=configuration):
                self.configuration = configuration
            case PlacementAsked():
                return [self.place(event, random)]
            case _:
                pass
        return []

    def place(self, asked: PlacementAsked, random: Random) -> PlacementAnswered:
        """Answer with the upstream that runs the fewest attempts."""
        facts = asked.facts
        candidates = [
            upstream
            for upstream_id, upstream in self.upstreams.items()
            if upstream.description.service == facts.service
            and upstream_id not in asked.excluded
            and upstream_id not in self.configuration.draining
        ]
        if not candidates:
            refusal = Refusal(
                RefusalCode.NOT_RUN,
                RefusalReason.NO_UPSTREAM,
                STEP,
                retry_after_seconds=RETRY_AFTER_SECONDS,
            )
            return PlacementAnswered(
                asked.ask_id,
                refusal,
                PlacementExplanation(
                    facts.request_id, facts.attempt_id, None, (), 0.0, "no upstream"
                ),
            )
        chosen = min(candidates, key=lambda u: (u.load.running, random.random()))
        description = chosen.description
        return PlacementAnswered(
            asked.ask_id,
            ChosenUpstream(
                facts.attempt_id,
                description.upstream_id,
                chosen.epoch,
                description.attempts_address,
                facts.prompt_tokens,
            ),
            PlacementExplanation(
                facts.request_id,
                facts.attempt_id,
                description.upstream_id,
                (),
                0.0,
                "fewest running attempts",
            ),
        )
