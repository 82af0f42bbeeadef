"""Draw the requests of a load and their times from a seed."""

import math
from collections.abc import Iterator
from random import Random
from typing import NamedTuple


class CustomerShare(NamedTuple):
    """Hold a customer and its share of the arrivals, relative to the others."""

    name: str
    share: float


class LoadShape(NamedTuple):
    """Describe the distribution that a load is drawn from."""

    seed: int
    arrivals_per_second: float
    seconds: float
    shortest_tokens: int
    long_tokens: int
    """Prompts longer than this are long."""
    longest_tokens: int
    long_share: float
    customers: tuple[CustomerShare, ...]


class Arrival(NamedTuple):
    """Hold one request of a load."""

    index: int
    at_seconds: float
    """Planned time since the start of the load."""
    customer: str
    prompt_tokens: int


class LoadShapeError(ValueError):
    """Signal a shape that no load can be drawn from."""


def check_shape(shape: LoadShape) -> None:
    """Raise `LoadShapeError` if no load can be drawn."""
    bounds = (shape.shortest_tokens, shape.long_tokens, shape.longest_tokens)
    if bounds[0] < 1 or list(bounds) != sorted(bounds):
        raise LoadShapeError(
            "needed: 1 <= shortest tokens <= long tokens <= longest tokens"
        )
    if not 0 <= shape.long_share <= 1:
        raise LoadShapeError("the share of long prompts lies between 0 and 1")
    positive = (shape.arrivals_per_second, shape.seconds)
    if not all(math.isfinite(number) and number > 0 for number in positive):
        raise LoadShapeError("the rate and the seconds are above 0")
    shares = [customer.share for customer in shape.customers]
    if not shares or not all(math.isfinite(each) and each > 0 for each in shares):
        raise LoadShapeError("needed: at least one customer, each with a share above 0")


def draw_arrivals(shape: LoadShape) -> Iterator[Arrival]:
    """Draw a Poisson process of requests, the earliest first.

    Times, lengths and customers come from separate random streams, so that two loads
    that differ in one of them still share the others.
    """
    times = Random(f"{shape.seed}/times")
    lengths = Random(f"{shape.seed}/lengths")
    senders = Random(f"{shape.seed}/customers")
    names = [customer.name for customer in shape.customers]
    shares = [customer.share for customer in shape.customers]
    at, index = times.expovariate(shape.arrivals_per_second), 0
    while at < shape.seconds:
        (customer,) = senders.choices(names, shares)
        yield Arrival(index, at, customer, draw_length(shape, lengths))
        at += times.expovariate(shape.arrivals_per_second)
        index += 1


def draw_length(shape: LoadShape, random: Random) -> int:
    """Draw a log-uniform prompt length from the range of long or of other prompts."""
    is_long = random.random() < shape.long_share
    low, high = (
        (shape.long_tokens + 1, shape.longest_tokens)
        if is_long
        else (shape.shortest_tokens, shape.long_tokens)
    )
    length = round(math.exp(random.uniform(math.log(low), math.log(max(low, high)))))
    return min(max(length, low), max(low, high))
