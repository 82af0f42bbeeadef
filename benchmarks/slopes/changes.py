"""Measure what one confirmed change costs real daemons, and how soon it is in force."""

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
    mailbox_counts,
    pid_of,
    usage_of,
    window,
)

CUSTOMER_COUNTS = (10, 200, 1_900)
ENTRIES = 3
CHANGES = 12
SPACING_SECONDS = 0.25
SETTLE_SECONDS = 2.0
TIMED_CHANGES = 5
MILLISECONDS = 1e3
SPREAD_SECONDS = 1.0
"""Longer than an entry's word to the others takes to come round."""


class Roles(dict[str, str]):
    """Tell which instance has which part in a measurement."""


def customer(number: int, weight: int) -> dict[str, object]:
    """Describe one customer as operators do."""
    return {
        "name": f"customer-{number:04}",
        "key": f"a-customer-key-{number:08}",
        "services": ["assist-llm"],
        "weight": weight,
    }


def roles_of(fleet: LocalFleet) -> Roles:
    """Let operators speak to one follower, and watch the other."""
    leading = leader(fleet)
    asked, follower = [name for name in fleet.entry_names if name != leading]
    return Roles(leader=leading, asked=asked, follower=follower, sidecar=SIDECAR)


def change_one(fleet: LocalFleet, asked: str, change_id: str, weight: int) -> None:
    """Change one customer's weight."""
    change = {"put_customers": [customer(0, weight)]}
    if fleet.try_change_at(asked, change_id, change) is None:
        raise RuntimeError(f"change {change_id} was not accepted")


def usages(fleet: LocalFleet, roles: Roles) -> dict[str, Usage]:
    """Read every watched process."""
    return {role: usage_of(pid_of(fleet, name)) for role, name in roles.items()}


def counts(fleet: LocalFleet, roles: Roles) -> dict[str, MailboxCounts]:
    """Read every watched mailbox."""
    entries = {role: name for role, name in roles.items() if role != "sidecar"}
    return {role: mailbox_counts(fleet, name) for role, name in entries.items()}


def watch(fleet: LocalFleet, roles: Roles, changes: int, tag: str) -> "Watched":
    """Make changes at an even pace, or none, and see what it takes."""
    counted, before = counts(fleet, roles), usages(fleet, roles)
    for number in range(CHANGES):
        due = time.monotonic() + SPACING_SECONDS
        if number < changes:
            weight = Random(f"{tag}-{number}").randrange(2, 1_000)
            change_one(fleet, roles["asked"], f"{tag}-{number}", weight)
        time.sleep(max(0.0, due - time.monotonic()))
    after = usages(fleet, roles)
    windows = {role: window(before[role], after[role]) for role in roles}
    return Watched(windows, counted, counts(fleet, roles))


class Watched:
    """Be what the watched processes used and sent over a while."""

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
        """Return what one process used."""
        return self.windows[role].processor_seconds

    def rate(self, role: str, field: str) -> float:
        """Return how many bytes or messages one mailbox carried a second."""
        grown = getattr(self.after[role], field) - getattr(self.before[role], field)
        return grown / self.windows[role].seconds


def measure_changes(customers: int, repeats: int) -> list[list[Reading]]:
    """Compare a while with changes to one without, in the same fleet."""
    with running_fleet(ENTRIES) as fleet:
        everybody = [customer(number, 1) for number in range(customers)]
        fleet.change("everybody", {"put_customers": everybody})
        time.sleep(SETTLE_SECONDS)
        roles = roles_of(fleet)
        return [change_readings(fleet, roles, n) for n in range(repeats)]


def change_readings(fleet: LocalFleet, roles: Roles, repeat: int) -> list[Reading]:
    """Say what one change cost each role, beyond what the idle fleet costs."""
    idle = watch(fleet, roles, 0, "")
    busy = watch(fleet, roles, CHANGES, f"paced-{repeat}")
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
    """Return the time from the confirmation's answer until all processes have it.

    Each process tells since when it has a version, so that asking late costs no
    accuracy; a sidecar's time is that at which an entry first heard of it.
    """
    weight = Random(tag).randrange(1_001, 1_000_000)
    change_one(fleet, roles["asked"], tag, weight)
    answered_at = time.time()
    time.sleep(SPREAD_SECONDS)
    wait_until(lambda: in_force_everywhere(fleet, roles), "a version everywhere")
    instances = read_state(fleet, roles)["instances"]
    return max(one["in_force_since"] for one in instances) - answered_at


def read_state(fleet: LocalFleet, roles: Roles) -> dict[str, Any]:
    """Read what the watched follower knows."""
    return fleet.operator_call(roles["follower"], "GET", "/v1/state")[1]


def in_force_everywhere(fleet: LocalFleet, roles: Roles) -> bool:
    """Tell whether every instance shows the newest version."""
    instances = read_state(fleet, roles)["instances"]
    versions = {one["configuration_version"] for one in instances}
    return len(instances) == ENTRIES + 1 and len(versions) == 1


EXPERIMENTS = (Experiment("changes", "customer", CUSTOMER_COUNTS, measure_changes),)
