"""Predict the cost of a request on an upstream, to itself and to other requests."""

from typing import NamedTuple

from cowslipshelf_core.internal.routing.events import PlacementFacts, Prediction
from cowslipshelf_core.internal.routing.settings import PromptClass, RouterConfig
from cowslipshelf_core.internal.routing.upstream_view import UpstreamView


class Backlog(NamedTuple):
    """Hold the estimated prefill work waiting at an upstream."""

    seconds: float
    waiting: int
    """Number of attempts without a first token."""


class RequestProfile(NamedTuple):
    """Describe what a request needs, whichever upstream takes it."""

    facts: PlacementFacts
    prompt_class: PromptClass
    long_prompt_weight: float
    expected_output_tokens: float

    @property
    def memory_tokens(self) -> int:
        """Return the tokens of engine memory to reserve."""
        return self.facts.prompt_tokens + self.facts.max_output_tokens

    @property
    def value(self) -> float:
        """Return the value of answering in time; 1 for all but long prompts."""
        if self.prompt_class is PromptClass.LONG:
            return self.long_prompt_weight
        return 1.0


def prefill_seconds(
    config: RouterConfig, view: UpstreamView, facts: PlacementFacts
) -> float:
    """Predict the prefill time of a prompt on an idle upstream, in seconds."""
    if view.description.kind == "plain":
        return config.cost.plain_call_seconds
    load = view.load
    linear = load.prefill_seconds_per_token or config.cost.prefill_seconds_per_token
    squared = (
        load.prefill_seconds_per_token_squared
        if load.prefill_seconds_per_token
        else config.cost.prefill_seconds_per_token_squared
    )
    cached = 0
    if facts.prefix_hash and facts.prefix_hash in load.hot_prefixes:
        cached = min(config.cost.cached_prefix_tokens, facts.prompt_tokens // 2)
    tokens = facts.prompt_tokens
    return linear * (tokens - cached) + squared * (tokens**2 - cached**2)


def decode_seconds(
    config: RouterConfig, view: UpstreamView, output_tokens: float
) -> float:
    """Predict the time from first to last token, in seconds."""
    if view.description.kind == "plain":
        return 0.0
    per_token = (
        view.load.decode_seconds_per_token or config.cost.decode_seconds_per_token
    )
    return per_token * output_tokens


def backlog(config: RouterConfig, view: UpstreamView, now: float) -> Backlog:
    """Estimate the waiting prefill work from the last report and our later attempts."""
    load = view.load
    linear = load.prefill_seconds_per_token or config.cost.prefill_seconds_per_token
    reported = load.prefill_tokens * linear
    since_report = now - view.load_received_at
    waiting = max(0, load.running - load.decoding)
    seconds = max(0.0, reported - since_report)
    if seconds == 0.0:
        waiting = 0
    for attempt in view.unreported(config.cost):
        if attempt.first_token_at is None:
            seconds += max(0.0, attempt.prefill_seconds - (now - attempt.placed_at))
            waiting += 1
    return Backlog(seconds, waiting)


def predict(
    config: RouterConfig,
    view: UpstreamView,
    profile: RequestProfile,
    takes_long_prompts: bool,
    now: float,
) -> Prediction:
    """Predict the times and cost of placing a request on an upstream now."""
    own = prefill_seconds(config, view, profile.facts)
    if view.description.kind == "plain":
        running = view.load.running + len(view.unreported(config.cost))
        ahead = running * own
        behind = 0.0
    else:
        ahead, behind = split_backlog(config, backlog(config, view, now), own)
    slowness = view.slowness.factor
    wait = ahead * slowness
    prefill = own * slowness
    decode = decode_seconds(config, view, profile.expected_output_tokens) * max(
        1.0, slowness
    )
    delayed = behind + config.cost.decode_delay_weight * view.load.decoding
    delay_to_others = prefill * delayed
    cost = profile.value * (wait + prefill) + delay_to_others
    cost += spillover_cost(config, profile, takes_long_prompts, prefill)
    if view.description.data_centre != config.data_centre:
        cost += config.other_data_centre_seconds
    cost /= view.slow_start_share(config.outliers, now)
    return Prediction(wait, prefill, decode, delay_to_others, cost)


def split_backlog(
    config: RouterConfig, work: Backlog, own_seconds: float
) -> tuple[float, float]:
    """Estimate the seconds ahead of a request and the number of attempts behind it.

    Reports do not list the waiting attempts. Priorities let a request overtake
    attempts with much more prefill than its own, except for the chunk that is
    running. So the work ahead is at most its own prefill time per waiting attempt,
    and at most the whole backlog.
    """
    if work.waiting == 0 or work.seconds <= 0.0:
        return 0.0, 0.0
    chunk = config.cost.chunk_tokens * config.cost.prefill_seconds_per_token
    ahead = min(work.seconds, work.waiting * own_seconds + chunk / 2)
    behind = work.waiting * (1.0 - ahead / work.seconds)
    return ahead, behind


def spillover_cost(
    config: RouterConfig,
    profile: RequestProfile,
    takes_long_prompts: bool,
    prefill: float,
) -> float:
    """Return the cost of using an upstream from the pool of another class."""
    is_long = profile.prompt_class is PromptClass.LONG
    if is_long == takes_long_prompts:
        return 0.0
    match profile.prompt_class:
        case PromptClass.LONG:
            return config.long_prompt_pool.long_spillover_share * prefill
        case PromptClass.MEDIUM:
            return config.long_prompt_pool.medium_spillover_share * prefill
        case PromptClass.SHORT:
            return config.long_prompt_pool.short_spillover_seconds
