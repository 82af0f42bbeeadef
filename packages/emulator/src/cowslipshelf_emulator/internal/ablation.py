"""Disable one mechanism of prompt placement at a time and measure the lost value."""

from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor
from contextlib import ExitStack, contextmanager
from statistics import mean
from typing import Any, NamedTuple
from unittest.mock import patch

from cowslipshelf_emulator.internal.fleet import Delays, build
from cowslipshelf_emulator.internal.load import FLEETS, Fleet, draw_arrivals
from cowslipshelf_emulator.internal.policies import LeastHarm
from cowslipshelf_emulator.internal.statistics import Figures, summarize

GATEWAY_PACKAGE = "cowslipshelf_core.internal.gateway"
"""Package whose code is patched."""
NEVER_SECONDS = 1e6
"""Longer than any simulation, so that gossip never arrives."""


class Ablation(NamedTuple):
    """Describe how to disable a mechanism of the gateways' placement code."""

    replacements: tuple[tuple[str, Any], ...] = ()
    """Names within `GATEWAY_PACKAGE` and the values that replace them."""
    delays: Delays = Delays()


def zero_cost(*_args: Any) -> float:
    """Replace a cost function by one that charges nothing."""
    return 0.0


ALL_ON = "nothing is off"
ABLATIONS = {
    ALL_ON: Ablation(),
    "several engines for one prompt": Ablation(
        (("prompt_placement.PART_COUNTS", (1,)),)
    ),
    "harm to those who write": Ablation(
        (("placement_cost.harm_to_decoding", zero_cost),)
    ),
    "harm to those who wait": Ablation((("placement_cost.harm_to_queued", zero_cost),)),
    "cost of sharing an engine": Ablation(
        (("placement_cost.sharing_cost", zero_cost),)
    ),
    "charge for an empty engine": Ablation(
        (("placement_cost.EMPTY_ENGINE_COST", 0.0),)
    ),
    "charge for a further engine": Ablation(
        (("prompt_placement.EXTRA_ENGINE_COST", 0.0),)
    ),
    "draw of engines to weigh": Ablation(
        (
            ("prompt_placement.MAX_ENGINES_WEIGHED", 10_000),
            ("prompt_placement.MAX_ENGINES_WEIGHED_FOR_SHORT", 10_000),
        )
    ),
    "short prompts fill engines": Ablation(
        (("placement_cost.spreading_cost", zero_cost),)
    ),
    "cost of an unserved request": Ablation((("engine_forecast.UNSERVED_COST", 0.0),)),
    "late writers count less": Ablation(
        (("engine_simulation.EngineSimulation.mark_late", zero_cost),)
    ),
    "word of work between gateways": Ablation(delays=Delays(gossip=NEVER_SECONDS)),
}


class AblationResult(NamedTuple):
    """Hold the results with one mechanism disabled."""

    off: str
    values: tuple[float, ...]
    """Share of the possible value that was earned, for each seed."""
    short_in_time: float
    """Share of requests of the first kind that were in time, averaged over seeds."""

    @property
    def value(self) -> float:
        """Return the mean value over the seeds."""
        return mean(self.values)


@contextmanager
def mechanism_disabled(ablation: Ablation) -> Iterator[None]:
    """Disable a mechanism within the context."""
    with ExitStack() as stack:
        for name, value in ablation.replacements:
            stack.enter_context(patch(f"{GATEWAY_PACKAGE}.{name}", value))
        yield


def simulate_without(
    fleet: Fleet, off: str, seconds: float, load: float, seed: int
) -> Figures:
    """Simulate one load with a mechanism disabled."""
    ablation = ABLATIONS[off]
    arrivals = draw_arrivals(fleet, seconds, load, seed)
    with mechanism_disabled(ablation):
        emulated = build(fleet, LeastHarm, seed)
        emulated.delays = ablation.delays
        return summarize(emulated.run(arrivals))


def ablate(
    fleet: str, seconds: float, load: float, seeds: list[int], processes: int
) -> Iterator[AblationResult]:
    """Simulate a fleet's load with each mechanism disabled, on the same arrivals."""
    first_kind = FLEETS[fleet].kinds[0].name
    with ProcessPoolExecutor(processes) as pool:
        simulations = {
            off: [
                pool.submit(simulate_without, FLEETS[fleet], off, seconds, load, seed)
                for seed in seeds
            ]
            for off in ABLATIONS
        }
        for off, submitted in simulations.items():
            results = [each.result() for each in submitted]
            yield AblationResult(
                off,
                tuple(each.value for each in results),
                mean(each.kinds[first_kind].in_time for each in results),
            )
