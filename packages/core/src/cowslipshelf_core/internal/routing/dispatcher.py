"""Dispatch new and queued requests to upstreams that have capacity now."""

from collections.abc import Callable
from dataclasses import dataclass, replace
from random import Random

from cowslipshelf_core.chosen_upstream import ChosenUpstream
from cowslipshelf_core.errors import Refusal, RefusalReason
from cowslipshelf_core.identifiers import UpstreamId
from cowslipshelf_core.internal.routing.attempts import AttemptTracker
from cowslipshelf_core.internal.routing.cost import predict
from cowslipshelf_core.internal.routing.events import (
    ConsideredUpstream,
    PlacementAnswered,
    PlacementAsked,
    PlacementExplanation,
)
from cowslipshelf_core.internal.routing.fair_queue import PendingRequest
from cowslipshelf_core.internal.routing.fleet import (
    Fleet,
    Group,
    GroupKey,
    group_keys_of,
)
from cowslipshelf_core.internal.routing.placement import (
    Candidate,
    choose,
    priority_of,
    sample,
)
from cowslipshelf_core.internal.routing.recent_prefixes import RecentPrefixes
from cowslipshelf_core.internal.routing.refusals import not_run
from cowslipshelf_core.internal.routing.request_queues import (
    QueueKey,
    RequestQueues,
    queue_key,
)
from cowslipshelf_core.internal.routing.settings import PromptClass, RouterConfig
from cowslipshelf_core.internal.routing.spread_planning import plan_spread
from cowslipshelf_core.internal.routing.upstream_view import (
    PlacedAttempt,
    UpstreamView,
)

SampledUpstreams = list[tuple[UpstreamView, bool]]
"""Upstreams to compare, each with whether it is in the pool for long prompts."""


@dataclass(slots=True)
class Dispatcher:
    """Place requests; queued ones are dispatched in fair-queueing order."""

    config: RouterConfig
    fleet: Fleet
    tracker: AttemptTracker
    queues: RequestQueues
    prefixes: RecentPrefixes

    def dispatch_to_upstream(
        self, upstream_id: UpstreamId, now: float
    ) -> list[PlacementAnswered]:
        """Dispatch queued requests to one upstream that may have capacity now."""
        view = self.fleet.views.get(upstream_id)
        if view is None or not self.queues.requests:
            return []
        answers = []
        for key in group_keys_of(view.description):
            group = self.fleet.groups[key]
            if view not in group.members:
                continue
            sampled = [(view, view in group.long_prompt_pool)]
            for queue in self.queues.nonempty_queues(key):
                answers += self.dispatch_queue(
                    queue, now, lambda _, sampled=sampled: sampled
                )
        return answers

    def sample_upstreams(
        self, request: PendingRequest, group: Group, random: Random
    ) -> SampledUpstreams:
        """Sample upstreams, and add the last one that received the same prefix."""
        sampled = sample(self.config, group, random)
        last = self.prefixes.last_upstream(request.profile.facts.prefix_hash)
        view = self.fleet.views.get(last) if last is not None else None
        if view is None or any(view is other for other, _ in sampled):
            return sampled
        for takes_long, members in (
            (True, group.long_prompt_pool),
            (False, group.general_pool),
        ):
            if any(view is member for member in members):
                sampled.append((view, takes_long))
        return sampled

    def dispatch_group(
        self, key: GroupKey, group: Group, now: float, random: Random
    ) -> list[PlacementAnswered]:
        """Dispatch queued requests to any upstream of a group."""
        answers = []
        for queue in self.queues.nonempty_queues(key):
            answers += self.dispatch_queue(
                queue,
                now,
                lambda request: self.sample_upstreams(request, group, random),
            )
        return answers

    def dispatch_queue(
        self,
        key: QueueKey,
        now: float,
        sample_upstreams: Callable[[PendingRequest], SampledUpstreams],
    ) -> list[PlacementAnswered]:
        """Place requests from the heads of a queue until none can be placed."""
        queue = self.queues.by_key[key]
        answers = []
        placed_one = True
        while placed_one:
            placed_one = False
            for request in queue.heads(self.config.heads_tried):
                placed = self.try_place(request, sample_upstreams(request), now)
                if placed is not None:
                    self.queues.remove(request, served=True)
                    answers.append(placed)
                    placed_one = True
                    break
        return answers

    def try_place(
        self, request: PendingRequest, sampled: SampledUpstreams, now: float
    ) -> PlacementAnswered | None:
        """Place a request on the best sampled upstream; None if none is eligible."""
        is_long = request.profile.prompt_class is PromptClass.LONG
        if not is_long and self.queues.has_starving_long_prompt(
            queue_key(request).group, now
        ):
            sampled = [
                (view, takes_long) for view, takes_long in sampled if not takes_long
            ]
        left = request.deadline_at - now
        choice = choose(
            self.config, sampled, request.profile, request.asked.excluded, left, now
        )
        if choice.chosen is None:
            return None
        queued = now - request.asked_at
        upstream_id = choice.chosen.view.description.upstream_id
        self.prefixes.record(request.profile.facts.prefix_hash, upstream_id)
        self.tracker.place(self.build_attempt(request, choice.chosen, now))
        return self.answer_chosen(request, choice.chosen, choice.considered, queued)

    def place_spread(
        self, request: PendingRequest, group: Group, now: float
    ) -> PlacementAnswered:
        """Place a request that no single upstream can hold on several at once.

        It waits for memory at the sidecars, in the order of upstream ids, and not in
        a queue here: an entry can't see when several upstreams have memory free at
        the same time.
        """
        spread = plan_spread(group, request.profile, request.asked.excluded)
        if spread is None:
            detail = "the upstreams not tried yet can't hold the prompt together"
            refusal = not_run(RefusalReason.NO_UPSTREAM, detail)
            return answer_refusal(request.asked, refusal, now - request.asked_at)
        prediction = predict(self.config, spread.last, request.profile, True, now)
        candidate = Candidate(spread.last, prediction, True)
        attempt = self.build_attempt(request, candidate, now)
        attempt.memory_tokens -= spread.from_token
        attempt.is_spread = True
        self.tracker.place(attempt)
        answered = self.answer_chosen(request, candidate, (), now - request.asked_at)
        return replace(
            answered,
            answer=answered.answer._replace(
                helpers=spread.helpers, from_token=spread.from_token
            ),
            explanation=answered.explanation._replace(reason=spread.reason),
        )

    def build_attempt(
        self, request: PendingRequest, chosen: Candidate, now: float
    ) -> PlacedAttempt:
        """Build the record of a placed attempt and its prediction."""
        facts = request.profile.facts
        prediction = chosen.prediction
        slowness = chosen.view.slowness.factor
        return PlacedAttempt(
            facts.attempt_id,
            chosen.view.description.upstream_id,
            facts.customer,
            request.profile.prompt_class,
            placed_at=now,
            expires_at=request.deadline_at + self.config.expire_after_deadline_seconds,
            prefill_seconds=prediction.prefill_seconds / slowness,
            prompt_tokens=facts.prompt_tokens,
            memory_tokens=request.profile.memory_tokens,
            max_output_tokens=facts.max_output_tokens,
            predicted_first_token_seconds=prediction.first_token_seconds / slowness,
        )

    def answer_chosen(
        self,
        request: PendingRequest,
        chosen: Candidate,
        considered: tuple[ConsideredUpstream, ...],
        queued: float,
    ) -> PlacementAnswered:
        """Build the answer with the chosen upstream and its explanation."""
        facts = request.profile.facts
        view = chosen.view
        priority = priority_of(
            self.config,
            request.profile,
            chosen.prediction,
            queued,
            facts.deadline_seconds,
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
            request.asked.placement_id,
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
    """Build the answer with a refusal and its explanation."""
    facts = asked.facts
    explanation = PlacementExplanation(
        facts.request_id, facts.attempt_id, None, (), queued, refusal.detail
    )
    return PlacementAnswered(asked.placement_id, refusal, explanation)
