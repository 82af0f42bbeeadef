"""Parse one HTTP request, and answer it through the handler or refuse it."""

import logging
import secrets
import urllib.parse

from cheroot.server import Gateway, HTTPRequest

from cowslipshelf_callers.errors import BadCallError, CallerGoneError
from cowslipshelf_callers.internal.answer_writer import AnswerWriter
from cowslipshelf_callers.internal.chunked_body import read_chunked
from cowslipshelf_callers.internal.model_list import write_models
from cowslipshelf_callers.internal.routes import (
    MODELS_PATH,
    RequestLine,
    bad_request,
    customer_key_of,
    find_route,
    make_call,
)
from cowslipshelf_core.errors import Refusal, RefusalCode, RefusalReason
from cowslipshelf_core.identifiers import RequestId

LOG = logging.getLogger("cowslipshelf.callers")
REQUEST_ID_BYTES = 12
STATUS_TIMEOUT = 408
ANSWER_NOT_ENDED = Refusal(
    RefusalCode.OUTCOME_UNKNOWN,
    RefusalReason.UPSTREAM_FAILED,
    "answer",
    detail="the answer was not ended",
)
"""Sent if an answer would otherwise stop without an error and look complete."""
NO_MEMORY = Refusal(
    RefusalCode.NOT_RUN,
    RefusalReason.OVERLOADED,
    "read body",
    detail="no memory for the body",
    retry_after_seconds=1.0,
)
SINGLE_VALUE_HEADERS = frozenset({b"Content-Length", b"Host", b"Authorization"})
TOO_LARGE_STATUSES = frozenset({413, 414})


def new_request_id() -> RequestId:
    """Return a new random id, which every hop and the answer carry."""
    return RequestId(f"req-{secrets.token_hex(REQUEST_ID_BYTES)}")


class CallHeaders(dict):
    """Hold the headers of a call; reject repeated headers that must be unique.

    A load balancer may use the first Content-Length and this server the last. Then
    bytes that the balancer takes for the body of one caller's call would be parsed
    here as another call (request smuggling).
    """

    def __setitem__(self, name: bytes, value: bytes) -> None:
        """Set a header; raises ValueError if it repeats one that must be unique."""
        if name in self and name in SINGLE_VALUE_HEADERS:
            raise ValueError(f"repeated header {name.decode()}")
        super().__setitem__(name, value)


class CallerRequestReader(HTTPRequest):
    """Parse the request line and headers; send errors in the published shape."""

    def read_request_line(self) -> bool:
        """Read the request line; answer a malformed one with 400, not 500."""
        try:
            return super().read_request_line()
        except ValueError as error:
            self.simple_response("400 Bad Request", f"malformed request line: {error}")
            return False

    def read_request_headers(self) -> bool:
        """Read the headers; refuse what two servers could interpret differently."""
        self.inheaders = CallHeaders()
        try:
            if not super().read_request_headers():
                return False
        except UnboundLocalError:
            # The library fails on a continuation line without a header before it, and
            # would answer 500.
            self.simple_response("400 Bad Request", "a header begins with white space")
            return False
        length = self.inheaders.get(b"Content-Length")
        if length is not None and not length.strip().isdigit():
            self.simple_response("400 Bad Request", "malformed Content-Length")
            return False
        if length is not None and self.chunked_read:
            self.simple_response(
                "400 Bad Request", "Content-Length together with chunked encoding"
            )
            return False
        return True

    def simple_response(self, status, msg="") -> None:
        """Refuse with the JSON shape that all refusals have; the library calls this."""
        number = int(str(status)[:3])
        self.close_connection = True
        self.conn.linger = True
        refusal = _refusal_of_status(number, str(msg).rstrip(".") or str(status)[4:])
        writer = self.writer(new_request_id())
        writer.keep_alive = False
        try:
            writer.send_refusal(refusal, number)
        except CallerGoneError as error:
            LOG.debug("callers: %s", error)

    def writer(self, request_id: RequestId) -> AnswerWriter:
        """Return the writer for the one answer to this request."""
        return AnswerWriter(
            socket=self.conn.socket,
            peer=f"{self.conn.remote_addr}:{self.conn.remote_port}",
            request_id=request_id,
            write_seconds=self.server.config.write_seconds,
            method=getattr(self, "method", b"GET").decode("latin-1"),
            allows_chunked=self.response_protocol == "HTTP/1.1",
            keep_alive=not self.close_connection,
        )


def _refusal_of_status(status: int, detail: str) -> Refusal:
    reason = RefusalReason.BAD_REQUEST
    if status in TOO_LARGE_STATUSES:
        reason = RefusalReason.TOO_LARGE
    if status == STATUS_TIMEOUT:
        reason = RefusalReason.DEADLINE_PASSED
        detail = "the request was not sent whole in time"
    return Refusal(RefusalCode.NOT_RUN, reason, "parse", detail=detail)


class CallResponder(Gateway):
    """Answer one parsed request, in the role that the HTTP library calls gateway."""

    req: CallerRequestReader

    def respond(self) -> None:
        """Answer, and decide whether the connection can serve another call."""
        request = self.req
        request.sent_headers = True
        if not request.server.may_keep_connections():
            request.close_connection = True
        writer = request.writer(new_request_id())
        self.answer_or_refuse(writer)
        request.close_connection = not writer.keep_alive
        request.chunked_write = False

    def answer_or_refuse(self, writer: AnswerWriter) -> None:
        """Answer the call; on any failure, the caller still gets one explicit end."""
        try:
            self.answer(writer)
        except CallerGoneError as error:
            writer.keep_alive = False
            LOG.info("callers: %s", error)
            return
        except BadCallError as error:
            self.refuse(writer, error)
            return
        except Exception:
            LOG.exception("callers: %s failed", writer.request_id)
        if not writer.ended:
            self.refuse(writer, BadCallError(ANSWER_NOT_ENDED))

    def refuse(self, writer: AnswerWriter, error: BadCallError) -> None:
        """Refuse a call and close its connection without parsing the rest."""
        writer.keep_alive = False
        self.req.conn.linger = True
        try:
            if error.status is None:
                writer.refusal(error.refusal, writer.head_sent)
            else:
                writer.send_refusal(error.refusal, error.status)
        except CallerGoneError as gone:
            LOG.info("callers: %s", gone)

    def answer(self, writer: AnswerWriter) -> None:
        """Parse the call and pass it to the handler."""
        line = self.request_line(writer.peer)
        key = customer_key_of(line.headers)
        if line.path == MODELS_PATH and line.method == "GET":
            self.read_body()
            write_models(self.req.server.handler.models(key), writer)
            return
        route = find_route(line)
        with self.req.server.memory.holding(self.longest_body()) as held:
            if not held:
                raise BadCallError(NO_MEMORY)
            body = self.read_body()
            call = make_call(line, route, writer.request_id, body)
            self.req.server.handler.answer(call, writer)

    def longest_body(self) -> int:
        """Return how many bytes the body has, or may have if it comes in chunks."""
        request = self.req
        if request.chunked_read:
            return request.server.config.max_body_bytes
        return int(request.inheaders.get(b"Content-Length", b"0"))

    def request_line(self, peer: str) -> RequestLine:
        """Return the request line and the headers as text."""
        request = self.req
        uri = urllib.parse.urlsplit(request.uri.decode("latin-1"))
        headers = {
            name.decode("latin-1").lower(): value.decode("latin-1")
            for name, value in request.inheaders.items()
        }
        method = request.method.decode("latin-1")
        return RequestLine(method, uri.path, uri.query, headers, peer)

    def read_body(self) -> bytes:
        """Read the whole body within the limits on size and time."""
        request = self.req
        limit = request.server.config.max_body_bytes
        try:
            if not request.chunked_read:
                return self.read_known_length()
            return read_chunked(request.conn.rfile, limit)
        except TimeoutError as error:
            refusal = _refusal_of_status(STATUS_TIMEOUT, "")
            raise BadCallError(refusal, STATUS_TIMEOUT) from error
        except ValueError as error:
            raise bad_request(f"malformed chunked body: {error}") from error

    def read_known_length(self) -> bytes:
        """Read a body with the length that Content-Length gives."""
        length = self.longest_body()
        if not length:
            return b""
        body = self.req.conn.rfile.read(length)
        if len(body) < length:
            peer = f"{self.req.conn.remote_addr}:{self.req.conn.remote_port}"
            raise CallerGoneError("body", peer, "closed before the body was whole")
        return body
