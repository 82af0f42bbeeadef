"""Check when an answer on a real connection counts as complete or lost."""

import asyncio
import socket

import pytest

from common.timed_out_connections import exit_code_of_losses
from cowslipshelf_core.dialect import OutgoingRequest
from cowslipshelf_daemon.internal.gateway.upstream_connection import (
    UpstreamConnection,
    UpstreamLostError,
)

WITHOUT_LENGTH = b"HTTP/1.1 200 OK\r\n\r\nhalf"


async def answer_without_length(end_it) -> bytes:
    """Read an answer that ends with its connection, which `end_it` closes."""

    async def serve(reader, writer) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(WITHOUT_LENGTH)
        await writer.drain()
        served.set_result(writer)

    served = asyncio.get_running_loop().create_future()
    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    connection = await UpstreamConnection.connect(f"{host}:{port}", 10.0)
    connection.send(OutgoingRequest("GET", "/", [(b"host", b"h")], b""))
    await connection.head()
    reading = asyncio.create_task(connection.whole_body())
    end_it(connection, await served)
    try:
        return await reading
    finally:
        connection.abort()
        server.close()


def test_an_answer_without_a_length_is_whole_once_its_upstream_closes():
    body = asyncio.run(answer_without_length(lambda _, writer: writer.close()))
    assert body == b"half"


def test_an_answer_that_was_dropped_is_not_taken_for_whole():
    """Guards against a caller that gets a partial answer as a complete one.

    The upstream sends no content length, so the end of the data ends the answer. The
    gateway learned that the upstream had restarted, and dropped the connection itself.
    """
    with pytest.raises(UpstreamLostError, match="began there"):
        asyncio.run(
            answer_without_length(
                lambda connection, _: connection.drop("u-1#2 began there")
            )
        )


async def loss_of(act, max_silence: float = 10.0) -> UpstreamLostError:
    """Wait for an answer's head, and return the error that `act` causes."""

    async def serve(reader, writer) -> None:
        await reader.readuntil(b"\r\n\r\n")
        served.set_result(writer)

    served = asyncio.get_running_loop().create_future()
    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    connection = await UpstreamConnection.connect(f"{host}:{port}", 10.0)
    connection.max_silence_seconds = max_silence
    connection.send(OutgoingRequest("GET", "/", [(b"host", b"h")], b""))
    waiting = asyncio.create_task(connection.head())
    act(connection, await served)
    try:
        await waiting
    except UpstreamLostError as error:
        return error
    finally:
        connection.abort()
        server.close()
    raise AssertionError("the answer was not lost")


def reset(_connection, writer) -> None:
    sock = writer.get_extra_info("socket")
    linger = b"\x01\x00\x00\x00\x00\x00\x00\x00"
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


@pytest.mark.parametrize(
    ("act", "ended"),
    [
        (lambda _, writer: writer.close(), True),
        (reset, True),
        (lambda connection, _: connection.drop("began there", True), True),
        (lambda connection, _: connection.drop("memory lapsed"), False),
        (lambda _, writer: writer.write(b"no answer at all\r\n\r\n"), False),
    ],
)
def test_only_what_the_upstream_ended_counts_as_its_end(act, ended):
    """Guards against blaming a request for a drop by this side or a garbled answer."""
    assert asyncio.run(loss_of(act)).upstream_exited is ended


def test_a_silence_does_not_count_as_the_end_of_an_upstream():
    """Guards against holding back slow requests as if they ended upstreams."""
    loss = asyncio.run(loss_of(lambda _connection, _writer: None, max_silence=0.05))
    assert loss.upstream_exited is False


def test_a_connection_that_the_kernel_times_out_is_lost():
    """Guards against a gateway that takes it for silence, and reads it forever."""
    assert exit_code_of_losses() == 0
