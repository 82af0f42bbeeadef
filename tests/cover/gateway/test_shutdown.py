"""Check that nothing which waits for a disk or a peer holds up a gateway's end."""

import asyncio
import threading
from unittest.mock import patch

from pykka import ThreadingActor

from common.gateway_samples import GATEWAY_SETTINGS
from cowslipshelf_adapter.wire import MachinesDialect
from cowslipshelf_daemon.internal.gateway.assembly import (
    SHUTDOWN_MARGIN_SECONDS,
    Gateway,
)
from cowslipshelf_daemon.internal.gateway.replica_supervisor import ReplicaSupervisor
from cowslipshelf_fleet.internal.counters import CounterTable
from cowslipshelf_fleet.internal.link import PeerLink
from cowslipshelf_fleet.internal.peer import Peer


class StalledReplica(ThreadingActor):
    """Wait for a disk that does not answer."""

    begun = threading.Event()
    disk_answers = threading.Event()

    def on_receive(self, _message: object) -> None:
        self.begun.set()
        self.disk_answers.wait(20)


def test_a_replica_whose_disk_stalls_does_not_hold_up_the_end():
    """A planned restart beside a disk that stalls: the process is killed, not ended.

    The gateway had answered everything and asked its replica to end. The replica
    waited for a sync, the gateway for the replica, and the grace ran out.
    """
    keeper = ReplicaSupervisor(None, None, None, None, None)
    keeper.actor = StalledReplica.start()
    keeper.actor.tell("sync")
    assert StalledReplica.begun.wait(20)
    stopping = threading.Thread(target=keeper.stop, daemon=True)
    stopping.start()
    stopping.join(10)
    ended = not stopping.is_alive()
    StalledReplica.disk_answers.set()
    assert ended


class PlayedTime:
    """Stand for the clock and for sleeping."""

    now = 0.0

    def monotonic(self) -> float:
        return self.now

    def sleep(self, seconds: float) -> None:
        self.now += seconds


async def waited_for_gone_peers() -> float:
    """Return how long a gateway that ends waits for a peer that is gone."""
    gateway = Gateway(GATEWAY_SETTINGS, None, MachinesDialect())
    link = PeerLink(1.0, 3.0, 20.0, 1024, 0.0, 0.0, 0, dialled=True, sent_bytes=1)
    gone = Peer("10.0.0.9:7000", link, lambda _message: b"", CounterTable())
    gateway.mailbox.peers[gone.address] = gone
    played = PlayedTime()
    module = "cowslipshelf_fleet.internal.mailbox"
    with (
        patch(f"{module}.monotonic", played.monotonic),
        patch(f"{module}.sleep", played.sleep),
    ):
        gateway.mailbox.flush()
    gateway.control_actor.stop()
    return played.now


def test_a_gateway_that_has_left_waits_shortly_for_peers_that_are_gone():
    """A planned restart of many gateways cuts answers, and processes are killed.

    Gateways that answer until the end of their grace have 0.7 s left to close what is
    open. Each waited 0.5 s of it for all peers to confirm its last messages, those that
    were restarting themselves included; on a slow machine the rest was not enough.
    """
    assert asyncio.run(waited_for_gone_peers()) < SHUTDOWN_MARGIN_SECONDS / 2
