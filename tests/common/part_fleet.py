"""Simulate gateways whose upstreams exit under some parts of prompts."""

import heapq
import math
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import count
from random import Random
from typing import NamedTuple

from cowslipshelf_core.gateway import (
    AllowedAlone,
    BrokenAttempt,
    HeldBack,
    PartDigest,
    PartQuarantine,
    PartQuarantineConfig,
    PromptPartsTold,
    RequestDigest,
    shared_part_digests,
)

CRASH_SECONDS = 0.2
RESTART_SECONDS = 2.0
RETRY_SECONDS = 0.01
MESSAGE_SECONDS = 0.05
"""Longest delay of a message."""
RESENDS = 2
RESEND_SECONDS = 0.5
ANSWERS_DELAY_SECONDS = 0.2
ATTEMPTS = 2


def part(name: str) -> PartDigest:
    """Return the digest of a part with a name."""
    return shared_part_digests([name.encode()])[0]


class Traffic(NamedTuple):
    """Describe requests of one kind."""

    rate: float
    """Requests per second."""
    parts: tuple[tuple[str, ...], ...]
    """The parts of each request are one of these, by lot."""
    run_seconds: float = 1.0
    """Mean time of an attempt that is answered."""
    began: float = 0.0


class Sent(NamedTuple):
    """Hold what became of a request when it asked to be sent."""

    at: float
    parts: tuple[str, ...]
    verdict: str


class Request(NamedTuple):
    """Hold a request of a caller."""

    digest: RequestDigest
    parts: tuple[str, ...]
    gateway: int
    run_seconds: float

    def part_digests(self) -> tuple[PartDigest, ...]:
        """Return the digests of its parts."""
        return tuple(map(part, self.parts))


class Attempt(NamedTuple):
    """Hold an attempt that runs at an upstream."""

    request: Request
    left: int
    """Attempts that are left."""
    trial: tuple[PartDigest, ...]
    began_at: float


@dataclass
class PartFleet:
    """Run requests through several quarantines that report to each other."""

    random: Random
    traffic: tuple[Traffic, ...]
    fatal: set[str]
    """Parts that make an upstream exit soon after it begins to run them."""
    gateways: int = 4
    upstreams: int = 16
    loss: float = 0.0
    """Share of messages that are lost."""
    now: float = 0.0
    numbers: count = field(default_factory=count)
    events: list = field(default_factory=list)
    sent: list[Sent] = field(default_factory=list)
    crashes: dict[str, list[float]] = field(default_factory=dict)
    """Times of the exits under each fatal part."""

    def __post_init__(self) -> None:
        self.quarantines = [
            PartQuarantine.from_config(PartQuarantineConfig(f"gateway-{number}"))
            for number in range(self.gateways)
        ]
        self.running: dict[str, dict[int, Attempt]] = {}
        for _ in range(self.upstreams):
            self.start()

    def start(self) -> None:
        """Start an upstream under a new id."""
        self.running[f"u-{next(self.numbers)}"] = {}

    def at(self, seconds: float, action: Callable[..., None], *arguments) -> None:
        """Schedule an action after a time."""
        event = (self.now + seconds, next(self.numbers), action, arguments)
        heapq.heappush(self.events, event)

    def run(self, seconds: float) -> None:
        """Run for a time with all traffic."""
        if not self.events:
            for each in self.traffic:
                self.at(each.began, self.arrive, each)
        end = self.now + seconds
        while self.events and self.events[0][0] < end:
            self.now, _, action, arguments = heapq.heappop(self.events)
            action(*arguments)
        self.now = end

    def arrive(self, traffic: Traffic) -> None:
        """Send a request, and schedule the next."""
        self.at(self.random.expovariate(traffic.rate), self.arrive, traffic)
        request = Request(
            RequestDigest(f"{next(self.numbers):032x}"),
            self.random.choice(traffic.parts),
            self.random.randrange(self.gateways),
            self.random.expovariate(1.0 / traffic.run_seconds),
        )
        self.send(request, ATTEMPTS)

    def send(self, request: Request, left: int) -> None:
        """Send a request to an upstream, unless it is held back."""
        quarantine = self.quarantines[request.gateway]
        verdict = quarantine.verdict(request.part_digests(), self.now)
        self.sent.append(Sent(self.now, request.parts, type(verdict).__name__))
        if isinstance(verdict, HeldBack) or not self.running:
            return
        trial = ()
        if isinstance(verdict, AllowedAlone):
            trial = verdict.parts
            quarantine.begin_trial(trial, verdict.probe, self.now)
        upstream = self.random.choice(sorted(self.running))
        key = next(self.numbers)
        self.running[upstream][key] = Attempt(request, left - 1, trial, self.now)
        if self.fatal & set(request.parts):
            self.at(CRASH_SECONDS, self.crash, upstream, key)
        else:
            self.at(request.run_seconds, self.finish, upstream, key)
        self.tell(request.gateway)

    def finish(self, upstream: str, key: int) -> None:
        """Answer an attempt, if its upstream still runs."""
        attempt = self.running.get(upstream, {}).pop(key, None)
        if attempt is None:
            return
        request = attempt.request
        quarantine = self.quarantines[request.gateway]
        quarantine.record_answer(request.part_digests(), self.now)
        quarantine.end_trial(attempt.trial)
        self.tell(request.gateway)

    def crash(self, upstream: str, key: int | None = None) -> None:
        """Let an upstream exit with all attempts; start another one later."""
        if upstream not in self.running:
            return
        if key is not None:
            parts = self.running[upstream][key].request.parts
            for name in self.fatal & set(parts):
                self.crashes.setdefault(name, []).append(self.now)
        self.at(RESTART_SECONDS, self.start)
        attempts = self.running.pop(upstream).values()
        for attempt in attempts:
            self.record_exit(upstream, attempt)
        for attempt in attempts:
            if attempt.left:
                self.at(RETRY_SECONDS, self.send, attempt.request, attempt.left)

    def record_exit(self, upstream: str, attempt: Attempt) -> None:
        """Let the gateway of an attempt notice that its upstream has exited."""
        request = attempt.request
        quarantine = self.quarantines[request.gateway]
        quarantine.record_exit(
            request.part_digests(),
            upstream,
            BrokenAttempt(attempt.began_at, request.digest),
            bool(attempt.trial),
            self.now,
        )
        quarantine.end_trial(attempt.trial)
        self.tell(request.gateway)

    def crash_some(self, amount: int, within_seconds: float = 0.0) -> None:
        """Let several upstreams exit within a time, as when a rack fails."""
        for upstream in self.random.sample(sorted(self.running), amount):
            seconds = self.random.uniform(0.0, within_seconds)
            self.at(seconds, self.crash, upstream)

    def tell(self, number: int) -> None:
        """Report what changed at a gateway to all others, repeatedly."""
        quarantine = self.quarantines[number]
        keys = quarantine.take_changed()
        if keys:
            for resend in range(RESENDS + 1):
                self.at(resend * RESEND_SECONDS, self.report, number, keys)
        if quarantine.unconfirmed_answers:
            delay = self.random.uniform(0.0, ANSWERS_DELAY_SECONDS)
            self.at(delay, self.report_answers, number)

    def report(self, number: int, keys) -> None:
        """Send a report to all other gateways; some are lost."""
        told = self.quarantines[number].report(keys, self.now)
        for other in range(self.gateways):
            if other != number and self.random.random() >= self.loss:
                delay = self.random.uniform(0.0, MESSAGE_SECONDS)
                self.at(delay, self.receive, other, told)

    def report_answers(self, number: int) -> None:
        """Send the answers that no other gateway has reported."""
        keys = self.quarantines[number].take_unconfirmed_answers()
        if keys:
            self.report(number, keys)

    def receive(self, number: int, told: PromptPartsTold) -> None:
        """Merge a report."""
        self.quarantines[number].merge(told, self.now)
        self.tell(number)

    def restart(self, number: int) -> None:
        """Replace a gateway by one that knows only what it stored."""
        before = self.quarantines[number]
        stored = before.report(before.known(), self.now)
        after = PartQuarantine.from_config(before.config)
        after.merge(stored, self.now)
        self.quarantines[number] = after

    def known_at(self, name: str) -> float:
        """Return the time of the fifth exit under a part, or of the last one."""
        return self.crashes.get(name, [math.inf])[:5][-1]

    def reached(self, name: str, since: float) -> int:
        """Count the requests with a part that were sent to upstreams since a time."""
        return sum(
            each.at > since and name in each.parts and each.verdict != "HeldBack"
            for each in self.sent
        )

    def refused(self, name: str, since: float) -> int:
        """Count the requests with a part that were held back since a time."""
        return sum(
            each.at > since and name in each.parts and each.verdict == "HeldBack"
            for each in self.sent
        )

    def held(self) -> set[PartDigest]:
        """Return the parts that some gateway holds back."""
        return {each for quarantine in self.quarantines for each in quarantine.held}
