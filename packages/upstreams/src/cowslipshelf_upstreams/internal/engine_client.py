"""Speak to a model engine."""

from typing import NamedTuple, Self, TypeVar

import msgspec

from cowslipshelf_core.identifiers import AttemptId
from cowslipshelf_core.upstream import HandOver
from cowslipshelf_upstreams.errors import UpstreamLostError, UpstreamRefusedError
from cowslipshelf_upstreams.internal.assembly import (
    AnswerAssembly,
    AssembledStream,
    body_asking_for_a_stream,
)
from cowslipshelf_upstreams.internal.connections import (
    CONTROL_POOL_SIZE,
    Connections,
    Headers,
    OpenAnswer,
    UpstreamRequest,
    end_to_end,
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
"""Headers that only this client sets; a caller's own would deceive the engine."""

Document = TypeVar("Document")


class EngineClientConfig(NamedTuple):
    """Say where an engine is and how long to wait for it."""

    base_url: str
    connect_seconds: float = 1.0
    silence_seconds: float = 5.0
    """Longest time without a byte on a stream, or without a control answer."""
    order_seconds: float = 600.0
    """Longest time that an order may take; loading weights is slow."""


class StreamWish(msgspec.Struct, frozen=True):
    """Be the part of a completion request that says how to answer."""

    stream: bool | None = None


class EngineClient:
    """Start, resume and cancel attempts at one engine, and ask about it."""

    def __init__(self, config: EngineClientConfig) -> None:
        self.config = config
        self.connections = Connections(
            config.base_url, config.connect_seconds, CONTROL_POOL_SIZE
        )
        self.assemblies: dict[AttemptId, AnswerAssembly] = {}

    @classmethod
    def from_config(cls, config: EngineClientConfig) -> Self:
        """Make a client; it connects when it is first used."""
        return cls(config)

    def start(
        self, hand_over: HandOver, part: PromptPart = WHOLE_PROMPT
    ) -> UpstreamStream:
        """Start an attempt, once; raise `UpstreamLostError` if no answer begins.

        Most whole answers are fetched as a stream and put together here.
        """
        request = UpstreamRequest(
            step="start",
            method=hand_over.method,
            path=hand_over.path,
            headers=start_headers(hand_over, part),
            body=hand_over.body,
        )
        streamed_body = body_asking_for_a_stream(hand_over.body)
        if streamed_body is not None:
            request = request._replace(body=streamed_body)
            return self.start_assembly(hand_over.attempt_id, request)
        wait = self.config.silence_seconds
        if not wants_stream(hand_over.body):
            # Such a whole answer is silent until it is ready.
            wait = max(wait, hand_over.deadline_seconds)
        answer = self.connections.open(request, wait)
        delivered = hand_over.delivered_tokens
        return UpstreamStream(answer, self.connections.peer, 0, delivered)

    def start_assembly(
        self, attempt_id: AttemptId, request: UpstreamRequest
    ) -> UpstreamStream:
        """Start an attempt whose stream is put together to a whole answer."""
        self.assemblies[attempt_id] = AnswerAssembly()
        try:
            answer = self.connections.open(request, self.config.silence_seconds)
        except UpstreamLostError as error:
            if not error.may_have_arrived:
                del self.assemblies[attempt_id]
            raise
        stream = UpstreamStream(answer, self.connections.peer)
        if stream.is_event_stream:
            return self.assembled(attempt_id, answer, 0)
        # The engine refused, or answered whole after all.
        del self.assemblies[attempt_id]
        return stream

    def assembled(
        self, attempt_id: AttemptId, answer: OpenAnswer, after: int
    ) -> UpstreamStream:
        """Return a stream that goes on with an answer's assembly."""
        return AssembledStream(
            answer,
            self.connections.peer,
            self.assemblies[attempt_id],
            after,
            on_whole=lambda: self.assemblies.pop(attempt_id, None),
        )

    def resume(
        self, attempt_id: AttemptId, after: int, delivered_tokens: int | None = None
    ) -> UpstreamStream:
        """Go on with a stream after the event with this sequence number.

        Raise `UpstreamLostError` where the engine holds no such attempt any more.
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
            return self.assembled(attempt_id, answer, after)
        return UpstreamStream(answer, peer, after, delivered_tokens)

    def cancel(self, attempt_id: AttemptId) -> bool:
        """Cancel an attempt; false where the engine doesn't know it any more."""
        self.assemblies.pop(attempt_id, None)
        path = f"/v1/attempts/{attempt_id}"
        try:
            self.ask(UpstreamRequest("cancel", "DELETE", path))
        except UpstreamRefusedError as error:
            if error.status == NOT_FOUND:
                return False
            raise
        return True

    def inventory(self) -> EngineInventory:
        """Return what the engine holds."""
        request = UpstreamRequest("inventory", "GET", "/v1/inventory")
        return self.ask_for(request, EngineInventory)

    def load(self) -> EngineLoad:
        """Return how full the engine says it was a while ago."""
        return self.ask_for(UpstreamRequest("load", "GET", "/v1/load"), EngineLoad)

    def cache_events(self, after: int) -> CacheEvents:
        """Return the prefix cache's changes after a sequence number."""
        path = f"/v1/cache/events?after={after}"
        return self.ask_for(UpstreamRequest("cache events", "GET", path), CacheEvents)

    def orders(self) -> EngineOrders:
        """Return what the engine has done with the orders that it got."""
        request = UpstreamRequest("read orders", "GET", "/v1/orders")
        return self.ask_for(request, EngineOrders)

    def send_order(self, order: EngineOrder) -> OrderResult:
        """Give an order and wait until it is done or refused as old."""
        body = msgspec.json.encode(order)
        request = UpstreamRequest("order", "POST", "/v1/orders", body=body)
        # An order is given once: whether a lost one ran, the sender must find out.
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
        """Return a reference to a part of a prompt that this engine holds."""
        body = msgspec.json.encode(KvExport(attempt_id, from_token, to_token))
        request = UpstreamRequest("export", "POST", "/v1/kv/export", body=body)
        return self.ask_for(request, KvPart)

    def import_kv(self, parts: tuple[KvPart, ...]) -> None:
        """Tell this engine of parts that other engines hold."""
        body = msgspec.json.encode(KvImport(parts))
        self.ask(UpstreamRequest("import", "POST", "/v1/kv/import", body=body))

    def ask(self, request: UpstreamRequest) -> bytes:
        """Send a control request and return the body of its answer."""
        return self.connections.ask(request, self.config.silence_seconds)

    def ask_for(self, request: UpstreamRequest, kind: type[Document]) -> Document:
        """Send a control request and decode its answer."""
        return self.decode(request, self.ask(request), kind)

    def decode(
        self, request: UpstreamRequest, answer: bytes, kind: type[Document]
    ) -> Document:
        """Decode an answer, or raise as for an engine that broke its protocol."""
        try:
            return msgspec.json.decode(answer, type=kind)
        except msgspec.MsgspecError as error:
            peer = self.connections.peer
            raise UpstreamLostError(request.step, peer, str(error)) from error

    def refuses_connections(self) -> bool:
        """Tell whether nothing listens at the upstream's address any more."""
        return self.connections.refuses_connections()

    def close(self) -> None:
        """Close idle connections; streams that run are not touched."""
        self.connections.close()


def start_headers(hand_over: HandOver, part: PromptPart) -> Headers:
    """Return the headers of a start: the caller's, and ours in place of its copies."""
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
    return (*end_to_end(hand_over.headers, OWN_HEADERS), *own)


def wants_stream(body: bytes) -> bool:
    """Say whether a completion request asks for a stream."""
    try:
        return bool(msgspec.json.decode(body, type=StreamWish).stream)
    except msgspec.MsgspecError:
        return False
