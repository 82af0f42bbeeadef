"""Define what a gateway needs to know of the protocol that its peers speak.

The names of headers, paths and fields belong to whoever runs the machines. An adapter
decodes them into these types and encodes them from these types; nothing else sees them.
"""

from dataclasses import dataclass
from typing import NamedTuple, Protocol

from result import Result

from cowslipshelf_core.identifiers import CustomerName, UpstreamId, UpstreamName
from cowslipshelf_core.internal.gateway.configuration import RouteConfiguration
from cowslipshelf_core.internal.gateway.prompt_cost import PromptSize
from cowslipshelf_core.internal.gateway.registry import UpstreamHeartbeat
from cowslipshelf_core.messages import RoutesDocument

Headers = list[tuple[bytes, bytes]]
"""Names in lower case with their values, in order."""


class CallerFacts(NamedTuple):
    """Be what a caller's headers say of its request."""

    attempt_id: str
    key: str | None
    deadline_seconds: float | None
    last_event_id: str | None
    prompt: PromptSize | None


class PrefillHelper(NamedTuple):
    """Be an engine that reads a part of a prompt for another one."""

    address: str
    ticket: str | None = None
    """Names memory that was reserved there for the prompt."""


class ForwardFacts(NamedTuple):
    """Be what an upstream is told beside the caller's own request."""

    upstream_id: UpstreamId
    customer: CustomerName | None
    left_seconds: float
    last_event_id: str | None
    priority: int | None = None
    """Zero to nine, where zero is admitted first."""
    helpers: tuple[PrefillHelper, ...] = ()


class OutgoingRequest(NamedTuple):
    """Be a request as an upstream gets it."""

    method: str
    target: str
    headers: Headers
    body: bytes


class MemoryTicket(NamedTuple):
    """Name memory of an engine that is to be reserved for one prompt."""

    upstream_id: UpstreamId
    address: str
    name: str
    tokens: int


class AnswerFacts(NamedTuple):
    """Be what an upstream's headers say of its answer."""

    attempt_id: str | None
    not_run: bool
    """Whether the upstream promises that the request did not run."""
    keep_alive_seconds: float | None
    """Time for which it keeps an idle connection open."""


@dataclass(frozen=True, slots=True)
class PutConfiguration:
    """Ask for a configuration to be put in force."""


@dataclass(frozen=True, slots=True)
class ReadConfiguration:
    """Ask for the configuration in force."""


@dataclass(frozen=True, slots=True)
class RecordHeartbeat:
    """Bring an upstream's heartbeat."""

    name: UpstreamName


@dataclass(frozen=True, slots=True)
class RemoveUpstream:
    """Say that an upstream leaves for good."""

    name: UpstreamName


ControlCall = PutConfiguration | ReadConfiguration | RecordHeartbeat | RemoveUpstream


class ParsedConfiguration(NamedTuple):
    """Be a configuration in both of its forms."""

    document: RoutesDocument
    configuration: RouteConfiguration


class Dialect(Protocol):
    """Translate between the protocol of the machines and the types above."""

    def is_readiness_probe(self, method: str, path: str) -> bool:
        """Tell whether a request asks if this gateway is ready."""

    def control_call(self, method: str, path: str) -> ControlCall | None:
        """Return what an operator or upstream asks for."""

    def read_configuration(self, body: bytes) -> Result[ParsedConfiguration, str]:
        """Decode a configuration, or say what can't be read in it."""

    def read_accepted(self, body: bytes) -> Result[RouteConfiguration, str]:
        """Decode a configuration that was checked when it was accepted."""

    def read_heartbeat(
        self, name: UpstreamName, body: bytes
    ) -> Result[UpstreamHeartbeat, str]:
        """Decode a heartbeat, or say what can't be read in it."""

    def read_leaving(self, body: bytes) -> Result[int, str]:
        """Decode when the start that leaves began, in milliseconds since 1970.

        Zero where that is not told; an error says what can't be read.
        """

    def caller_facts(self, headers: Headers) -> CallerFacts:
        """Decode the headers of a caller's request."""

    def forwarded_headers(self, headers: Headers, facts: ForwardFacts) -> Headers:
        """Return the headers that an upstream gets."""

    def answer_facts(self, status: int, headers: Headers) -> AnswerFacts:
        """Decode the headers of an upstream's answer."""

    def answer_headers(self, headers: Headers) -> Headers:
        """Return the headers of an upstream's answer that its caller gets."""

    def reserve_memory(self, ticket: MemoryTicket, seconds: float) -> OutgoingRequest:
        """Ask an engine to set memory aside for a time, or to go on doing so."""

    def release_memory(self, ticket: MemoryTicket) -> OutgoingRequest:
        """Tell an engine that its memory is wanted no more."""

    def ask_report(self, upstream_id: UpstreamId, address: str) -> OutgoingRequest:
        """Ask an engine how it is, which it answers whatever it works on."""

    def is_memory_granted(self, status: int) -> bool:
        """Tell whether an engine has set the memory aside."""

    def refusal_headers(self, attempt_id: str) -> Headers:
        """Return the headers that go with an answer of our own."""
