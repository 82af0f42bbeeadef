"""Check what a gateway that ends does with connections that were busy till then."""

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
    """Ask, let the server begin to end, hear the answer, ask again; list what ran."""
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
    """An answer is cut that was asked for seven seconds after a planned end began.

    The answer before it on its connection had begun before the signal, so that its head
    does not say that the connection closes. The caller asks again on it; the gateway
    serves that until its grace is over, and cuts it.
    """
    assert asyncio.run(ask_again_on_the_connection()) == ["/1"]
