"""Bring messages and answers from other threads to the gateway's event loop."""

import asyncio
from collections.abc import Callable
from typing import Any

from cowslipshelf_daemon.internal.messenger import Delivered
from cowslipshelf_host.logs import part_logger
from cowslipshelf_host.metrics import Metrics

LOG = part_logger("inbox")


class LoopInbox:
    """Take messages as an actor's reference does, and handle them on the loop."""

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
        """Hand a message over from any thread; a loop that has ended drops it."""
        if not self.loop.is_closed():
            self.loop.call_soon_threadsafe(self.handle, message)

    def handle(self, message: Delivered) -> None:
        """Handle one message; one that fails takes no other one with it."""
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
    """Take one answer from another thread for a task on the loop."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop
        self.future: asyncio.Future[Any] = loop.create_future()

    def put(self, answer: Any) -> None:
        """Give the answer; one that nobody waits for any more is dropped."""
        if not self.loop.is_closed():
            self.loop.call_soon_threadsafe(self.settle, answer)

    def settle(self, answer: Any) -> None:
        """Wake the task."""
        if not self.future.done():
            self.future.set_result(answer)
