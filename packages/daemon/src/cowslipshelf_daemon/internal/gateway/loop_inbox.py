"""Pass messages and answers from other threads to the gateway's event loop."""

import asyncio
from collections.abc import Callable
from typing import Any

from cowslipshelf_daemon.internal.messenger import Delivered
from cowslipshelf_host.logs import part_logger
from cowslipshelf_host.metrics import Metrics

LOG = part_logger("inbox")


class LoopInbox:
    """Accept messages like an actor reference, and handle them on the event loop."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        receive: Callable[[Delivered], None],
        metrics: Metrics,
    ) -> None:
        self.loop = loop
        self.receive = receive
        self.metrics = metrics

    def tell(self, message: Any) -> None:
        """Pass a message to the loop from any thread; a closed loop drops it."""
        if not self.loop.is_closed():
            self.loop.call_soon_threadsafe(self.handle, message)

    def handle(self, message: Delivered) -> None:
        """Handle one message; a failure does not affect the others."""
        try:
            self.receive(message)
        except Exception:
            self.metrics.count("cowslipshelf_messages_failed_total")
            LOG.exception(
                "Message failed.",
                peer=message.sender,
                message=type(message.message).__name__,
            )


class LoopReply:
    """Receive one answer from another thread for a task on the event loop."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop
        self.future: asyncio.Future[Any] = loop.create_future()

    def put(self, answer: Any) -> None:
        """Set the answer from any thread; it is dropped if no task waits for it."""
        if not self.loop.is_closed():
            self.loop.call_soon_threadsafe(self.settle, answer)

    def settle(self, answer: Any) -> None:
        """Resolve the future with the answer."""
        if not self.future.done():
            self.future.set_result(answer)
