"""Define the commands of the emulator."""

import json
import sys
from dataclasses import dataclass, field
from pathlib import Path
from typing import Annotated

import cappa

from cowslipshelf_emulator.internal.ablation import ablate
from cowslipshelf_emulator.internal.fleet import build
from cowslipshelf_emulator.internal.limit_cases import (
    CASES,
    DIVISIONS,
    play_case,
    play_history,
)
from cowslipshelf_emulator.internal.load import FLEETS, draw_arrivals
from cowslipshelf_emulator.internal.log_comparison import compare, read_attempts
from cowslipshelf_emulator.internal.policies import POLICIES
from cowslipshelf_emulator.internal.statistics import Figures, summarize

HEADER = "kind     asked  in time  late  refused  left  first p50  p95  pause p95 (ms)"


@cappa.command(name="play")
@dataclass
class Play:
    """Play a fleet's load under some policies."""

    fleet: Annotated[str, cappa.Arg(help=f"one of {', '.join(FLEETS)}")]
    policies: Annotated[
        list[str], cappa.Arg(short="-p", long="--policy", help="; ".join(POLICIES))
    ]
    seconds: Annotated[float, cappa.Arg(long=True)] = 40.0
    load: Annotated[float, cappa.Arg(long=True, help="times the usual rates")] = 1.0
    seed: Annotated[int, cappa.Arg(long=True)] = 1

    def __call__(self) -> None:
        """Print a table for each policy."""
        fleet = FLEETS[self.fleet]
        for policy in self.policies or list(POLICIES):
            arrivals = draw_arrivals(fleet, self.seconds, self.load, self.seed)
            outcomes = build(fleet, POLICIES[policy], self.seed).run(arrivals)
            print_figures(f"{fleet.name}, {policy}", summarize(outcomes))


@cappa.command(name="check")
@dataclass
class Check:
    """Compare the emulated engines with what gateways logged."""

    logs: Annotated[list[Path], cappa.Arg(help="files of gateways' logs")]
    fleet: Annotated[str, cappa.Arg(long=True, help="whose engines ran")] = "nilegate"

    def __call__(self) -> None:
        """Print the measured and the emulated times as JSON."""
        attempts = list(read_attempts(self.logs))
        json.dump(compare(FLEETS[self.fleet], attempts), sys.stdout, indent=2)
        print()


@cappa.command(name="ablate")
@dataclass
class Ablate:
    """Play a fleet's load with one mechanism of placing off at a time."""

    fleet: Annotated[str, cappa.Arg(help=f"one of {', '.join(FLEETS)}")]
    seconds: Annotated[float, cappa.Arg(long=True)] = 40.0
    load: Annotated[float, cappa.Arg(long=True, help="times the usual rates")] = 1.0
    seeds: Annotated[list[int], cappa.Arg(long="--seed")] = field(
        default_factory=lambda: [1, 2, 3, 4]
    )
    processes: Annotated[int, cappa.Arg(long=True)] = 4

    def __call__(self) -> None:
        """Print a row for each disabled mechanism."""
        print("worth  short in time  by seed  off")
        for row in ablate(
            self.fleet, self.seconds, self.load, self.seeds, self.processes
        ):
            by_seed = " ".join(f"{value:.3f}" for value in row.values)
            print(
                f"{row.value:.3f}  {row.short_in_time:.3f}  {by_seed}  {row.off}",
                flush=True,
            )


@cappa.command(name="limits")
@dataclass
class Limits:
    """Play gateways that share the limit of one upstream."""

    seeds: Annotated[int, cappa.Arg(long=True)] = 3
    first: Annotated[int, cappa.Arg(long=True, help="the first seed")] = 0
    histories: Annotated[
        bool, cappa.Arg(long=True, help="random faults instead of given cases")
    ] = False

    def __call__(self) -> None:
        """Print the fullest window, as a part of what is allowed, and the use."""
        seeds = range(self.first, self.first + self.seeds)
        if self.histories:
            for seed in seeds:
                played = play_history(seed)
                print(
                    f"seed {seed}: window {played.fullest:.3f}, used {played.used:.2f}"
                )
            return
        for case in CASES:
            for name, division in DIVISIONS.items():
                results = [play_case(division, case, seed) for seed in seeds]
                fullest = max(each.fullest for each in results)
                used = sum(each.used for each in results) / len(results)
                print(f"{case.name}, {name}: window {fullest:.2f}, used {used:.2f}")


@dataclass
class Emulator:
    """Emulate engines and the gateways before them."""

    command: cappa.Subcommands[Play | Check | Ablate | Limits]


def print_figures(title: str, result: Figures) -> None:
    """Print the figures of one simulated load."""
    print(f"{title}: worth {result.value:.3f}")
    print(HEADER)
    for name, kind in sorted(result.kinds.items()):
        print(
            f"{name:8} {kind.requests:5}  {kind.in_time:7.3f} {kind.late:5.3f}"
            f"  {kind.refused:7.3f} {kind.left:5.3f}  {kind.first_p50:9.0f}"
            f" {kind.first_p95:4.0f}  {kind.pause_p95:9.0f}"
        )


def main() -> None:
    """Run the program."""
    cappa.invoke(Emulator)
