"""Attribute the lost value of requests to causes, from gateways' logs."""

from collections import defaultdict
from collections.abc import Iterable
from typing import Any, NamedTuple

from cowslipshelf_cli.exit_codes import ExitCode
from cowslipshelf_cli.internal.commands import Losses
from cowslipshelf_cli.internal.failures import CommandFailedError
from cowslipshelf_cli.internal.output import Writer
from cowslipshelf_core.gateway import PromptSize, answer_value
from cowslipshelf_host.log_entries import LogEntry, read_entries

LATE_LOSS_SHARE = 0.75
"""Share of its value that a late answer loses, in the value tables of all users."""
NO_ROUTE = "-"

ATTEMPT_BEGINS = "request: Attempt begins."
ATTEMPT_ENDED = "request: Attempt ended."
REQUEST_REFUSED = "request: Request refused."
ANSWER_CUT = "request: Answer cut."
REQUEST_ENDED = "request: Request ended."
NO_CONFIGURATION = "request: No configuration."


class Loss(NamedTuple):
    """Hold what one request lost, with an empty cause if it lost nothing."""

    route: str
    value: float
    """Value of a complete answer in time; an answer to an empty prompt has 1."""
    share: float = 0.0
    """Part of the value that was lost."""
    cause: str = ""


class LossRow(NamedTuple):
    """Hold what the requests of one route lost for one cause."""

    route: str
    cause: str
    requests: int
    share: float
    """Part of the value of all requests."""


def losses_from_logs(command: Losses, writer: Writer) -> ExitCode:
    """Show the losses in logs by route and cause."""
    rows = loss_rows(losses_of(read_entries(command.log)))
    if not rows:
        raise CommandFailedError(
            ExitCode.REFUSED,
            "these logs name no request",
            "give the logs of all processes that callers reach",
        )
    lines = [
        f"{row.share:7.4f} {row.requests:6} {row.route:12} {row.cause}" for row in rows
    ]
    document = {"losses": [row._asdict() for row in rows]}
    writer.show(document, ["  share requests route    cause", *lines])
    return ExitCode.DONE


def losses_of(entries: Iterable[LogEntry]) -> list[Loss]:
    """Return the loss of each request in the logs."""
    by_request: dict[str, list[LogEntry]] = defaultdict(list)
    for entry in entries:
        if "request" in entry.fields:
            by_request[entry.fields["request"]].append(entry)
    return [loss_of(own) for own in by_request.values()]


def loss_rows(losses: list[Loss]) -> list[LossRow]:
    """Sum losses by route and cause, the greatest first."""
    total_value = sum(loss.value for loss in losses)
    groups: dict[tuple[str, str], list[Loss]] = defaultdict(list)
    for loss in losses:
        groups[loss.route, loss.cause or "in time"].append(loss)
    rows = [
        LossRow(
            route,
            cause,
            len(group),
            sum(loss.value * loss.share for loss in group) / total_value,
        )
        for (route, cause), group in groups.items()
    ]
    return sorted(rows, key=lambda row: -row.share)


def loss_of(own: list[LogEntry]) -> Loss:
    """Find the loss of a request and its one cause."""
    begins = fields_of(own, ATTEMPT_BEGINS)
    if not begins:
        return Loss(NO_ROUTE, 1.0, 1.0, cause_without_attempt(own))
    first = begins[0]
    whole = Loss(
        str(first.get("route")), answer_value(PromptSize(first.get("tokens") or 0, 0))
    )
    ended = fields_of(own, REQUEST_ENDED)
    if not ended:
        return whole._replace(share=1.0, cause="the gateway ended")
    outcome = str(ended[-1].get("outcome"))
    if not outcome.startswith("2"):
        return whole._replace(share=1.0, cause=cause_of_failure(own, outcome))
    cause = cause_of_lateness(begins, fields_of(own, ATTEMPT_ENDED), ended[-1])
    return (
        whole if cause is None else whole._replace(share=LATE_LOSS_SHARE, cause=cause)
    )


def fields_of(own: list[LogEntry], event: str) -> list[dict[str, Any]]:
    """Return the fields of all entries of an event, in order."""
    return [entry.fields for entry in own if entry.event == event]


def cause_without_attempt(own: list[LogEntry]) -> str:
    """Return why a request was sent to no upstream."""
    if fields_of(own, NO_CONFIGURATION):
        return "no configuration"
    refused = fields_of(own, REQUEST_REFUSED)
    if refused:
        return f"refused: {refused[-1].get('reason')}"
    ended = fields_of(own, REQUEST_ENDED)
    return f"answered {ended[-1].get('outcome')}" if ended else "the gateway ended"


def cause_of_failure(own: list[LogEntry], outcome: str) -> str:
    """Return why a request that was sent to an upstream got no successful answer."""
    for event in (REQUEST_REFUSED, ANSWER_CUT):
        given_up = fields_of(own, event)
        if given_up:
            return f"given up: {given_up[-1].get('reason')}"
    if outcome == "caller left":
        return outcome
    attempts = fields_of(own, ATTEMPT_ENDED)
    return f"the upstream answered {outcome}, attempt {len(attempts)}"


def cause_of_lateness(
    begins: list[dict], attempts: list[dict], ended: dict
) -> str | None:
    """Return why an answer was late, or None if it was in time."""
    objective, pause = begins[0].get("objective"), begins[0].get("pause_allowed")
    last = attempts[-1] if attempts else {}
    since_first = last.get("first")
    total = ended.get("seconds", 0.0)
    waited = total if since_first is None else total - last["seconds"] + since_first
    if objective is not None and waited > objective:
        if len(attempts) > 1:
            return f"late after {attempts[0].get('outcome')}"
        if begins[0].get("predicted", 0.0) > objective:
            return "late, as foreseen"
        return "late, not foreseen"
    if pause is not None and (last.get("pause") or 0.0) > pause:
        return "held up while writing"
    return None
