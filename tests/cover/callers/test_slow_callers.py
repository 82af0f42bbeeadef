"""Call too slowly, too much at once, or leave; it costs a bounded amount."""

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
    "begun",
    [
        b"POST /v1/completions HTTP/1.1\r\nX-Slow: ",
        request_bytes("POST", CHAT, content_length="4000000"),
        request_bytes("POST", CHAT, transfer_encoding="chunked") + b"fffff\r\n",
    ],
)
def test_a_half_sent_request_is_ended_though_bytes_keep_coming(begun):
    """A broken client sends one byte now and then, each before a read would time out.

    With a timeout for each read alone it would hold its thread for ever.
    """
    with running_server(RecordingHandler(), request_seconds=0.3) as server:
        with connect(server) as connection:
            connection.sendall(begun)
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
    """Write until the caller is gone, and keep how that was told."""

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
    """A caller asks for a long stream and stops reading without closing.

    Its thread must come free within the time for one piece, and no more may wait
    for it than the kernel's buffers hold.
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
    """Hold each call until it is let go; see whether its caller has left."""

    def __init__(self) -> None:
        super().__init__()
        self.let_go = threading.Event()
        self.left = threading.Event()

    def answer(self, call, writer) -> None:
        while not self.let_go.wait(0.01):
            if writer.caller_gone():
                self.left.set()
                return
        super().answer(call, writer)


def test_calls_above_the_limit_are_refused_at_once():
    """More callers come than the instance may carry.

    One that waited unseen would use up its deadline; told at once, it can go
    elsewhere. The calls that run are not touched.
    """
    handler = WaitingHandler()
    with running_server(handler, min_threads=1, max_open_calls=3) as server:
        running = [connect(server) for _ in range(3)]
        for connection in running:
            connection.sendall(request_bytes("POST", CHAT, CHAT_BODY))
        for _ in range(int(TIMEOUT_SECONDS / 0.02)):
            if server.open_calls() == 3:
                break
            handler.left.wait(0.02)
        reply = ask(server, request_bytes("POST", CHAT, CHAT_BODY))
        assert (reply.status, reply.error["code"]) == (503, "not_run")
        handler.let_go.set()
        for connection in running:
            with connection:
                assert read_reply(connection).status == 200


def test_silent_connections_take_no_thread_and_have_a_limit():
    """A balancer opens many connections ahead of need and says nothing on them."""
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
    """A caller closes before the first token; nothing is written that could fail."""
    handler = WaitingHandler()
    with running_server(handler) as server:
        with connect(server) as connection:
            connection.sendall(request_bytes("POST", CHAT, CHAT_BODY))
        assert handler.left.wait(TIMEOUT_SECONDS)
        _wait_until_idle(server)


def test_open_calls_finish_after_the_server_is_told_to_drain():
    """An instance is shut down gracefully while a summary is being written."""
    handler = WaitingHandler()
    with running_server(handler) as server, connect(server) as connection:
        connection.sendall(request_bytes("POST", CHAT, CHAT_BODY))
        while server.open_calls() == 0:
            handler.left.wait(0.01)
        server.drain()
        with pytest.raises(OSError):
            connect(server)
        handler.let_go.set()
        assert read_reply(connection).status == 200
