"""Choose the upstream with the lowest predicted cost for a request."""

from random import Random
from typing import NamedTuple

from cowslipshelf_core.identifiers import UpstreamId
from cowslipshelf_core.internal.routing.cost import RequestProfile, predict
from cowslipshelf_core.internal.routing.events import ConsideredUpstream, Prediction
from cowslipshelf_core.internal.routing.fleet import Group
from cowslipshelf_core.internal.routing.settings import PromptClass, RouterConfig
from cowslipshelf_core.internal.routing.upstream_view import UpstreamView

MILLISECONDS_PER_SECOND = 1_000


class Candidate(NamedTuple):
    """Hold one upstream that is considered for a request."""

    view: UpstreamView
    prediction: Prediction
    eligible: bool


class Choice(NamedTuple):
    """Hold the result of a choice; `chosen` is None if no upstream is eligible now."""

    chosen: Candidate | None
    considered: tuple[ConsideredUpstream, ...]


def sample(
    config: RouterConfig, group: Group, random: Random
) -> list[tuple[UpstreamView, bool]]:
    """Sample the upstreams to compare, from the pool for long prompts and the other.

    With a small random sample, entries that act on the same report do not all choose
    the same upstream, and the work does not grow with the number of upstreams.
    """
    sampled = []
    for takes_long, members in (
        (True, group.long_prompt_pool),
        (False, group.general_pool),
    ):
        count = min(config.sampled_upstreams, len(members))
        sampled += [(view, takes_long) for view in random.sample(members, count)]
    random.shuffle(sampled)
    return sampled


def choose(
    config: RouterConfig,
    sampled: list[tuple[UpstreamView, bool]],
    profile: RequestProfile,
    excluded: frozenset[UpstreamId],
    seconds_left: float,
    now: float,
) -> Choice:
    """Choose the eligible upstream of the sample with the lowest predicted cost."""
    limits = config.limits_of(profile.prompt_class)
    is_long = profile.prompt_class is PromptClass.LONG
    candidates = []
    considered = []
    for view, takes_long in sampled:
        if view.description.upstream_id in excluded:
            continue
        prediction = predict(config, view, profile, takes_long, now)
        fits = fits_memory(config, view, profile)
        in_time = prediction.total_seconds <= seconds_left
        short_wait = prediction.wait_seconds <= limits.max_upstream_wait_seconds
        risked = is_long and view.avoid_for_long_prompts
        eligible = fits and in_time and short_wait and not risked
        candidates.append(Candidate(view, prediction, eligible))
        considered.append(
            ConsideredUpstream(
                view.description.upstream_id, prediction, fits, takes_long
            )
        )
    able = [candidate for candidate in candidates if candidate.eligible]
    chosen = min(able, key=lambda c: c.prediction.cost, default=None)
    return Choice(chosen, tuple(considered))


def fits_memory(
    config: RouterConfig, view: UpstreamView, profile: RequestProfile
) -> bool:
    """Return whether an upstream is estimated to have enough free memory."""
    limit = view.memory_limit()
    if limit == 0:
        return True
    free = view.free_memory(view.unreported(config.cost))
    if profile.prompt_class is PromptClass.MEDIUM:
        free -= int(limit * config.short_prompt_memory_share)
    return profile.memory_tokens <= free


def priority_of(
    config: RouterConfig,
    profile: RequestProfile,
    prediction: Prediction,
    queued_seconds: float,
    deadline_seconds: float,
) -> int:
    """Return the slack of an attempt in milliseconds; lower is served first.

    Slack grows with the request's own prefill, so short requests overtake long ones.
    Once it has passed, later arrivals no longer overtake, so long ones don't starve.
    """
    slack = (
        config.min_slack_seconds
        + config.slack_per_prefill_second * prediction.prefill_seconds
    )
    slack = min(slack, config.max_slack_seconds)
    if profile.prompt_class is PromptClass.LONG:
        slack /= max(profile.long_prompt_weight, 1.0)
    left = deadline_seconds - queued_seconds - prediction.total_seconds
    slack = min(slack, left)
    return int(max(slack, 0.0) * MILLISECONDS_PER_SECOND)
