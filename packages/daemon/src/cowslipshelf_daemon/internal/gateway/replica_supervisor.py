"""Keep this machine's replica running, and start it again after a failure."""

import asyncio
import time
from pathlib import Path

from pykka import ActorRef
from result import Ok, Result

from cowslipshelf_core.agreement import (
    BootstrapCluster,
    Replica,
    ReplicaConfig,
    ReplicasSeen,
    ReplicaStatus,
    Role,
    TransferLeadership,
)
from cowslipshelf_core.control import ControlState
from cowslipshelf_core.identifiers import InstanceId
from cowslipshelf_daemon.internal.entry.replica_actor import (
    ControlStateQuery,
    ReplicaActor,
    ReplicaParts,
)
from cowslipshelf_daemon.internal.gateway.fleet_view import FleetView
from cowslipshelf_daemon.internal.gateway.loop_inbox import LoopInbox, LoopReply
from cowslipshelf_daemon.internal.messenger import Messenger
from cowslipshelf_daemon.internal.ticker import Tick
from cowslipshelf_host.logs import part_logger
from cowslipshelf_host.metrics import Metrics
from cowslipshelf_host.storage import (
    ReplicaStorage,
    ReplicaStorageConfig,
    StorageError,
    VolatileStorage,
)

LOG = part_logger("replica_keeper")

HEARTBEAT_SECONDS = 0.25
ELECTION_SECONDS = 1.0
"""Shortest silence before an election. A process that is slowed or busy must not be
deposed for it; and a change waits for an election and a half at most."""
BOOTSTRAP_DELAY_SECONDS = 1.5
"""Age of a gateway at which it may found: all start within a fraction of a second."""
STATUS_INTERVAL_SECONDS = 1.0
"""Pause between two looks at the replica, for its metrics and its disk."""
RESTART_DELAY_SECONDS = 1.0
"""Pause before a replica whose disk failed is started again."""


class ReplicaSupervisor:
    """Own this machine's replica, if it holds one."""

    def __init__(
        self,
        view: FleetView,
        messenger: Messenger,
        inbox: LoopInbox,
        gateway: ActorRef,
        metrics: Metrics,
    ) -> None:
        self.view = view
        self.metrics = metrics
        self.messenger = messenger
        self.inbox = inbox
        self.gateway = gateway
        self.actor: ActorRef | None = None
        self.replicas: tuple[InstanceId, ...] = ()
        self.started = time.monotonic()
        self.start_due = 0.0
        self.bootstrapped = False
        self.status_due = 0.0

    @property
    def should_run(self) -> bool:
        """Tell whether this machine holds a replica."""
        return self.view.peers.holds_replica

    def tick(self) -> None:
        """Start what is missing, tell who else holds replicas, and let time pass."""
        now = time.monotonic()
        if not self.should_run:
            self.announce_replicas()
            self.join_when_wanted(now)
            return
        if self.actor is None or not self.actor.is_alive():
            if now >= self.start_due:
                self.start_due = now + RESTART_DELAY_SECONDS
                self.start()
            return
        self.announce_replicas()
        self.bootstrap_when_due(now)
        self.ask_status_when_due(now)
        self.actor.tell(Tick())

    def join_when_wanted(self, now: float) -> None:
        """Hold a replica, too, where none has a disk and more are wanted.

        Only once a configuration is in force: then the cluster is founded, and it is
        found by those that the settings name alone.
        """
        if now < self.status_due or self.view.table is None:
            return
        self.status_due = now + STATUS_INTERVAL_SECONDS
        if self.view.peers.should_hold_replica():
            LOG.info("Replica wanted here.", replicas=self.replicas)
            self.view.peers.holds_replica = True

    def start(self) -> None:
        """Load what is stored and start the replica that it holds."""
        settings = self.view.settings
        opened = self.open_storage()
        loaded = opened.and_then(lambda storage: storage.load())
        if loaded.is_err():
            LOG.error("Replica not started.", error=str(loaded.err_value))
            if opened.is_ok():
                opened.ok_value.close()
            return
        stored = loaded.ok_value
        config = ReplicaConfig(
            (settings.instance,),
            heartbeat_seconds=HEARTBEAT_SECONDS,
            election_seconds=ELECTION_SECONDS,
            lease_seconds=ELECTION_SECONDS,
            open_membership=True,
            max_failures=settings.max_failures,
        )
        state = ControlState()
        if stored.snapshot is not None:
            state = ControlState.from_snapshot(stored.snapshot.state)
        replica = Replica.from_config(config, stored)
        self.replicas = ()
        self.actor = ReplicaActor.start(
            ReplicaParts(
                replica,
                opened.ok_value,
                state,
                self.messenger,
                self.inbox,
                self.gateway,
            )
        )
        LOG.info("Replica started.", folder=stored.replica_id.folder)

    def open_storage(self) -> Result[ReplicaStorage | VolatileStorage, StorageError]:
        """Open the data folder; without a disk the replica is in memory alone."""
        settings = self.view.settings
        if settings.data_folder is None:
            return Ok(VolatileStorage(settings.instance))
        folder = Path(settings.data_folder)
        return ReplicaStorage.from_config(
            ReplicaStorageConfig(folder, settings.instance)
        )

    def ask_status_when_due(self, now: float) -> None:
        """Ask the replica how it is; the answer comes on the loop."""
        if now < self.status_due:
            return
        self.status_due = now + STATUS_INTERVAL_SECONDS
        reply = LoopReply(self.inbox.loop)
        reply.future.add_done_callback(self.record_status)
        self.actor.tell(ControlStateQuery(lambda _, status: status, reply))

    def record_status(self, future: asyncio.Future[ReplicaStatus]) -> None:
        """Show how the replica is, and start it again where its disk has failed.

        A disk that was full for some seconds takes writes again, but what the replica
        holds in memory may be ahead of it; only what a new start reads counts.
        """
        if future.cancelled():
            return
        status = future.result()
        members = status.membership
        self.metrics.gauge("cowslipshelf_replica_voters", len(members.voters))
        self.metrics.gauge("cowslipshelf_replica_learners", len(members.learners))
        self.metrics.gauge("cowslipshelf_replica_term", status.term)
        self.metrics.gauge("cowslipshelf_replica_commit_index", status.commit_index)
        self.metrics.gauge("cowslipshelf_replica_sync_seconds", status.sync_seconds)
        self.metrics.gauge(
            "cowslipshelf_replica_leads", float(status.role is Role.LEADER)
        )
        if status.failure and self.actor is not None:
            LOG.warning("Replica ends, to start again.", failure=status.failure)
            self.actor.stop(block=False)
            self.actor = None
            self.start_due = time.monotonic() + RESTART_DELAY_SECONDS

    def announce_replicas(self) -> None:
        """Tell the replica and the gateway's client who holds replicas now."""
        replicas = self.view.peers.replicas()
        if replicas == self.replicas:
            return
        self.replicas = replicas
        LOG.info("Replicas known.", replicas=replicas)
        self.gateway.tell(ReplicasSeen(replicas))
        if self.actor is not None:
            self.actor.tell(ReplicasSeen(replicas))

    def bootstrap_when_due(self, now: float) -> None:
        """Found the cluster, once, where it falls to this gateway."""
        settings = self.view.settings
        if self.bootstrapped or not (settings.first_start and settings.holds_replica):
            return
        if now - self.started < BOOTSTRAP_DELAY_SECONDS:
            return
        if self.view.peers.bootstrap_instance() == settings.instance:
            self.bootstrapped = True
            LOG.info("Cluster founded.", replicas=self.replicas)
            self.actor.tell(BootstrapCluster())

    def transfer_leadership(self) -> None:
        """Give leadership away before the process ends."""
        if self.actor is not None:
            self.actor.tell(TransferLeadership())

    def stop(self) -> None:
        """End the replica, which may be waiting for its disk."""
        if self.actor is not None and self.actor.is_alive():
            self.actor.stop(block=False)
