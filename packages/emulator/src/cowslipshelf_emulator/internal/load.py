"""Draw the requests of a fleet's users, whose demand swings between long and short."""

import math
from random import Random
from typing import NamedTuple

from cowslipshelf_core.gateway import EngineModel, PromptSize, abandon_seconds


class Lengths(NamedTuple):
    """Be lengths whose logarithms are normal, in tokens."""

    mean: float
    spread: float
    """Standard deviation of the logarithm."""
    most: float

    def draw(self, random: Random) -> float:
        """Draw one length."""
        middle = math.log(self.mean) - self.spread**2 / 2
        return min(self.most, random.lognormvariate(middle, self.spread))


class Kind(NamedTuple):
    """Be a kind of request."""

    name: str
    prompt: Lengths
    events: Lengths
    """Events of the answer; each has as many tokens as a pass has steps."""
    objective_seconds: float
    pause_seconds: float
    deadline_seconds: float
    worth: float
    late_worth: float
    per_second: float

    @property
    def leave_seconds(self) -> float:
        """Return the silence after which a caller leaves."""
        return abandon_seconds(self.objective_seconds, self.pause_seconds)


class Fleet(NamedTuple):
    """Be a user's engines and what they are asked."""

    name: str
    engines: int
    gateways: int
    model: EngineModel
    kinds: tuple[Kind, ...]
    swings: tuple[tuple[float, ...], ...]
    """Factors of the kinds' rates; each holds for a stretch, then the next, and
    around again."""
    stretch_seconds: float = 10.0


class Arrival(NamedTuple):
    """Be a request that comes to a gateway."""

    request: str
    at: float
    kind: Kind
    size: PromptSize
    output_tokens: int
    """What the answer really takes; the size gives the most it may take."""
    gateway: int


SHORT_SWING = (2.4, 0.5, 0.05)
LONG_SWING = (0.38, 1.3, 2.8)
"""Factors of short, middle and long prompts, as the users' demand swings."""

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

SHORT = Kind(
    "short",
    Lengths(4_960, 0.9, 23_800),
    Lengths(38.5, 0.7, 96.2),
    0.3,
    0.25,
    10.0,
    1.3,
    0.33,
    14.0,
)
MIDDLE = Kind(
    "middle",
    Lengths(45_000, 0.5, 110_000),
    Lengths(23.1, 0.6, 57.7),
    1.5,
    0.6,
    10.0,
    3.9,
    0.97,
    0.785,
)
LONG = Kind(
    "long",
    Lengths(182_000, 0.55, 900_000),
    Lengths(19.2, 0.5, 48.1),
    4.0,
    1.0,
    15.0,
    24.0,
    6.1,
    0.364,
)

NILEGATE = Fleet(
    "nilegate", 14, 7, ENGINE, (SHORT, MIDDLE, LONG), (LONG_SWING, SHORT_SWING)
)
CODELIJN = NILEGATE._replace(name="codelijn", gateways=8)
"""Asks the same of its engines, by one gateway more."""
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
    (LONG_SWING, SHORT_SWING),
)

GROWN_LONG = LONG._replace(
    prompt=Lengths(260_000, 0.55, 900_000),
    events=Lengths(17.8, 0.5, 44.6),
    worth=34.0,
    late_worth=8.6,
)
GROWN_MIDDLE = MIDDLE._replace(
    events=Lengths(21.4, 0.6, 53.5), worth=3.3, late_worth=0.82
)
GROWN_SHORT = SHORT._replace(events=Lengths(35.7, 0.7, 89.2), late_worth=0.34)
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
    (LONG_SWING, SHORT_SWING),
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
    (LONG_SWING, SHORT_SWING),
)
LARGE_ENGINE = ENGINE._replace(slots=5, steps_per_pass=53)
NILEGATE_LARGE = Fleet(
    "nilegate-large",
    112,
    75,
    LARGE_ENGINE,
    (
        SHORT._replace(
            events=Lengths(25.9, 0.7, 64.8),
            objective_seconds=0.421,
            pause_seconds=0.3,
            late_worth=0.34,
            per_second=76.0,
        ),
        MIDDLE._replace(
            events=Lengths(15.6, 0.6, 39.0),
            objective_seconds=1.533,
            pause_seconds=0.8,
            worth=2.9,
            late_worth=0.72,
            per_second=6.2,
        ),
        GROWN_LONG._replace(
            events=Lengths(13.0, 0.5, 32.5),
            objective_seconds=4.057,
            pause_seconds=1.2,
            worth=30.0,
            late_worth=7.6,
            per_second=1.56,
        ),
    ),
    (LONG_SWING, SHORT_SWING),
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
    )
}


def draw(fleet: Fleet, seconds: float, load: float, seed: int) -> list[Arrival]:
    """Draw the arrivals of a stretch of time, at `load` times the usual rates."""
    random = Random(f"{fleet.name}:{seed}")
    arrivals = []
    for number, kind in enumerate(fleet.kinds):
        arrivals += draw_kind(fleet, kind, number, seconds, load, random)
    return sorted(arrivals, key=lambda arrival: arrival.at)


def draw_kind(
    fleet: Fleet, kind: Kind, number: int, seconds: float, load: float, random: Random
) -> list[Arrival]:
    """Draw one kind's arrivals, whose rate changes with each stretch."""
    most = max(swing[number] for swing in fleet.swings)
    arrivals = []
    now = random.expovariate(kind.per_second * load * most)
    while now < seconds:
        stretch = int(now / fleet.stretch_seconds) % len(fleet.swings)
        if random.random() < fleet.swings[stretch][number] / most:
            arrivals.append(
                draw_one(fleet, kind, f"{kind.name}-{len(arrivals)}", now, random)
            )
        now += random.expovariate(kind.per_second * load * most)
    return arrivals


def draw_one(
    fleet: Fleet, kind: Kind, request: str, now: float, random: Random
) -> Arrival:
    """Draw one request's lengths and its gateway."""
    prompt = max(1, round(kind.prompt.draw(random)))
    events = max(1, round(kind.events.draw(random)))
    output = events * fleet.model.steps_per_pass
    size = PromptSize(prompt, output)
    return Arrival(request, now, kind, size, output, random.randrange(fleet.gateways))
