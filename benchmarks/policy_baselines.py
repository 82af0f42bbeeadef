"""Implement common load-balancing policies, to compare the router with."""

from abc import ABC, abstractmethod
from dataclasses import dataclass, field
from random import Random

from cowslipshelf_core.errors import Refusal, RefusalCode, RefusalReason
from cowslipshelf_core.identifiers import AttemptId, UpstreamId
from cowslipshelf_core.routing import (
    AttemptEnded,
    ChosenUpstream,
    HandOverRefused,
    LoadUpdated,
    PlacementAnswered,
    PlacementAsked,
    PlacementExplanation,
    RouterEvent,
    UpstreamAvailable,
    UpstreamUnavailable,
)


@dataclass
class Baseline(ABC):
    """Track the upstreams and the attempts that this entry has outstanding at each."""

    upstreams: dict[UpstreamId, UpstreamAvailable] = field(default_factory=dict)
    outstanding: dict[AttemptId, UpstreamId] = field(default_factory=dict)
    turn: int = 0

    @abstractmethod
    def pick(
        self, candidates: list[UpstreamAvailable], random: Random
    ) -> UpstreamAvailable:
        """Choose one of the candidates."""

    def handle(
        self, event: RouterEvent, now: float, random: Random
    ) -> list[PlacementAnswered]:
        """Handle one event and return the answers to placement requests."""
        del now
        match event:
            case UpstreamAvailable(description=description):
                self.upstreams[description.upstream_id] = event
            case UpstreamUnavailable(upstream_id=upstream_id):
                self.upstreams.pop(upstream_id, None)
            case LoadUpdated(upstream_id=upstream_id, epoch=epoch, load=load):
                if upstream_id in self.upstreams:
                    description = self.upstreams[upstream_id].description
                    self.upstreams[upstream_id] = UpstreamAvailable(
                        description, epoch, load
                    )
            case HandOverRefused(attempt_id=attempt_id):
                self.outstanding.pop(attempt_id, None)
            case AttemptEnded(attempt_id=attempt_id):
                self.outstanding.pop(attempt_id, None)
            case PlacementAsked():
                return [self.place(event, random)]
        return []

    def place(self, asked: PlacementAsked, random: Random) -> PlacementAnswered:
        """Answer with the chosen upstream, or refuse where all were tried."""
        facts = asked.facts
        candidates = [u for i, u in self.upstreams.items() if i not in asked.excluded]
        explanation = PlacementExplanation(
            facts.request_id, facts.attempt_id, None, (), 0.0, ""
        )
        if not candidates:
            busy = Refusal(RefusalCode.NOT_RUN, RefusalReason.BUSY, "placement")
            return PlacementAnswered(asked.placement_id, busy, explanation)
        chosen = self.pick(candidates, random)
        description = chosen.description
        self.outstanding[facts.attempt_id] = description.upstream_id
        answer = ChosenUpstream(
            facts.attempt_id,
            description.upstream_id,
            chosen.epoch,
            description.attempts_address,
            0,
        )
        return PlacementAnswered(asked.placement_id, answer, explanation)


class RoundRobin(Baseline):
    """Choose the upstreams in turn."""

    def pick(
        self, candidates: list[UpstreamAvailable], random: Random
    ) -> UpstreamAvailable:
        """Choose the next in turn."""
        del random
        self.turn += 1
        return candidates[self.turn % len(candidates)]


class LeastOutstanding(Baseline):
    """Choose the upstream with the fewest open attempts of this entry."""

    def pick(
        self, candidates: list[UpstreamAvailable], random: Random
    ) -> UpstreamAvailable:
        """Choose the one with the fewest outstanding; ties are broken at random."""
        counts = dict.fromkeys(self.upstreams, 0)
        for upstream_id in self.outstanding.values():
            counts[upstream_id] = counts.get(upstream_id, 0) + 1
        return min(
            candidates,
            key=lambda u: (counts[u.description.upstream_id], random.random()),
        )


class LeastReported(Baseline):
    """Choose the upstream that reports the fewest running attempts.

    The first version of the router did this.
    """

    def pick(
        self, candidates: list[UpstreamAvailable], random: Random
    ) -> UpstreamAvailable:
        """Choose the one with the fewest running; ties are broken at random."""
        return min(candidates, key=lambda u: (u.load.running, random.random()))
