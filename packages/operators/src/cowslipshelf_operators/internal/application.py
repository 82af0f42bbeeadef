"""Authenticate and check operators' requests, and pass them to the handler."""

import hmac
from collections.abc import Callable, Iterable
from http import HTTPStatus
from typing import Any, TypeVar, get_args
from urllib.parse import parse_qsl

import msgspec
from cheroot.errors import MaxSizeExceeded

from cowslipshelf_core.control import ConfirmDocument, PlanDocument, hash_key
from cowslipshelf_core.identifiers import OperatorName, PlanId
from cowslipshelf_operators.errors import HandlerError, RequestError
from cowslipshelf_operators.internal.answers import (
    METRICS_TYPE,
    HttpAnswer,
    audit_answer,
    error_answer,
    json_answer,
    outcome_answer,
)
from cowslipshelf_operators.internal.documents import ExplainKind, HealthAnswer
from cowslipshelf_operators.internal.handler import OperatorsHandler
from cowslipshelf_operators.internal.settings import (
    DEFAULT_AUDIT_PAGE,
    MAX_AUDIT_PAGE,
    OperatorKey,
)

RequestDocument = TypeVar("RequestDocument", PlanDocument, ConfirmDocument)
Environ = dict[str, Any]
StartResponse = Callable[[str, list[tuple[str, str]]], object]

BEARER = "bearer "
EXPLAIN_KINDS = get_args(ExplainKind)


class BodyReadError(OSError):
    """Report that the connection timed out or broke; the HTTP library handles it."""


class OperatorsApplication:
    """Implement the WSGI application of the operators' server."""

    def __init__(
        self,
        key_hashes: tuple[OperatorKey, ...],
        handler: OperatorsHandler,
        report: Callable[[str], None],
    ) -> None:
        self.key_hashes = key_hashes
        self.handler = handler
        self.report = report

    def __call__(
        self, environ: Environ, start_response: StartResponse
    ) -> Iterable[bytes]:
        """Answer one request, as WSGI defines it."""
        answer = self.answer_or_error(environ)
        start_response(
            f"{answer.status.value} {answer.status.phrase}",
            [
                ("Content-Type", answer.content_type),
                ("Content-Length", str(len(answer.body))),
                ("Cache-Control", "no-store"),
                *answer.headers,
            ],
        )
        return [answer.body]

    def answer_or_error(self, environ: Environ) -> HttpAnswer:
        """Answer a request; turn any failure of the handler into an error answer."""
        try:
            return self.answer(environ)
        except HandlerError as error:
            return error_answer(error)
        except BodyReadError:
            raise
        except Exception as error:
            # After an internal error, the operator must still get an answer, without
            # internal details.
            self.report(f"answer operator: {error!r}")
            detail = "the request met a fault in this process; see its log"
            status = HTTPStatus.INTERNAL_SERVER_ERROR
            fault = HandlerError(
                "handle request", "entry", detail, status=status, code="internal"
            )
            return error_answer(fault)

    def answer(self, environ: Environ) -> HttpAnswer:
        """Route a request; health, readiness and metrics need no key."""
        segments = tuple(environ["PATH_INFO"].strip("/").split("/"))
        match segments:
            case ("healthz",):
                return self.get(environ, self.health)
            case ("readyz",):
                return self.get(environ, self.ready)
            case ("metrics",):
                return self.get(environ, self.metrics)
        operator = self.authenticate(environ)
        match segments:
            case ("v1", "plans"):
                return self.post(environ, lambda: self.plan(operator, environ))
            case ("v1", "plans", plan_id, "confirm"):
                return self.post(
                    environ, lambda: self.confirm(operator, PlanId(plan_id), environ)
                )
            case ("v1", "state"):
                return self.get(environ, lambda: json_answer(self.handler.state()))
            case ("v1", "suspects"):
                return self.get(environ, lambda: json_answer(self.handler.suspects()))
            case ("v1", "suspects", digest, "release"):
                return self.post(environ, lambda: self.release(operator, digest))
            case ("v1", "audit"):
                return self.get(environ, lambda: self.audit(environ))
            case ("v1", "explain", kind, *name) if kind in EXPLAIN_KINDS and name:
                return self.get(environ, lambda: self.explain(kind, "/".join(name)))
        raise RequestError(
            "route request",
            f"there is nothing at {environ['PATH_INFO']!r}",
            status=HTTPStatus.NOT_FOUND,
            code="unknown_path",
        )

    def get(self, environ: Environ, answer: Callable[[], HttpAnswer]) -> HttpAnswer:
        """Answer a GET."""
        return self.require_method(environ, "GET", answer)

    def post(self, environ: Environ, answer: Callable[[], HttpAnswer]) -> HttpAnswer:
        """Answer a POST."""
        return self.require_method(environ, "POST", answer)

    def require_method(
        self, environ: Environ, method: str, answer: Callable[[], HttpAnswer]
    ) -> HttpAnswer:
        """Answer a request with this method, and refuse all other methods."""
        if environ["REQUEST_METHOD"] == method:
            return answer()
        raise RequestError(
            "route request",
            f"{environ['PATH_INFO']} takes {method}",
            status=HTTPStatus.METHOD_NOT_ALLOWED,
            code="method_not_allowed",
        )

    def authenticate(self, environ: Environ) -> OperatorName:
        """Return the operator with this key; takes the same time for every key."""
        header = environ.get("HTTP_AUTHORIZATION", "")
        key = header[len(BEARER) :] if header.lower().startswith(BEARER) else ""
        found: OperatorName | None = None
        given = hash_key(key)
        for entry in self.key_hashes:
            if hmac.compare_digest(given, entry.key_hash) and key:
                found = entry.operator
        if found is None:
            raise RequestError(
                "authenticate",
                "send an operator's key as `Authorization: Bearer KEY`",
                status=HTTPStatus.UNAUTHORIZED,
                code="bad_key",
            )
        return found

    def plan(self, operator: OperatorName, environ: Environ) -> HttpAnswer:
        """Record a plan for a change."""
        document = decode_document(read_body(environ), PlanDocument)
        return outcome_answer(self.handler.plan(operator, document))

    def confirm(
        self, operator: OperatorName, plan_id: PlanId, environ: Environ
    ) -> HttpAnswer:
        """Confirm a plan, which puts it in force."""
        document = decode_document(read_body(environ) or b"{}", ConfirmDocument)
        return outcome_answer(self.handler.confirm(operator, plan_id, document))

    def audit(self, environ: Environ) -> HttpAnswer:
        """Return a page of the audit trail."""
        query = dict(parse_qsl(environ.get("QUERY_STRING", "")))
        since = query_number(query, "since", 0)
        limit = query_number(query, "limit", DEFAULT_AUDIT_PAGE)
        return audit_answer(self.handler.audit(since, min(limit, MAX_AUDIT_PAGE)))

    def explain(self, kind: ExplainKind, name: str) -> HttpAnswer:
        """Explain what happened to a request, an upstream or a change."""
        answer = self.handler.explain(kind, name)
        if answer is not None:
            return json_answer(answer)
        raise RequestError(
            "explain",
            f"this instance knows no {kind} {name!r}",
            status=HTTPStatus.NOT_FOUND,
            code="unknown_name",
        )

    def release(self, operator: OperatorName, digest: str) -> HttpAnswer:
        """Release a request that is held back; return the remaining ones."""
        if self.handler.release(operator, digest):
            return json_answer(self.handler.suspects())
        raise RequestError(
            "release",
            f"nothing speaks against a request {digest!r} here",
            status=HTTPStatus.NOT_FOUND,
            code="unknown_name",
        )

    def health(self) -> HttpAnswer:
        """Return whether the process is healthy."""
        return health_answer(self.handler.health())

    def ready(self) -> HttpAnswer:
        """Return whether the process should receive callers' requests."""
        return health_answer(self.handler.ready())

    def metrics(self) -> HttpAnswer:
        """Return the metrics in the Prometheus text format."""
        text = self.handler.metrics_text().encode()
        return HttpAnswer(HTTPStatus.OK, text, METRICS_TYPE)


def health_answer(health: HealthAnswer) -> HttpAnswer:
    """Return the health as an answer, with status 503 if it is not ok."""
    status = HTTPStatus.OK if health.ok else HTTPStatus.SERVICE_UNAVAILABLE
    return json_answer(health, status)


def read_body(environ: Environ) -> bytes:
    """Read the whole body, or refuse the request."""
    step = "read body"
    try:
        body = environ["wsgi.input"].read()
    except MaxSizeExceeded as error:
        status = HTTPStatus.REQUEST_ENTITY_TOO_LARGE
        detail = "the body is too large"
        raise RequestError(step, detail, status=status, code="too_large") from error
    except OSError as error:
        raise BodyReadError(*error.args) from error
    except (ValueError, IndexError) as error:
        raise RequestError(step, "the chunks of the body are malformed") from error
    announced = int(environ.get("CONTENT_LENGTH") or len(body))
    if len(body) < announced:
        # Half of a document, from a client that died, must not be accepted.
        raise RequestError(step, f"{announced} bytes announced, {len(body)} came")
    return body


def decode_document(
    body: bytes, document_type: type[RequestDocument]
) -> RequestDocument:
    """Decode a JSON document; refuse unknown fields and unencodable values."""
    step = "read document"
    try:
        document = msgspec.json.decode(body, type=document_type)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise RequestError(step, str(error)) from error
    try:
        msgspec.msgpack.encode(document)
    except (OverflowError, UnicodeEncodeError) as error:
        # JSON numbers have any size, but the replicated log can't store them all.
        # Unchecked, the operator would get an internal error.
        raise RequestError(step, f"a value can't be kept: {error}") from error
    return document


def query_number(query: dict[str, str], name: str, default: int) -> int:
    """Return a whole number from the query."""
    text = query.get(name, str(default))
    if not (text.isascii() and text.isdigit()):
        detail = f"`{name}` must be a whole number, found {text!r}"
        raise RequestError("read query", detail)
    return int(text)
