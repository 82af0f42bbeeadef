"""Check that waiting for a disk or a peer does not delay a gateway's shutdown."""

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
    """Block on a disk that does not answer."""

    begun = threading.Event()
    disk_answers = threading.Event()

    def on_receive(self, _message: object) -> None:
        self.begun.set()
        self.disk_answers.wait(20)


def test_a_replica_whose_disk_stalls_does_not_hold_up_the_end():
    """Guards against a kill at a planned restart while a disk stalls.

    The gateway had answered everything and stopped its replica. The replica waited for
    a sync and the gateway for the replica, until the grace period was over.
    """
    supervisor = ReplicaSupervisor(None, None, None, None, None)
    supervisor.actor = StalledReplica.start()
    supervisor.actor.tell("sync")
    assert StalledReplica.begun.wait(20)
    stopping = threading.Thread(target=supervisor.stop, daemon=True)
    stopping.start()
    stopping.join(10)
    ended = not stopping.is_alive()
    StalledReplica.disk_answers.set()
    assert ended


class FakeClock:
    """Replace the clock and sleep."""

    now = 0.0

    def monotonic(self) -> float:
        return self.now

    def sleep(self, seconds: float) -> None:
        self.now += seconds


async def flush_seconds_with_a_gone_peer() -> float:
    """Return how long a gateway waits at shutdown for a peer that is gone."""
    gateway = Gateway(GATEWAY_SETTINGS, None, MachinesDialect())
    link = PeerLink(1.0, 3.0, 20.0, 1024, 0.0, 0.0, 0, dialled=True, sent_bytes=1)
    gone = Peer("10.0.0.9:7000", link, lambda _message: b"", CounterTable())
    gateway.mailbox.peers[gone.address] = gone
    clock = FakeClock()
    module = "cowslipshelf_fleet.internal.mailbox"
    with (
        patch(f"{module}.monotonic", clock.monotonic),
        patch(f"{module}.sleep", clock.sleep),
    ):
        gateway.mailbox.flush()
    gateway.proposal_client.stop()
    return clock.now


def test_a_gateway_that_has_left_waits_shortly_for_peers_that_are_gone():
    """Guards against cut answers and kills at a planned restart of many gateways.

    Gateways that answer until the end of the grace period have 0.7 s left to close
    connections. Each waited 0.5 s of it for peers to acknowledge its last messages,
    restarting ones included; on a slow machine the rest was not enough.
    """
    assert asyncio.run(flush_seconds_with_a_gone_peer()) < SHUTDOWN_MARGIN_SECONDS / 2
