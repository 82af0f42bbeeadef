"""Draw the arrivals of a fleet, whose load alternates between prompt lengths."""

import math
from random import Random
from typing import NamedTuple

from cowslipshelf_core.gateway import EngineModel, PromptSize, abandon_seconds


class LengthDistribution(NamedTuple):
    """Describe a log-normal distribution of lengths, in tokens or events."""

    mean: float
    spread: float
    """Standard deviation of the logarithm."""
    max_length: float
    """Longer draws are reduced to this."""

    def draw(self, random: Random) -> float:
        """Draw one length."""
        log_mean = math.log(self.mean) - self.spread**2 / 2
        return min(self.max_length, random.lognormvariate(log_mean, self.spread))


class RequestKind(NamedTuple):
    """Describe one kind of request: its lengths, time limits, value and rate."""

    name: str
    prompt: LengthDistribution
    events: LengthDistribution
    """Events of the answer; each has as many tokens as a pass has steps."""
    objective_seconds: float
    """Time within which the first event is due."""
    pause_seconds: float
    """Longest pause between two events that is still in time."""
    deadline_seconds: float
    value: float
    """Value of a complete answer in time."""
    late_value: float
    """Value of a complete answer that was late."""
    per_second: float
    """Arrivals per second at the usual rate."""

    @property
    def abandon_seconds(self) -> float:
        """Return the silence after which a caller abandons its request."""
        return abandon_seconds(self.objective_seconds, self.pause_seconds)


class Fleet(NamedTuple):
    """Describe a fleet of engines and the load on it."""

    name: str
    engines: int
    gateways: int
    model: EngineModel
    kinds: tuple[RequestKind, ...]
    rate_factors: tuple[tuple[float, ...], ...]
    """For each phase, a factor on the rate of each kind; the phases repeat in turn."""
    phase_seconds: float = 10.0


class Arrival(NamedTuple):
    """Hold a request that arrives at a gateway."""

    request: str
    at: float
    """Time since the start of the load, in seconds."""
    kind: RequestKind
    size: PromptSize
    output_tokens: int
    """Actual length of the answer; `size` holds the longest allowed."""
    gateway: int


SHORT_PEAK = (2.4, 0.5, 0.05)
LONG_PEAK = (0.38, 1.3, 2.8)
"""Rate factors of short, middle and long prompts while short or long ones peak."""

ENGINE = EngineModel(
    slots=8,
    memory_tokens=405_000,
    steps_per_pass=34,
    step_seconds=1.31e-3,
    step_seconds_per_decode=1.834e-6,
    step_seconds_per_context_token=2.13e-9,
    prefill_seconds_per_token=1 / 154_000,
    prefill_seconds_per_pair=0.162e-9,
    chunk_tokens=2048,
)
GROWN_ENGINE = ENGINE._replace(slots=6, memory_tokens=344_250, steps_per_pass=38)

SHORT = RequestKind(
    "short",
    LengthDistribution(4_960, 0.9, 23_800),
    LengthDistribution(38.5, 0.7, 96.2),
    0.3,
    0.25,
    10.0,
    1.3,
    0.33,
    14.0,
)
MIDDLE = RequestKind(
    "middle",
    LengthDistribution(45_000, 0.5, 110_000),
    LengthDistribution(23.1, 0.6, 57.7),
    1.5,
    0.6,
    10.0,
    3.9,
    0.97,
    0.785,
)
LONG = RequestKind(
    "long",
    LengthDistribution(182_000, 0.55, 900_000),
    LengthDistribution(19.2, 0.5, 48.1),
    4.0,
    1.0,
    15.0,
    24.0,
    6.1,
    0.364,
)

NILEGATE = Fleet(
    "nilegate", 14, 7, ENGINE, (SHORT, MIDDLE, LONG), (LONG_PEAK, SHORT_PEAK)
)
CODELIJN = NILEGATE._replace(name="codelijn", gateways=8)
"""Has the load and engines of Nilegate, with one more gateway."""
COOPERATIVE = Fleet(
    "cooperative",
    23,
    8,
    ENGINE,
    (
        SHORT._replace(per_second=23.0),
        MIDDLE._replace(per_second=1.28),
        LONG._replace(per_second=0.595, objective_seconds=3.0),
    ),
    (LONG_PEAK, SHORT_PEAK),
)

GROWN_LONG = LONG._replace(
    prompt=LengthDistribution(260_000, 0.55, 900_000),
    events=LengthDistribution(17.8, 0.5, 44.6),
    value=34.0,
    late_value=8.6,
)
GROWN_MIDDLE = MIDDLE._replace(
    events=LengthDistribution(21.4, 0.6, 53.5), value=3.3, late_value=0.82
)
GROWN_SHORT = SHORT._replace(
    events=LengthDistribution(35.7, 0.7, 89.2), late_value=0.34
)
NILEGATE_GROWN = Fleet(
    "nilegate-grown",
    45,
    32,
    GROWN_ENGINE,
    (
        GROWN_SHORT._replace(per_second=35.6),
        GROWN_MIDDLE._replace(per_second=2.5),
        GROWN_LONG._replace(per_second=0.81),
    ),
    (LONG_PEAK, SHORT_PEAK),
)
COOPERATIVE_GROWN = Fleet(
    "cooperative-grown",
    78,
    25,
    GROWN_ENGINE,
    (
        GROWN_SHORT._replace(per_second=62.0),
        GROWN_MIDDLE._replace(per_second=4.34),
        GROWN_LONG._replace(per_second=1.41),
    ),
    (LONG_PEAK, SHORT_PEAK),
)
LARGE_ENGINE = ENGINE._replace(slots=5, steps_per_pass=53)
NILEGATE_LARGE = Fleet(
    "nilegate-large",
    112,
    75,
    LARGE_ENGINE,
    (
        SHORT._replace(
            events=LengthDistribution(25.9, 0.7, 64.8),
            objective_seconds=0.421,
            pause_seconds=0.3,
            late_value=0.34,
            per_second=76.0,
        ),
        MIDDLE._replace(
            events=LengthDistribution(15.6, 0.6, 39.0),
            objective_seconds=1.533,
            pause_seconds=0.8,
            value=2.9,
            late_value=0.72,
            per_second=6.2,
        ),
        GROWN_LONG._replace(
            events=LengthDistribution(13.0, 0.5, 32.5),
            objective_seconds=4.057,
            pause_seconds=1.2,
            value=30.0,
            late_value=7.6,
            per_second=1.56,
        ),
    ),
    (LONG_PEAK, SHORT_PEAK),
)
SHIFTED_ENGINE = EngineModel(
    slots=6,
    memory_tokens=267_750,
    steps_per_pass=57,
    step_seconds=0.85e-3,
    step_seconds_per_decode=4.25e-6,
    step_seconds_per_context_token=2.85e-9,
    prefill_seconds_per_token=1 / 177_000,
    prefill_seconds_per_pair=0.184e-9,
    chunk_tokens=2048,
)
NILEGATE_SHIFTED = Fleet(
    "nilegate-shifted",
    54,
    23,
    SHIFTED_ENGINE,
    (
        SHORT._replace(
            events=LengthDistribution(31.7, 0.7, 79.3),
            objective_seconds=0.321,
            per_second=32.6,
        ),
        MIDDLE._replace(
            events=LengthDistribution(19.0, 0.6, 47.6),
            objective_seconds=1.533,
            value=3.5,
            late_value=0.88,
            per_second=3.59,
        ),
        LONG._replace(
            prompt=LengthDistribution(220_000, 0.55, 700_000),
            events=LengthDistribution(15.9, 0.5, 39.6),
            objective_seconds=4.057,
            value=29.0,
            late_value=7.4,
            per_second=0.884,
        ),
    ),
    (LONG_PEAK, SHORT_PEAK),
)
FLEETS = {
    fleet.name: fleet
    for fleet in (
        NILEGATE,
        CODELIJN,
        COOPERATIVE,
        NILEGATE_GROWN,
        COOPERATIVE_GROWN,
        NILEGATE_LARGE,
        NILEGATE_SHIFTED,
    )
}


def draw_arrivals(
    fleet: Fleet, seconds: float, load: float, seed: int
) -> list[Arrival]:
    """Draw the arrivals of a period, at `load` times the usual rates."""
    random = Random(f"{fleet.name}:{seed}")
    arrivals = []
    for number, kind in enumerate(fleet.kinds):
        arrivals += draw_kind(fleet, kind, number, seconds, load, random)
    return sorted(arrivals, key=lambda arrival: arrival.at)


def draw_kind(
    fleet: Fleet,
    kind: RequestKind,
    number: int,
    seconds: float,
    load: float,
    random: Random,
) -> list[Arrival]:
    """Draw one kind's arrivals, whose rate changes with each phase."""
    max_factor = max(factors[number] for factors in fleet.rate_factors)
    arrivals = []
    now = random.expovariate(kind.per_second * load * max_factor)
    while now < seconds:
        phase = int(now / fleet.phase_seconds) % len(fleet.rate_factors)
        if random.random() < fleet.rate_factors[phase][number] / max_factor:
            arrivals.append(
                draw_one(fleet, kind, f"{kind.name}-{len(arrivals)}", now, random)
            )
        now += random.expovariate(kind.per_second * load * max_factor)
    return arrivals


def draw_one(
    fleet: Fleet, kind: RequestKind, request: str, now: float, random: Random
) -> Arrival:
    """Draw one request: its lengths and its gateway."""
    prompt = max(1, round(kind.prompt.draw(random)))
    events = max(1, round(kind.events.draw(random)))
    output = events * fleet.model.steps_per_pass
    size = PromptSize(prompt, output)
    return Arrival(request, now, kind, size, output, random.randrange(fleet.gateways))
