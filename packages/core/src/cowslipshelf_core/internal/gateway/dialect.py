"""Define the interface between a gateway and the adapter of the outside protocol.

Callers, upstreams and operators use header names, paths and fields that are defined
elsewhere. An adapter decodes them into these types and encodes them from these types;
no other code depends on them.
"""

from dataclasses import dataclass
from typing import NamedTuple, Protocol

from result import Result

from cowslipshelf_core.identifiers import (
    CustomerName,
    DataCentre,
    UpstreamId,
    UpstreamName,
)
from cowslipshelf_core.internal.gateway.configuration import RouteConfiguration
from cowslipshelf_core.internal.gateway.prompt_cost import PromptSize
from cowslipshelf_core.internal.gateway.registry import ReceivedHeartbeat
from cowslipshelf_core.internal.gateway.request_digest import PartDigest
from cowslipshelf_core.messages import RoutesDocument

Headers = list[tuple[bytes, bytes]]
"""Names in lower case with their values, in order."""


class CallerFacts(NamedTuple):
    """Hold what a caller's headers say about its request."""

    attempt_id: str
    key: str | None
    deadline_seconds: float | None
    last_event_id: str | None
    prompt: PromptSize | None
    shared_parts: tuple[PartDigest, ...] = ()
    """Parts of the prompt that other prompts may share."""


class PrefillHelper(NamedTuple):
    """Identify an engine that prefills a part of a prompt for another engine."""

    address: str
    ticket: str | None = None
    """Name of the memory reserved there for the prompt."""


class ForwardFacts(NamedTuple):
    """Hold what a gateway sends to an upstream besides the caller's request."""

    upstream_id: UpstreamId
    customer: CustomerName | None
    left_seconds: float
    """Time until the request's deadline."""
    last_event_id: str | None
    priority: int | None = None
    """From zero, which is admitted first, to nine."""
    helpers: tuple[PrefillHelper, ...] = ()


class OutgoingRequest(NamedTuple):
    """Hold a request as it is sent to an upstream."""

    method: str
    target: str
    headers: Headers
    body: bytes


class MemoryTicket(NamedTuple):
    """Identify memory to reserve on an engine for one prompt."""

    upstream_id: UpstreamId
    address: str
    name: str
    tokens: int


@dataclass(frozen=True, slots=True)
class NoLimit:
    """Report that an answer names no limit."""


@dataclass(frozen=True, slots=True)
class LimitNamed:
    """Report the limit that an upstream names for all gateways together."""

    requests_per_second: float
    """Finite; zero means that it takes none."""


@dataclass(frozen=True, slots=True)
class LimitUnreadable:
    """Report that an upstream names a limit which is not a valid number."""

    text: str


AnswerLimit = NoLimit | LimitNamed | LimitUnreadable


class AnswerFacts(NamedTuple):
    """Hold what an upstream's headers say about its answer."""

    attempt_id: str | None
    not_run: bool
    """Whether the upstream guarantees that the request did not run."""
    keep_alive_seconds: float | None
    """Time for which the upstream keeps an idle connection open."""
    at_fault: str | None = None
    """Address of the upstream that is the reason why the request did not run."""
    limit: AnswerLimit = NoLimit()


@dataclass(frozen=True, slots=True)
class PutConfiguration:
    """Request that a configuration be applied."""


@dataclass(frozen=True, slots=True)
class ReadConfiguration:
    """Request the applied configuration."""


@dataclass(frozen=True, slots=True)
class RecordHeartbeat:
    """Deliver an upstream's heartbeat."""

    name: UpstreamName


@dataclass(frozen=True, slots=True)
class RemoveUpstream:
    """Announce that an upstream shuts down."""

    name: UpstreamName


@dataclass(frozen=True, slots=True)
class EvacuateDataCentre:
    """Request that nothing more be sent to the upstreams of a data centre."""

    data_centre: DataCentre


@dataclass(frozen=True, slots=True)
class WithdrawEvacuation:
    """Request that the upstreams of a data centre be used again."""

    data_centre: DataCentre


@dataclass(frozen=True, slots=True)
class ReadEvacuations:
    """Request the names of the evacuated data centres."""


ControlCall = (
    PutConfiguration
    | ReadConfiguration
    | RecordHeartbeat
    | RemoveUpstream
    | EvacuateDataCentre
    | WithdrawEvacuation
    | ReadEvacuations
)


class ParsedConfiguration(NamedTuple):
    """Hold a configuration as its document and as decoded types."""

    document: RoutesDocument
    configuration: RouteConfiguration


class Dialect(Protocol):
    """Translate between the outside protocol and the types above."""

    def is_readiness_probe(self, method: str, path: str) -> bool:
        """Return whether a request is a readiness probe of this gateway."""

    def control_call(self, method: str, path: str) -> ControlCall | None:
        """Decode a call of an operator or upstream; None for a caller's request."""

    def read_configuration(self, body: bytes) -> Result[ParsedConfiguration, str]:
        """Decode and check a configuration, or return the reason why it is invalid."""

    def read_accepted(self, body: bytes) -> Result[RouteConfiguration, str]:
        """Decode a configuration that was checked when it was accepted."""

    def read_heartbeat(
        self, name: UpstreamName, body: bytes
    ) -> Result[ReceivedHeartbeat, str]:
        """Decode a heartbeat, or return the reason why it is invalid."""

    def read_leaving(self, body: bytes) -> Result[int, str]:
        """Decode the start time of an upstream that shuts down.

        In milliseconds since 1970, zero if the upstream does not send it; an error is
        the reason why the body is invalid.
        """

    def evacuations_body(self, data_centres: tuple[DataCentre, ...]) -> bytes:
        """Encode the answer that lists the evacuated data centres."""

    def caller_facts(self, headers: Headers) -> CallerFacts:
        """Decode the headers of a caller's request."""

    def forwarded_headers(self, headers: Headers, facts: ForwardFacts) -> Headers:
        """Return the headers that an upstream gets."""

    def answer_facts(self, status: int, headers: Headers) -> AnswerFacts:
        """Decode the headers of an upstream's answer."""

    def answer_headers(self, headers: Headers) -> Headers:
        """Return the headers of an upstream's answer to pass on to its caller."""

    def reserve_memory(self, ticket: MemoryTicket, seconds: float) -> OutgoingRequest:
        """Build the request to reserve memory on an engine, or to renew it."""

    def release_memory(self, ticket: MemoryTicket) -> OutgoingRequest:
        """Build the request to release memory on an engine."""

    def ask_report(self, upstream_id: UpstreamId, address: str) -> OutgoingRequest:
        """Build a status request, which an engine answers whatever it works on."""

    def is_memory_granted(self, status: int) -> bool:
        """Return whether an answer's status means that memory was reserved."""

    def refusal_headers(self, attempt_id: str) -> Headers:
        """Return the headers of an answer that the gateway itself gives."""
