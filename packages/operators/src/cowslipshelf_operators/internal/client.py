"""Provide the client of the operators' interface."""

from http import HTTPStatus
from typing import NamedTuple, TypeVar
from urllib.parse import quote, urlencode

import msgspec
import urllib3
from urllib3.exceptions import HTTPError

from cowslipshelf_core.configuration import Document
from cowslipshelf_core.control import ConfirmDocument, PlanDocument
from cowslipshelf_core.identifiers import ChangeId, PlanId
from cowslipshelf_operators.errors import ClientError, HttpStatusError
from cowslipshelf_operators.internal.documents import (
    AuditAnswer,
    ConfirmedAnswer,
    ErrorEnvelope,
    ExplainAnswer,
    ExplainKind,
    HealthAnswer,
    OutdatedAnswer,
    PlanAnswer,
    StateAnswer,
    SuspectsAnswer,
)
from cowslipshelf_operators.internal.settings import (
    DEFAULT_AUDIT_PAGE,
    OperatorsClientConfig,
)

Answer = TypeVar("Answer", bound=Document)


class HttpReply(NamedTuple):
    """Hold the response of one address."""

    address: str
    status: int
    body: bytes
    retry_after: str | None


class OperatorsClient:
    """Send requests to one of several entry instances.

    If an address can't be reached, breaks off or isn't ready, the next one is tried.
    An answer may be lost after the change was accepted. Resending is safe: the first
    answer is stored under the id of the change or the plan, and returned again.
    """

    def __init__(self, config: OperatorsClientConfig) -> None:
        self.config = config
        self.pool = urllib3.PoolManager(
            retries=False,
            timeout=urllib3.Timeout(
                connect=config.connect_seconds, read=config.answer_seconds
            ),
        )

    @classmethod
    def from_config(cls, config: OperatorsClientConfig) -> "OperatorsClient":
        """Create a client, which connects when it is first used."""
        return cls(config)

    def plan(self, document: PlanDocument) -> PlanAnswer | OutdatedAnswer:
        """Request a plan for a change."""
        reply = self.request("POST", "/v1/plans", msgspec.json.encode(document))
        if is_outdated(reply):
            return decode(reply, OutdatedAnswer)
        return decode_success(reply, PlanAnswer)

    def confirm(
        self, plan_id: PlanId, change_id: ChangeId | None = None
    ) -> ConfirmedAnswer | OutdatedAnswer:
        """Confirm a plan, which puts it in force."""
        body = msgspec.json.encode(ConfirmDocument(change_id))
        path = f"/v1/plans/{quote(plan_id, safe='')}/confirm"
        reply = self.request("POST", path, body)
        if is_outdated(reply):
            return decode(reply, OutdatedAnswer)
        return decode_success(reply, ConfirmedAnswer)

    def state(self) -> StateAnswer:
        """Fetch a description of the fleet."""
        return decode_success(self.request("GET", "/v1/state"), StateAnswer)

    def audit(
        self, since_index: int = 0, limit: int = DEFAULT_AUDIT_PAGE
    ) -> AuditAnswer:
        """Fetch a page of the audit trail."""
        query = urlencode({"since": since_index, "limit": limit})
        return decode_success(self.request("GET", f"/v1/audit?{query}"), AuditAnswer)

    def explain(self, kind: ExplainKind, name: str) -> ExplainAnswer:
        """Explain what happened to a request, an upstream or a change."""
        path = f"/v1/explain/{kind}/{quote(name, safe='')}"
        return decode_success(self.request("GET", path), ExplainAnswer)

    def suspects(self) -> SuspectsAnswer:
        """List the requests during which upstreams exited."""
        return decode_success(self.request("GET", "/v1/suspects"), SuspectsAnswer)

    def release(self, digest: str) -> SuspectsAnswer:
        """Release a request that is held back; return the remaining ones."""
        path = f"/v1/suspects/{quote(digest, safe='')}/release"
        return decode_success(self.request("POST", path), SuspectsAnswer)

    def ready(self, address: str) -> HealthAnswer:
        """Fetch whether one instance is ready."""
        reply = self.request_address(address, "GET", "/readyz", None)
        return decode(reply, HealthAnswer)

    def request(self, method: str, path: str, body: bytes | None = None) -> HttpReply:
        """Send a request to the addresses in turn until one answers and is ready."""
        step = f"{method} {path}"
        failures: list[str] = []
        unready: HttpReply | None = None
        for address in self.config.addresses:
            try:
                reply = self.request_address(address, method, path, body)
            except ClientError as error:
                failures.append(f"{address}: {error.detail}")
                continue
            if reply.status != HTTPStatus.SERVICE_UNAVAILABLE:
                return reply
            unready = reply
        if unready is not None:
            return unready
        peers = ", ".join(self.config.addresses)
        raise ClientError(step, peers, "; ".join(failures) or "no address is given")

    def request_address(
        self, address: str, method: str, path: str, body: bytes | None
    ) -> HttpReply:
        """Send a request to one address; raises `ClientError` if it does not answer."""
        headers = {"Authorization": f"Bearer {self.config.key}"}
        if body is not None:
            headers["Content-Type"] = "application/json"
        try:
            response = self.pool.request(
                method, f"http://{address}{path}", body=body, headers=headers
            )
        except HTTPError as error:
            raise ClientError(f"{method} {path}", address, str(error)) from error
        retry_after = response.headers.get("Retry-After")
        return HttpReply(address, response.status, response.data, retry_after)

    def close(self) -> None:
        """Close the pooled connections."""
        self.pool.clear()


def is_outdated(reply: HttpReply) -> bool:
    """Tell whether the reply reports that another change came first."""
    return reply.status == HTTPStatus.CONFLICT


def decode_success(reply: HttpReply, answer_type: type[Answer]) -> Answer:
    """Decode an answer, or raise the error that was sent in its place."""
    if reply.status == HTTPStatus.OK:
        return decode(reply, answer_type)
    error = decode(reply, ErrorEnvelope).error
    seconds = reply.retry_after
    raise HttpStatusError(
        error.step,
        f"{reply.address}, {error.peer}",
        error.message,
        status=reply.status,
        code=error.code,
        retry_after_seconds=float(seconds) if seconds else None,
    )


def decode(reply: HttpReply, answer_type: type[Answer]) -> Answer:
    """Decode an answer; raises `ClientError` if it has another format."""
    try:
        return msgspec.json.decode(reply.body, type=answer_type)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        detail = f"status {reply.status}, and not our format: {error}"
        raise ClientError("read answer", reply.address, detail) from error
