"""Define the settings of the router."""

from enum import Enum
from typing import NamedTuple

from cowslipshelf_core.identifiers import DataCentre


class PromptClass(Enum):
    """Classify requests by prompt length, shortest first."""

    SHORT = 0
    MEDIUM = 1
    LONG = 2


class ClassLimits(NamedTuple):
    """Limit how long requests of one class may wait, in predicted seconds."""

    max_upstream_wait_seconds: float
    """An upstream with more work than this ahead of the request is not chosen.

    The request then waits in the queue of the entry.
    """
    max_queued_seconds: float
    """Limit of the predicted time to drain the queue of this class."""


class CostConfig(NamedTuple):
    """Configure the cost model, with defaults for what an upstream does not report."""

    prefill_seconds_per_token: float = 25e-6
    prefill_seconds_per_token_squared: float = 3e-11
    decode_seconds_per_token: float = 0.02
    chunk_tokens: int = 2_048
    """Prompt tokens that an engine prefills before it checks priorities again."""
    cached_prefix_tokens: int = 512
    """Tokens that a hot prefix is assumed to save; low, as it is only a hint."""
    expected_output_tokens: float = 512.0
    """Output length assumed until a service has completed an answer."""
    plain_call_seconds: float = 0.02
    """Time that each running call at a plain service is assumed to add."""
    decode_delay_weight: float = 0.02
    """Weight of a second of delay between tokens relative to one before the first."""
    report_lag_seconds: float = 0.25
    """Maximum age of a load report when it arrives."""


class OutlierConfig(NamedTuple):
    """Configure outlier detection and the ejection of slow upstreams."""

    slow_ratio: float = 4.0
    """An upstream is ejected above this multiple of the median slowness of its peers.

    Slowness is the observed time to the first token, divided by the predicted one.
    """
    long_prompt_slow_ratio: float = 2.5
    """The same for its last answer alone, above which long prompts avoid it."""
    max_ejected_share: float = 0.2
    ejection_seconds: float = 20.0
    """Doubles each time the same upstream is ejected again."""
    max_ejection_seconds: float = 320.0
    slow_start_seconds: float = 10.0
    min_slow_start_share: float = 0.1
    """Share of its speed that a new upstream is assumed to have at first."""


class LongPromptPoolConfig(NamedTuple):
    """Configure the pool of upstreams that prefer long prompts."""

    headroom: float = 1.3
    """Upstreams in the pool for each upstream that long prompts keep busy."""
    averaging_seconds: float = 60.0
    """Time constant over which demand is averaged."""
    max_share: float = 0.5
    min_upstreams: int = 4
    """A smaller group has no pool for long prompts."""
    starvation_seconds: float = 20.0
    """Time after which a waiting long prompt has the pool to itself.

    It is divided by the value of the request.
    """
    short_spillover_seconds: float = 0.05
    """Cost added where a short prompt uses an upstream of the pool."""
    medium_spillover_share: float = 0.5
    """The same for a medium prompt, per second of its prefill."""
    long_spillover_share: float = 0.25
    """Cost added where a long prompt uses another one, per second of its prefill."""


class SheddingConfig(NamedTuple):
    """Configure load shedding; thresholds are request value per engine second."""

    high_pressure: float = 0.5
    """Fill of the fullest queue above which the threshold rises; 1 is its limit."""
    low_pressure: float = 0.25
    """Fill below which the threshold falls."""
    rise_per_second: float = 0.2
    fall_per_second: float = 0.1
    min_threshold: float = 0.04
    max_threshold: float = 2.0
    """Requests of a higher value are limited only by the length of the queues."""
    averaging_seconds: float = 30.0
    min_tracked_seconds: float = 0.001


class RouterConfig(NamedTuple):
    """Configure the router; times in seconds, sizes in tokens."""

    data_centre: DataCentre = DataCentre("")
    other_data_centre_seconds: float = 0.01
    """Cost added to a placement in another data centre."""
    sampled_upstreams: int = 4
    """Upstreams compared for each placement, drawn from each pool."""
    short_prompt_tokens: int = 8_000
    long_prompt_tokens: int = 100_000
    """Longer prompts are long; those above `short_prompt_tokens` are medium."""
    limits_short: ClassLimits = ClassLimits(0.5, 4.0)
    limits_medium: ClassLimits = ClassLimits(1.5, 10.0)
    limits_long: ClassLimits = ClassLimits(10.0, 40.0)
    """The wait limits grow with the class, so that no class starves a longer one."""
    max_prefixes: int = 4_096
    """Limit of the prompt prefixes whose last upstream is remembered."""
    short_prompt_memory_share: float = 0.08
    """Share of an upstream's memory that medium prompts leave free for short ones."""
    slack_per_prefill_second: float = 4.0
    """Slack in a request's priority for each second of its own prefill."""
    min_slack_seconds: float = 0.1
    max_slack_seconds: float = 40.0
    """A request that has waited this long is not overtaken by any later one."""
    heads_tried: int = 3
    """Customers whose oldest queued request is tried per dispatch; limits the work."""
    min_retry_after_seconds: float = 1.0
    expire_after_deadline_seconds: float = 30.0
    """Time after its deadline at which an attempt with no reported end is dropped."""
    cost: CostConfig = CostConfig()
    outliers: OutlierConfig = OutlierConfig()
    long_prompt_pool: LongPromptPoolConfig = LongPromptPoolConfig()
    shedding: SheddingConfig = SheddingConfig()

    def class_of(self, prompt_tokens: int) -> PromptClass:
        """Return the class of a prompt of this length."""
        if prompt_tokens > self.long_prompt_tokens:
            return PromptClass.LONG
        if prompt_tokens > self.short_prompt_tokens:
            return PromptClass.MEDIUM
        return PromptClass.SHORT

    def limits_of(self, prompt_class: PromptClass) -> ClassLimits:
        """Return the limits of a class."""
        match prompt_class:
            case PromptClass.SHORT:
                return self.limits_short
            case PromptClass.MEDIUM:
                return self.limits_medium
            case PromptClass.LONG:
                return self.limits_long
