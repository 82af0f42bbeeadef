"""Define the external dependencies of commands, which tests can replace."""

import os
import sys
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import NamedTuple, Protocol, TextIO

from cowslipshelf_cli.exit_codes import ExitCode
from cowslipshelf_cli.internal.commands import Program
from cowslipshelf_cli.internal.failures import CommandFailedError
from cowslipshelf_core.control import PlanDocument
from cowslipshelf_core.identifiers import ChangeId, PlanId
from cowslipshelf_host.settings import AddressError, parse_address
from cowslipshelf_operators import (
    AuditAnswer,
    ConfirmedAnswer,
    ExplainAnswer,
    ExplainKind,
    OperatorsClient,
    OperatorsClientConfig,
    OutdatedAnswer,
    PlanAnswer,
    StateAnswer,
    SuspectsAnswer,
)

ENTRIES_VARIABLE = "COWSLIPSHELF_ENTRIES"
KEY_VARIABLE = "COWSLIPSHELF_OPERATOR_KEY"


class OperatorsApi(Protocol):
    """Define the requests that commands send to entry instances."""

    def plan(self, document: PlanDocument) -> PlanAnswer | OutdatedAnswer:
        """Request a plan."""

    def confirm(
        self, plan_id: PlanId, change_id: ChangeId | None = None
    ) -> ConfirmedAnswer | OutdatedAnswer:
        """Put a plan in force."""

    def state(self) -> StateAnswer:
        """Describe the fleet."""

    def audit(self, since_index: int, limit: int) -> AuditAnswer:
        """Read a page of the audit trail."""

    def explain(self, kind: ExplainKind, name: str) -> ExplainAnswer:
        """Explain what happened to a request, an upstream or a change."""

    def suspects(self) -> SuspectsAnswer:
        """List the requests during which upstreams exited."""

    def release(self, digest: str) -> SuspectsAnswer:
        """Release a request that is held back."""


class CommandContext(NamedTuple):
    """Hold the environment, the standard streams and the client factory."""

    environment: Mapping[str, str]
    input: TextIO
    output: TextIO
    errors: TextIO
    connect: Callable[[OperatorsClientConfig], OperatorsApi]

    @classmethod
    def from_process(cls) -> "CommandContext":
        """Create the context of this process."""
        return cls(
            os.environ,
            sys.stdin,
            sys.stdout,
            sys.stderr,
            OperatorsClient.from_config,
        )


class FleetClients(NamedTuple):
    """Hold clients of a fleet: one for any instance, and one for each."""

    any_instance: OperatorsApi
    each_instance: tuple[OperatorsApi, ...]


def connect(program: Program, context: CommandContext) -> FleetClients:
    """Create clients from the addresses and the key that were given."""
    addresses = entry_addresses(program, context)
    key = operator_key(program, context)
    config = OperatorsClientConfig(addresses, key)
    each = tuple(
        context.connect(config._replace(addresses=(address,))) for address in addresses
    )
    return FleetClients(context.connect(config), each)


def entry_addresses(program: Program, context: CommandContext) -> tuple[str, ...]:
    """Read the addresses of entry instances from the options or the environment."""
    from_environment = context.environment.get(ENTRIES_VARIABLE, "")
    given = program.entry or from_environment.replace(",", " ").split()
    if not given:
        raise CommandFailedError(
            ExitCode.USAGE,
            "no entry instance is named",
            f"give --entry IP:PORT or set {ENTRIES_VARIABLE}=IP:PORT,IP:PORT",
        )
    for address in given:
        check_address(address)
    return tuple(given)


def check_address(address: str) -> None:
    """Refuse an address that is not IP:PORT."""
    try:
        parse_address(address)
    except AddressError as error:
        raise CommandFailedError(
            ExitCode.USAGE, f"found {address!r}, {error}", "give it as IP:PORT"
        ) from error


def operator_key(program: Program, context: CommandContext) -> str:
    """Read the operator's key from a file or the environment.

    It is not an option: every user of a machine can read the options of its processes.
    """
    if program.key_file is not None:
        key = read_text(program.key_file, context).strip()
    else:
        key = context.environment.get(KEY_VARIABLE, "")
    if key and key.isascii() and key.isprintable() and " " not in key:
        return key
    found = "something that is no key" if key else "no operator's key"
    raise CommandFailedError(
        ExitCode.USAGE, f"found {found}", f"set {KEY_VARIABLE} or give --key-file FILE"
    )


def read_text(file: str, context: CommandContext) -> str:
    """Read a file, or standard input if its name is '-'."""
    try:
        if file == "-":
            return context.input.read()
        return Path(file).read_text(encoding="utf-8")
    except (OSError, ValueError) as error:
        raise CommandFailedError(
            ExitCode.USAGE, f"cannot read {file}: {error}", "name a readable text file"
        ) from error
