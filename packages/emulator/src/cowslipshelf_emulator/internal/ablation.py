"""Switch off one mechanism of placing at a time, to see what it is worth."""

from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor
from contextlib import ExitStack, contextmanager
from statistics import mean
from typing import Any, NamedTuple
from unittest.mock import patch

from cowslipshelf_emulator.internal.fleet import Delays, build
from cowslipshelf_emulator.internal.load import FLEETS, Fleet, draw
from cowslipshelf_emulator.internal.measures import Figures, figures
from cowslipshelf_emulator.internal.policies import LeastHarm

PRODUCT = "cowslipshelf_core.internal.gateway"
NEVER_SECONDS = 1e6
"""Beyond any play: word that takes so long is never heard."""


class Switch(NamedTuple):
    """Be values of the product's code that leave a mechanism without effect."""

    replaced: tuple[tuple[str, Any], ...] = ()
    """Names within the product's folder for placing, with what stands for them."""
    delays: Delays = Delays()


def nothing(*_args: Any) -> float:
    """Stand for a cost that is not charged."""
    return 0.0


ALL_ON = "nothing is off"
SWITCHES = {
    ALL_ON: Switch(),
    "several engines for one prompt": Switch((("prompt_placement.PART_COUNTS", (1,)),)),
    "harm to those who write": Switch((("placement_cost.harm_to_decoding", nothing),)),
    "harm to those who wait": Switch((("placement_cost.harm_to_queued", nothing),)),
    "cost of sharing an engine": Switch((("placement_cost.sharing_cost", nothing),)),
    "charge for an empty engine": Switch((("placement_cost.EMPTY_ENGINE_COST", 0.0),)),
    "charge for a further engine": Switch(
        (("prompt_placement.EXTRA_ENGINE_COST", 0.0),)
    ),
    "draw of engines to weigh": Switch(
        (
            ("prompt_placement.MAX_ENGINES_WEIGHED", 10_000),
            ("prompt_placement.MAX_ENGINES_WEIGHED_FOR_SHORT", 10_000),
        )
    ),
    "late writers count less": Switch(
        (("engine_simulation.EngineSimulation.mark_late", nothing),)
    ),
    "word of work between gateways": Switch(delays=Delays(word=NEVER_SECONDS)),
}


class Ablated(NamedTuple):
    """Be what callers got with a mechanism off, one figure a seed."""

    off: str
    worths: tuple[float, ...]
    short_in_time: float
    """Mean share of the first kind's requests that were in time."""

    @property
    def worth(self) -> float:
        """Return the mean worth over the seeds."""
        return mean(self.worths)


@contextmanager
def switched_off(switch: Switch) -> Iterator[None]:
    """Leave a mechanism without effect meanwhile."""
    with ExitStack() as stack:
        for name, value in switch.replaced:
            stack.enter_context(patch(f"{PRODUCT}.{name}", value))
        yield


def play_without(
    fleet: Fleet, off: str, seconds: float, load: float, seed: int
) -> Figures:
    """Play one load with a mechanism off."""
    switch = SWITCHES[off]
    arrivals = draw(fleet, seconds, load, seed)
    with switched_off(switch):
        emulated = build(fleet, LeastHarm, seed)
        emulated.delays = switch.delays
        return figures(emulated.play(arrivals))


def ablate(
    fleet: str, seconds: float, load: float, seeds: list[int], processes: int
) -> Iterator[Ablated]:
    """Play a fleet's load with each mechanism off, on the same arrivals."""
    first_kind = FLEETS[fleet].kinds[0].name
    with ProcessPoolExecutor(processes) as pool:
        plays = {
            off: [
                pool.submit(play_without, FLEETS[fleet], off, seconds, load, seed)
                for seed in seeds
            ]
            for off in SWITCHES
        }
        for off, submitted in plays.items():
            played = [each.result() for each in submitted]
            yield Ablated(
                off,
                tuple(each.worth for each in played),
                mean(each.kinds[first_kind].in_time for each in played),
            )
