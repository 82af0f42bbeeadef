"""Measure the cost of a confirmed change to daemons, and its propagation time."""

import time
from random import Random
from typing import Any

from common.daemon_fleet import leader
from local_fleet import LocalFleet, wait_until
from slopes.daemons import SIDECAR, running_fleet
from slopes.fitting import Experiment, Reading
from slopes.processes import (
    MailboxCounts,
    Usage,
    Window,
    pid_of,
    read_mailbox_counts,
    read_usage,
    usage_between,
)

CUSTOMER_COUNTS = (10, 200, 1_900)
ENTRIES = 3
CHANGES = 12
CHANGE_INTERVAL_SECONDS = 0.25
SETTLE_SECONDS = 2.0
TIMED_CHANGES = 5
MILLISECONDS = 1e3
PROPAGATION_SECONDS = 1.0
"""Longer than an entry's report of its version takes to reach the others."""


class Roles(dict[str, str]):
    """Map roles in a measurement to instances."""


def customer(number: int, weight: int) -> dict[str, object]:
    """Return one customer of a change document."""
    return {
        "name": f"customer-{number:04}",
        "key": f"a-customer-key-{number:08}",
        "services": ["assist-llm"],
        "weight": weight,
    }


def roles_of(fleet: LocalFleet) -> Roles:
    """Assign roles: operators call one follower, the other is measured."""
    leader_name = leader(fleet)
    contacted, follower = [name for name in fleet.entry_names if name != leader_name]
    return Roles(
        leader=leader_name, asked=contacted, follower=follower, sidecar=SIDECAR
    )


def change_one(fleet: LocalFleet, contacted: str, change_id: str, weight: int) -> None:
    """Change one customer's weight."""
    change = {"put_customers": [customer(0, weight)]}
    if fleet.try_change_at(contacted, change_id, change) is None:
        raise RuntimeError(f"change {change_id} was not accepted")


def usages(fleet: LocalFleet, roles: Roles) -> dict[str, Usage]:
    """Read the usage of every measured process."""
    return {role: read_usage(pid_of(fleet, name)) for role, name in roles.items()}


def counts(fleet: LocalFleet, roles: Roles) -> dict[str, MailboxCounts]:
    """Read the counters of every measured mailbox."""
    entries = {role: name for role, name in roles.items() if role != "sidecar"}
    return {role: read_mailbox_counts(fleet, name) for role, name in entries.items()}


def observe_changes(
    fleet: LocalFleet, roles: Roles, changes: int, tag: str
) -> "Observation":
    """Make some changes at a constant rate, and observe the processes meanwhile."""
    counted, before = counts(fleet, roles), usages(fleet, roles)
    for number in range(CHANGES):
        due = time.monotonic() + CHANGE_INTERVAL_SECONDS
        if number < changes:
            weight = Random(f"{tag}-{number}").randrange(2, 1_000)
            change_one(fleet, roles["asked"], f"{tag}-{number}", weight)
        time.sleep(max(0.0, due - time.monotonic()))
    after = usages(fleet, roles)
    windows = {role: usage_between(before[role], after[role]) for role in roles}
    return Observation(windows, counted, counts(fleet, roles))


class Observation:
    """Hold what the measured processes used and sent over a time window."""

    def __init__(
        self,
        windows: dict[str, Window],
        before: dict[str, MailboxCounts],
        after: dict[str, MailboxCounts],
    ) -> None:
        self.windows = windows
        self.before = before
        self.after = after

    def processor_seconds(self, role: str) -> float:
        """Return the processor time that one process used."""
        return self.windows[role].processor_seconds

    def rate(self, role: str, field: str) -> float:
        """Return the rate of one mailbox counter per second."""
        growth = getattr(self.after[role], field) - getattr(self.before[role], field)
        return growth / self.windows[role].seconds


def measure_changes(customers: int, repeats: int) -> list[list[Reading]]:
    """Compare windows with and without changes in the same fleet."""
    with running_fleet(ENTRIES) as fleet:
        all_customers = [customer(number, 1) for number in range(customers)]
        fleet.change("everybody", {"put_customers": all_customers})
        time.sleep(SETTLE_SECONDS)
        roles = roles_of(fleet)
        return [read_change_costs(fleet, roles, n) for n in range(repeats)]


def read_change_costs(fleet: LocalFleet, roles: Roles, repeat: int) -> list[Reading]:
    """Return the cost of one change to each role, beyond that of the idle fleet."""
    idle = observe_changes(fleet, roles, 0, "")
    busy = observe_changes(fleet, roles, CHANGES, f"paced-{repeat}")
    readings = []
    for role in roles:
        scale = idle.windows[role].seconds / busy.windows[role].seconds
        extra = busy.processor_seconds(role) * scale - idle.processor_seconds(role)
        cost = extra / CHANGES * MILLISECONDS
        readings.append(Reading(f"{role}: processor", "ms each", cost))
    for role in idle.before:
        for field in ("sent_bytes", "received_bytes"):
            extra = busy.rate(role, field) - idle.rate(role, field)
            each = extra * busy.windows[role].seconds / CHANGES
            what = field.removesuffix("_bytes")
            readings.append(Reading(f"{role}: {what}", "B each", each))
    delay = max(
        timed_change(fleet, roles, f"timed-{repeat}-{number}")
        for number in range(TIMED_CHANGES)
    )
    return [*readings, Reading("in force everywhere, worst of 5", "s", delay)]


def timed_change(fleet: LocalFleet, roles: Roles, tag: str) -> float:
    """Return the time from a confirmation's answer until it applies everywhere.

    Each process reports since when it has a version, so a late query loses no accuracy.
    For a sidecar it is the time at which an entry first received the version from it.
    """
    weight = Random(tag).randrange(1_001, 1_000_000)
    change_one(fleet, roles["asked"], tag, weight)
    answered_at = time.time()
    time.sleep(PROPAGATION_SECONDS)
    wait_until(lambda: in_force_everywhere(fleet, roles), "a version everywhere")
    instances = read_state(fleet, roles)["instances"]
    return max(one["in_force_since"] for one in instances) - answered_at


def read_state(fleet: LocalFleet, roles: Roles) -> dict[str, Any]:
    """Read the fleet state that the measured follower knows."""
    return fleet.operator_call(roles["follower"], "GET", "/v1/state")[1]


def in_force_everywhere(fleet: LocalFleet, roles: Roles) -> bool:
    """Return whether every instance is known, with the same version."""
    instances = read_state(fleet, roles)["instances"]
    versions = {one["configuration_version"] for one in instances}
    return len(instances) == ENTRIES + 1 and len(versions) == 1


EXPERIMENTS = (Experiment("changes", "customer", CUSTOMER_COUNTS, measure_changes),)
