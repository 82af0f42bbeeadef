"""Simulate gateways that send all they may to one upstream that names a limit."""

from dataclasses import dataclass, field
from typing import NamedTuple

from cowslipshelf_core.dialect import AnswerLimit, LimitNamed, NoLimit
from cowslipshelf_core.gateway import (
    LimitMessage,
    LimitsTold,
    Permit,
    UpstreamLimits,
    UpstreamLimitsConfig,
)

UPSTREAM = "u-1#1700000000000"
STEP_SECONDS = 0.02
ALIVE_SECONDS = 0.5
SILENCE_SECONDS = 3.0
WINDOW_SECONDS = 4.0
SETTLE_SECONDS = 3.0
EPSILON = 1e-9


class Alive(NamedTuple):
    """Stand for the alive message of a gateway."""

    started_at: float


class Sent(NamedTuple):
    """Hold a message on its way between two gateways."""

    due_at: float
    sender: int
    receiver: int
    message: LimitMessage | Alive


class Answer(NamedTuple):
    """Hold an answer of the upstream on its way."""

    due_at: float
    receiver: "SimulatedGateway"
    limit: AnswerLimit
    permit: Permit | None


def name_of(number: int) -> str:
    """Return the name of a gateway."""
    return f"10.0.0.{number}"


def allowed_in_window(limit: float) -> float:
    """Return how many requests may arrive in a window."""
    return 1.5 * limit * WINDOW_SECONDS + 5


@dataclass
class SimulatedGateway:
    """Hold one gateway's limits; a restart creates it anew."""

    number: int
    started_at: float
    seeds: frozenset[str]
    frozen_until: float = 0.0
    frozen_seconds: float = 0.0
    """Time for which it was frozen; the clock by which others are alive stood still."""
    last_heard: dict[str, float] = field(default_factory=dict)
    starts: dict[str, float] = field(default_factory=dict)
    has_work: bool = True
    limits: UpstreamLimits | None = None

    def __post_init__(self) -> None:
        """Create the limits that it knows: none."""
        first_number = int(self.started_at * 1e6) + self.number + (1 << 40)
        config = UpstreamLimitsConfig(
            name_of(self.number), self.started_at, self.seeds, first_number
        )
        self.limits = UpstreamLimits.from_config(config)

    def clock(self, now: float) -> float:
        """Return the time of its clock that stands still while it is frozen."""
        return now - self.frozen_seconds

    def alive(self, now: float) -> list[str]:
        """List the other gateways that it heard lately."""
        return [
            name
            for name, at in self.last_heard.items()
            if self.clock(now) - at <= SILENCE_SECONDS
        ]


@dataclass
class LimitedFleet:
    """Run gateways against one upstream, step by step."""

    count: int
    limit: float | None
    latency: float = 0.003
    halves: int = 0
    """Bit mask of the gateways in the second half of a network partition."""
    now: float = 0.0
    gateways: list[SimulatedGateway] = field(default_factory=list)
    messages: list[Sent] = field(default_factory=list)
    answers: list[Answer] = field(default_factory=list)
    arrivals: list[float] = field(default_factory=list)
    steps: int = 0

    def start(self) -> None:
        """Start all gateways long before time zero, and let them learn the limit."""
        seeds = frozenset(name_of(number) for number in range(min(3, self.count)))
        for number in range(self.count):
            self.gateways.append(self.create(number, -100.0, seeds))
        for gateway in self.gateways:
            others = [g.number for g in self.gateways if g is not gateway]
            gateway.last_heard = {name_of(number): 0.0 for number in others}
            gateway.limits.gateways.update(gateway.alive(0.0), 0.0)
        if self.limit is not None:
            first = self.gateways[0].limits
            first.record_answer(UPSTREAM, LimitNamed(self.limit), None, 0.0)

    def create(
        self, number: int, started_at: float, seeds: frozenset[str]
    ) -> SimulatedGateway:
        """Create a gateway that knows nothing, and connect it to the network."""
        gateway = SimulatedGateway(number, started_at, seeds)
        limits = gateway.limits
        limits.send = lambda peer, message: self.post(
            number, int(peer.rpartition(".")[2]), message
        )
        limits.on_changed = lambda change: (
            change.is_new and self.tell_all(number, LimitsTold((change.state,)))
        )
        return gateway

    def post(self, sender: int, receiver: int, message: LimitMessage | Alive) -> None:
        """Send a message to one gateway."""
        latency = self.latency if sender != receiver else 0.0
        due_at = self.now + latency
        self.messages.append(Sent(due_at, sender, receiver, message))

    def tell_all(self, sender: int, message: LimitMessage | Alive) -> None:
        """Send a message to all other gateways."""
        for receiver in range(self.count):
            if receiver != sender:
                self.post(sender, receiver, message)

    def connected(self, one: int, other: int) -> bool:
        """Return whether two gateways are in the same half."""
        return (self.halves >> one & 1) == (self.halves >> other & 1)

    # Faults.

    def split(self, halves: int) -> None:
        """Cut the gateways of a bit mask off from the others."""
        self.halves = halves % (1 << self.count)

    def restart(self, number: int) -> None:
        """Replace a gateway by one that knows nothing."""
        number %= self.count
        seeds = self.gateways[number].seeds
        self.gateways[number] = self.create(number, self.now, seeds)

    def freeze(self, number: int, seconds: float) -> None:
        """Suspend a gateway for some time."""
        gateway = self.gateways[number % self.count]
        if gateway.frozen_until <= self.now:
            gateway.frozen_until = self.now + seconds
            gateway.frozen_seconds += seconds

    def drop(self, number: int) -> None:
        """Lose a message that is on its way."""
        if self.messages:
            self.messages.pop(number % len(self.messages))

    def delay(self, number: int, seconds: float) -> None:
        """Deliver a message later."""
        if self.messages:
            sent = self.messages.pop(number % len(self.messages))
            self.messages.append(sent._replace(due_at=sent.due_at + seconds))

    def double(self, number: int, seconds: float) -> None:
        """Deliver a message a second time, later."""
        if self.messages:
            sent = self.messages[number % len(self.messages)]
            self.messages.append(sent._replace(due_at=sent.due_at + seconds))

    def name_limit(self, limit: float | None) -> None:
        """Let the upstream name another limit, or none, from now on."""
        self.limit = limit

    # Time.

    def wait(self, seconds: float) -> None:
        """Pass some time; all gateways with work send whatever they may."""
        for _ in range(round(seconds / STEP_SECONDS)):
            self.step()

    def wait_for_permit(self) -> None:
        """Pass time until the first gateway, now without work, has a permit."""
        gateway = self.gateways[0]
        gateway.has_work = False
        while gateway.limits.choose((UPSTREAM,), 1, self.now).blocked:
            self.step()

    def step(self) -> None:
        """Pass one step of time."""
        self.now += STEP_SECONDS
        self.steps += 1
        self.deliver()
        for gateway in self.gateways:
            if gateway.frozen_until <= self.now:
                self.run(gateway)

    def deliver(self) -> None:
        """Deliver what is due; a partition loses messages, a freeze holds them."""
        due = [sent for sent in self.messages if sent.due_at <= self.now]
        self.messages = [sent for sent in self.messages if sent.due_at > self.now]
        for sent in due:
            receiver = self.gateways[sent.receiver]
            if receiver.frozen_until > self.now:
                self.messages.append(sent._replace(due_at=receiver.frozen_until))
            elif self.connected(sent.sender, sent.receiver):
                self.receive(receiver, sent)
        for answer in [each for each in self.answers if each.due_at <= self.now]:
            self.answers.remove(answer)
            gateway = answer.receiver
            if gateway in self.gateways:
                gateway.limits.record_answer(
                    UPSTREAM, answer.limit, answer.permit, self.now
                )

    def receive(self, gateway: SimulatedGateway, sent: Sent) -> None:
        """Let a gateway handle a message."""
        match sent.message:
            case Alive(started_at=started_at):
                name = name_of(sent.sender)
                is_new = (
                    name not in gateway.alive(self.now)
                    or gateway.starts.get(name) != started_at
                )
                gateway.starts[name] = started_at
                gateway.last_heard[name] = gateway.clock(self.now)
                gateway.limits.gateways.update(gateway.alive(self.now), self.now)
                if is_new:
                    states = tuple(gateway.limits.states.values())
                    heard = gateway.limits.gateways.heard(self.now)
                    told = LimitsTold(states, heard)
                    self.post(gateway.number, sent.sender, told)
            case message:
                gateway.limits.receive(name_of(sent.sender), message, self.now)

    def run(self, gateway: SimulatedGateway) -> None:
        """Let a gateway do what is due, and send requests while it may."""
        limits = gateway.limits
        if self.steps % round(ALIVE_SECONDS / STEP_SECONDS) == 0:
            limits.gateways.update(gateway.alive(self.now), self.now)
            self.tell_all(gateway.number, Alive(gateway.started_at))
        limits.tick(self.now)
        if not gateway.has_work or limits.rate_of(UPSTREAM) is None:
            return
        for _ in range(100):
            if limits.choose((UPSTREAM,), 1, self.now).blocked:
                return
            self.request(limits.take(UPSTREAM, self.now), gateway)

    def request(self, permit: Permit | None, gateway: SimulatedGateway) -> None:
        """Let a request arrive, and its answer say what the limit is."""
        self.arrivals.append(self.now)
        limit = NoLimit() if self.limit is None else LimitNamed(self.limit)
        self.answers.append(Answer(self.now + 0.1, gateway, limit, permit))

    def most_in_a_window(self, since: float = SETTLE_SECONDS) -> int:
        """Return the most arrivals within a window after some time."""
        arrivals = sorted(at for at in self.arrivals if at >= since)
        first = most = 0
        for last, at in enumerate(arrivals):
            while arrivals[first] < at - WINDOW_SECONDS - EPSILON:
                first += 1
            most = max(most, last - first + 1)
        return most
