"""Define the messages between gateways about the limits that upstreams name."""

from typing import NamedTuple

from cowslipshelf_core.identifiers import InstanceId, UpstreamId
from cowslipshelf_core.messages import Message


class LimitState(NamedTuple):
    """Hold what is known of the limit of one start of an upstream."""

    upstream_id: UpstreamId
    revision: int
    """Number of changes; the highest revision is in force."""
    requests_per_second: float | None
    """From all gateways together; None after the limit has ended."""

    def is_newer_than(self, other: "LimitState | None") -> bool:
        """Return whether this state replaces another one.

        Of two changes that were made independently, the lower limit is in force.
        """
        if other is None or self.revision != other.revision:
            return other is None or self.revision > other.revision
        if other.requests_per_second is None:
            return self.requests_per_second is not None
        return (
            self.requests_per_second is not None
            and self.requests_per_second < other.requests_per_second
        )


class GatewayHeard(NamedTuple):
    """Hold how long ago a gateway was alive."""

    instance: InstanceId
    age_seconds: float


class LimitsTold(Message, frozen=True):
    """Report the limits that a gateway knows, and those that have ended."""

    limits: tuple[LimitState, ...]
    gateways: tuple[GatewayHeard, ...] = ()
    """Other gateways that may send to upstreams, for one that has just started."""


class AskPermits(Message, frozen=True):
    """Ask the issuer of an upstream for permits to send requests to it."""

    upstream_id: UpstreamId
    number: int
    """Chosen by the sender, and never used again."""
    count: int
    waiting: bool
    """Whether a request waits for the permits, so that the sender asks again."""


class PermitsBooked(Message, frozen=True):
    """Answer with the times at which requests may be sent, or that there are none."""

    upstream_id: UpstreamId
    number: int
    count: int
    after_seconds: float
    """Time from the question to the first permit, or to the next free one if the count
    is zero."""
    interval_seconds: float
    """Time between two permits."""
    waiting_gateways: int = 1
    """Gateways with waiting requests, the one that asked included. They get permits in
    turn."""


class PermitsReturned(Message, frozen=True):
    """Return permits that were not used."""

    upstream_id: UpstreamId
    number: int
    count: int


class LimitLifted(Message, frozen=True):
    """Report that an answer under a permit named a higher limit, or none."""

    upstream_id: UpstreamId
    number: int
    requests_per_second: float | None


LimitMessage = LimitsTold | AskPermits | PermitsBooked | PermitsReturned | LimitLifted
