"""Send a seeded load to the entries of one choice, and summarize the outcomes."""

import os
import threading
from collections import Counter
from collections.abc import Sequence
from random import Random
from typing import Any, NamedTuple

from real_path_fleet import (
    CHUNK_TOKENS,
    CUSTOMER_SHARES,
    CUSTOMERS,
    MEMORY_TOKENS,
    MODEL,
    PREFILL_SECONDS_PER_TOKEN,
    PREFILL_SECONDS_PER_TOKEN_SQUARED,
    STEP_SECONDS,
    TIME_SCALE,
    ComparisonFleet,
    customer_key,
)

from cowslipshelf_cli.load import (
    Arrival,
    CustomerShare,
    Ending,
    FiguresConfig,
    LoadClock,
    LoadShape,
    Outcome,
    Quantiles,
    Sender,
    SenderConfig,
    UnloadedTime,
    draw_arrivals,
    run_open_loop,
    summarize,
)

MIN_PROMPT_TOKENS = 1_000
SHORT_TOKENS = 8_000
LONG_TOKENS = 100_000
MAX_PROMPT_TOKENS = 1_000_000
LONG_SHARE = 0.02
OUTPUT_TOKENS = 48
STEP_SECONDS_PER_DECODE = 0.0003
SHORT_DEADLINE_SECONDS = 5.0
LONG_DEADLINE_SECONDS = 20.0
MAX_CONCURRENT = 400
CAPACITY_DRAWS = 50_000
CALIBRATIONS = 24
KILL_TIME_SHARE = 0.4
"""Share of a run after which engines are killed."""


class Run(NamedTuple):
    """Describe one load that is sent to the entries of one choice."""

    choice: str
    load: float
    """Offered engine time as a share of the engines' capacity."""
    seed: int
    with_long: bool = True
    engines_lost: int = 0

    def name(self) -> str:
        """Return the run's name, without the choice."""
        parts = [f"{self.load:g} of capacity"]
        if not self.with_long:
            parts.append("no long prompts")
        if self.engines_lost:
            parts.append(f"{self.engines_lost} engines lost")
        return ", ".join(parts)


def engine_seconds(prompt_tokens: int) -> float:
    """Return the real seconds of engine time that a request uses in a full batch."""
    linear = PREFILL_SECONDS_PER_TOKEN * prompt_tokens
    squared = PREFILL_SECONDS_PER_TOKEN_SQUARED * prompt_tokens**2
    steps = -(-prompt_tokens // CHUNK_TOKENS) * STEP_SECONDS
    decode = OUTPUT_TOKENS * STEP_SECONDS_PER_DECODE
    return TIME_SCALE * (linear + squared + steps + decode)


def load_shape(seed: int, rate: float, seconds: float) -> LoadShape:
    """Return the load shape, which is the same for all runs but for seed and rate."""
    customers = tuple(
        CustomerShare(name, share)
        for name, share in zip(CUSTOMERS, CUSTOMER_SHARES, strict=True)
    )
    return LoadShape(
        seed,
        rate,
        seconds,
        MIN_PROMPT_TOKENS,
        LONG_TOKENS,
        MAX_PROMPT_TOKENS,
        LONG_SHARE,
        customers,
    )


def capacity_per_second(engines: int) -> float:
    """Return the arrivals per second that fully use all engines.

    Prompts that fit no engine are refused and use no engine time.
    """
    shape = load_shape(seed=0, rate=1.0, seconds=float(CAPACITY_DRAWS))
    lengths = [arrival.prompt_tokens for arrival in draw_arrivals(shape)]
    taken = sum(engine_seconds(tokens) for tokens in lengths if fits(tokens))
    return engines * len(lengths) / taken


def fits(prompt_tokens: int) -> bool:
    """Return whether one engine can hold the request."""
    return prompt_tokens + OUTPUT_TOKENS <= MEMORY_TOKENS


def draw_run_arrivals(run: Run, rate: float, seconds: float) -> list[Arrival]:
    """Draw a run's arrivals, which are the same for every choice."""
    drawn = draw_arrivals(load_shape(run.seed, run.load * rate, seconds))
    return [a for a in drawn if run.with_long or a.prompt_tokens <= LONG_TOKENS]


class DeadlineSender:
    """Send short and long prompts with different deadlines."""

    def __init__(self, addresses: tuple[str, ...], marker: str) -> None:
        self.short, self.long = (
            Sender(
                SenderConfig(
                    addresses,
                    MODEL,
                    OUTPUT_TOKENS,
                    deadline,
                    MAX_CONCURRENT,
                    f"{kind}-{marker}",
                    {name: customer_key(name) for name in CUSTOMERS},
                )
            )
            for kind, deadline in (
                ("s", SHORT_DEADLINE_SECONDS),
                ("l", LONG_DEADLINE_SECONDS),
            )
        )

    def send(self, arrival: Arrival, planned: float) -> Outcome:
        """Send one request."""
        sender = self.long if arrival.prompt_tokens > LONG_TOKENS else self.short
        return sender.send(arrival, planned)

    def close(self) -> None:
        """Close pooled connections."""
        self.short.close()
        self.long.close()


def prompt_marker(run: Run) -> str:
    """Return a prefix for a run's prompts, so that no other run has cached them."""
    return "-".join(
        (
            run.choice,
            f"{run.load:g}".replace(".", ""),
            str(run.seed),
            str(run.with_long),
            str(run.engines_lost),
        )
    )


def calibrate(addresses: tuple[str, ...]) -> UnloadedTime:
    """Measure the first-token time of single short prompts in an idle fleet."""
    sender = DeadlineSender(addresses, "calibrate")
    random = Random(0)
    samples = []
    try:
        for index in range(CALIBRATIONS):
            tokens = random.randint(MIN_PROMPT_TOKENS, SHORT_TOKENS)
            arrival = Arrival(index, 0.0, CUSTOMERS[0], tokens)
            outcome = sender.send(arrival, sender.short.now())
            if outcome.first_token_seconds is not None:
                samples.append((tokens, outcome.first_token_seconds))
    finally:
        sender.close()
    unloaded = UnloadedTime.from_samples(samples)
    if unloaded is None:
        raise RuntimeError("no calibration request was answered")
    return unloaded


def run_load(
    fleet: ComparisonFleet, run: Run, rate: float, seconds: float
) -> list[Outcome]:
    """Send one run's load, and kill its lost engines part of the way through."""
    arrivals = draw_run_arrivals(run, rate, seconds)
    sender = DeadlineSender(fleet.callers_of(run.choice), prompt_marker(run))
    killer = threading.Timer(
        KILL_TIME_SHARE * seconds, fleet.kill_engines, [run.engines_lost]
    )
    killer.start()
    try:
        return run_open_loop(arrivals, sender.send, MAX_CONCURRENT, LoadClock())
    finally:
        sender.close()
        killer.join()


def deadline_of(outcome: Outcome) -> float:
    """Return the deadline that a request was sent with."""
    is_long = outcome.arrival.prompt_tokens > LONG_TOKENS
    return LONG_DEADLINE_SECONDS if is_long else SHORT_DEADLINE_SECONDS


def in_time_share(outcomes: Sequence[Outcome]) -> float:
    """Return the share answered completely within the deadline."""
    in_time = sum(
        each.ending is Ending.WHOLE and (each.total_seconds or 0) <= deadline_of(each)
        for each in outcomes
    )
    return in_time / len(outcomes) if outcomes else 0.0


def goodput(outcomes: Sequence[Outcome]) -> float:
    """Return the engine seconds of the requests that were answered in time."""
    return sum(
        engine_seconds(each.arrival.prompt_tokens)
        for each in outcomes
        if each.ending is Ending.WHOLE
        and (each.total_seconds or 0) <= deadline_of(each)
    )


CLASSES = {
    "short (to 8k)": (0, SHORT_TOKENS),
    "medium (to 100k)": (SHORT_TOKENS, LONG_TOKENS),
    "long (over 100k)": (LONG_TOKENS, MAX_PROMPT_TOKENS),
}


def summarize_classes(outcomes: Sequence[Outcome]) -> dict[str, Any]:
    """Summarize by prompt length, without prompts that fit no engine."""
    figures = {}
    for name, (above, at_most) in CLASSES.items():
        members = [
            each
            for each in outcomes
            if above < each.arrival.prompt_tokens <= at_most
            and fits(each.arrival.prompt_tokens)
        ]
        first = [
            each.first_token_seconds
            for each in members
            if each.ending is Ending.WHOLE and each.first_token_seconds is not None
        ]
        figures[name] = {
            "planned": len(members),
            "in_time_share": in_time_share(members),
            "first_token_seconds": Quantiles.from_values(first)._asdict(),
            "refusals": dict(
                Counter(e.code for e in members if e.ending is Ending.REFUSED)
            ),
        }
    return figures


def summarize_run(
    run: Run, outcomes: Sequence[Outcome], seconds: float, unloaded: UnloadedTime
) -> dict[str, Any]:
    """Return a run and its results as a JSON document."""
    summary = summarize(outcomes, FiguresConfig(SHORT_TOKENS, 0.0, unloaded))
    fitting = [each for each in outcomes if fits(each.arrival.prompt_tokens)]
    slowdown = summary.short_slowdown
    return {
        "run": run._asdict() | {"name": run.name()},
        "load_average": os.getloadavg(),
        "planned": summary.planned,
        "fit_no_engine": len(outcomes) - len(fitting),
        "in_time_share_of_those_that_fit": in_time_share(fitting),
        "offered_engine_seconds_per_second": sum(
            engine_seconds(each.arrival.prompt_tokens) for each in fitting
        )
        / seconds,
        "goodput_engine_seconds_per_second": goodput(outcomes) / seconds,
        "endings": summary.endings,
        "refusals": summary.refusals,
        "breaks": summary.breaks,
        "sent_late_by_the_tool": summary.late_arrivals,
        "classes": summarize_classes(outcomes),
        "buckets": {
            name: each._asdict() for name, each in summary.first_token_seconds.items()
        },
        "short_slowdown": slowdown._asdict() if slowdown else None,
    }
