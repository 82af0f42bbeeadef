"""Check that the settings of several daemons are consistent."""

from collections.abc import Iterator, Sequence
from itertools import combinations
from typing import NamedTuple

from cowslipshelf_host.internal.settings.addresses import parse_address
from cowslipshelf_host.internal.settings.documents import DaemonSettings
from cowslipshelf_host.internal.settings.problems import SettingsProblem
from cowslipshelf_host.internal.settings.rules import own_addresses

UPSTREAM_ADDRESS = "sidecar.upstream.address"


class LoadedSettings(NamedTuple):
    """Hold valid settings and the name of their file."""

    file: str
    settings: DaemonSettings

    def problem(self, field: str, found: str, allowed: str) -> SettingsProblem:
        """Return a problem in this file."""
        return SettingsProblem(self.file, field, found, allowed)


def fleet_problems(loaded: Sequence[LoadedSettings]) -> list[SettingsProblem]:
    """List what prevents the daemons of these files from forming one fleet."""
    return [
        problem
        for first, second in combinations(loaded, 2)
        for problem in pair_problems(first, second)
    ]


def pair_problems(
    first: LoadedSettings, second: LoadedSettings
) -> Iterator[SettingsProblem]:
    """Yield contradictions and conflicts between two files."""
    one, other = first.settings, second.settings
    if one.instance == other.instance:
        allowed = f"a name of its own; {first.file} has this one"
        yield second.problem("instance", f'"{other.instance}"', allowed)
    if one.cluster_key != other.cluster_key:
        found = "another key, which is not shown"
        yield second.problem("cluster_key", found, f"the key in {first.file}")
    if set(one.data_centres) != set(other.data_centres):
        found, allowed = ", ".join(other.data_centres), ", ".join(one.data_centres)
        yield second.problem("data_centres", found, f"{allowed}, as in {first.file}")
    yield from address_conflicts(first, second)
    yield from upstream_conflicts(first, second)
    yield from entry_mismatches(first, second)
    yield from entry_mismatches(second, first)


def address_conflicts(
    first: LoadedSettings, second: LoadedSettings
) -> Iterator[SettingsProblem]:
    """Yield addresses that both files use."""
    for field, address in reachable_addresses(second.settings).items():
        for taken_field, taken in reachable_addresses(first.settings).items():
            if parse_address(address) == parse_address(taken):
                allowed = f"an address of its own; {first.file} has it by {taken_field}"
                yield second.problem(field, f'"{address}"', allowed)


def reachable_addresses(settings: DaemonSettings) -> dict[str, str]:
    """Return the addresses that mean the same on every machine, by field."""
    found = {}
    for field, address in own_addresses(settings).items():
        ip = parse_address(address).ip
        # A sidecar's upstream may be on the loopback interface of its own machine.
        local = ip.is_loopback and field == UPSTREAM_ADDRESS
        if not (ip.is_unspecified or local):
            found[field] = address
    return found


def upstream_conflicts(
    first: LoadedSettings, second: LoadedSettings
) -> Iterator[SettingsProblem]:
    """Yield an upstream that both sidecars claim."""
    one, other = first.settings.sidecar, second.settings.sidecar
    if one is None or other is None:
        return
    name = other.upstream.upstream_id
    if one.upstream.upstream_id == name:
        allowed = f"an upstream of its own; {first.file} has this one"
        yield second.problem("sidecar.upstream.upstream_id", f'"{name}"', allowed)


def entry_mismatches(
    described: LoadedSettings, listing: LoadedSettings
) -> Iterator[SettingsProblem]:
    """Yield fields of a listed entry that contradict that entry's own file."""
    own = described.settings
    for index, entry in enumerate(listing.settings.entries):
        if entry.instance != own.instance or own.entry is None:
            continue
        expected = {
            "mailbox_address": own.mailbox_address,
            "data_centre": own.data_centre,
            "replica": own.entry.data_folder is not None,
        }
        for name, value in expected.items():
            found = getattr(entry, name)
            if found != value:
                field = f"entries[{index}].{name}"
                allowed = f"{value}, as {described.file} says"
                yield listing.problem(field, str(found), allowed)
