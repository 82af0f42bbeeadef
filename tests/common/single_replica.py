"""Run the actor of a replica without a thread, a disk or peers."""

import time
from dataclasses import dataclass, field

from cowslipshelf_core.agreement import (
    HardState,
    Replica,
    ReplicaConfig,
    ReplicaId,
    Role,
    StoredState,
)
from cowslipshelf_core.control import ControlState
from cowslipshelf_daemon.internal.entry.replica_actor import (
    ReplicaActor,
    ReplicaParts,
)
from cowslipshelf_daemon.internal.messenger import Delivered
from cowslipshelf_daemon.internal.ticker import Tick
from cowslipshelf_host.storage import StorageError

OTHER = "scribe-1-sidecar"
ELECTION_SECONDS = 0.01
MOST_TICKS = 2000


@dataclass
class FailingStorage:
    """Simulate a disk whose sync fails once it is full."""

    full: bool = False

    def write(self, effects):
        """Accept every write, as a page cache does."""

    def sync(self):
        """Fail if the disk is full."""
        if self.full:
            raise StorageError("sync", "data folder", "no space left on device")


@dataclass
class Receiver:
    """Record the messages that are sent to an actor or by the messenger."""

    messages: list = field(default_factory=list)
    instance: str = "entry-1"
    address: str = "here"

    def tell(self, message):
        """Record a message to an actor."""
        self.messages.append(message)

    def send(self, _address, message):
        """Record a message to an address."""
        self.messages.append(message)

    def send_to_instance(self, _instance, message):
        """Drop a message to an instance, as the messenger does if it is unknown."""

    def take(self, kind) -> list:
        """Return the recorded messages of one type, and clear the record."""
        found = [message for message in self.messages if isinstance(message, kind)]
        self.messages.clear()
        return found


class SingleReplica:
    """Run the actor of a one-replica cluster without a thread."""

    def __init__(self) -> None:
        self.storage = FailingStorage()
        self.messenger = Receiver()
        self.gateway = Receiver()
        config = ReplicaConfig(
            ("entry-1",),
            heartbeat_seconds=ELECTION_SECONDS / 5,
            election_seconds=ELECTION_SECONDS,
            lease_seconds=ELECTION_SECONDS,
        )
        stored = StoredState(ReplicaId("entry-1", "folder"), HardState(), None, ())
        replica = Replica.from_config(config, stored)
        parts = ReplicaParts(
            replica,
            self.storage,
            ControlState(),
            self.messenger,
            Receiver(),
            self.gateway,
        )
        self.actor = ReplicaActor(parts)
        for _ in range(MOST_TICKS):
            self.actor.on_receive(Tick())
            if replica.status().role is Role.LEADER:
                break
            time.sleep(ELECTION_SECONDS / 5)
        assert replica.status().role is Role.LEADER

    def deliver_together(self, messages) -> None:
        """Have the actor handle messages as one batch."""
        for message in messages:
            self.actor.receive(Delivered(OTHER, "there", message))
        self.actor.handle_events()
