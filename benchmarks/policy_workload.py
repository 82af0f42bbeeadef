"""Draw the requests of a simulated run."""

from math import exp, log
from random import Random
from typing import NamedTuple

from policy_engine import MEMORY_TOKENS, engine_seconds

LONG_TOKENS = 100_000
SHORT_TOKENS = 8_000
MIN_PROMPT_TOKENS = 1_000
MAX_PROMPT_TOKENS = 1_000_000
LONG_SHARE = 0.02
MAX_OUTPUT_TOKENS = 512
OUTPUT_TOKENS = (50, 350)
SHORT_DEADLINE_SECONDS = 30.0
LONG_DEADLINE_SECONDS = 120.0
CUSTOMERS = tuple(f"customer-{number}" for number in range(10))
CUSTOMER_SHARES = (25, 25, 25) + (25 / 7,) * 7
CALIBRATION_DRAWS = 50_000


class FleetShape(NamedTuple):
    """Describe the fleet of one user."""

    name: str
    service: str
    upstreams: int
    data_centres: tuple[str, ...]
    latency_seconds: float
    long_prompt_weight: float


NILEGATE = FleetShape(
    "nilegate", "scribe", 14, ("maadi", "nasr", "smart-village"), 0.001, 4.0
)
COOPERATIVE = FleetShape(
    "cooperative",
    "assist-llm",
    23,
    ("coruche-hall", "santarem-hall", "benavente-hall"),
    0.0015,
    1.0,
)


class Request(NamedTuple):
    """Describe an arriving request."""

    number: int
    at: float
    customer: str
    prompt_tokens: int
    output_tokens: int
    deadline_seconds: float
    entry: int

    @property
    def is_long(self) -> bool:
        """Return whether the prompt counts as long."""
        return self.prompt_tokens > LONG_TOKENS

    @property
    def is_short(self) -> bool:
        """Return whether the prompt counts as short."""
        return self.prompt_tokens <= SHORT_TOKENS


def log_uniform(random: Random, minimum: int, maximum: int) -> int:
    """Draw a length whose logarithm is uniform."""
    return int(exp(random.uniform(log(minimum), log(maximum))))


def draw_lengths(random: Random) -> tuple[int, int]:
    """Draw prompt and output length of one request."""
    if random.random() < LONG_SHARE:
        prompt = log_uniform(random, LONG_TOKENS + 1, MAX_PROMPT_TOKENS)
    else:
        prompt = log_uniform(random, MIN_PROMPT_TOKENS, LONG_TOKENS)
    return prompt, random.randint(*OUTPUT_TOKENS)


def fits(prompt_tokens: int) -> bool:
    """Return whether one engine can hold the request."""
    return prompt_tokens + MAX_OUTPUT_TOKENS <= MEMORY_TOKENS


def mean_engine_seconds() -> float:
    """Return the mean engine time of a request; those that fit no engine count zero."""
    random = Random(0)
    total = 0.0
    for _ in range(CALIBRATION_DRAWS):
        prompt, output = draw_lengths(random)
        if fits(prompt):
            total += engine_seconds(prompt, output)
    return total / CALIBRATION_DRAWS


def draw_requests(
    shape: FleetShape, load: float, seconds: float, entries: int, seed: int
) -> list[Request]:
    """Draw Poisson arrivals; `load` is a share of the fleet's capacity."""
    random = Random(f"{shape.name}:{seed}")
    rate = load * shape.upstreams / mean_engine_seconds()
    requests = []
    now = random.expovariate(rate)
    while now < seconds:
        prompt, output = draw_lengths(random)
        is_long = prompt > LONG_TOKENS
        requests.append(
            Request(
                len(requests),
                now,
                random.choices(CUSTOMERS, CUSTOMER_SHARES)[0],
                prompt,
                output,
                LONG_DEADLINE_SECONDS if is_long else SHORT_DEADLINE_SECONDS,
                random.randrange(entries),
            )
        )
        now += random.expovariate(rate)
    return requests
