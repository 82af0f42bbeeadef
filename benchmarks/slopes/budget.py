"""Estimate each role's costs at the target size from measured slopes.

Run `python -m slopes.budget` after `python -m slopes`. Values that are neither
measured nor required are in `slopes.target_size.Assumptions`.
"""

import argparse
import json
import sys
from collections.abc import Iterator
from pathlib import Path
from typing import Any, NamedTuple

from cowslipshelf_core.internal.control.limits import MAX_CLAIMS
from slopes.fitting import Line
from slopes.reporting import RESULTS
from slopes.target_size import Assumptions, Size

DAY_SECONDS = 86_400.0
KILOBYTE = 1_000.0
PERCENT = 100.0
MILLION = 1e6
MEBIBYTE = 1024.0**2


class BudgetLine(NamedTuple):
    """Hold one estimate at the target size, and its limit."""

    role: str
    what: str
    value: float
    unit: str
    limit: float | None

    @property
    def fits(self) -> str:
        """Describe whether the value is within its limit; empty without one."""
        if self.limit is None:
            return ""
        return "fits" if self.value <= self.limit else "DOES NOT FIT"


class Measured:
    """Look up measured slopes by experiment and quantity."""

    def __init__(self, document: dict[str, Any]) -> None:
        self.slopes = {
            (what, slope["quantity"]): slope
            for what, experiment in document["experiments"].items()
            for slope in experiment["slopes"]
        }

    def line(self, what: str, quantity: str) -> Line:
        """Return a fitted line."""
        slope = self.slopes[what, quantity]
        return Line(slope["at_zero"], slope["slope"])

    def at_largest(self, what: str, quantity: str) -> float:
        """Return the median at the largest measured size."""
        medians = self.slopes[what, quantity]["medians"]
        return medians[max(medians, key=float)]


def max_size_within(line: Line, limit: float) -> float:
    """Return the largest size at which a rising line is within a limit."""
    return max(0.0, (limit - line.intercept) / line.slope)


def mailbox_traffic_line(measured: Measured, what: str) -> Line:
    """Return the traffic of an entry's mailbox in kB/s, heartbeats included.

    The counters include received heartbeats, but not sent ones. Each side sends as many
    heartbeats as it receives, and answers each announcement, so the sent heartbeats are
    the messages received minus the messages sent.
    """
    received = measured.line(what, "entry: received")
    sent = measured.line(what, "entry: sent")
    messages_in = measured.line(what, "entry: messages received")
    messages_out = measured.line(what, "entry: messages sent")
    heartbeat = measured.at_largest("messages", "heartbeat size")
    heartbeats = messages_in.slope - messages_out.slope
    slope = received.slope + sent.slope + heartbeats * heartbeat
    return Line(0.0, slope / KILOBYTE)


def entry_lines(m: Measured, size: Size, a: Assumptions) -> Iterator[BudgetLine]:
    """Estimate an entry's cost of announcements, from all sidecars and a subset."""
    subset = size.upstreams * a.entries_announced_to / size.entries
    for what, interval in (("upstreams", "0.5 s"), ("slow upstreams", "3 s")):
        processor = m.line(what, "entry: processor")
        memory = m.line(what, "entry: memory")
        traffic = mailbox_traffic_line(m, what)
        for sidecars in (float(size.upstreams), subset):
            name = f"hears {sidecars:.0f} sidecars every {interval}"
            yield from cost_lines(
                "entry",
                name,
                processor.at(sidecars),
                memory.at(sidecars),
                traffic.at(sidecars),
                size,
            )
        by_core = max_size_within(processor, size.core_percent)
        by_bytes = max_size_within(traffic, size.kilobytes_per_second)
        maximum = min(by_core, by_bytes)
        yield BudgetLine("entry", f"most sidecars every {interval}", maximum, "", None)
    answer = m.line("messages", "answer to an announcement size").at(size.entries)
    yield BudgetLine(
        "entry", "one answer that lists all entries", answer / KILOBYTE, "kB", None
    )


def cost_lines(
    role: str, what: str, core: float, mebibytes: float, kilobytes: float, size: Size
) -> tuple[BudgetLine, ...]:
    """Compare costs to the three limits of a process."""
    return (
        BudgetLine(role, what, core, "% of a core", size.core_percent),
        BudgetLine(role, what, mebibytes, "MiB", size.memory_mebibytes),
        BudgetLine(role, what, kilobytes, "kB/s", size.kilobytes_per_second),
    )


def entry_alive_lines(m: Measured, size: Size, a: Assumptions) -> Iterator[BudgetLine]:
    """Estimate the cost of messages between entries, and of announcing to entries."""
    heartbeat = m.at_largest("messages", "heartbeat size")
    entry_alive = m.at_largest("messages", "word of an entry size")
    core = m.line("entries", "follower: processor")
    both_ways = 2 * 2 * (entry_alive + heartbeat)
    for entries in (size.entries, a.replicas_in_group, 8):
        name = f"words with {entries} entries every 0.5 s"
        traffic = both_ways * (entries - 1) / KILOBYTE
        memory = m.line("entries", "follower: memory").at(entries)
        yield from cost_lines("entry", name, core.at(entries), memory, traffic, size)
    sidecar = m.line("entries", "sidecar: processor")
    memory = m.line("entries", "sidecar: memory")
    traffic = mailbox_traffic_line(m, "upstreams")
    for entries in (size.entries, a.entries_announced_to):
        name = f"announces to {entries} entries every 0.5 s"
        yield from cost_lines(
            "sidecar",
            name,
            sidecar.at(entries),
            memory.at(entries),
            traffic.at(entries),
            size,
        )


def configuration_lines(m: Measured, size: Size) -> Iterator[BudgetLine]:
    """Estimate the cost of changes, sent as whole configurations or one customer."""
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
    """Estimate the bounds of claims: processor, memory, and the limit in the code."""
    claims = size.requests_per_second * a.claimed_share
    yield BudgetLine("leader", "claims to be carried", claims, "1/s", None)
    leader_cost = m.line("claimed calls", "leader: processor").slope
    follower_cost = m.line("claimed calls", "follower: processor").slope
    in_memory = MEBIBYTE * a.claims_memory_mebibytes / m.line("claims", "memory").slope
    group_bounds = {
        "processor": a.usable_core_percent / leader_cost,
        "memory": in_memory / a.claim_kept_seconds,
        "today's limit of claims kept": MAX_CLAIMS / a.claim_kept_seconds,
    }
    for bound, maximum in group_bounds.items():
        yield BudgetLine("replica", f"one group, by {bound}", maximum, "1/s", None)
        yield BudgetLine("replica", f"groups, by {bound}", claims / maximum, "", None)
    work = leader_cost + (a.replicas_in_group - 1) * follower_cost
    all_dedicated = {
        "processor": size.set_aside * a.usable_core_percent / work,
        "memory": size.set_aside * group_bounds["memory"] / a.replicas_in_group,
    }
    for bound, maximum in all_dedicated.items():
        share = maximum / size.requests_per_second * PERCENT
        yield BudgetLine("replica", f"all set aside, by {bound}", maximum, "1/s", None)
        yield BudgetLine("replica", f"of all requests, by {bound}", share, "%", None)


def stream_lines(m: Measured, size: Size) -> Iterator[BudgetLine]:
    """Estimate the cost of the requests themselves, apart from control traffic."""
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
    """Estimate the cost of the restarts and failures of a day."""
    starts = size.restarts_per_day + size.failures_per_day
    whole = m.line("configuration", "whole configuration size").at(size.customers)
    yield BudgetLine("all", "time between two starts", DAY_SECONDS / starts, "s", None)
    fetched = starts * whole / DAY_SECONDS / KILOBYTE
    yield BudgetLine("all", "configurations fetched on starts", fetched, "kB/s", None)
    of_replicas = starts * size.set_aside / (size.entries + size.upstreams)
    yield BudgetLine("replica", "starts a day, all", of_replicas, "", None)


def budget(m: Measured, size: Size, a: Assumptions) -> list[BudgetLine]:
    """Return all estimates."""
    return [
        *entry_lines(m, size, a),
        *entry_alive_lines(m, size, a),
        *configuration_lines(m, size),
        *claim_lines(m, size, a),
        *stream_lines(m, size),
        *restart_lines(m, size),
    ]


def format_line(line: BudgetLine) -> str:
    """Format one line."""
    limit = "" if line.limit is None else f"of {line.limit:g}"
    return (
        f"{line.role:<8} {line.what:<42} {line.value:>10.4g} {line.unit:<12}"
        f" {limit:<9} {line.fits}"
    ).rstrip()


def main() -> None:
    """Print the budget at the target size."""
    parser = argparse.ArgumentParser(prog="slopes.budget", description=__doc__)
    parser.add_argument("--slopes", type=Path, default=RESULTS)
    arguments = parser.parse_args()
    measured = Measured(json.loads(arguments.slopes.read_text()))
    size, assumptions = Size(), Assumptions()
    sys.stdout.write(f"{size}\n{assumptions}\n")
    for line in budget(measured, size, assumptions):
        sys.stdout.write(format_line(line) + "\n")


if __name__ == "__main__":
    main()
