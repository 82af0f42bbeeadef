"""Measure the decision logic alone: no socket, no thread, no disk."""

from collections.abc import Callable
from random import Random
from time import process_time

from cowslipshelf_core.announcing import (
    EntryChooser,
    EntryChooserConfig,
    EntryEndpoint,
    digest_entries,
)
from cowslipshelf_core.directory import (
    AnnounceArrived,
    Directory,
    DirectoryConfig,
)
from cowslipshelf_core.directory import TickElapsed as DirectoryTick
from cowslipshelf_core.directory_events import LoadUpdated, UpstreamAvailable
from cowslipshelf_core.placement_feedback import (
    AttemptEnded,
    AttemptOutcome,
    FirstTokenSeen,
    HandOverAccepted,
)
from cowslipshelf_core.routing import (
    ConfigurationApplied,
    PlacementAsked,
    PlacementId,
    Router,
    RouterConfig,
)
from cowslipshelf_core.routing import TickElapsed as RouterTick
from cowslipshelf_core.sidecar import ConfigurationApplied as SidecarConfigured
from cowslipshelf_core.sidecar import (
    FirstTokenArrived,
    HandOverArrived,
    OwnerSeen,
    SidecarConfig,
    SidecarState,
    UpstreamAccepted,
    UpstreamFinished,
)
from cowslipshelf_core.sidecar import TickElapsed as SidecarTick
from slopes.fitting import Experiment, Reading
from slopes.samples import (
    EPOCH,
    announce,
    configuration,
    description,
    facts,
    hand_over,
    load,
)

MICROSECONDS = 1e6
MIN_SECONDS = 0.2
"""Processor time after which a timing loop ends."""
OUTPUT_TOKENS = 100
SECONDS_BETWEEN_REQUESTS = 0.05


def microseconds(work: Callable[[int], None]) -> float:
    """Return the mean processor time of a call; its argument counts the calls."""
    calls = 0
    began = process_time()
    while True:
        work(calls)
        calls += 1
        elapsed = process_time() - began
        if elapsed >= MIN_SECONDS:
            return elapsed / calls * MICROSECONDS


def time_repeatedly(
    repeats: int, works: dict[str, Callable[[int], None]]
) -> list[list[Reading]]:
    """Time each function once in every repeat."""
    return [
        [Reading(name, "us", microseconds(work)) for name, work in works.items()]
        for _ in range(repeats)
    ]


def measure_directory(upstreams: int, repeats: int) -> list[list[Reading]]:
    """Measure an announcement and a tick of a directory with many upstreams."""
    directory = Directory.from_config(DirectoryConfig())
    sequences = [0] * upstreams

    def receive(number: int) -> None:
        sequences[number] += 1
        event = AnnounceArrived(announce(number, sequences[number]), "s", "a")
        directory.handle(event, 0.0)

    for number in range(upstreams):
        receive(number)
    ready = announce(0, 0)

    def announcement(call: int) -> None:
        # Each report needs a higher sequence than the last, as from a real sidecar.
        newer = ready.load._replace(sequence=sequences[0] + call + 1)
        event = AnnounceArrived(
            type(ready)(ready.description, ready.epoch, 3.0, newer), "s", "a"
        )
        directory.handle(event, 0.0)

    def tick(_: int) -> None:
        directory.handle(DirectoryTick(), 0.0)

    return time_repeatedly(repeats, {"announcement": announcement, "tick": tick})


def build_router(upstreams: int) -> Router:
    """Build a router with a number of known upstreams."""
    router = Router.from_config(RouterConfig())
    random = Random(1)
    router.handle(ConfigurationApplied(configuration(1)), 0.0, random)
    for number in range(upstreams):
        event = UpstreamAvailable(description(number), EPOCH, load(1))
        router.handle(event, 0.0, random)
    return router


def measure_router(upstreams: int, repeats: int) -> list[list[Reading]]:
    """Measure a placement up to its end, a load report and a tick."""
    router = build_router(upstreams)
    random = Random(1)
    placement_count = [0]

    def placement(_: int) -> None:
        placement_count[0] += 1
        now = placement_count[0] * SECONDS_BETWEEN_REQUESTS
        placement_facts = facts(placement_count[0])
        attempt_id = placement_facts.attempt_id
        event = PlacementAsked(PlacementId(attempt_id), placement_facts)
        answers = router.handle(event, now, random)
        if not answers:
            raise RuntimeError("a placement was not answered at once")
        router.handle(HandOverAccepted(attempt_id), now, random)
        router.handle(FirstTokenSeen(attempt_id, 0.1), now, random)
        ended = AttemptEnded(attempt_id, AttemptOutcome.FINISHED)
        router.handle(ended, now, random)

    last_sequence = [1]
    name = description(0).upstream_id

    def report(_: int) -> None:
        last_sequence[0] += 1
        event = LoadUpdated(name, EPOCH, load(last_sequence[0]))
        router.handle(event, 0.0, random)

    def tick(call: int) -> None:
        router.handle(RouterTick(), call * 1e-6, random)

    works = {"placement": placement, "load report": report, "tick": tick}
    return time_repeatedly(repeats, works)


def measure_sidecar(open_attempts: int, repeats: int) -> list[list[Reading]]:
    """Measure an attempt, a tick and a load report beside open attempts."""
    config = SidecarConfig(description(0), EPOCH, max_running=open_attempts + 16)
    state = SidecarState.from_config(config)
    state.handle(SidecarConfigured(configuration(1)), 0.0)
    numbers = [0]

    def start_attempt() -> str:
        numbers[0] += 1
        attempt = hand_over(numbers[0])
        state.handle(OwnerSeen(attempt.owner), 0.0)
        state.handle(HandOverArrived(attempt), 0.0)
        state.handle(UpstreamAccepted(attempt.attempt_id), 0.0)
        state.handle(FirstTokenArrived(attempt.attempt_id), 0.0)
        return attempt.attempt_id

    for _ in range(open_attempts):
        start_attempt()

    def attempt(_: int) -> None:
        attempt_id = start_attempt()
        state.handle(UpstreamFinished(attempt_id, True, OUTPUT_TOKENS), 0.0)

    def tick(_: int) -> None:
        state.handle(SidecarTick(), 0.0)

    def report(_: int) -> None:
        state.load_report()

    works = {"attempt": attempt, "tick": tick, "load report": report}
    return time_repeatedly(repeats, works)


def measure_announcing(entries: int, repeats: int) -> list[list[Reading]]:
    """Measure how a sidecar chooses entries, and the digest of the entries' list."""
    endpoints = [
        EntryEndpoint(f"coruche-hall-entry-{n:03}", f"10.20.30.40:{10_000 + n}")
        for n in range(entries)
    ]
    config = EntryChooserConfig(description(0).upstream_id)
    chooser = EntryChooser.from_config(config, endpoints)

    def choice(_: int) -> None:
        chooser.targets(0.0)

    def digest(_: int) -> None:
        digest_entries(endpoints)

    return time_repeatedly(repeats, {"choice": choice, "digest of the list": digest})


EXPERIMENTS = (
    Experiment("announcing", "entry instance", (3, 50, 400), measure_announcing),
    Experiment("directory", "upstream heard", (16, 64, 256, 1_300), measure_directory),
    Experiment("router", "upstream heard", (16, 64, 256, 1_300), measure_router),
    Experiment("sidecar decisions", "open attempt", (1, 50, 300), measure_sidecar),
)
