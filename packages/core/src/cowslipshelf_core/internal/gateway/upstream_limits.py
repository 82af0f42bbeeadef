"""Keep the limits that upstreams name, all gateways together.

An upstream in need names the requests a second that it takes from all gateways. Each
gateway sends one only under a permit, and one gateway, the issuer, issues all permits
for an upstream. It is chosen by rendezvous hashing among the gateways that are alive,
so that the limited upstreams spread over them. A permit goes to whichever gateway asks,
so the limit is divided by where the work is.

An issuer that reaches fewer than all gateways that were alive lately may not be the
only one, and issues less than the limit: whatever parts a network splits into, their
rates add up to at most one and a half times the limit.

Times are those of a clock that counts the time for which a machine is suspended, so
that permits expire meanwhile.
"""

import math
from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass, field
from typing import NamedTuple, Self

from cowslipshelf_core.identifiers import InstanceId, UpstreamId
from cowslipshelf_core.internal.gateway.dialect import (
    AnswerLimit,
    LimitNamed,
    LimitUnreadable,
    NoLimit,
)
from cowslipshelf_core.internal.gateway.known_gateways import (
    MEMORY_SECONDS,
    KnownGateways,
)
from cowslipshelf_core.internal.gateway.limit_messages import (
    AskPermits,
    LimitLifted,
    LimitMessage,
    LimitState,
    LimitsTold,
    PermitsBooked,
    PermitsReturned,
)
from cowslipshelf_core.internal.gateway.permit_issuer import PermitIssuer
from cowslipshelf_core.internal.gateway.permit_wallet import (
    Permit,
    PermitWallet,
    Return,
)

START_SECONDS = 3.0
"""Time after its start in which a gateway issues nothing: the former issuer may not
have heard of it yet."""
MIN_REQUESTS_PER_SECOND = 0.1
"""Least rate at which an upstream is tried. One that takes nothing would otherwise
never be asked whether that still holds."""
AHEAD_SECONDS = 0.25
"""Longest time for which a gateway asks for all permits at once."""


class UpstreamLimitsConfig(NamedTuple):
    """Configure the identity of this gateway."""

    instance: InstanceId
    started_at: float
    seeds: frozenset[InstanceId]
    first_number: int
    """Number before that of the first question, drawn anew at each start."""


class LimitChange(NamedTuple):
    """Report that a limit came, changed or ended."""

    before: LimitState | None
    state: LimitState
    source: InstanceId
    """Gateway that told of it, or whose answer showed it."""
    is_new: bool
    """Whether the other gateways don't know of it yet."""


class LimitChoice(NamedTuple):
    """Hold which limited upstreams may not get a request now, and until when."""

    blocked: frozenset[UpstreamId] = frozenset()
    retry_after_seconds: float = 0.0
    """Time until one of them may get one, if there are any."""


NOTHING_LIMITED = LimitChoice()


@dataclass(slots=True)
class UpstreamLimits:
    """Decide whether this gateway may send to limited upstreams, and issue permits."""

    config: UpstreamLimitsConfig
    wallet: PermitWallet
    send: Callable[[InstanceId, LimitMessage], None]
    """Sends a message to a gateway, or to this one itself."""
    on_changed: Callable[[LimitChange], None]
    """Logs a changed limit, and tells the other gateways of a new one."""
    gateways: KnownGateways
    states: dict[UpstreamId, LimitState] = field(default_factory=dict)
    changed_at: dict[UpstreamId, float] = field(default_factory=dict)
    """Time at which the state of each upstream was adopted."""
    issuer: PermitIssuer = field(default_factory=PermitIssuer)

    @classmethod
    def from_config(cls, config: UpstreamLimitsConfig) -> Self:
        """Create limits that know of none and send nothing."""
        return cls(
            config,
            PermitWallet(config.first_number),
            lambda _peer, _message: None,
            lambda _change: None,
            KnownGateways(config.instance, config.seeds),
        )

    # What is known of the limits.

    def rate_of(self, upstream_id: UpstreamId) -> float | None:
        """Return the limit of an upstream in requests a second, or None."""
        state = self.states.get(upstream_id)
        return None if state is None else state.requests_per_second

    def limited(self) -> dict[UpstreamId, float]:
        """Return the limits in force, in requests a second."""
        return {
            upstream_id: state.requests_per_second
            for upstream_id, state in self.states.items()
            if state.requests_per_second is not None
        }

    def record_answer(
        self,
        upstream_id: UpstreamId,
        limit: AnswerLimit,
        permit: Permit | None,
        now: float,
    ) -> None:
        """Record what an answer says of its upstream's limit.

        A lower limit is in force at once. A higher one, or the end of one, counts only
        if the issuer finds that the request was sent after the limit that is in force
        became known: an answer may have been on its way for seconds.
        """
        before = self.rate_of(upstream_id)
        match limit:
            case LimitNamed(rate) if before is None or rate < before:
                self.change(upstream_id, rate, self.config.instance, now)
            case LimitNamed(rate) if rate > before:
                self.report_lifted(permit, rate)
            case NoLimit() if before is not None:
                self.report_lifted(permit, None)
            case LimitUnreadable():
                # What was readable before stays in force.
                pass

    def report_lifted(self, permit: Permit | None, rate: float | None) -> None:
        """Tell the issuer of a higher limit, or of none."""
        if permit is not None:
            lifted = LimitLifted(permit.upstream_id, permit.number, rate)
            self.send(permit.issuer, lifted)

    def change(
        self,
        upstream_id: UpstreamId,
        rate: float | None,
        source: InstanceId,
        now: float,
    ) -> None:
        """Put a limit in force that nobody else may know yet."""
        before = self.states.get(upstream_id)
        revision = 1 if before is None else before.revision + 1
        self.adopt(LimitState(upstream_id, revision, rate), source, True, now)

    def adopt(
        self, state: LimitState, source: InstanceId, is_new: bool, now: float
    ) -> None:
        """Put a state in force, and drop the permits that were issued before."""
        upstream_id = state.upstream_id
        before = self.states.get(upstream_id)
        self.states[upstream_id] = state
        self.changed_at[upstream_id] = now
        self.wallet.drop(upstream_id)
        if state.requests_per_second is not None:
            rate = self.rate_to_issue(upstream_id)
            self.issuer.rate_changed(upstream_id, rate, now)
        self.on_changed(LimitChange(before, state, source, is_new))

    def forget(self, upstream_id: UpstreamId) -> None:
        """Forget the limit of a start of an upstream that is gone."""
        self.states.pop(upstream_id, None)
        self.changed_at.pop(upstream_id, None)
        self.wallet.drop(upstream_id)
        self.issuer.issued.pop(upstream_id, None)

    # Who issues the permits, and at which rate.

    def issuer_of(self, upstream_id: UpstreamId) -> InstanceId:
        """Return the gateway that issues the permits for an upstream."""
        return self.gateways.first_alive(upstream_id)

    def share(self, upstream_id: UpstreamId) -> float:
        """Return the part of a limit that this gateway issues as its issuer.

        All of it goes to the gateway that comes first among all that were alive lately,
        if it reaches more than half of them. Any other is at most one of several, whose
        parts add up to at most a half.
        """
        reached, count = self.gateways.reached, self.gateways.count
        if self.gateways.is_first(upstream_id) and 2 * reached > count:
            return 1.0
        return reached / (2 * count)

    def rate_to_issue(self, upstream_id: UpstreamId) -> float:
        """Return the requests a second for which this gateway issues permits."""
        rate = self.rate_of(upstream_id) or 0.0
        return max(rate, MIN_REQUESTS_PER_SECOND) * self.share(upstream_id)

    def is_starting(self, now: float) -> bool:
        """Return whether the former issuer may not have heard of this gateway."""
        return now - self.config.started_at < START_SECONDS

    # Permits.

    def choose(
        self, upstream_ids: Collection[UpstreamId], waiting: int, now: float
    ) -> LimitChoice:
        """Return which upstreams may not get a request now; ask for one permit.

        `waiting` is the number of requests that wait for a permit.
        """
        if not self.states:
            return NOTHING_LIMITED
        limited = [each for each in upstream_ids if self.rate_of(each) is not None]
        blocked = [each for each in limited if not self.wallet.has_permit(each, now)]
        if not blocked:
            return NOTHING_LIMITED
        for each in blocked:
            self.wallet.record_lack(each, self.most_ahead(each))
        asked = self.wallet.next_to_ask(blocked, now)
        if asked is not None:
            self.ask(asked, waiting, now)
        due_at = min(self.due_at(each) for each in blocked)
        return LimitChoice(frozenset(blocked), max(0.0, due_at - now))

    def ask(self, upstream_id: UpstreamId, waiting: int, now: float) -> None:
        """Ask the issuer of an upstream for permits."""
        issuer = self.issuer_of(upstream_id)
        self.send(issuer, self.wallet.ask(upstream_id, issuer, waiting, now))

    def most_ahead(self, upstream_id: UpstreamId) -> int:
        """Return the most permits to ask for at once."""
        return math.ceil(self.rate_of(upstream_id) * AHEAD_SECONDS)

    def due_at(self, upstream_id: UpstreamId) -> float:
        """Return the time at which a blocked upstream may get a request."""
        held = self.wallet.of(upstream_id)
        return held.permits[0].valid_at if held.permits else held.due_at

    def next_change_at(self, upstream_ids: Iterable[UpstreamId]) -> float:
        """Return when a permit for a blocked upstream may be used or asked for."""
        return min(map(self.wallet.next_change_at, upstream_ids))

    def behind_others(self, choice: LimitChoice, ahead: int, now: float) -> LimitChoice:
        """Return a choice with the wait of a request that others wait ahead of."""
        turns = (self.wallet.turn_seconds(each, now) for each in choice.blocked)
        permits_per_second = sum(1.0 / seconds for seconds in turns if seconds)
        if not permits_per_second:
            return choice
        seconds = choice.retry_after_seconds + ahead / permits_per_second
        return choice._replace(retry_after_seconds=seconds)

    def take(self, upstream_id: UpstreamId, now: float) -> Permit | None:
        """Take a permit for an upstream, if it is limited and there is one."""
        if self.rate_of(upstream_id) is None:
            return None
        return self.wallet.take(upstream_id, now)

    def may_send(
        self, upstream_id: UpstreamId, permit: Permit | None, now: float
    ) -> bool:
        """Return whether a request may be sent, if its upstream is limited by now."""
        if self.rate_of(upstream_id) is None:
            return True
        return permit is not None and permit.is_valid(now)

    def put_back(self, permit: Permit) -> None:
        """Put back a permit under which nothing was sent."""
        if self.rate_of(permit.upstream_id) is not None:
            self.wallet.put_back(permit)

    def tick(self, now: float) -> None:
        """Return the permits that expired."""
        if self.states:
            self.send_back(self.wallet.tick(now))

    def forget_old(self, known: Collection[UpstreamId], now: float) -> None:
        """Forget the limits of upstreams that were told and are not known here."""
        for upstream_id, at in list(self.changed_at.items()):
            if upstream_id not in known and now - at > MEMORY_SECONDS:
                self.forget(upstream_id)

    def send_back(self, returned: list[Return]) -> None:
        """Return permits to their issuers."""
        for each in returned:
            self.send(each.issuer, each.message)

    # Messages of other gateways, and of this one to itself.

    def receive(self, sender: InstanceId, message: LimitMessage, now: float) -> None:
        """Handle a message about limits."""
        match message:
            case LimitsTold(limits=limits, gateways=gateways):
                self.gateways.merge(gateways, now)
                for state in limits:
                    if state.is_newer_than(self.states.get(state.upstream_id)):
                        self.adopt(state, sender, False, now)
            case AskPermits():
                self.answer(sender, message, now)
            case PermitsBooked():
                self.send_back(self.wallet.receive(message, now))
            case PermitsReturned():
                rate = self.rate_to_issue(message.upstream_id)
                self.issuer.take_back(sender, message, rate, now)
            case LimitLifted():
                self.lift(sender, message, now)

    def answer(self, sender: InstanceId, asked: AskPermits, now: float) -> None:
        """Issue permits, if this gateway is to and the upstream is limited."""
        upstream_id = asked.upstream_id
        state = self.states.get(upstream_id)
        if state is None or state.requests_per_second is None:
            if state is not None:
                self.send(sender, LimitsTold((state,)))
            return
        if self.is_starting(now) or self.issuer_of(upstream_id) != self.config.instance:
            return
        rate = self.rate_to_issue(upstream_id)
        booked = self.issuer.book(sender, asked, rate, now)
        if booked is not None:
            self.send(sender, booked)

    def lift(self, sender: InstanceId, lifted: LimitLifted, now: float) -> None:
        """Raise or end a limit, if the answer is certainly newer than the limit."""
        upstream_id = lifted.upstream_id
        since = self.changed_at.get(upstream_id)
        if since is None or lifted.requests_per_second == self.rate_of(upstream_id):
            return
        if self.issuer.was_booked_after(sender, upstream_id, lifted.number, since):
            self.change(upstream_id, lifted.requests_per_second, sender, now)
