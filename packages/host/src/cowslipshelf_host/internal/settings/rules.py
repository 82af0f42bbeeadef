"""Check rules between fields of one daemon's settings."""

from collections.abc import Iterator
from itertools import combinations
from typing import NamedTuple

from cowslipshelf_host.internal.settings.addresses import parse_address
from cowslipshelf_host.internal.settings.documents import (
    DaemonSettings,
    LimitSettings,
    TimingSettings,
    UpstreamSettings,
)

MIN_INTERVALS = 2
INTERVAL_PAIRS = (
    ("lease_seconds", "announce_seconds"),
    ("silence_seconds", "heartbeat_seconds"),
    ("owner_lease_seconds", "heartbeat_seconds"),
    ("announce_seconds", "tick_seconds"),
    ("heartbeat_seconds", "tick_seconds"),
    ("election_seconds", "tick_seconds"),
)
"""Pairs of times; the first must be at least `MIN_INTERVALS` times the second."""


class RuleViolation(NamedTuple):
    """Describe a violated rule; the file is not known here."""

    field: str
    found: str
    allowed: str
    other_fields: tuple[str, ...] = ()
    """Other fields that the rule read."""

    def depends_on_any(self, faulty: tuple[str, ...]) -> bool:
        """Return whether the rule read one of the fields, or a part or parent of it."""
        read = (self.field, *self.other_fields)
        return any(paths_overlap(field, each) for field in faulty for each in read)


def paths_overlap(first: str, second: str) -> bool:
    """Return whether two paths are equal or one contains the other."""
    shorter, longer = sorted((first, second), key=len)
    after = longer[len(shorter) : len(shorter) + 1]
    return longer.startswith(shorter) and after in ("", ".", "[")


class AddressInUse(NamedTuple):
    """Hold an address, the instance that uses it and the field that sets it."""

    instance: str
    field: str
    address: str


def find_violations(settings: DaemonSettings) -> Iterator[RuleViolation]:
    """Yield every violated rule of one daemon's settings."""
    yield from role_violations(settings)
    yield from data_centre_violations(settings)
    yield from entry_violations(settings)
    yield from address_violations(settings)
    yield from timing_violations(settings.timings)
    if settings.entry is not None:
        yield from limit_violations(settings.entry.limits)
    if settings.sidecar is not None:
        yield from upstream_violations(settings.sidecar.upstream)


def role_violations(settings: DaemonSettings) -> Iterator[RuleViolation]:
    """Yield the role's section if missing, and sections of other roles."""
    sections = {"entry": settings.entry, "sidecar": settings.sidecar}
    for role, section in sections.items():
        if role == settings.role and section is None:
            allowed = f'an object, as the role is "{role}"'
            yield RuleViolation(role, "nothing", allowed, ("role",))
        if role != settings.role and section is not None:
            allowed = f'nothing, as the role is "{settings.role}"'
            yield RuleViolation(role, "an object", allowed, ("role",))
    if settings.role == "sidecar" and not settings.entries:
        allowed = "at least one entry to announce to"
        yield RuleViolation("entries", "a list of 0", allowed, ("role",))


def data_centre_violations(settings: DaemonSettings) -> Iterator[RuleViolation]:
    """Yield data centres that are unlisted, listed twice or without instances."""
    listed = settings.data_centres
    used = {"data_centre": settings.data_centre}
    for index, entry in enumerate(settings.entries):
        used[f"entries[{index}].data_centre"] = entry.data_centre
    for field, name in used.items():
        if name not in listed:
            allowed = "one of data_centres: " + ", ".join(listed)
            yield RuleViolation(field, f'"{name}"', allowed, ("data_centres",))
    for index, name in enumerate(listed):
        field = f"data_centres[{index}]"
        if name in listed[:index]:
            yield RuleViolation(field, f'"{name}" again', "each data centre once")
        if name not in used.values():
            allowed = "data centres that this instance or one of entries is in"
            found = f'"{name}", where no instance is'
            yield RuleViolation(field, found, allowed, tuple(used))


def entry_violations(settings: DaemonSettings) -> Iterator[RuleViolation]:
    """Yield entries listed twice or contradicting this instance's own settings."""
    names = [entry.instance for entry in settings.entries]
    for index, entry in enumerate(settings.entries):
        field = f"entries[{index}]"
        if entry.instance in names[:index]:
            found = f'"{entry.instance}" again'
            yield RuleViolation(f"{field}.instance", found, "each instance once")
        if entry.instance != settings.instance:
            continue
        own = settings.mailbox_address
        if parse_address(entry.mailbox_address) != parse_address(own):
            found = f'"{entry.mailbox_address}"'
            allowed = f"this instance's own mailbox_address {own}"
            read = ("instance", "mailbox_address")
            yield RuleViolation(f"{field}.mailbox_address", found, allowed, read)
        if entry.data_centre != settings.data_centre:
            found = f'"{entry.data_centre}"'
            allowed = f"this instance's own data_centre {settings.data_centre}"
            read = ("instance", "data_centre")
            yield RuleViolation(f"{field}.data_centre", found, allowed, read)
        yield from own_replica_violations(settings, field, entry.replica)


def own_replica_violations(
    settings: DaemonSettings, field: str, replica: bool
) -> Iterator[RuleViolation]:
    """Yield a contradiction on whether this instance holds a replica."""
    if settings.role == "sidecar":
        allowed = "entries only; this instance is a sidecar"
        yield RuleViolation(field, "this instance", allowed, ("instance", "role"))
        return
    if settings.entry is None:
        return
    has_folder = settings.entry.data_folder is not None
    if replica != has_folder:
        state = "set" if has_folder else "not set"
        yield RuleViolation(
            f"{field}.replica",
            str(replica).lower(),
            f"{str(has_folder).lower()}, as entry.data_folder is {state}",
            ("instance", "entry"),
        )


def address_violations(settings: DaemonSettings) -> Iterator[RuleViolation]:
    """Yield addresses that are used twice."""
    for first, second in combinations(addresses_in_use(settings), 2):
        earlier, later = parse_address(first.address), parse_address(second.address)
        same_machine = first.instance == second.instance
        if (same_machine and earlier.conflicts_with(later)) or earlier == later:
            taken = f"{first.instance} has it by {first.field}"
            allowed = f"an address of its own; {taken}"
            found = f'"{second.address}"'
            yield RuleViolation(second.field, found, allowed, (first.field, "instance"))


def addresses_in_use(settings: DaemonSettings) -> list[AddressInUse]:
    """List all addresses in the settings, this instance's own first."""
    listed = [
        AddressInUse(settings.instance, field, address)
        for field, address in own_addresses(settings).items()
    ]
    for index, entry in enumerate(settings.entries):
        if entry.instance != settings.instance:
            field = f"entries[{index}].mailbox_address"
            listed.append(AddressInUse(entry.instance, field, entry.mailbox_address))
    return listed


def own_addresses(settings: DaemonSettings) -> dict[str, str]:
    """Return this instance's own addresses by field."""
    own = {"mailbox_address": settings.mailbox_address}
    if settings.entry is not None:
        own["entry.callers_address"] = settings.entry.callers_address
        own["entry.operators_address"] = settings.entry.operators_address
    if settings.sidecar is not None:
        own["sidecar.attempts_address"] = settings.sidecar.attempts_address
        own["sidecar.upstream.address"] = settings.sidecar.upstream.address
    return own


def timing_violations(timings: TimingSettings) -> Iterator[RuleViolation]:
    """Yield pairs of times in which one is too short for the other."""
    for longer, shorter in INTERVAL_PAIRS:
        # A single lost message or late check must not count as a failure.
        least = MIN_INTERVALS * getattr(timings, shorter)
        found = getattr(timings, longer)
        if found < least:
            allowed = f"at least {MIN_INTERVALS} x {shorter} = {least:g}"
            read = (f"timings.{shorter}",)
            yield RuleViolation(f"timings.{longer}", f"{found:g}", allowed, read)


def limit_violations(limits: LimitSettings) -> Iterator[RuleViolation]:
    """Yield limits that exceed another limit that bounds them."""
    pairs = (
        ("most_queued_seconds_short", "most_queued_seconds_long"),
        ("largest_stored_answer_bytes", "largest_body_bytes"),
    )
    for smaller, larger in pairs:
        found, most = getattr(limits, smaller), getattr(limits, larger)
        if found > most:
            field, read = f"entry.limits.{smaller}", (f"entry.limits.{larger}",)
            yield RuleViolation(
                field, f"{found:g}", f"at most {larger} = {most:g}", read
            )


def upstream_violations(upstream: UpstreamSettings) -> Iterator[RuleViolation]:
    """Yield fields that the upstream's kind requires or forbids."""
    models, memory = "sidecar.upstream.models", "sidecar.upstream.memory_tokens"
    read = ("sidecar.upstream.kind",)
    if len(set(upstream.models)) < len(upstream.models):
        yield RuleViolation(models, "a model twice", "each model once")
    is_model = upstream.kind == "model"
    if is_model and not upstream.models:
        yield RuleViolation(models, "no model", "at least one model", read)
    if is_model and not upstream.memory_tokens:
        allowed = "the tokens of KV cache that fit its memory"
        yield RuleViolation(memory, "0", allowed, read)
    if not is_model and upstream.models:
        allowed = 'none, as the kind is "plain"'
        yield RuleViolation(models, "models", allowed, read)
    if not is_model and upstream.memory_tokens:
        allowed = '0, as the kind is "plain"'
        yield RuleViolation(memory, str(upstream.memory_tokens), allowed, read)
