"""Cancel attempts and read the inventory of an engine, off the actor's thread."""

import threading
from queue import SimpleQueue

from pykka import ActorDeadError, ActorRef

from cowslipshelf_core.identifiers import AttemptId
from cowslipshelf_core.sidecar import HeldMemory, InventoryRead
from cowslipshelf_host.logs import part_logger
from cowslipshelf_upstreams import (
    EngineClient,
    UpstreamLostError,
    UpstreamRefusedError,
)

LOG = part_logger("upstream")

INVENTORY_INTERVAL_SECONDS = 1.0


class EngineWorker:
    """Cancel attempts and read the engine's inventory on a thread of its own.

    A call to a frozen engine blocks until the client's timeout, and the actor must
    not block.
    """

    def __init__(self, engine: EngineClient, sidecar: ActorRef) -> None:
        self.engine = engine
        self.sidecar = sidecar
        self.work: SimpleQueue[AttemptId | None] = SimpleQueue()
        self.next_poll = 0.0
        self.inventory_queued = threading.Event()
        self.thread = threading.Thread(target=self.run, name="upstream", daemon=True)

    def start(self) -> None:
        """Start the thread."""
        self.thread.start()

    def cancel(self, attempt_id: AttemptId) -> None:
        """Queue the cancellation of an attempt at the engine."""
        self.work.put(attempt_id)

    def poll_inventory(self, now: float) -> None:
        """Queue a read of the inventory if one is due and none is queued."""
        if now < self.next_poll or self.inventory_queued.is_set():
            return
        self.next_poll = now + INVENTORY_INTERVAL_SECONDS
        self.inventory_queued.set()
        self.work.put(None)

    def run(self) -> None:
        """Make the queued calls one after another."""
        while True:
            attempt_id = self.work.get()
            try:
                self.perform(attempt_id)
            except (UpstreamLostError, UpstreamRefusedError) as error:
                # A lost cancel is not retried here: the inventory shows what the
                # engine still holds, and the state machine cancels it again.
                LOG.warning("upstream call failed", error=str(error))
            except ActorDeadError:
                return

    def perform(self, attempt_id: AttemptId | None) -> None:
        """Cancel an attempt, or read the inventory if none is given."""
        if attempt_id is not None:
            self.engine.cancel(attempt_id)
            return
        self.inventory_queued.clear()
        inventory = self.engine.inventory()
        held = tuple(
            HeldMemory(item.attempt_id, item.tokens) for item in inventory.held
        )
        self.sidecar.tell(InventoryRead(held))
