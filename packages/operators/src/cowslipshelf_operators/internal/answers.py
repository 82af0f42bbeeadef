"""Encode the answers to operators as JSON."""

from http import HTTPStatus
from typing import NamedTuple

import msgspec

from cowslipshelf_core.configuration import Document
from cowslipshelf_core.control import (
    AuditRecord,
    OrderGranted,
    PlanConfirmed,
    PlanOutdated,
    PlanRecorded,
    PlanRefused,
    PlanUnknown,
)
from cowslipshelf_operators.errors import HandlerError
from cowslipshelf_operators.internal.documents import (
    AuditAnswer,
    AuditEntry,
    ConfirmedAnswer,
    ErrorAnswer,
    ErrorEnvelope,
    OrderStatus,
    OutdatedAnswer,
    PlanAnswer,
)

JSON_TYPE = "application/json"
METRICS_TYPE = "text/plain; version=0.0.4; charset=utf-8"
CONTROL_STEP = "apply to the control state"
CONTROL_PEER = "control"


class HttpAnswer(NamedTuple):
    """Hold an encoded answer."""

    status: HTTPStatus
    body: bytes
    content_type: str = JSON_TYPE
    headers: tuple[tuple[str, str], ...] = ()


def json_answer(document: Document, status: HTTPStatus = HTTPStatus.OK) -> HttpAnswer:
    """Return a document as an answer."""
    return HttpAnswer(status, msgspec.json.encode(document))


def encode_error(
    code: str, message: str, step: str, peer: str, reasons: tuple[str, ...] = ()
) -> bytes:
    """Encode an error."""
    answer = ErrorAnswer(code, message, step, peer, reasons)
    return msgspec.json.encode(ErrorEnvelope(answer))


def error_answer(error: HandlerError) -> HttpAnswer:
    """Return an error as an answer, with the step and peer at which it occurred."""
    headers: tuple[tuple[str, str], ...] = ()
    if error.retry_after_seconds is not None:
        headers = (("Retry-After", str(max(1, round(error.retry_after_seconds)))),)
    body = encode_error(error.code, error.detail, error.step, error.peer)
    return HttpAnswer(error.status, body, headers=headers)


def outcome_answer(
    outcome: PlanRecorded | PlanConfirmed | PlanOutdated | PlanUnknown | PlanRefused,
) -> HttpAnswer:
    """Return the outcome of a plan or its confirmation as an answer."""
    match outcome:
        case PlanRecorded(plan=plan):
            return json_answer(PlanAnswer(plan))
        case PlanConfirmed():
            return json_answer(confirmed_answer(outcome))
        case PlanOutdated():
            answer = OutdatedAnswer(
                "outdated", outcome.newer_version, outcome.fresh_plan, outcome.reasons
            )
            return json_answer(answer, HTTPStatus.CONFLICT)
        case PlanUnknown(plan_id=plan_id):
            message = f"no plan {plan_id!r} waits; ask for a plan with a new change id"
            body = encode_error("unknown_plan", message, CONTROL_STEP, CONTROL_PEER)
            return HttpAnswer(HTTPStatus.NOT_FOUND, body)
        case PlanRefused(reasons=reasons):
            body = encode_error(
                "refused", "; ".join(reasons), CONTROL_STEP, CONTROL_PEER, reasons
            )
            return HttpAnswer(HTTPStatus.UNPROCESSABLE_ENTITY, body)


def confirmed_answer(outcome: PlanConfirmed) -> ConfirmedAnswer:
    """Describe a confirmed plan."""
    return ConfirmedAnswer(
        outcome.plan_id,
        outcome.change_id,
        outcome.configuration_version,
        tuple(order_status(order) for order in outcome.opened),
    )


def order_status(order: OrderGranted) -> OrderStatus:
    """Describe an open order."""
    return OrderStatus(
        order.order_id, order.upstream_id, order.kind, order.argument, order.fencing
    )


def audit_answer(records: tuple[AuditRecord, ...]) -> HttpAnswer:
    """Return a page of the audit trail as an answer."""
    entries = tuple(AuditEntry(*record) for record in records)
    return json_answer(AuditAnswer(entries))
