"""Start a replica from its data folder."""

from pathlib import Path

from pykka import ActorRef
from result import Err, Ok

from cowslipshelf_core.agreement import Replica, ReplicaConfig, StoredState
from cowslipshelf_core.control import ControlState
from cowslipshelf_daemon.internal.entry.replica_actor import (
    ReplicaActor,
    ReplicaParts,
)
from cowslipshelf_daemon.internal.errors import StartError
from cowslipshelf_daemon.internal.messenger import Messenger
from cowslipshelf_daemon.internal.process_parts import replica_instances
from cowslipshelf_host.settings import DaemonSettings
from cowslipshelf_host.storage import ReplicaStorage, ReplicaStorageConfig

HEARTBEATS_PER_ELECTION = 5


def start_replica(
    settings: DaemonSettings,
    messenger: Messenger,
    configuration: ActorRef,
    proposal_client: ActorRef,
) -> ActorRef:
    """Load the data folder and start the actor of its replica."""
    storage = open_storage(settings)
    stored = load_stored(storage)
    election = settings.timings.election_seconds
    config = ReplicaConfig(
        replica_instances(settings),
        heartbeat_seconds=election / HEARTBEATS_PER_ELECTION,
        election_seconds=election,
        lease_seconds=election,
    )
    state = ControlState()
    if stored.snapshot is not None:
        state = ControlState.from_snapshot(stored.snapshot.state)
    replica = Replica.from_config(config, stored)
    return ReplicaActor.start(
        ReplicaParts(replica, storage, state, messenger, configuration, proposal_client)
    )


def open_storage(settings: DaemonSettings) -> ReplicaStorage:
    """Open the data folder; raise `StartError` on failure."""
    folder = Path(settings.entry.data_folder)
    config = ReplicaStorageConfig(folder, settings.instance)
    match ReplicaStorage.from_config(config):
        case Ok(storage):
            return storage
        case Err(error):
            raise StartError("open data folder", str(error))


def load_stored(storage: ReplicaStorage) -> StoredState:
    """Load the stored state; raise `StartError` on failure."""
    match storage.load():
        case Ok(stored):
            return stored
        case Err(error):
            raise StartError("load data folder", str(error))
