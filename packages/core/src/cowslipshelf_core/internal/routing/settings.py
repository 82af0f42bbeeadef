"""Define the settings of the router."""

from enum import Enum
from typing import NamedTuple

from cowslipshelf_core.identifiers import DataCentre


class PromptClass(Enum):
    """Sort requests by prompt length, shortest first."""

    SHORT = 0
    MEDIUM = 1
    LONG = 2


class ClassLimits(NamedTuple):
    """Bound what one class of requests may wait for, in predicted seconds."""

    max_upstream_wait_seconds: float
    """A request goes to no upstream with more than this ahead of it; it queues here."""
    max_queued_seconds: float
    """The queue of this class is never predicted to take longer to drain."""


class CostConfig(NamedTuple):
    """Set what the cost model assumes where an upstream does not say."""

    prefill_seconds_per_token: float = 25e-6
    prefill_seconds_per_token_squared: float = 3e-11
    decode_seconds_per_token: float = 0.02
    chunk_tokens: int = 2_048
    """Prompt tokens that an engine prefills before it looks at priorities again."""
    cached_prefix_tokens: int = 512
    """Tokens that a hot prefix is taken to save; a hint, so small."""
    expected_output_tokens: float = 512.0
    """Output length assumed before any answer was seen."""
    plain_call_seconds: float = 0.02
    """Time that each running call at a plain service is taken to add."""
    decode_delay_weight: float = 0.02
    """Weight of a second lost between tokens against one lost before the first."""
    report_lag_seconds: float = 0.25
    """How old a load report may be when it arrives."""


class OutlierConfig(NamedTuple):
    """Set when an upstream counts as slower than its peers, and what follows."""

    slow_ratio: float = 4.0
    """Ratio of its observed over predicted first-token time to the median of all."""
    long_prompt_slow_ratio: float = 2.5
    """The same for the last answer alone, above which long prompts keep away."""
    max_ejected_share: float = 0.2
    ejection_seconds: float = 20.0
    """Doubles each time that the same upstream is set aside again."""
    max_ejection_seconds: float = 320.0
    slow_start_seconds: float = 10.0
    min_slow_start_share: float = 0.1
    """Share of its speed that a new upstream is credited with at first."""


class LongPromptPoolConfig(NamedTuple):
    """Set how many upstreams take long prompts first."""

    headroom: float = 1.3
    """Upstreams set apart for each upstream's worth of long work."""
    averaging_seconds: float = 60.0
    """Time over which demand is averaged."""
    max_share: float = 0.5
    min_upstreams: int = 4
    """A smaller fleet sets none apart."""
    starvation_seconds: float = 20.0
    """Time after which a waiting long prompt has the set to itself; for one that is
    worth more, so much shorter."""
    short_spillover_seconds: float = 0.05
    """Harm added where a short prompt takes an upstream set apart."""
    medium_spillover_share: float = 0.5
    """The same for a medium prompt, per second of its prefill."""
    long_spillover_share: float = 0.25
    """Harm added where a long prompt takes another one, per second of its prefill."""


class SheddingConfig(NamedTuple):
    """Set how admission follows overload; worth is for each engine second."""

    high_pressure: float = 0.5
    """Length of the fullest queue against its bound above which more is refused."""
    low_pressure: float = 0.25
    rise_per_second: float = 0.2
    fall_per_second: float = 0.1
    min_threshold: float = 0.04
    max_threshold: float = 2.0
    """Work that is worth more than this is left to the bounds of the queues."""
    averaging_seconds: float = 30.0
    min_tracked_seconds: float = 0.001


class RouterConfig(NamedTuple):
    """Be everything that tunes the router; times in seconds, sizes in tokens."""

    data_centre: DataCentre = DataCentre("")
    other_data_centre_seconds: float = 0.01
    """Harm that a placement in another data centre is taken to do."""
    sampled_upstreams: int = 4
    """Upstreams looked at for each placement, within each set."""
    short_prompt_tokens: int = 8_000
    long_prompt_tokens: int = 100_000
    """Prompts above this are long, those above the former are medium."""
    limits_short: ClassLimits = ClassLimits(0.5, 4.0)
    limits_medium: ClassLimits = ClassLimits(1.5, 10.0)
    limits_long: ClassLimits = ClassLimits(10.0, 40.0)
    """Each wait bound is above the former, so that no class shuts out a longer one."""
    max_prefixes: int = 4_096
    """Prompt prefixes whose last upstream is remembered."""
    short_prompt_memory_share: float = 0.08
    """Memory of an upstream that medium prompts leave free for short ones."""
    slack_per_prefill_second: float = 4.0
    """Slack that priority gives a request for each second of its own prefill."""
    min_slack_seconds: float = 0.1
    max_slack_seconds: float = 40.0
    """After this long no later arrival passes, whatever its length."""
    heads_tried: int = 3
    """Customers whose first waiting request is tried each time; bounds the work."""
    min_retry_after_seconds: float = 1.0
    expire_after_deadline_seconds: float = 30.0
    """An attempt whose end was never reported stops counting this long after."""
    cost: CostConfig = CostConfig()
    outliers: OutlierConfig = OutlierConfig()
    long_prompt_pool: LongPromptPoolConfig = LongPromptPoolConfig()
    shedding: SheddingConfig = SheddingConfig()

    def class_of(self, prompt_tokens: int) -> PromptClass:
        """Return the class that a prompt of this length is in."""
        if prompt_tokens > self.long_prompt_tokens:
            return PromptClass.LONG
        if prompt_tokens > self.short_prompt_tokens:
            return PromptClass.MEDIUM
        return PromptClass.SHORT

    def limits_of(self, prompt_class: PromptClass) -> ClassLimits:
        """Return the bounds of a class."""
        match prompt_class:
            case PromptClass.SHORT:
                return self.limits_short
            case PromptClass.MEDIUM:
                return self.limits_medium
            case PromptClass.LONG:
                return self.limits_long
