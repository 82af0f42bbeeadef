"""Control a model engine over HTTP."""

from typing import NamedTuple, Self, TypeVar

import msgspec

from cowslipshelf_core.identifiers import AttemptId
from cowslipshelf_core.upstream import HandOver
from cowslipshelf_upstreams.errors import UpstreamLostError, UpstreamRefusedError
from cowslipshelf_upstreams.internal.answer_assembly import (
    AnswerAssembly,
    AssembledStream,
    stream_request_body,
)
from cowslipshelf_upstreams.internal.connections import (
    CONTROL_POOL_SIZE,
    Connections,
    Headers,
    OpenAnswer,
    UpstreamRequest,
    end_to_end_headers,
)
from cowslipshelf_upstreams.internal.engine_documents import (
    CacheEvents,
    EngineInventory,
    EngineLoad,
    EngineOrder,
    EngineOrders,
    KvExport,
    KvImport,
    KvPart,
    OrderResult,
    PromptPart,
)
from cowslipshelf_upstreams.internal.stream import UpstreamStream

WHOLE_PROMPT = PromptPart()
OK = 200
NOT_FOUND = 404
CONFLICT = 409
OWN_HEADERS = frozenset(
    (
        "accept-encoding",
        "x-attempt-id",
        "x-kv-handles",
        "x-priority",
        "x-request-id",
        "x-resume-from",
        "x-token-range",
    )
)
"""Headers that only this client sets; a caller could control the engine by them."""

Document = TypeVar("Document")


class EngineClientConfig(NamedTuple):
    """Configure the address and the timeouts of an engine's client."""

    base_url: str
    connect_seconds: float = 1.0
    silence_seconds: float = 5.0
    """Timeout between bytes of a stream, and for the answer to a control request."""
    order_seconds: float = 600.0
    """Timeout of an order, which may have to load weights."""


class StreamOption(msgspec.Struct, frozen=True):
    """Hold the field of a completion request that asks for a stream."""

    stream: bool | None = None


class EngineClient:
    """Start, resume and cancel attempts at one engine, and query its state."""

    def __init__(self, config: EngineClientConfig) -> None:
        self.config = config
        self.connections = Connections(
            config.base_url, config.connect_seconds, CONTROL_POOL_SIZE
        )
        self.assemblies: dict[AttemptId, AnswerAssembly] = {}

    @classmethod
    def from_config(cls, config: EngineClientConfig) -> Self:
        """Create a client, which connects when it is first used."""
        return cls(config)

    def start(
        self, hand_over: HandOver, part: PromptPart = WHOLE_PROMPT
    ) -> UpstreamStream:
        """Start an attempt once; raise `UpstreamLostError` if no answer begins.

        Most non-streamed answers are fetched as a stream and assembled here.
        """
        request = UpstreamRequest(
            step="start",
            method=hand_over.method,
            path=hand_over.path,
            headers=start_headers(hand_over, part),
            body=hand_over.body,
        )
        streamed_body = stream_request_body(hand_over.body)
        if streamed_body is not None:
            request = request._replace(body=streamed_body)
            return self.start_assembly(hand_over.attempt_id, request)
        wait = self.config.silence_seconds
        if not wants_stream(hand_over.body):
            # The engine sends nothing of a non-streamed answer until it is complete.
            wait = max(wait, hand_over.deadline_seconds)
        answer = self.connections.open(request, wait)
        delivered = hand_over.delivered_tokens
        return UpstreamStream(answer, self.connections.peer, 0, delivered)

    def start_assembly(
        self, attempt_id: AttemptId, request: UpstreamRequest
    ) -> UpstreamStream:
        """Start an attempt whose stream is assembled to a non-streamed answer."""
        self.assemblies[attempt_id] = AnswerAssembly()
        try:
            answer = self.connections.open(request, self.config.silence_seconds)
        except UpstreamLostError as error:
            if not error.may_have_arrived:
                del self.assemblies[attempt_id]
            raise
        stream = UpstreamStream(answer, self.connections.peer)
        if stream.is_event_stream:
            return self.assembled_stream(attempt_id, answer, 0)
        # The engine refused, or ignored the request for a stream.
        del self.assemblies[attempt_id]
        return stream

    def assembled_stream(
        self, attempt_id: AttemptId, answer: OpenAnswer, after: int
    ) -> UpstreamStream:
        """Return a stream that continues an attempt's assembly."""
        return AssembledStream(
            answer,
            self.connections.peer,
            self.assemblies[attempt_id],
            after,
            on_complete=lambda: self.assemblies.pop(attempt_id, None),
        )

    def resume(
        self, attempt_id: AttemptId, after: int, delivered_tokens: int | None = None
    ) -> UpstreamStream:
        """Resume a stream after the event with sequence number `after`.

        Raise `UpstreamLostError` if the engine no longer holds the attempt.
        """
        assembly = self.assemblies.get(attempt_id)
        last_event = after if assembly is None else assembly.sequence
        request = UpstreamRequest(
            step="resume",
            method="GET",
            path=f"/v1/attempts/{attempt_id}/events",
            headers=(("Last-Event-ID", str(last_event)),),
        )
        answer = self.connections.open(request, self.config.silence_seconds)
        peer = self.connections.peer
        status = answer.response.status
        if status != OK:
            answer.close()
            detail = f"status {status}: the attempt can't be resumed"
            raise UpstreamLostError(request.step, peer, detail)
        if assembly is not None:
            return self.assembled_stream(attempt_id, answer, after)
        return UpstreamStream(answer, peer, after, delivered_tokens)

    def cancel(self, attempt_id: AttemptId) -> bool:
        """Cancel an attempt; return False if the engine doesn't know it."""
        self.assemblies.pop(attempt_id, None)
        path = f"/v1/attempts/{attempt_id}"
        try:
            self.send_control(UpstreamRequest("cancel", "DELETE", path))
        except UpstreamRefusedError as error:
            if error.status == NOT_FOUND:
                return False
            raise
        return True

    def inventory(self) -> EngineInventory:
        """Return the attempts that the engine holds."""
        request = UpstreamRequest("inventory", "GET", "/v1/inventory")
        return self.fetch(request, EngineInventory)

    def load(self) -> EngineLoad:
        """Return the load that the engine reports, which lags behind."""
        return self.fetch(UpstreamRequest("load", "GET", "/v1/load"), EngineLoad)

    def cache_events(self, after: int) -> CacheEvents:
        """Return the changes of the prefix cache after a sequence number."""
        path = f"/v1/cache/events?after={after}"
        return self.fetch(UpstreamRequest("cache events", "GET", path), CacheEvents)

    def orders(self) -> EngineOrders:
        """Return the orders that the engine has run."""
        request = UpstreamRequest("read orders", "GET", "/v1/orders")
        return self.fetch(request, EngineOrders)

    def send_order(self, order: EngineOrder) -> OrderResult:
        """Send an order; wait until it is run, or refused for an old fencing number."""
        body = msgspec.json.encode(order)
        request = UpstreamRequest("order", "POST", "/v1/orders", body=body)
        # Sent once only: after a lost connection the caller checks whether it ran.
        response = self.connections.open(request, self.config.order_seconds)
        stream = UpstreamStream(response, self.connections.peer)
        answer = b"".join(piece.data for piece in stream)
        if stream.status not in (OK, CONFLICT):
            detail = answer.decode(errors="replace")
            peer = self.connections.peer
            raise UpstreamRefusedError("order", peer, stream.status, detail)
        return self.decode(request, answer, OrderResult)

    def export_kv(
        self, attempt_id: AttemptId, from_token: int, to_token: int
    ) -> KvPart:
        """Return a reference to this engine's KV cache of a part of a prompt."""
        body = msgspec.json.encode(KvExport(attempt_id, from_token, to_token))
        request = UpstreamRequest("export", "POST", "/v1/kv/export", body=body)
        return self.fetch(request, KvPart)

    def import_kv(self, parts: tuple[KvPart, ...]) -> None:
        """Send this engine references to KV cache that other engines hold."""
        body = msgspec.json.encode(KvImport(parts))
        self.send_control(UpstreamRequest("import", "POST", "/v1/kv/import", body=body))

    def send_control(self, request: UpstreamRequest) -> bytes:
        """Send a control request and return the body of the answer."""
        return self.connections.send_pooled(request, self.config.silence_seconds)

    def fetch(self, request: UpstreamRequest, kind: type[Document]) -> Document:
        """Send a control request and decode the answer."""
        return self.decode(request, self.send_control(request), kind)

    def decode(
        self, request: UpstreamRequest, answer: bytes, kind: type[Document]
    ) -> Document:
        """Decode an answer; raise `UpstreamLostError` if it is malformed."""
        try:
            return msgspec.json.decode(answer, type=kind)
        except msgspec.MsgspecError as error:
            peer = self.connections.peer
            raise UpstreamLostError(request.step, peer, str(error)) from error

    def refuses_connections(self) -> bool:
        """Return whether the upstream's address refuses connections."""
        return self.connections.refuses_connections()

    def close(self) -> None:
        """Close idle connections; open streams are unaffected."""
        self.connections.close()


def start_headers(hand_over: HandOver, part: PromptPart) -> Headers:
    """Return the caller's headers, with this client's own in place of `OWN_HEADERS`."""
    own = [
        ("X-Request-Id", hand_over.request_id),
        ("X-Attempt-Id", hand_over.attempt_id),
        ("X-Priority", str(hand_over.priority)),
    ]
    if hand_over.delivered_tokens:
        own.append(("X-Resume-From", str(hand_over.delivered_tokens)))
    if part.from_token or part.to_token is not None:
        end = "" if part.to_token is None else part.to_token
        own.append(("X-Token-Range", f"{part.from_token}-{end}"))
    if part.kv_handles:
        own.append(("X-Kv-Handles", ",".join(part.kv_handles)))
    return (*end_to_end_headers(hand_over.headers, OWN_HEADERS), *own)


def wants_stream(body: bytes) -> bool:
    """Return whether a completion request asks for a stream."""
    try:
        return bool(msgspec.json.decode(body, type=StreamOption).stream)
    except msgspec.MsgspecError:
        return False
