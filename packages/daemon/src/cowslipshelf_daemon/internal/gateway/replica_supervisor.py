"""Run this machine's replica, and restart it after a failure."""

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
"""Minimum election timeout. A leader that is merely slow or busy must not be deposed,
and a change must wait for one and a half elections at most."""
BOOTSTRAP_DELAY_SECONDS = 1.5
"""Delay before the bootstrap; all gateways start within a fraction of a second."""
STATUS_INTERVAL_SECONDS = 1.0
"""Interval between status queries to the replica, for its metrics and its disk."""
RESTART_DELAY_SECONDS = 1.0
"""Delay before a replica whose disk failed is restarted."""


class ReplicaSupervisor:
    """Supervise this machine's replica, if it runs one."""

    def __init__(
        self,
        view: FleetView,
        messenger: Messenger,
        inbox: LoopInbox,
        proposal_client: ActorRef,
        metrics: Metrics,
    ) -> None:
        self.view = view
        self.metrics = metrics
        self.messenger = messenger
        self.inbox = inbox
        self.proposal_client = proposal_client
        self.actor: ActorRef | None = None
        self.replicas_seen = ReplicasSeen(())
        self.started = time.monotonic()
        self.start_due = 0.0
        self.bootstrapped = False
        self.status_due = 0.0

    @property
    def should_run(self) -> bool:
        """Return whether this machine runs a replica."""
        return self.view.peers.holds_replica

    def tick(self) -> None:
        """Start the replica if needed, announce the other replicas, and send a tick."""
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
        """Run a replica here as well, where none has a disk and more are needed.

        This waits for a configuration in force, which shows that the cluster has been
        bootstrapped; only the gateways named in the settings may bootstrap it.
        """
        if now < self.status_due or self.view.table is None:
            return
        self.status_due = now + STATUS_INTERVAL_SECONDS
        if self.view.peers.should_hold_replica():
            LOG.info("Replica wanted here.", replicas=self.replicas_seen.replicas)
            self.view.peers.holds_replica = True

    def start(self) -> None:
        """Load the stored state and start the replica from it."""
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
        self.replicas_seen = ReplicasSeen(())
        self.actor = ReplicaActor.start(
            ReplicaParts(
                replica,
                opened.ok_value,
                state,
                self.messenger,
                self.inbox,
                self.proposal_client,
            )
        )
        LOG.info("Replica started.", folder=stored.replica_id.folder)

    def open_storage(self) -> Result[ReplicaStorage | VolatileStorage, StorageError]:
        """Open the data folder; without a disk, the replica is kept in memory only."""
        settings = self.view.settings
        if settings.data_folder is None:
            return Ok(VolatileStorage(settings.instance))
        folder = Path(settings.data_folder)
        return ReplicaStorage.from_config(
            ReplicaStorageConfig(folder, settings.instance)
        )

    def ask_status_when_due(self, now: float) -> None:
        """Query the replica's status; the answer arrives on the event loop."""
        if now < self.status_due:
            return
        self.status_due = now + STATUS_INTERVAL_SECONDS
        reply = LoopReply(self.inbox.loop)
        reply.future.add_done_callback(self.record_status)
        self.actor.tell(ControlStateQuery(lambda _, status: status, reply))

    def record_status(self, future: asyncio.Future[ReplicaStatus]) -> None:
        """Record the status as metrics, and restart the replica if its disk failed.

        A disk that was full for some seconds may accept writes again, but the replica's
        memory may be ahead of it; only the state that a restart reads is valid.
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
        """Tell the replica and the control client which gateways run replicas now."""
        seen = self.view.peers.replicas_seen(time.monotonic())
        before = self.replicas_seen
        if seen == before:
            return
        self.replicas_seen = seen
        if (seen.replicas, seen.silent) != (before.replicas, before.silent):
            silent = sorted(seen.silent)
            LOG.info("Replicas known.", replicas=seen.replicas, silent=silent)
        self.proposal_client.tell(seen)
        if self.actor is not None:
            self.actor.tell(seen)

    def bootstrap_when_due(self, now: float) -> None:
        """Bootstrap the cluster once, if this gateway is chosen to."""
        settings = self.view.settings
        if self.bootstrapped or not (settings.first_start and settings.holds_replica):
            return
        if now - self.started < BOOTSTRAP_DELAY_SECONDS:
            return
        if self.view.peers.bootstrap_instance() == settings.instance:
            self.bootstrapped = True
            LOG.info("Cluster founded.", replicas=self.replicas_seen.replicas)
            self.actor.tell(BootstrapCluster())

    def leave(self) -> None:
        """Transfer leadership, and announce no replica any more, before the end."""
        self.view.peers.leaving = True
        if self.actor is not None:
            self.actor.tell(TransferLeadership())

    def stop(self) -> None:
        """Stop the replica without waiting, since its disk may be stalled."""
        if self.actor is not None and self.actor.is_alive():
            self.actor.stop(block=False)
