"""Answer callers: authenticate and admit each call, then run its request."""

import hashlib
import hmac
import uuid
from typing import NamedTuple

from cowslipshelf_callers import AnswerWriter, CallerCall, ServedModel
from cowslipshelf_core.configuration import Customer, Service
from cowslipshelf_core.errors import Refusal, RefusalCode, RefusalReason
from cowslipshelf_core.identifiers import AttemptId
from cowslipshelf_core.requests import CallerRequest, RequestConfig, RequestMachine
from cowslipshelf_daemon.internal.entry.configuration_in_force import (
    ConfigurationIndex,
    ConfigurationInForce,
)
from cowslipshelf_daemon.internal.entry.explanations import RequestRecords
from cowslipshelf_daemon.internal.entry.open_requests import OpenRequests
from cowslipshelf_daemon.internal.entry.request_driver import (
    DriverServices,
    RequestDriver,
)

STEP = "admit"
NOT_READY_RETRY_SECONDS = 1.0


class AdmittedCall(NamedTuple):
    """Hold a call, and the customer and service that it was admitted for."""

    call: CallerCall
    customer: Customer
    service: Service


class EntryCallersHandler:
    """Handle the calls that reach one entry."""

    def __init__(
        self,
        in_force: ConfigurationInForce,
        services: DriverServices,
        records: RequestRecords,
        config: RequestConfig,
    ) -> None:
        self.in_force = in_force
        self.services = services
        self.records = records
        self.config = config
        self.open_requests = OpenRequests()

    def answer(self, call: CallerCall, writer: AnswerWriter) -> None:
        """Write exactly one answer to the call."""
        if not self.open_requests.enter():
            writer.refusal(not_ready("this instance is shutting down"), False)
            return
        try:
            self.admit_and_run(call, writer)
        finally:
            self.open_requests.leave()

    def admit_and_run(self, call: CallerCall, writer: AnswerWriter) -> None:
        """Admit the call and run its request, or refuse it."""
        index = self.in_force.index
        admitted = self.admit(call, index)
        if isinstance(admitted, Refusal):
            self.services.metrics.admission_refused(admitted)
            writer.refusal(admitted, False)
            return
        request = self.make_request(admitted, index)
        record = self.records.begin(request)
        machine = RequestMachine.from_config(request, self.config)
        RequestDriver(request, machine, writer, self.services, record).run()

    def admit(
        self, call: CallerCall, index: ConfigurationIndex
    ) -> AdmittedCall | Refusal:
        """Find the call's customer and service, or return why it is refused."""
        if not self.in_force.servable:
            return not_ready("no quorum has confirmed the configuration yet")
        customer = find_customer(call.customer_key, index)
        if customer is None:
            return refused(RefusalReason.BAD_KEY, "no customer has this key")
        service = find_service(call, customer, index)
        if isinstance(service, Refusal):
            return service
        return AdmittedCall(call, customer, service)

    def make_request(
        self, admitted: AdmittedCall, index: ConfigurationIndex
    ) -> CallerRequest:
        """Return the request in the form that `RequestMachine` takes."""
        call, customer, service = admitted
        return CallerRequest(
            request_id=call.request_id,
            owner=self.services.instance,
            configuration_version=index.configuration.version,
            customer=customer.name,
            service=service.name,
            kind=service.kind,
            model=call.model,
            idempotency_key=call.idempotency_key,
            service_is_idempotent=service.idempotent,
            streamed=call.streamed,
            deadline_seconds=call.deadline_seconds or service.default_deadline_seconds,
            prompt_tokens=call.prompt_tokens,
            max_output_tokens=call.max_output_tokens,
            prefix_hash=call.prefix_hash,
            method=call.method,
            path=call.path,
            headers=call.headers,
            body=call.body,
            body_digest=call.body_digest,
            shared_parts=call.shared_parts,
        )

    def models(self, customer_key: str) -> tuple[ServedModel, ...] | Refusal:
        """List the models that a customer may use."""
        index = self.in_force.index
        customer = find_customer(customer_key, index)
        if customer is None:
            return refused(RefusalReason.BAD_KEY, "no customer has this key")
        services = [index.services[name] for name in customer.services]
        return tuple(
            ServedModel(model, service.name)
            for service in services
            for model in service.models
        )


def find_customer(key: str, index: ConfigurationIndex) -> Customer | None:
    """Find the customer with this key, by the key's hash.

    The hash finds the candidate and a constant-time comparison confirms it, so that the
    time taken for a wrong key does not reveal how much of it was right.
    """
    key_hash = hashlib.sha256(key.encode()).hexdigest()
    customer = index.customers_by_key_hash.get(key_hash)
    if customer is None or not hmac.compare_digest(customer.key_hash, key_hash):
        return None
    return customer


def find_service(
    call: CallerCall, customer: Customer, index: ConfigurationIndex
) -> Service | Refusal:
    """Find the service for the call among those of its customer."""
    if call.service is not None:
        return named_service(call, customer, index)
    services = [index.services[name] for name in customer.services]
    matching = [service for service in services if call.model in service.models]
    match matching:
        case [service]:
            return service
        case []:
            return refused(
                RefusalReason.UNKNOWN_MODEL, f"no model {call.model!r} for you"
            )
        case _:
            names = ", ".join(service.name for service in matching)
            detail = f"several services have this model; name one of {names}"
            return refused(RefusalReason.BAD_REQUEST, detail)


def named_service(
    call: CallerCall, customer: Customer, index: ConfigurationIndex
) -> Service | Refusal:
    """Return the named service if it is the customer's and has the model."""
    service = index.services.get(call.service)
    if service is None or service.name not in customer.services:
        # The same answer for both, to reveal nothing about other customers' services.
        return refused(
            RefusalReason.UNKNOWN_SERVICE, f"no service {call.service!r} for you"
        )
    if service.kind != call.kind:
        return refused(
            RefusalReason.BAD_REQUEST, f"{call.service!r} is a {service.kind} service"
        )
    if service.kind == "model" and call.model not in service.models:
        return refused(
            RefusalReason.UNKNOWN_MODEL, f"{call.service!r} has no {call.model!r}"
        )
    return service


def refused(reason: RefusalReason, detail: str) -> Refusal:
    """Return the refusal of a call that was not admitted, and so never ran."""
    return Refusal(RefusalCode.NOT_RUN, reason, STEP, detail=detail)


def not_ready(detail: str) -> Refusal:
    """Return the refusal of a call that this instance cannot serve now."""
    refusal = refused(RefusalReason.NOT_READY, detail)
    return refusal._replace(retry_after_seconds=NOT_READY_RETRY_SECONDS)


def new_attempt_id() -> AttemptId:
    """Return a new random attempt id."""
    return AttemptId(uuid.uuid4().hex)
