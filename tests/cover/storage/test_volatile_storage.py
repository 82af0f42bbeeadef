"""Check the storage of replicas on machines without a disk."""

from cowslipshelf_core.agreement import Persist, Replica, ReplicaConfig
from cowslipshelf_host.storage import VolatileStorage


def test_a_start_without_a_disk_is_a_replica_that_never_voted():
    """Guard against a replica that loses its vote in a restart and votes again.

    One term could then have two leaders. Therefore each start gets a new identity,
    which is not a voter until the other replicas have added it.
    """
    first, second = (VolatileStorage("10.0.0.1").load().unwrap() for _ in range(2))
    assert first.replica_id.instance == second.replica_id.instance
    assert first.replica_id != second.replica_id
    assert first.entries == ()
    assert first.snapshot is None


def test_a_replica_runs_on_it():
    storage = VolatileStorage("10.0.0.1")
    config = ReplicaConfig(("10.0.0.1",), open_membership=True)
    replica = Replica.from_config(config, storage.load().unwrap())
    storage.write([Persist()])
    storage.sync()
    storage.close()
    assert storage.failure is None
    assert not replica.status().failure
