"""Respond to one HTTP request about attempts."""

from http import HTTPStatus
from select import POLLRDHUP, poll
from socket import socket
from typing import NamedTuple

import msgspec
from cheroot.server import Gateway

from cowslipshelf_core.errors import Refusal, RefusalCode, RefusalReason
from cowslipshelf_core.messages import AttemptRefused, StreamHeartbeat
from cowslipshelf_core.upstream import LoadReport
from cowslipshelf_fleet.internal.attempts_protocol import (
    CONTENT_TYPE,
    MAX_BODY_BYTES,
    STATUS_DONE,
    STATUS_GONE,
    STATUS_MALFORMED,
    STATUS_REFUSED,
    STATUS_STREAM,
    STATUS_UNKNOWN,
    STATUS_WRONG_TAG,
    TAG_HEADER,
    CancelRequest,
    FramesRequest,
    HandOverRequest,
    PartsRequest,
    RevokeRequest,
    encoder,
    hand_over_decoder,
    parse_request,
    parts_decoder,
    revoke_body_decoder,
    verify_request_tag,
)
from cowslipshelf_fleet.internal.frame_buffer import FrameBuffer
from cowslipshelf_fleet.internal.frame_codec import encode_frame, encode_frames

TAG_HEADER_NAME = TAG_HEADER.title().encode()
HEARTBEAT = encode_frame(StreamHeartbeat())
NO_MEMORY = Refusal(
    RefusalCode.NOT_RUN,
    RefusalReason.OVERLOADED,
    "hand over",
    detail="no memory for the body",
    retry_after_seconds=1.0,
)


class StreamedFrames(NamedTuple):
    """Hold the frames of an attempt that are streamed after a chunk."""

    buffer: FrameBuffer
    after_sequence: int


class AttemptsResponder(Gateway):
    """Verify one request, call the handler and write the response."""

    def respond(self) -> None:
        """Respond to the request, once there is memory for its body."""
        streamed = None
        with self.req.server.memory.holding(self.longest_body()) as held:
            if held:
                streamed = self.verify_and_route(self.req.rfile.read())
            else:
                self.req.close_connection = True
                refused = AttemptRefused(NO_MEMORY, LoadReport())
                self.send_response(STATUS_REFUSED, encoder.encode(refused))
        if streamed is not None:
            self.stream(streamed.buffer, streamed.after_sequence)

    def longest_body(self) -> int:
        """Return how many bytes the body has, or may have if it comes in chunks."""
        if self.req.chunked_read:
            return MAX_BODY_BYTES
        return int(self.req.inheaders.get(b"Content-Length", b"0"))

    def verify_and_route(self, body: bytes) -> StreamedFrames | None:
        """Answer the request, or return the frames that are its answer.

        Nothing is parsed before its tag is verified.
        """
        method = self.req.method.decode("latin-1")
        target = self.req.uri.decode("latin-1")
        tag = self.req.inheaders.get(TAG_HEADER_NAME, b"").decode("latin-1")
        server = self.req.server
        if not verify_request_tag(server.tagger, tag, method, target, body):
            self.send_response(STATUS_WRONG_TAG)
            return None
        try:
            return self.route(method, target, body)
        except (msgspec.MsgspecError, UnicodeDecodeError) as error:
            self.send_response(STATUS_MALFORMED, str(error).encode())
            return None

    def route(self, method: str, target: str, body: bytes) -> StreamedFrames | None:
        """Call the handler method for the request; return frames to be streamed."""
        handler = self.req.server.handler
        match parse_request(method, target):
            case HandOverRequest():
                return self.hand_over(body)
            case FramesRequest(attempt_id, after):
                buffer = handler.frames(attempt_id)
                if buffer is None:
                    self.send_response(STATUS_UNKNOWN)
                else:
                    return StreamedFrames(buffer, after)
            case RevokeRequest(attempt_id):
                epoch, load_sequence = revoke_body_decoder.decode(body)
                outcome = handler.revoke(attempt_id, epoch, load_sequence)
                self.send_response(STATUS_STREAM, encoder.encode(outcome))
            case PartsRequest(attempt_id):
                handler.begin(attempt_id, parts_decoder.decode(body).parts)
                self.send_response(STATUS_DONE)
            case CancelRequest(attempt_id):
                handler.cancel(attempt_id)
                self.send_response(STATUS_DONE)
            case None:
                self.send_response(STATUS_UNKNOWN)
        return None

    def hand_over(self, body: bytes) -> StreamedFrames | None:
        """Pass the attempt to the handler, once, unless its client has disconnected.

        A request may wait here for a free thread until its entry has abandoned it and
        closed the connection. Nobody would read the result if it ran then.
        """
        if has_hung_up(self.req.conn.socket):
            self.req.close_connection = True
            self.send_response(STATUS_GONE)
            return None
        outcome = self.req.server.handler.hand_over(hand_over_decoder.decode(body))
        if isinstance(outcome, AttemptRefused):
            self.send_response(STATUS_REFUSED, encoder.encode(outcome))
            return None
        return StreamedFrames(outcome, 0)

    def stream(self, buffer: FrameBuffer, after: int) -> None:
        """Write frames up to the last one, and heartbeats while there are none.

        If the client stops reading, the socket times out and ends the response; the
        frames stay in the buffer for a resume.
        """
        server = self.req.server
        reader = buffer.replace_reader()
        position = buffer.position_after(after)
        self.start_response(STATUS_STREAM)
        self.req.ensure_headers_sent()
        while not server.stopping.is_set():
            frames = buffer.read_from(position, server.config.heartbeat_seconds, reader)
            if frames:
                self.write_chunk(encode_frames(frames))
                position += len(frames)
            elif buffer.is_ended_for(position, reader):
                return
            else:
                self.write_chunk(HEARTBEAT)
        self.req.close_connection = True

    def write_chunk(self, data: bytes) -> None:
        """Write one chunk of the body directly to the socket.

        The library flushes its buffer on each of its own writes, so no bytes are
        reordered, and the buffer costs more CPU time than encoding and sending.
        """
        self.req.conn.socket.sendall(b"%x\r\n%b\r\n" % (len(data), data))

    def send_response(self, status: int, body: bytes = b"") -> None:
        """Write a complete response."""
        self.start_response(status)
        self.req.outheaders.append((b"Content-Length", str(len(body)).encode()))
        self.req.ensure_headers_sent()
        self.req.write(body)

    def start_response(self, status: int) -> None:
        """Set the status line and the content type."""
        phrase = HTTPStatus(status).phrase
        self.req.status = f"{status} {phrase}".encode()
        self.req.outheaders.append((b"Content-Type", CONTENT_TYPE.encode()))


def has_hung_up(peer: socket) -> bool:
    """Return whether the peer has closed its end of the connection."""
    poller = poll()
    poller.register(peer, POLLRDHUP)
    return bool(poller.poll(0))
