"""Check what a gateway does at shutdown with connections that were busy."""

import asyncio

from cowslipshelf_core.gateway import CallerLimits
from cowslipshelf_daemon.internal.gateway.http_server import (
    HttpRequest,
    HttpServer,
    Responder,
)

REQUEST = b"GET /%d HTTP/1.1\r\nHost: host.example\r\n\r\n"
WAIT_SECONDS = 10.0


async def ask_again_on_the_connection() -> list[str]:
    """Send a request, begin the shutdown, read the answer, send another; list both."""
    begun, go_on = asyncio.Event(), asyncio.Event()
    handled: list[str] = []

    async def answer(request: HttpRequest, responder: Responder) -> None:
        handled.append(request.target)
        responder.begin(200, [])
        begun.set()
        await go_on.wait()
        await responder.end()

    server = HttpServer("callers", answer, CallerLimits, 16)
    await server.start("127.0.0.1:0")
    host, port = server.server.sockets[0].getsockname()
    reader, writer = await asyncio.open_connection(host, port)
    async with asyncio.timeout(WAIT_SECONDS):
        writer.write(REQUEST % 1)
        await begun.wait()
        server.closing = True
        go_on.set()
        await reader.readuntil(b"0\r\n\r\n")
        writer.write(REQUEST % 2)
        await reader.read()
    writer.close()
    server.stop_listening()
    return handled


def test_a_connection_whose_answer_began_before_the_end_takes_no_further_request():
    """Guards against an answer that is cut at the end of a planned shutdown.

    The previous answer on the connection began before the signal, so its head does not
    say that the connection closes. The caller sends another request seven seconds into
    the shutdown; the gateway serves it until the grace period ends, and cuts it.
    """
    assert asyncio.run(ask_again_on_the_connection()) == ["/1"]
