"""Decide which peer to ask for a newer configuration, and when to ask another one."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from cowslipshelf_core.identifiers import InstanceId

GATHER_DELAY_SECONDS = 0.03
"""Delay between the first report of a newer configuration and the request for it. The
replicas report it at the same moment; without the delay, a few links carried most
copies: of 70 of one version, two gateways sent 26 each, and of 77 of another, one sent
27."""
ANSWER_SECONDS = 0.3
"""Time for a request and its answer besides the transfer of the copy."""
ASSUMED_SECONDS_PER_BYTE = 1 / 60_000
"""Transfer time assumed before the first copy: that of a slow link with many copies."""
TIMEOUT_FACTOR = 3.0
"""How many times longer than the last one a copy may take before a peer is given up."""


@dataclass(slots=True)
class RoutesFetch:
    """Track the one open request for a configuration; times are monotonic seconds.

    A gateway that asks again before the copy can have arrived gets it twice, fills its
    link with duplicates, and delays the next one further: with a fixed timeout of 0.3 s
    and copies that took a second, three copies of each version arrived, up to six, and
    changes and answers were late by seconds. So the timeout follows the size of the
    copy and the transfer rate of the last one, and doubles with each failed request.
    """

    due: float | None = None
    """When to ask next; None while no newer configuration is known."""
    asked: list[InstanceId] = field(default_factory=list)
    """Peers asked so far for this configuration; the last request may be open."""
    asked_at: float = 0.0
    seconds_per_byte: float = ASSUMED_SECONDS_PER_BYTE

    def is_waiting(self, alive: Callable[[InstanceId], bool], now: float) -> bool:
        """Return whether no other peer needs to be asked yet.

        This is checked for each report of a newer configuration, which hundreds of
        gateways send; to list and sort its holders each time would cost more than the
        copy.
        """
        if self.due is None or now >= self.due:
            return False
        return not self.asked or alive(self.asked[-1])

    def next_peer(
        self,
        holders: Sequence[InstanceId],
        size: int,
        is_unconfigured: bool,
        now: float,
    ) -> InstanceId | None:
        """Return the peer to ask now, if any.

        The holders have a newer configuration of a size in bytes, in the order of
        preference. A gateway without any configuration asks the first one at once.
        """
        if not holders:
            self.forget()
            return None
        if self.due is None:
            self.due = now if is_unconfigured else now + GATHER_DELAY_SECONDS
        gone = bool(self.asked) and self.asked[-1] not in holders
        if now < self.due and not gone:
            return None
        chosen = next((peer for peer in holders if peer not in self.asked), None)
        if chosen is None:
            chosen = holders[len(self.asked) % len(holders)]
        self.due = now + self.answer_timeout(size) * 2 ** min(len(self.asked), 8)
        self.asked.append(chosen)
        self.asked_at = now
        return chosen

    def answer_timeout(self, size: int) -> float:
        """Return how long a copy of a size may take, in seconds."""
        return ANSWER_SECONDS + TIMEOUT_FACTOR * size * self.seconds_per_byte

    def record_copy(self, size: int, now: float) -> None:
        """Record that a copy arrived; a slow one is remembered, and decays."""
        if self.asked and size:
            measured = (now - self.asked_at) / size
            self.seconds_per_byte = max(measured, self.seconds_per_byte / 2)
        self.forget()

    def restarted(self, peer: InstanceId, now: float) -> None:
        """Ask another peer at once if the one that was asked has restarted."""
        if self.asked and self.asked[-1] == peer:
            self.due = now

    def forget(self) -> None:
        """Reset for the next newer configuration."""
        self.due = None
        self.asked.clear()
