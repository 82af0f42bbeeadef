"""Implement the commands `status`, `audit` and `explain`."""

from collections.abc import Iterable, Iterator
from datetime import UTC, datetime
from http import HTTPStatus

from cowslipshelf_cli.exit_codes import ExitCode
from cowslipshelf_cli.internal.command_context import FleetClients, OperatorsApi
from cowslipshelf_cli.internal.commands import Audit, Explain
from cowslipshelf_cli.internal.failures import CommandFailedError
from cowslipshelf_cli.internal.output import Writer, table
from cowslipshelf_operators import (
    AuditAnswer,
    ExplainAnswer,
    InstanceStatus,
    StateAnswer,
    UpstreamStatus,
)
from cowslipshelf_operators.errors import ClientError, HttpStatusError

INSTANCE_HEAD = ("instance", "data centre", "role", "version", "in force since", "")
UPSTREAM_HEAD = ("upstream", "service", "data centre", "state", "running", "memory")
AUDIT_HEAD = ("index", "at", "operator", "action", "change", "versions", "detail")


def show_status(fleet: FleetClients, writer: Writer) -> ExitCode:
    """Show the status of the fleet."""
    state = fleet.any_instance.state()
    writer.show(state, status_lines(state))
    return ExitCode.DONE


def status_lines(state: StateAnswer) -> Iterator[str]:
    """Describe the fleet in tables."""
    yield f"version {state.configuration.version}, answered by {state.answered_by}"
    yield from (f"note: {note}" for note in state.notes)
    yield ""
    yield from table(INSTANCE_HEAD, map(instance_row, state.instances))
    yield ""
    yield from table(UPSTREAM_HEAD, map(upstream_row, state.upstreams))
    if not state.upstreams:
        yield "no upstream has announced itself to this instance"
    for order in state.open_orders:
        named = f"{order.kind} {order.argument}"
        yield f"open order {order.order_id}: {named} at {order.upstream_id}"


def instance_row(instance: InstanceStatus) -> tuple[str, ...]:
    """Describe one instance."""
    holds = "replica" if instance.holds_replica else ""
    return (
        instance.instance,
        instance.data_centre,
        instance.role,
        str(instance.configuration_version),
        time_text(instance.in_force_since),
        "leader" if instance.leads else holds,
    )


def upstream_row(upstream: UpstreamStatus) -> tuple[str, ...]:
    """Describe one upstream."""
    state = "available" if upstream.available else "unavailable"
    memory = f"{upstream.reserved_tokens}/{upstream.memory_tokens}"
    return (
        upstream.upstream_id,
        upstream.service,
        upstream.data_centre,
        "draining" if upstream.draining else state,
        str(upstream.running),
        memory if upstream.memory_tokens else "-",
    )


def show_audit(command: Audit, fleet: FleetClients, writer: Writer) -> ExitCode:
    """Show the audit trail, which only instances with a replica hold."""
    answer = first_answer(
        fleet.each_instance, lambda one: one.audit(command.since, command.limit)
    )
    writer.show(answer, audit_lines(answer, command.limit))
    return ExitCode.DONE


def audit_lines(answer: AuditAnswer, limit: int) -> Iterator[str]:
    """Format records of the audit trail as a table."""
    rows = [
        (
            str(record.index),
            time_text(record.at),
            record.operator,
            record.action,
            record.change_id or "-",
            f"{record.version_before} > {record.version_after}",
            record.detail,
        )
        for record in answer.records
    ]
    yield from table(AUDIT_HEAD, rows)
    if not rows:
        yield "no records"
    elif len(rows) >= limit:
        yield f"for more: cowslipshelf audit --since {answer.records[-1].index}"


def explain(command: Explain, fleet: FleetClients, writer: Writer) -> ExitCode:
    """Show what happened to a request, an upstream or a change."""
    answer = first_answer(
        fleet.each_instance, lambda one: one.explain(command.kind, command.name)
    )
    writer.show(answer, answer.lines)
    return ExitCode.DONE


def first_answer(instances: Iterable[OperatorsApi], ask) -> AuditAnswer | ExplainAnswer:
    """Query instances in turn until one has an answer.

    Only the entry that served a request knows it, and only instances with a replica
    hold the audit trail. An answer that nothing was found is therefore not final.
    """
    failed: list[ClientError] = []
    for instance in instances:
        try:
            return ask(instance)
        except HttpStatusError as error:
            failed.append(error)
            if error.status not in (
                HTTPStatus.NOT_FOUND,
                HTTPStatus.SERVICE_UNAVAILABLE,
            ):
                break
        except ClientError as error:
            failed.append(error)
    raise error_to_report(failed)


def error_to_report(failed: list[ClientError]) -> ClientError | CommandFailedError:
    """Choose the error to report: not "unknown" if an instance could not answer."""
    unanswered = [error for error in failed if not is_not_found(error)]
    if unanswered and len(unanswered) < len(failed):
        message = f"not known to those that answered, but: {unanswered[0]}"
        next_step = "ask again once that instance answers"
        return CommandFailedError(ExitCode.UNREACHABLE, message, next_step)
    return (unanswered or failed)[0]


def is_not_found(error: ClientError) -> bool:
    """Return whether an instance answered that the name is unknown."""
    return isinstance(error, HttpStatusError) and error.status == HTTPStatus.NOT_FOUND


def time_text(seconds: float) -> str:
    """Format a wall clock time in UTC."""
    if not seconds:
        return "-"
    try:
        return datetime.fromtimestamp(seconds, UTC).strftime("%Y-%m-%d %H:%M:%S")
    except (OverflowError, ValueError, OSError):
        return f"{seconds:g} s"
