"""Check that slow, too many and disconnecting callers have a bounded cost."""

import threading

import pytest

from common.callers_http import (
    CHAT,
    CHAT_BODY,
    TIMEOUT_SECONDS,
    RecordingHandler,
    ask,
    connect,
    read_reply,
    request_bytes,
    running_server,
)
from cowslipshelf_callers import CallerGoneError


@pytest.mark.parametrize(
    "beginning",
    [
        b"POST /v1/completions HTTP/1.1\r\nX-Slow: ",
        request_bytes("POST", CHAT, content_length="4000000"),
        request_bytes("POST", CHAT, transfer_encoding="chunked") + b"fffff\r\n",
    ],
)
def test_an_incomplete_request_times_out_though_bytes_keep_arriving(beginning):
    """A broken client sends one byte now and then, each before a read times out.

    With only a timeout for each read, it would hold its thread forever.
    """
    with running_server(RecordingHandler(), request_seconds=0.3) as server:
        with connect(server) as connection:
            connection.sendall(beginning)
            stop = threading.Event()
            trickle = threading.Thread(target=_trickle, args=(connection, stop))
            trickle.start()
            reply = read_reply(connection)
            stop.set()
            trickle.join()
        assert reply.status == 408
        _wait_until_idle(server)


def _trickle(connection, stop) -> None:
    while not stop.wait(0.02):
        try:
            connection.send(b"x")
        except OSError:
            return


def _wait_until_idle(server) -> None:
    waited = threading.Event()
    for _ in range(int(TIMEOUT_SECONDS / 0.02)):
        if server.open_calls() == 0:
            return
        waited.wait(0.02)
    raise AssertionError(f"{server.open_calls()} calls are still open")


class EndlessHandler(RecordingHandler):
    """Write until the caller is gone, and record the error that reports it."""

    gone: CallerGoneError | None = None
    written = 0

    def answer(self, _call, writer) -> None:
        writer.head(200, self.headers)
        try:
            while True:
                writer.chunk(b"x" * 65_536)
                self.written += 1
        except CallerGoneError as error:
            self.gone = error
            raise


def test_a_client_that_stops_reading_costs_a_bounded_amount():
    """A caller requests a long stream and stops reading without closing.

    Its thread must become free within the time limit for one chunk, and no more data
    may be buffered for it than the kernel's buffers hold.
    """
    handler = EndlessHandler()
    limits = {"write_seconds": 0.3}
    with running_server(handler, **limits) as server, connect(server) as connection:
        connection.sendall(request_bytes("POST", CHAT, CHAT_BODY))
        connection.recv(1)
        _wait_until_idle(server)
    assert handler.gone.step == "answer"
    assert handler.gone.peer.startswith("127.0.0.1:")
    assert handler.written * 65_536 < 32 * 1024 * 1024


class WaitingHandler(RecordingHandler):
    """Block each call until `released` is set; record whether its caller has left."""

    def __init__(self) -> None:
        super().__init__()
        self.released = threading.Event()
        self.caller_left = threading.Event()

    def answer(self, call, writer) -> None:
        while not self.released.wait(0.01):
            if writer.caller_gone():
                self.caller_left.set()
                return
        super().answer(call, writer)


def test_calls_above_the_limit_are_refused_at_once():
    """More calls arrive than the limit of the instance allows.

    A call that waited in a queue would use up its deadline; refused at once, its
    caller can use another instance. Running calls must not be affected.
    """
    handler = WaitingHandler()
    with running_server(handler, min_threads=1, max_open_calls=3) as server:
        running = [connect(server) for _ in range(3)]
        for connection in running:
            connection.sendall(request_bytes("POST", CHAT, CHAT_BODY))
        for _ in range(int(TIMEOUT_SECONDS / 0.02)):
            if server.open_calls() == 3:
                break
            handler.caller_left.wait(0.02)
        reply = ask(server, request_bytes("POST", CHAT, CHAT_BODY))
        assert (reply.status, reply.error["code"]) == (503, "not_run")
        handler.released.set()
        for connection in running:
            with connection:
                assert read_reply(connection).status == 200


def test_silent_connections_take_no_thread_and_have_a_limit():
    """A load balancer opens many connections in advance and sends nothing on them."""
    handler = RecordingHandler()
    limits = {"max_idle_connections": 3, "max_open_calls": 2, "min_threads": 1}
    with running_server(handler, **limits) as server:
        silent = [connect(server) for _ in range(3)]
        with connect(server) as above:
            assert read_reply(above).status == 503
        silent[0].sendall(request_bytes("POST", CHAT, CHAT_BODY))
        assert read_reply(silent[0]).status == 200
        for connection in silent:
            connection.close()


def test_a_caller_that_leaves_while_it_waits_is_noticed():
    """A caller closes before the first token, so no write can fail."""
    handler = WaitingHandler()
    with running_server(handler) as server:
        with connect(server) as connection:
            connection.sendall(request_bytes("POST", CHAT, CHAT_BODY))
        assert handler.caller_left.wait(TIMEOUT_SECONDS)
        _wait_until_idle(server)


def test_open_calls_finish_after_the_server_is_told_to_drain():
    """An instance is shut down gracefully while an answer is being written."""
    handler = WaitingHandler()
    with running_server(handler) as server, connect(server) as connection:
        connection.sendall(request_bytes("POST", CHAT, CHAT_BODY))
        while server.open_calls() == 0:
            handler.caller_left.wait(0.01)
        server.drain()
        with pytest.raises(OSError):
            connect(server)
        handler.released.set()
        assert read_reply(connection).status == 200
