"""Implement the command `load`."""

import math
from pathlib import Path

import msgspec

from cowslipshelf_cli.exit_codes import ExitCode
from cowslipshelf_cli.internal.command_context import (
    CommandContext,
    check_address,
    read_text,
)
from cowslipshelf_cli.internal.commands import Load
from cowslipshelf_cli.internal.failures import CommandFailedError
from cowslipshelf_cli.internal.load.open_loop import LoadClock, run_open_loop
from cowslipshelf_cli.internal.load.outcome import Ending
from cowslipshelf_cli.internal.load.report import figures_document, figures_lines
from cowslipshelf_cli.internal.load.sender import Sender, SenderConfig
from cowslipshelf_cli.internal.load.shape import (
    Arrival,
    CustomerShare,
    LoadShape,
    LoadShapeError,
    check_shape,
    draw_arrivals,
)
from cowslipshelf_cli.internal.load.statistics import (
    FiguresConfig,
    UnloadedTime,
    summarize,
)
from cowslipshelf_cli.internal.output import Writer, json_text

BROKEN_ENDINGS = frozenset({Ending.CUT, Ending.UNREACHABLE})


class LoadCustomer(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Hold a customer, its key and its share of the requests."""

    name: str
    key: str
    share: float = 1.0

    def __repr__(self) -> str:
        """Omit the key."""
        return f"LoadCustomer(name={self.name!r})"


def run_load(command: Load, context: CommandContext, writer: Writer) -> ExitCode:
    """Send a load and show its figures."""
    customers = read_customers(command, context)
    shape = shape_of(command, customers)
    config = sender_config(command, customers)
    sender = Sender(config)
    try:
        unloaded = calibrate(command, sender, customers[0].name)
        outcomes = run_open_loop(
            draw_arrivals(shape), sender.send, config.max_concurrent, LoadClock()
        )
    finally:
        sender.close()
    measure = FiguresConfig(command.short_tokens, command.deadline, unloaded)
    figures = summarize(outcomes, measure)
    document = figures_document(shape, unloaded, figures)
    if command.output is not None:
        write_figures(command.output, json_text(document))
    writer.show(document, figures_lines(figures))
    return exit_code({each.ending for each in outcomes})


def exit_code(endings: set[Ending]) -> ExitCode:
    """Choose the exit code; refusals are expected under overload, if some succeed."""
    if endings & BROKEN_ENDINGS:
        return ExitCode.NOT_WHOLE
    if Ending.REFUSED in endings and Ending.WHOLE not in endings:
        return ExitCode.REFUSED
    return ExitCode.DONE


def read_customers(command: Load, context: CommandContext) -> tuple[LoadCustomer, ...]:
    """Read the customers and their keys."""
    text = read_text(command.customers, context)
    try:
        customers = msgspec.json.decode(text, type=tuple[LoadCustomer, ...])
    except (msgspec.DecodeError, UnicodeError, RecursionError) as error:
        raise CommandFailedError(
            ExitCode.USAGE,
            f"{command.customers}: {error}",
            'write a list such as [{"name": "front-desk", "key": "...", "share": 1}]',
        ) from error
    if len({customer.name for customer in customers}) < len(customers):
        raise CommandFailedError(
            ExitCode.USAGE,
            f"{command.customers}: a customer is listed twice",
            "list each customer once",
        )
    for customer in customers:
        # The key becomes part of a header, which a line break would end early.
        if not (customer.key.isascii() and customer.key.isprintable()):
            raise CommandFailedError(
                ExitCode.USAGE,
                f"{command.customers}: the key of {customer.name} is no key",
                "a key is printable ASCII",
            )
    return customers


def shape_of(command: Load, customers: tuple[LoadCustomer, ...]) -> LoadShape:
    """Build the shape of the load from the options."""
    shape = LoadShape(
        seed=command.seed,
        arrivals_per_second=command.rate,
        seconds=command.seconds,
        shortest_tokens=command.shortest_tokens,
        long_tokens=command.long_tokens,
        longest_tokens=command.longest_tokens,
        long_share=command.long_share,
        customers=tuple(CustomerShare(each.name, each.share) for each in customers),
    )
    try:
        check_shape(shape)
    except LoadShapeError as error:
        raise CommandFailedError(
            ExitCode.USAGE, str(error), "see `cowslipshelf load --help`"
        ) from error
    return shape


def sender_config(command: Load, customers: tuple[LoadCustomer, ...]) -> SenderConfig:
    """Build the sender's configuration from the options."""
    for address in command.callers:
        check_address(address)
    positive = (command.most_concurrent, command.output_tokens, command.deadline)
    if not all(math.isfinite(number) and number > 0 for number in positive):
        raise CommandFailedError(
            ExitCode.USAGE,
            "most concurrent, output tokens and deadline are above 0",
            "see `cowslipshelf load --help`",
        )
    return SenderConfig(
        addresses=tuple(command.callers),
        model=command.model,
        output_tokens=command.output_tokens,
        deadline_seconds=command.deadline,
        max_concurrent=command.most_concurrent,
        marker=f"load-{command.seed}",
        keys={customer.name: customer.key for customer in customers},
    )


def calibrate(command: Load, sender: Sender, customer: str) -> UnloadedTime | None:
    """Measure short prompts one at a time, before the load is sent."""
    samples: list[tuple[int, float]] = []
    low = min(command.shortest_tokens, command.short_tokens)
    for index in range(command.calibrate):
        part = index / max(1, command.calibrate - 1)
        tokens = round(low * (command.short_tokens / low) ** part)
        arrival = Arrival(index, 0.0, customer, tokens)
        outcome = sender.send(arrival, sender.now())
        if outcome.ending is Ending.WHOLE and outcome.first_token_seconds is not None:
            samples.append((tokens, outcome.first_token_seconds))
    return UnloadedTime.from_samples(samples)


def write_figures(file: str, text: str) -> None:
    """Write the figures to a file."""
    try:
        Path(file).write_text(text + "\n", encoding="utf-8")
    except (OSError, ValueError) as error:
        raise CommandFailedError(
            ExitCode.USAGE,
            f"cannot write {file}: {error}",
            "name a file that can be written; --json prints the figures as well",
        ) from error
