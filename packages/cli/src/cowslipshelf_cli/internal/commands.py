"""Define the commands and their options.

The parser derives subcommands and flags from the names of classes and attributes.
"""

from dataclasses import dataclass, field
from pathlib import Path
from typing import Annotated, Literal

import cappa

from cowslipshelf_cli.exit_codes import meanings_text

DEFAULT_AUDIT_RECORDS = 50

CHECK_EXAMPLES = """\
Examples:

    cowslipshelf check entry-1.json
    cowslipshelf check /etc/cowslipshelf/*.json --json
"""
PLAN_EXAMPLES = """\
Examples:

    cowslipshelf plan new-customer.json
    cowslipshelf plan - --change-id ticket-1042 --based-on 17 < change.json

A file holds `change_id`, `based_on` and either `change` or `wanted`. The same change id
may be sent again: it gets its first answer.
"""
CONFIRM_EXAMPLES = """\
Example:

    cowslipshelf confirm PLAN

Sending it again is safe: a plan takes effect once.
"""
STATUS_EXAMPLES = """\
Examples:

    cowslipshelf --entry 10.1.0.10:8090 --entry 10.2.0.10:8090 status
    cowslipshelf status --json
"""
EXPLAIN_EXAMPLES = """\
Examples:

    cowslipshelf explain request 7d1f0a
    cowslipshelf explain upstream runner-1
    cowslipshelf explain change ticket-1042
"""
LOSSES_EXAMPLES = """\
Examples:

    cowslipshelf losses --log gateway-1.log --log gateway-2.log
"""
AUDIT_EXAMPLES = """\
Examples:

    cowslipshelf audit
    cowslipshelf audit --since 1200 --limit 500 --json
"""
SUSPECTS_EXAMPLES = """\
Examples:

    cowslipshelf suspects
    cowslipshelf release 4f14b897bb8ce6b7ecdcd46c96342b62

A request under which three upstreams have ended is refused. Released, it runs again,
until three more have ended.
"""
DRAIN_EXAMPLES = """\
Examples:

    cowslipshelf drain runner-1          (shows the plan)
    cowslipshelf drain runner-1 --yes    (confirms it as well)
    cowslipshelf drain runner-1 --undo --yes

An upstream that nobody has heard is refused, as its name is most likely misspelt; to
drain one that is yet to come, use `cowslipshelf plan`.
"""
LOAD_EXAMPLES = """\
Examples:

    cowslipshelf load --callers 10.1.0.10:8080 --customers keys.json --model ledger-1
    cowslipshelf load --callers 10.1.0.10:8080 --customers keys.json --model ledger-1
        --rate 20 --seconds 60 --seed 7 --output result.json

The customers file is a list such as [{"name": "front-desk", "key": "...", "share": 2}].
Times count from the planned arrival, so a slow answer never hides the wait behind it.
"""


@cappa.command(help="Check settings files without starting.", epilog=CHECK_EXAMPLES)
@dataclass
class Check:
    """Check settings files."""

    settings: Annotated[
        list[str], cappa.Arg(num_args=-1, required=True, help="Settings files.")
    ]


@cappa.command(
    name="plan", help="Ask for a plan; nothing changes.", epilog=PLAN_EXAMPLES
)
@dataclass
class AskPlan:
    """Ask for a plan."""

    file: Annotated[str, cappa.Arg(help="Change as JSON, '-' for standard input.")]
    change_id: Annotated[
        str | None, cappa.Arg(long=True, help="In place of the file's change_id.")
    ] = None
    based_on: Annotated[
        int | None, cappa.Arg(long=True, help="In place of the file's based_on.")
    ] = None


@cappa.command(help="Put a plan in force.", epilog=CONFIRM_EXAMPLES)
@dataclass
class Confirm:
    """Put a plan in force."""

    plan: Annotated[str, cappa.Arg(help="Id that the plan was shown with.")]
    change_id: Annotated[
        str | None, cappa.Arg(long=True, help="Refuse where the plan has another.")
    ] = None


@cappa.command(
    help="Show the fleet and which version is in force where.", epilog=STATUS_EXAMPLES
)
@dataclass
class Status:
    """Show the fleet."""


@cappa.command(help="Tell what happened to something.", epilog=EXPLAIN_EXAMPLES)
@dataclass
class Explain:
    """Tell what happened to something."""

    kind: Annotated[
        Literal["request", "upstream", "change"], cappa.Arg(help="What it is.")
    ]
    name: Annotated[str, cappa.Arg(help="Its id or name.")]
    log: Annotated[
        list[Path],
        cappa.Arg(
            long=True,
            help="A process's log; give those of all gateways. No process is asked.",
        ),
    ] = field(default_factory=list)


@cappa.command(help="Split what callers lost by cause.", epilog=LOSSES_EXAMPLES)
@dataclass
class Losses:
    """Split what callers lost by cause."""

    log: Annotated[
        list[Path],
        cappa.Arg(
            long=True,
            required=True,
            help="A gateway's log; give those of all. No process is asked.",
        ),
    ]


@cappa.command(help="Read the audit trail of changes.", epilog=AUDIT_EXAMPLES)
@dataclass
class Audit:
    """Read the audit trail."""

    since: Annotated[
        int, cappa.Arg(long=True, help="Only records after this index.")
    ] = 0
    limit: Annotated[int, cappa.Arg(long=True, help="Most records to show.")] = (
        DEFAULT_AUDIT_RECORDS
    )


@cappa.command(
    help="List the requests under which upstreams ended.", epilog=SUSPECTS_EXAMPLES
)
@dataclass
class Suspects:
    """List the requests under which upstreams ended."""


@cappa.command(help="Let a request run that is held back.", epilog=SUSPECTS_EXAMPLES)
@dataclass
class Release:
    """Let a request run that is held back."""

    digest: Annotated[str, cappa.Arg(help="As `cowslipshelf suspects` shows it.")]


@cappa.command(help="Take an upstream out of service.", epilog=DRAIN_EXAMPLES)
@dataclass
class Drain:
    """Take an upstream out of service, or back in."""

    upstream: Annotated[str, cappa.Arg(help="Name of the upstream instance.")]
    yes: Annotated[bool, cappa.Arg(long=True, help="Confirm the plan as well.")] = False
    undo: Annotated[bool, cappa.Arg(long=True, help="Bring it back into service.")] = (
        False
    )


@cappa.command(help="Send a seeded load and time the answers.", epilog=LOAD_EXAMPLES)
@dataclass
class Load:
    """Send a seeded load and time the answers."""

    callers: Annotated[
        list[str],
        cappa.Arg(
            long=True, required=True, help="IP:PORT where callers go; repeatable."
        ),
    ]
    customers: Annotated[
        str, cappa.Arg(long=True, help="JSON file of customers and their keys.")
    ]
    model: Annotated[str, cappa.Arg(long=True, help="Model to ask for.")]
    rate: Annotated[
        float, cappa.Arg(long=True, help="Arrivals in a second, on average.")
    ] = 5.0
    seconds: Annotated[
        float, cappa.Arg(long=True, help="Time over which requests arrive.")
    ] = 30.0
    seed: Annotated[int, cappa.Arg(long=True, help="Same seed, same load.")] = 1
    shortest_tokens: Annotated[int, cappa.Arg(long=True, help="Shortest prompt.")] = (
        1_000
    )
    longest_tokens: Annotated[int, cappa.Arg(long=True, help="Longest prompt.")] = (
        1_000_000
    )
    long_tokens: Annotated[
        int, cappa.Arg(long=True, help="Prompts beyond this are long.")
    ] = 100_000
    long_share: Annotated[
        float, cappa.Arg(long=True, help="Share of long prompts, 0 to 1.")
    ] = 0.02
    short_tokens: Annotated[
        int, cappa.Arg(long=True, help="Slowdown is taken of prompts up to this.")
    ] = 10_000
    output_tokens: Annotated[
        int, cappa.Arg(long=True, help="Tokens to generate for each request.")
    ] = 32
    deadline: Annotated[
        float, cappa.Arg(long=True, help="Seconds that each request may take.")
    ] = 120.0
    most_concurrent: Annotated[
        int, cappa.Arg(long=True, help="Requests open at a time; more are not sent.")
    ] = 256
    calibrate: Annotated[
        int,
        cappa.Arg(long=True, help="Requests sent alone first, for the slowdown."),
    ] = 12
    output: Annotated[
        str | None, cappa.Arg(long=True, help="File that gets the figures as JSON.")
    ] = None


Command = (
    Check
    | AskPlan
    | Confirm
    | Status
    | Explain
    | Losses
    | Audit
    | Suspects
    | Release
    | Drain
    | Load
)


@cappa.command(
    name="cowslipshelf",
    help="Operate a cowslipshelf fleet.",
    description=(
        "Changes are planned first and take effect when they are confirmed. The "
        "operator's key is read from COWSLIPSHELF_OPERATOR_KEY or --key-file. Exit "
        f"codes: {meanings_text()}."
    ),
)
@dataclass
class Program:
    """Operate a fleet."""

    command: cappa.Subcommands[Command]
    entry: Annotated[
        list[str],
        cappa.Arg(
            long=True,
            propagate=True,
            help="IP:PORT where operators go, or COWSLIPSHELF_ENTRIES; repeatable.",
        ),
    ] = field(default_factory=list)
    key_file: Annotated[
        str | None,
        cappa.Arg(long=True, propagate=True, help="File with the operator's key."),
    ] = None
    json: Annotated[bool, cappa.Arg(long=True, propagate=True, help="Write JSON.")] = (
        False
    )
