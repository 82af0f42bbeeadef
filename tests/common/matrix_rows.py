"""Create the simulations of a fault matrix row, and run pairs of faults."""

from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from itertools import combinations

from common.matrix_changes import ChangeSimulation
from common.matrix_requests import KEYED_STEPS, KINDS, RequestSimulation

Simulation = RequestSimulation | ChangeSimulation
MakeSimulations = Callable[[str, tuple[str, ...]], list[Simulation]]

WORKERS = 4
SEEDS = (0, 1, 2)
"""Seeds of the election timers, which decide the first candidate."""
CLAIM_KINDS = {"claimed": "claimed", "answer stored": "stored"}
STEPS_OF_COMMANDS = ("proposed", "synced at one", "synced at a quorum", "applied")
BEYOND_A_QUORUM = [
    {"disk lost", "second loss after a repair"},
    {"disk lost", "restart after hundreds of changes"},
    {"second loss after a repair", "restart after hundreds of changes"},
]
"""Each pair takes down two of three replicas at once, which leaves no quorum."""


def request_simulations(step: str, faults: tuple[str, ...]) -> list[Simulation]:
    kinds = ("keyed",) if step in KEYED_STEPS else KINDS
    return [RequestSimulation(kind, step, faults) for kind in kinds]


def change_simulations(step: str, faults: tuple[str, ...]) -> list[Simulation]:
    seeds = SEEDS if len(faults) == 1 else SEEDS[:1]
    return [ChangeSimulation(step, faults, seed=seed) for seed in seeds]


def claim_simulations(step: str, faults: tuple[str, ...]) -> list[Simulation]:
    kind = CLAIM_KINDS[step]
    return [ChangeSimulation(moment, faults, kind) for moment in STEPS_OF_COMMANDS]


def pair_failures(make: MakeSimulations, step: str, faults: list[str]):
    """Run each pair of faults that leaves a quorum; return it with its failure."""
    pairs = [p for p in combinations(faults, 2) if set(p) not in BEYOND_A_QUORUM]
    with ProcessPoolExecutor(WORKERS) as pool:
        waiting = [pool.submit(pair_failure, make, step, pair) for pair in pairs]
        return [
            (pair, done.result()) for pair, done in zip(pairs, waiting, strict=True)
        ]


def pair_failure(make: MakeSimulations, step: str, pair: tuple[str, str]) -> str:
    """Run a pair; return the first violated guarantee, or an empty string."""
    for simulation in make(step, pair):
        try:
            simulation.run()
            simulation.check()
        except AssertionError as error:
            return f"{simulation.kind}: {error!r}"
    return ""
