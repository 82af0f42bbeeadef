"""Derive the configuration of deciders from the settings of a gateway."""

from random import Random

from cowslipshelf_core.gateway import (
    ColdLimiterConfig,
    ServiceRetryBudgetConfig,
    UpstreamLimitsConfig,
)
from cowslipshelf_daemon.internal.gateway.boot_time import boot_seconds
from cowslipshelf_daemon.internal.gateway.settings import GatewaySettings

QUESTION_NUMBER_BITS = 62


def retry_budget_config(settings: GatewaySettings) -> ServiceRetryBudgetConfig:
    """Return the retry budget that the settings define."""
    return ServiceRetryBudgetConfig(
        settings.retry_budget_window_seconds,
        settings.retry_budget_ratio,
        settings.retry_budget_slack,
    )


def upstream_limits_config(settings: GatewaySettings) -> UpstreamLimitsConfig:
    """Return the identity with which a gateway asks for permits."""
    first_number = Random().getrandbits(QUESTION_NUMBER_BITS)
    seeds = frozenset(settings.seeds)
    return UpstreamLimitsConfig(settings.instance, boot_seconds(), seeds, first_number)


def cold_limiter_config(
    settings: GatewaySettings, started_at: float
) -> ColdLimiterConfig:
    """Return the limit on cold upstreams that the settings define."""
    return ColdLimiterConfig(
        settings.instance,
        started_at,
        settings.upstream_heartbeat_seconds,
        settings.cold_over,
        settings.cold_slack,
    )
