"""Grant loads from the weight store within the fleet's rate limit."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

from cowslipshelf_core.configuration import WeightStoreLimits
from cowslipshelf_core.identifiers import GrantId, InstanceId, UpstreamId
from cowslipshelf_core.internal.control.commands import AskLoadGrant, ReturnLoadGrant
from cowslipshelf_core.internal.control.limits import MAX_GRANT_SECONDS
from cowslipshelf_core.internal.control.outcomes import (
    LoadGranted,
    LoadGrantRefused,
    LoadGrantReturned,
)

PERMANENT_REFUSAL_RETRY_SECONDS = MAX_GRANT_SECONDS
"""Retry delay for a request that can't succeed unchanged."""


class OpenGrant(NamedTuple):
    """Hold a grant that has neither been returned nor expired."""

    grant_id: GrantId
    holder: InstanceId
    upstream_id: UpstreamId
    expires_at: float
    """Unix time in seconds."""


@dataclass
class LoadGrants:
    """Store the open grants and the token bucket that limits the whole fleet.

    The bucket starts full and is refilled by the clock of the log, so that all
    replicas compute the same level and a new leader continues from it.
    """

    tokens: float | None = None
    """Tokens in the bucket at `filled_at`; None before the first refill."""
    filled_at: float = 0.0
    """Unix time in seconds."""
    grants: dict[GrantId, OpenGrant] = field(default_factory=dict)

    def request(
        self, command: AskLoadGrant, limits: WeightStoreLimits, at: float
    ) -> LoadGranted | LoadGrantRefused:
        """Grant a load, or refuse it with a retry delay."""
        self.refill(limits, at)
        self.expire(at)
        known = self.grants.get(command.grant_id)
        if known is not None and known.holder == command.holder:
            return LoadGranted(known.grant_id, known.expires_at)
        refused = self.refusal(command, limits, at)
        if refused is not None:
            return refused
        self.tokens -= command.tokens
        expires_at = at + min(command.seconds, MAX_GRANT_SECONDS)
        grant = OpenGrant(
            command.grant_id, command.holder, command.upstream_id, expires_at
        )
        self.grants[command.grant_id] = grant
        return LoadGranted(command.grant_id, expires_at)

    def refusal(
        self, command: AskLoadGrant, limits: WeightStoreLimits, at: float
    ) -> LoadGrantRefused | None:
        """Return why a grant is refused, or None if it is not."""
        if command.grant_id in self.grants:
            reason = "another instance holds this grant id"
            return LoadGrantRefused(
                command.grant_id, reason, PERMANENT_REFUSAL_RETRY_SECONDS
            )
        if not 1 <= command.tokens <= limits.burst_tokens or not command.seconds > 0:
            reason = (
                f"tokens must be from 1 to {limits.burst_tokens}, and seconds above 0"
            )
            return LoadGrantRefused(
                command.grant_id, reason, PERMANENT_REFUSAL_RETRY_SECONDS
            )
        if len(self.grants) >= limits.most_open_grants:
            soonest = min(grant.expires_at for grant in self.grants.values())
            reason = f"{len(self.grants)} loads are running"
            return LoadGrantRefused(command.grant_id, reason, max(soonest - at, 0.0))
        missing = command.tokens - self.tokens
        if missing > 0:
            reason = "the fleet's rate is used up"
            wait = missing / limits.tokens_per_second
            return LoadGrantRefused(command.grant_id, reason, wait)
        return None

    def release(self, command: ReturnLoadGrant) -> LoadGrantReturned:
        """End a grant; its tokens stay spent, because the store has served the load."""
        grant = self.grants.get(command.grant_id)
        if grant is None or grant.holder != command.holder:
            return LoadGrantReturned(command.grant_id, was_open=False)
        del self.grants[command.grant_id]
        return LoadGrantReturned(command.grant_id, was_open=True)

    def refill(self, limits: WeightStoreLimits, at: float) -> None:
        """Add the tokens for the time since the last refill."""
        burst = float(limits.burst_tokens)
        if self.tokens is None:
            self.tokens = burst
        else:
            gained = (at - self.filled_at) * limits.tokens_per_second
            self.tokens = min(burst, self.tokens + gained)
        self.filled_at = at

    def expire(self, at: float) -> None:
        """Remove expired grants, whose holders did not return them."""
        for grant in tuple(self.grants.values()):
            if grant.expires_at <= at:
                del self.grants[grant.grant_id]

    def open_grants(self) -> tuple[OpenGrant, ...]:
        """Return the open grants, oldest first."""
        return tuple(self.grants.values())

    def restore(self, grants: Iterable[OpenGrant]) -> None:
        """Load the grants of a snapshot."""
        self.grants = {grant.grant_id: grant for grant in grants}
