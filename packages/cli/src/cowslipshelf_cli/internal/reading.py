"""Show the fleet, the audit trail and explanations."""

from collections.abc import Iterable, Iterator
from datetime import UTC, datetime
from http import HTTPStatus

from cowslipshelf_cli.exit_codes import ExitCode
from cowslipshelf_cli.internal.commands import Audit, Explain
from cowslipshelf_cli.internal.failures import CommandFailedError
from cowslipshelf_cli.internal.surroundings import Fleet, OperatorsApi
from cowslipshelf_cli.internal.writing import Writer, table
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


def show_status(fleet: Fleet, writer: Writer) -> ExitCode:
    """Show the fleet."""
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
    """Describe one process."""
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


def show_audit(command: Audit, fleet: Fleet, writer: Writer) -> ExitCode:
    """Show the audit trail; an instance without a replica has none."""
    answer = first_found(
        fleet.each_instance, lambda one: one.audit(command.since, command.limit)
    )
    writer.show(answer, audit_lines(answer, command.limit))
    return ExitCode.DONE


def audit_lines(answer: AuditAnswer, limit: int) -> Iterator[str]:
    """Describe records of the audit trail in a table."""
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


def explain(command: Explain, fleet: Fleet, writer: Writer) -> ExitCode:
    """Tell what happened to something."""
    answer = first_found(
        fleet.each_instance, lambda one: one.explain(command.kind, command.name)
    )
    writer.show(answer, answer.lines)
    return ExitCode.DONE


def first_found(instances: Iterable[OperatorsApi], ask) -> AuditAnswer | ExplainAnswer:
    """Ask instances in turn until one knows the answer.

    A request is known to the entry that served it, and the log to those with a
    replica; the others answer that there is nothing, which is not the last word.
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
    raise weightiest(failed)


def weightiest(failed: list[ClientError]) -> ClientError | CommandFailedError:
    """Choose what to tell: never "unknown" while somebody could not be asked."""
    unasked = [error for error in failed if not is_not_found(error)]
    if unasked and len(unasked) < len(failed):
        message = f"not known to those that answered, but: {unasked[0]}"
        next_step = "ask again once that instance answers"
        return CommandFailedError(ExitCode.UNREACHABLE, message, next_step)
    return (unasked or failed)[0]


def is_not_found(error: ClientError) -> bool:
    """Tell whether an instance answered that it has nothing of that name."""
    return isinstance(error, HttpStatusError) and error.status == HTTPStatus.NOT_FOUND


def time_text(seconds: float) -> str:
    """Show a wall clock time, in UTC."""
    if not seconds:
        return "-"
    try:
        return datetime.fromtimestamp(seconds, UTC).strftime("%Y-%m-%d %H:%M:%S")
    except (OverflowError, ValueError, OSError):
        return f"{seconds:g} s"
