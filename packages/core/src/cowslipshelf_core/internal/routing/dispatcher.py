"""Give requests, new or waiting, to upstreams that may take them now."""

from collections.abc import Callable
from dataclasses import dataclass, replace
from random import Random

from cowslipshelf_core.chosen_upstream import ChosenUpstream
from cowslipshelf_core.errors import Refusal, RefusalReason
from cowslipshelf_core.identifiers import UpstreamId
from cowslipshelf_core.internal.routing.attempts import AttemptLedger
from cowslipshelf_core.internal.routing.cost import predict
from cowslipshelf_core.internal.routing.events import (
    ConsideredUpstream,
    PlacementAnswered,
    PlacementAsked,
    PlacementExplanation,
)
from cowslipshelf_core.internal.routing.fair_queue import WaitingAsk
from cowslipshelf_core.internal.routing.fleet import Fleet, Group, GroupKey, keys_of
from cowslipshelf_core.internal.routing.placement import (
    Candidate,
    choose,
    priority_of,
    sample,
)
from cowslipshelf_core.internal.routing.prefix_memory import PrefixMemory
from cowslipshelf_core.internal.routing.refusals import not_run
from cowslipshelf_core.internal.routing.settings import PromptClass, RouterConfig
from cowslipshelf_core.internal.routing.spreading import plan
from cowslipshelf_core.internal.routing.upstream_view import (
    PlacedAttempt,
    UpstreamView,
)
from cowslipshelf_core.internal.routing.waiting_room import (
    QueueKey,
    WaitingRoom,
    queue_key,
)

Drawn = list[tuple[UpstreamView, bool]]
"""Upstreams to look at, each with whether it takes long prompts first."""


@dataclass(slots=True)
class Dispatcher:
    """Place requests, and take those that wait in the order of shares."""

    config: RouterConfig
    fleet: Fleet
    ledger: AttemptLedger
    room: WaitingRoom
    prefixes: PrefixMemory

    def serve_upstream(
        self, upstream_id: UpstreamId, now: float
    ) -> list[PlacementAnswered]:
        """Give work that waits to an upstream that may have room now."""
        view = self.fleet.views.get(upstream_id)
        if view is None or not self.room.asks:
            return []
        answers = []
        for key in keys_of(view.description):
            group = self.fleet.groups[key]
            if view not in group.members:
                continue
            drawn = [(view, view in group.long_set)]
            for queue in self.room.waiting_for(key):
                answers += self.serve_queue(queue, now, lambda _, drawn=drawn: drawn)
        return answers

    def draw(self, ask: WaitingAsk, group: Group, random: Random) -> Drawn:
        """Draw upstreams to look at, with the one that had the same prefix last."""
        drawn = sample(self.config, group, random)
        last = self.prefixes.last(ask.cost.facts.prefix_hash)
        view = self.fleet.views.get(last) if last is not None else None
        if view is None or any(view is other for other, _ in drawn):
            return drawn
        for takes_long, members in ((True, group.long_set), (False, group.others)):
            if any(view is member for member in members):
                drawn.append((view, takes_long))
        return drawn

    def serve_group(
        self, key: GroupKey, group: Group, now: float, random: Random
    ) -> list[PlacementAnswered]:
        """Give work that waits to any upstream of a group."""
        answers = []
        for queue in self.room.waiting_for(key):
            answers += self.serve_queue(
                queue, now, lambda ask: self.draw(ask, group, random)
            )
        return answers

    def serve_queue(
        self, key: QueueKey, now: float, draw: Callable[[WaitingAsk], Drawn]
    ) -> list[PlacementAnswered]:
        """Place requests from the heads of a queue until none can be placed."""
        queue = self.room.queues[key]
        answers = []
        placed_one = True
        while placed_one:
            placed_one = False
            for ask in queue.heads(self.config.heads_tried):
                placed = self.try_place(ask, draw(ask), now)
                if placed is not None:
                    self.room.remove(ask, served=True)
                    answers.append(placed)
                    placed_one = True
                    break
        return answers

    def try_place(
        self, ask: WaitingAsk, drawn: Drawn, now: float
    ) -> PlacementAnswered | None:
        """Place a request on the best of the upstreams drawn, if any may take it."""
        is_long = ask.cost.prompt_class is PromptClass.LONG
        if not is_long and self.room.long_has_waited(queue_key(ask).group, now):
            drawn = [(view, takes_long) for view, takes_long in drawn if not takes_long]
        left = ask.deadline_at - now
        choice = choose(self.config, drawn, ask.cost, ask.asked.excluded, left, now)
        if choice.chosen is None:
            return None
        queued = now - ask.asked_at
        upstream_id = choice.chosen.view.description.upstream_id
        self.prefixes.note(ask.cost.facts.prefix_hash, upstream_id)
        self.ledger.place(self.attempt_of(ask, choice.chosen, now))
        return self.answer_chosen(ask, choice.chosen, choice.considered, queued)

    def place_spread(
        self, ask: WaitingAsk, group: Group, now: float
    ) -> PlacementAnswered:
        """Place a request that fits no upstream alone over several, at once.

        It waits for memory at the sidecars, in the order of upstream ids, and not here:
        no view of an entry tells when several upstreams have room together.
        """
        spread = plan(group, ask.cost, ask.asked.excluded)
        if spread is None:
            detail = "the upstreams not tried yet can't hold the prompt together"
            refusal = not_run(RefusalReason.NO_UPSTREAM, detail)
            return answer_refusal(ask.asked, refusal, now - ask.asked_at)
        prediction = predict(self.config, spread.last, ask.cost, True, now)
        candidate = Candidate(spread.last, prediction, True)
        attempt = self.attempt_of(ask, candidate, now)
        attempt.memory_tokens -= spread.from_token
        attempt.is_spread = True
        self.ledger.place(attempt)
        answered = self.answer_chosen(ask, candidate, (), now - ask.asked_at)
        return replace(
            answered,
            answer=answered.answer._replace(
                helpers=spread.helpers, from_token=spread.from_token
            ),
            explanation=answered.explanation._replace(reason=spread.reason),
        )

    def attempt_of(
        self, ask: WaitingAsk, chosen: Candidate, now: float
    ) -> PlacedAttempt:
        """Record what was placed and what was expected of it."""
        facts = ask.cost.facts
        prediction = chosen.prediction
        slowness = chosen.view.slowness.factor
        return PlacedAttempt(
            facts.attempt_id,
            chosen.view.description.upstream_id,
            facts.customer,
            ask.cost.prompt_class,
            placed_at=now,
            forget_at=ask.deadline_at + self.config.forgotten_after_deadline_seconds,
            prefill_seconds=prediction.prefill_seconds / slowness,
            prompt_tokens=facts.prompt_tokens,
            memory_tokens=ask.cost.memory_tokens,
            most_output_tokens=facts.most_output_tokens,
            predicted_first_token_seconds=prediction.first_token_seconds / slowness,
        )

    def answer_chosen(
        self,
        ask: WaitingAsk,
        chosen: Candidate,
        considered: tuple[ConsideredUpstream, ...],
        queued: float,
    ) -> PlacementAnswered:
        """Answer with the chosen upstream and the reasons."""
        facts = ask.cost.facts
        view = chosen.view
        priority = priority_of(
            self.config, ask.cost, chosen.prediction, queued, facts.deadline_seconds
        )
        upstream_id = view.description.upstream_id
        explanation = PlacementExplanation(
            facts.request_id,
            facts.attempt_id,
            upstream_id,
            considered,
            queued,
            f"least predicted harm of {len(considered)} looked at",
        )
        return PlacementAnswered(
            ask.asked.placement_id,
            ChosenUpstream(
                facts.attempt_id,
                upstream_id,
                view.epoch,
                view.description.attempts_address,
                priority,
                view.load.sequence,
            ),
            explanation,
        )


def answer_refusal(
    asked: PlacementAsked, refusal: Refusal, queued: float = 0.0
) -> PlacementAnswered:
    """Answer with a refusal and the reasons."""
    facts = asked.facts
    explanation = PlacementExplanation(
        facts.request_id, facts.attempt_id, None, (), queued, refusal.detail
    )
    return PlacementAnswered(asked.placement_id, refusal, explanation)
