"""Simulate gateways that send all they may to one cold upstream."""

from dataclasses import dataclass, field
from typing import NamedTuple

from common.gateway_samples import heartbeat
from cowslipshelf_core.gateway import (
    ColdLimiter,
    ColdLimiterConfig,
    ColdReport,
    HeartbeatSeen,
    PeerTable,
    PeerTableConfig,
    RegistryConfig,
    ServiceConfiguration,
    UpstreamRegistry,
    UpstreamStart,
)
from cowslipshelf_core.messages import PeerAlive

COLD_SECONDS = 6.0
START = UpstreamStart("u-1", 1_700_000_000_000)
LATEST_ARRIVAL_SECONDS = 0.25
EPSILON = 1e-9


class Sent(NamedTuple):
    """Hold a message on its way between two gateways."""

    sender: int
    receiver: int
    message: PeerAlive | HeartbeatSeen


class SimulatedGateway:
    """Hold what one gateway knows; a restart creates it anew."""

    def __init__(self, number: int, started_at: float, over: float, slack: float):
        self.name = f"10.0.0.{number}"
        config = ColdLimiterConfig(self.name, started_at, 1.0, over, slack)
        self.limiter = ColdLimiter.from_config(config)
        self.registry = UpstreamRegistry.from_config(RegistryConfig(60.0))
        self.peers = PeerTable.from_config(
            PeerTableConfig(self.name, f"e-{started_at}", "here", False, ())
        )

    def hear(self, seen: HeartbeatSeen, now: float) -> None:
        report = ColdReport(seen.heartbeat.sequence, now, seen.cold_left)
        self.registry.record(seen.with_start_id, now - seen.age_seconds, report)


@dataclass
class ColdFleet:
    """Run gateways against one upstream that starts at time zero."""

    service: ServiceConfiguration
    slack: float
    gateway_count: int
    knows_warm: bool
    """Whether all gateways also know an upstream that is warm."""
    over: float = 1.0
    now: float = 0.0
    sequence: int = 0
    halves: int = 0
    """Bit mask of the gateways in the second half of a network partition."""
    gateways: list[SimulatedGateway] = field(default_factory=list)
    pending: list[Sent] = field(default_factory=list)
    arrivals: list[float] = field(default_factory=list)

    @property
    def bound(self) -> float:
        return self.service.cold_requests_per_second * self.over + self.slack

    def start(self, started_at: float, acquainted: bool) -> None:
        """Start all gateways at one time, with or without knowledge of each other."""
        numbers = range(self.gateway_count)
        self.gateways = [self.create(number, started_at) for number in numbers]
        if acquainted:
            for number in numbers:
                self.send_alive(number)
            for sent in self.pending:
                self.receive(sent)
            self.pending = []

    def create(self, number: int, started_at: float) -> SimulatedGateway:
        return SimulatedGateway(number, started_at, self.over, self.slack)

    def send(self, sender: int, message: PeerAlive | HeartbeatSeen) -> None:
        """Queue a message from one gateway to all others of its half."""
        self.pending += [
            Sent(sender, receiver, message)
            for receiver in range(self.gateway_count)
            if receiver != sender and self.connected(sender, receiver)
        ]

    def connected(self, one: int, other: int) -> bool:
        return (self.halves >> one & 1) == (self.halves >> other & 1)

    def send_alive(self, number: int) -> None:
        self.send(
            number,
            self.gateways[number].peers.alive_message(0, 0, 0, with_peers=True),
        )

    def send_heartbeat(self, number: int) -> None:
        """Let the upstream report to one gateway, which forwards it."""
        self.sequence += 1
        sent = heartbeat(START.upstream_id, self.sequence)
        left = max(0.0, COLD_SECONDS - self.now)
        seen = HeartbeatSeen.from_heartbeat(sent, 0.0, left)
        self.gateways[number].hear(seen, self.now)
        known = self.gateways[number].registry.all_heartbeats(self.now)
        self.send(number, known[0])

    def deliver(self, number: int, keep: bool) -> None:
        """Deliver a pending message; one that is kept is delivered again later."""
        if not self.pending:
            return
        number %= len(self.pending)
        sent = self.pending[number] if keep else self.pending.pop(number)
        if self.connected(sent.sender, sent.receiver):
            self.receive(sent)

    def receive(self, sent: Sent) -> None:
        receiver = self.gateways[sent.receiver]
        match sent.message:
            case PeerAlive() as alive:
                name = f"10.0.0.{sent.sender}"
                receiver.peers.record_alive(name, alive, self.now)
            case HeartbeatSeen() as seen:
                receiver.hear(seen, self.now)

    def drop(self, number: int) -> None:
        if self.pending:
            self.pending.pop(number % len(self.pending))

    def restart(self, number: int) -> None:
        self.gateways[number] = self.create(number, self.now)

    def wait(self, seconds: float, delay_tenths: int) -> None:
        """Pass some time; all gateways send whatever they may meanwhile."""
        end = self.now + seconds
        while self.now < end:
            self.now += 0.05
            for number, gateway in enumerate(self.gateways):
                # The delays differ between gateways and between their requests.
                turn = (number + int(self.now * 20) * delay_tenths) % 11
                self.request(gateway, LATEST_ARRIVAL_SECONDS * turn / 10 % 0.2501)
                gateway.peers.forget_old(self.now)

    def request(self, gateway: SimulatedGateway, delay: float) -> None:
        """Send a request if the gateway knows the upstream and may use it."""
        known = list(gateway.registry.known.values())
        if not known:
            return
        if self.knows_warm:
            warm = UpstreamRegistry.from_config(gateway.registry.config)
            warm.record(heartbeat("warm"), gateway.limiter.config.started_at)
            known += warm.known.values()
        others = gateway.peers.known.keys()
        choice = gateway.limiter.choose(self.service, known, others, self.now)
        if START.upstream_id in choice.blocked:
            return
        gateway.limiter.record_sent([START.upstream_id], self.now)
        if self.now + delay < COLD_SECONDS:
            self.arrivals.append(self.now + delay)

    def most_in_a_second(self) -> int:
        """Return the largest number of arrivals within one second while cold."""
        arrivals = sorted(self.arrivals)
        first = most = 0
        for last, at in enumerate(arrivals):
            while arrivals[first] < at - 1.0 - EPSILON:
                first += 1
            most = max(most, last - first + 1)
        return most
