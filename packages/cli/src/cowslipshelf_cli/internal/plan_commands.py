"""Implement the commands `plan`, `confirm` and `drain`."""

import json
from collections.abc import Iterator
from uuid import uuid4

import msgspec

from cowslipshelf_cli.exit_codes import ExitCode
from cowslipshelf_cli.internal.command_context import (
    CommandContext,
    FleetClients,
    read_text,
)
from cowslipshelf_cli.internal.commands import AskPlan, Confirm, Drain
from cowslipshelf_cli.internal.failures import CommandFailedError
from cowslipshelf_cli.internal.output import Writer, table
from cowslipshelf_core.control import ChangeDocument, FieldChange, Plan, PlanDocument
from cowslipshelf_core.identifiers import ChangeId, PlanId, UpstreamId
from cowslipshelf_operators import (
    ConfirmedAnswer,
    OutdatedAnswer,
    PlanAnswer,
    StateAnswer,
)

CHANGE_HEAD = ("what", "name", "field", "before", "after")
CHANGE_ID_DIGITS = 8


def ask_plan(
    command: AskPlan, fleet: FleetClients, context: CommandContext, writer: Writer
) -> ExitCode:
    """Request a plan and show it."""
    document = read_plan_document(command, context)
    return show_plan_answer(fleet.any_instance.plan(document), writer)


def read_plan_document(command: AskPlan, context: CommandContext) -> PlanDocument:
    """Read a change from its file; options override the fields of the file."""
    next_step = "mend the file; `cowslipshelf plan --help` says what it holds"
    try:
        document = json.loads(read_text(command.file, context))
        if not isinstance(document, dict):
            raise ValueError("an object is needed")
        if command.change_id is not None:
            document["change_id"] = command.change_id
        if command.based_on is not None:
            document["based_on"] = command.based_on
        return msgspec.convert(document, PlanDocument)
    except (ValueError, RecursionError) as error:
        message = f"{command.file}: {error}"
        raise CommandFailedError(ExitCode.USAGE, message, next_step) from error


def confirm(command: Confirm, fleet: FleetClients, writer: Writer) -> ExitCode:
    """Put a plan in force."""
    change_id = None if command.change_id is None else ChangeId(command.change_id)
    answer = fleet.any_instance.confirm(PlanId(command.plan), change_id)
    return show_confirmation(answer, writer)


def drain(command: Drain, fleet: FleetClients, writer: Writer) -> ExitCode:
    """Plan to drain an upstream, and confirm the plan if the option is given."""
    upstream = (UpstreamId(command.upstream),)
    state = fleet.any_instance.state()
    check_upstream_known(command.upstream, state)
    version = state.configuration.version
    verb = "undrain" if command.undo else "drain"
    change = ChangeDocument(**{verb: upstream})
    change_id = ChangeId(f"{verb}-{uuid4().hex[:CHANGE_ID_DIGITS]}")
    answer = fleet.any_instance.plan(PlanDocument(change_id, version, change=change))
    if not command.yes or isinstance(answer, OutdatedAnswer):
        return show_plan_answer(answer, writer)
    confirmed = fleet.any_instance.confirm(answer.plan.plan_id, change_id)
    return show_confirmation(confirmed, writer)


def check_upstream_known(upstream: str, state: StateAnswer) -> None:
    """Refuse an upstream that has not announced itself.

    The fleet would accept a misspelt name. The operator would then believe the intended
    upstream to be drained, and stop it while it still runs requests.
    """
    heard = [each.upstream_id for each in state.upstreams]
    if upstream in heard or upstream in state.configuration.draining:
        return
    message = f"{state.answered_by} has heard no upstream {upstream!r}"
    known = f"it has heard: {', '.join(sorted(heard)) or 'none'}"
    raise CommandFailedError(ExitCode.REFUSED, message, known)


def show_plan_answer(answer: PlanAnswer | OutdatedAnswer, writer: Writer) -> ExitCode:
    """Show a plan, or the newer version that outdated it."""
    match answer:
        case PlanAnswer(plan=plan):
            writer.show(answer, plan_lines(plan))
            return ExitCode.DONE
        case OutdatedAnswer():
            writer.show(answer, outdated_lines(answer))
            return ExitCode.OUTDATED_PLAN


def show_confirmation(
    answer: ConfirmedAnswer | OutdatedAnswer, writer: Writer
) -> ExitCode:
    """Show the result of a confirmation, or the newer version that outdated it."""
    match answer:
        case ConfirmedAnswer():
            writer.show(answer, confirmed_lines(answer))
            return ExitCode.DONE
        case OutdatedAnswer():
            writer.show(answer, outdated_lines(answer))
            return ExitCode.OUTDATED_PLAN


def plan_lines(plan: Plan) -> Iterator[str]:
    """Describe what a plan changes, what it does not do, and how to confirm it."""
    yield f"plan {plan.plan_id} of change {plan.change_id}, on version {plan.based_on}"
    yield from table(CHANGE_HEAD, map(change_row, plan.changes))
    if not plan.changes:
        yield "changes nothing"
    for order in plan.orders:
        yield f"order: {order.kind} {order.argument} at {order.upstream_id}"
    for touched in plan.touches:
        yield f"touches {touched.kind} {touched.name}: {touched.effect}"
    for left in plan.not_done:
        yield f"not done: {left.what}: {left.why}"
    yield f"next: cowslipshelf confirm {plan.plan_id}"


def change_row(change: FieldChange) -> tuple[str, ...]:
    """Describe the change of one field."""
    before, after = change.before, change.after
    return (
        change.kind,
        change.name,
        change.field,
        "-" if before is None else before,
        "-" if after is None else after,
    )


def confirmed_lines(answer: ConfirmedAnswer) -> Iterator[str]:
    """Describe the result of a confirmation."""
    version = answer.configuration_version
    yield f"change {answer.change_id} is accepted as version {version}"
    for order in answer.opened:
        yield f"order {order.order_id}: {order.kind} at {order.upstream_id}"
    yield "next: cowslipshelf status shows where it is in force"


def outdated_lines(answer: OutdatedAnswer) -> Iterator[str]:
    """Describe the newer version and the fresh plan."""
    yield f"another change came first: version {answer.newer_version} is accepted"
    yield from (f"reason: {reason}" for reason in answer.reasons)
    if answer.fresh_plan is None:
        yield "next: look at `cowslipshelf status` and plan anew"
        return
    yield from plan_lines(answer.fresh_plan)
