"""Work out what each role costs at the size of the letter, from measured slopes.

Run after the slopes were measured: `python -m slopes.budget`. What is assumed rather
than measured or given stands in `slopes.letter.Assumptions`.
"""

import argparse
import json
import sys
from collections.abc import Iterator
from pathlib import Path
from typing import Any, NamedTuple

from cowslipshelf_core.internal.control.limits import MAX_CLAIMS
from slopes.fitting import Line
from slopes.letter import Assumptions, Size
from slopes.reporting import RESULTS

DAY_SECONDS = 86_400.0
KILOBYTE = 1_000.0
PERCENT = 100.0
MILLION = 1e6
MEBIBYTE = 1024.0**2


class BudgetLine(NamedTuple):
    """Be one value at that size, beside its limit."""

    role: str
    what: str
    value: float
    unit: str
    limit: float | None

    @property
    def fits(self) -> str:
        """Say whether the value keeps to its limit."""
        if self.limit is None:
            return ""
        return "fits" if self.value <= self.limit else "DOES NOT FIT"


class Measured:
    """Look up measured lines by experiment and quantity."""

    def __init__(self, document: dict[str, Any]) -> None:
        self.slopes = {
            (what, one["quantity"]): one
            for what, experiment in document["experiments"].items()
            for one in experiment["slopes"]
        }

    def line(self, what: str, quantity: str) -> Line:
        """Return a fitted line."""
        one = self.slopes[what, quantity]
        return Line(one["at_zero"], one["slope"])

    def at_largest(self, what: str, quantity: str) -> float:
        """Return the median at the largest measured size."""
        medians = self.slopes[what, quantity]["medians"]
        return medians[max(medians, key=float)]


def most_within(line: Line, limit: float) -> float:
    """Return the largest size at which a rising line keeps to a limit."""
    return max(0.0, (limit - line.intercept) / line.slope)


def hearing_line(measured: Measured, what: str) -> Line:
    """Return what an entry's mailbox carries, heartbeats included, in kB/s.

    The sent counter leaves heartbeats out; each side sends as many as it receives, so
    what was received beyond announcements and sent beyond answers is the same.
    """
    received = measured.line(what, "entry: received")
    sent = measured.line(what, "entry: sent")
    messages_in = measured.line(what, "entry: messages received")
    messages_out = measured.line(what, "entry: messages sent")
    heartbeat = measured.at_largest("messages", "heartbeat size")
    beats = messages_in.slope - messages_out.slope
    slope = received.slope + sent.slope + beats * heartbeat
    return Line(0.0, slope / KILOBYTE)


def entry_lines(m: Measured, size: Size, a: Assumptions) -> Iterator[BudgetLine]:
    """Say what hearing sidecars costs an entry, for all of them and for a subset."""
    subset = size.upstreams * a.entries_announced_to / size.entries
    for what, pace in (("upstreams", "0.5 s"), ("slow upstreams", "3 s")):
        processor = m.line(what, "entry: processor")
        memory = m.line(what, "entry: memory")
        carried = hearing_line(m, what)
        for heard in (float(size.upstreams), subset):
            name = f"hears {heard:.0f} sidecars every {pace}"
            yield from against(
                "entry",
                name,
                processor.at(heard),
                memory.at(heard),
                carried.at(heard),
                size,
            )
        by_core = most_within(processor, size.core_percent)
        by_bytes = most_within(carried, size.kilobytes_per_second)
        most = min(by_core, by_bytes)
        yield BudgetLine("entry", f"most sidecars every {pace}", most, "", None)
    answer = m.line("messages", "answer to an announcement size").at(size.entries)
    yield BudgetLine(
        "entry", "one answer that lists all entries", answer / KILOBYTE, "kB", None
    )


def against(
    role: str, what: str, core: float, mebibytes: float, kilobytes: float, size: Size
) -> tuple[BudgetLine, ...]:
    """Hold one thing's costs against the three limits of a process."""
    return (
        BudgetLine(role, what, core, "% of a core", size.core_percent),
        BudgetLine(role, what, mebibytes, "MiB", size.memory_mebibytes),
        BudgetLine(role, what, kilobytes, "kB/s", size.kilobytes_per_second),
    )


def entry_word_lines(m: Measured, size: Size, a: Assumptions) -> Iterator[BudgetLine]:
    """Say what words between entries, and between a sidecar and entries, cost."""
    heartbeat = m.at_largest("messages", "heartbeat size")
    word = m.at_largest("messages", "word of an entry size")
    core = m.line("entries", "follower: processor")
    both_ways = 2 * 2 * (word + heartbeat)
    for entries in (size.entries, a.replicas_in_group, 8):
        name = f"words with {entries} entries every 0.5 s"
        carried = both_ways * (entries - 1) / KILOBYTE
        memory = m.line("entries", "follower: memory").at(entries)
        yield from against("entry", name, core.at(entries), memory, carried, size)
    sidecar = m.line("entries", "sidecar: processor")
    memory = m.line("entries", "sidecar: memory")
    carried = hearing_line(m, "upstreams")
    for entries in (size.entries, a.entries_announced_to):
        name = f"announces to {entries} entries every 0.5 s"
        yield from against(
            "sidecar",
            name,
            sidecar.at(entries),
            memory.at(entries),
            carried.at(entries),
            size,
        )


def configuration_lines(m: Measured, size: Size) -> Iterator[BudgetLine]:
    """Say what changes cost, as whole configurations and one customer at a time."""
    per_second = size.changes_per_day / DAY_SECONDS
    whole = m.line("configuration", "whole configuration size")
    limit = size.kilobytes_per_second
    size_now = whole.at(size.customers) / KILOBYTE
    yield BudgetLine("all", "whole configuration", size_now, "kB", None)
    yield BudgetLine(
        "all", "whole configuration, each change", size_now * per_second, "kB/s", limit
    )
    heartbeat = m.at_largest("messages", "heartbeat size")
    delta = (whole.slope + heartbeat) / KILOBYTE
    yield BudgetLine("all", "one changed customer", delta * per_second, "kB/s", limit)
    for role in ("leader", "follower", "sidecar"):
        cost = m.line("changes", f"{role}: processor").at(size.customers)
        percent = cost / 1e3 * per_second * PERCENT
        yield BudgetLine(
            role, "changes today", percent, "% of a core", size.core_percent
        )
    fetches = size.entries + size.upstreams
    sent = size_now * fetches * per_second / KILOBYTE
    yield BudgetLine("all", "whole configurations, whole fleet", sent, "MB/s", None)


def claim_lines(m: Measured, size: Size, a: Assumptions) -> Iterator[BudgetLine]:
    """Say what bounds the claims: processor, memory, and the code's own limit."""
    claims = size.requests_per_second * a.claimed_share
    yield BudgetLine("leader", "claims to be carried", claims, "1/s", None)
    leading = m.line("claimed calls", "leader: processor").slope
    following = m.line("claimed calls", "follower: processor").slope
    in_memory = MEBIBYTE * a.claims_memory_mebibytes / m.line("claims", "memory").slope
    group_bounds = {
        "processor": a.usable_core_percent / leading,
        "memory": in_memory / a.claim_kept_seconds,
        "today's limit of claims kept": MAX_CLAIMS / a.claim_kept_seconds,
    }
    for bound, most in group_bounds.items():
        yield BudgetLine("replica", f"one group, by {bound}", most, "1/s", None)
        yield BudgetLine("replica", f"groups, by {bound}", claims / most, "", None)
    work = leading + (a.replicas_in_group - 1) * following
    of_all_set_aside = {
        "processor": size.set_aside * a.usable_core_percent / work,
        "memory": size.set_aside * group_bounds["memory"] / a.replicas_in_group,
    }
    for bound, most in of_all_set_aside.items():
        share = most / size.requests_per_second * PERCENT
        yield BudgetLine("replica", f"all set aside, by {bound}", most, "1/s", None)
        yield BudgetLine("replica", f"of all requests, by {bound}", share, "%", None)


def stream_lines(m: Measured, size: Size) -> Iterator[BudgetLine]:
    """Say what the requests themselves cost, which is no control."""
    events = size.tokens_per_second / size.entries
    per_event = m.at_largest("own path", "entry: per event")
    share = events * per_event / MILLION * PERCENT
    yield BudgetLine("entry", "events streamed at the peak", events, "1/s", None)
    yield BudgetLine("entry", "streaming them", share, "% of a core", None)
    calls = size.requests_per_second / size.entries
    cost = m.line("plain calls", "entry: processor").slope * calls
    yield BudgetLine("entry", "carrying its requests", cost, "% of a core", None)
    per_sidecar = size.tokens_per_second / size.upstreams
    cost = m.at_largest("own path", "sidecars: per event") * per_sidecar / MILLION
    yield BudgetLine("sidecar", "streaming", cost * PERCENT, "% of a core", None)
    kilobytes = m.at_largest("own path", "entry: memory grown")
    yield BudgetLine("entry", "memory of an open stream", kilobytes, "KiB", None)


def restart_lines(m: Measured, size: Size) -> Iterator[BudgetLine]:
    """Say what a day's restarts and failures cost."""
    starts = size.restarts_per_day + size.failures_per_day
    whole = m.line("configuration", "whole configuration size").at(size.customers)
    yield BudgetLine("all", "time between two starts", DAY_SECONDS / starts, "s", None)
    fetched = starts * whole / DAY_SECONDS / KILOBYTE
    yield BudgetLine("all", "configurations fetched on starts", fetched, "kB/s", None)
    of_replicas = starts * size.set_aside / (size.entries + size.upstreams)
    yield BudgetLine("replica", "starts a day, all", of_replicas, "", None)


def budget(m: Measured, size: Size, a: Assumptions) -> list[BudgetLine]:
    """Work out everything."""
    return [
        *entry_lines(m, size, a),
        *entry_word_lines(m, size, a),
        *configuration_lines(m, size),
        *claim_lines(m, size, a),
        *stream_lines(m, size),
        *restart_lines(m, size),
    ]


def as_text(line: BudgetLine) -> str:
    """Write one line."""
    limit = "" if line.limit is None else f"of {line.limit:g}"
    return (
        f"{line.role:<8} {line.what:<42} {line.value:>10.4g} {line.unit:<12}"
        f" {limit:<9} {line.fits}"
    ).rstrip()


def main() -> None:
    """Print the budget of the letter's size."""
    parser = argparse.ArgumentParser(prog="slopes.budget", description=__doc__)
    parser.add_argument("--slopes", type=Path, default=RESULTS)
    arguments = parser.parse_args()
    measured = Measured(json.loads(arguments.slopes.read_text()))
    size, assumptions = Size(), Assumptions()
    sys.stdout.write(f"{size}\n{assumptions}\n")
    for line in budget(measured, size, assumptions):
        sys.stdout.write(as_text(line) + "\n")


if __name__ == "__main__":
    main()
