"""Make the worlds of a row of the fault matrix, and run pairs of faults."""

from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from itertools import combinations

from common.matrix_changes import ChangeWorld
from common.matrix_requests import KINDS, STEPS_OF_KEYED, RequestWorld

World = RequestWorld | ChangeWorld
MakeWorlds = Callable[[str, tuple[str, ...]], list[World]]

WORKERS = 4
SEEDS = (0, 1, 2)
"""They draw the timers of elections, and so who stands first."""
CLAIM_KINDS = {"claimed": "claimed", "answer stored": "stored"}
STEPS_OF_COMMANDS = ("proposed", "synced at one", "synced at a quorum", "applied")
BEYOND_A_QUORUM = [
    {"disk lost", "second loss after a repair"},
    {"disk lost", "restart after hundreds of changes"},
    {"second loss after a repair", "restart after hundreds of changes"},
]
"""Each takes two of three replicas at once, and no quorum can bear that."""


def request_worlds(step: str, faults: tuple[str, ...]) -> list[World]:
    kinds = ("keyed",) if step in STEPS_OF_KEYED else KINDS
    return [RequestWorld(kind, step, faults) for kind in kinds]


def change_worlds(step: str, faults: tuple[str, ...]) -> list[World]:
    seeds = SEEDS if len(faults) == 1 else SEEDS[:1]
    return [ChangeWorld(step, faults, seed=seed) for seed in seeds]


def claim_worlds(step: str, faults: tuple[str, ...]) -> list[World]:
    kind = CLAIM_KINDS[step]
    return [ChangeWorld(moment, faults, kind) for moment in STEPS_OF_COMMANDS]


def failures_of_pairs(make: MakeWorlds, step: str, faults: list[str]):
    """Run every two faults that make sense together; give each with its failure."""
    pairs = [p for p in combinations(faults, 2) if set(p) not in BEYOND_A_QUORUM]
    with ProcessPoolExecutor(WORKERS) as pool:
        waiting = [pool.submit(failure_of, make, step, pair) for pair in pairs]
        return [
            (pair, done.result()) for pair, done in zip(pairs, waiting, strict=True)
        ]


def failure_of(make: MakeWorlds, step: str, pair: tuple[str, str]) -> str:
    """Run a pair; tell how the first of its worlds breaks a promise, if one does."""
    for world in make(step, pair):
        try:
            world.run()
            world.check()
        except AssertionError as error:
            return f"{world.kind}: {error!r}"
    return ""
