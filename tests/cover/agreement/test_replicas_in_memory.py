"""Check replicas without disks, which lose their data with their process."""

from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from common.agreement_cluster import Cluster
from common.routing import PROPERTY
from cowslipshelf_core.agreement import BootstrapCluster

LOSS_CHANCE = 0.1
COPY_CHANCE = 0.1


def started_cluster(size: int, seed: int) -> Cluster:
    """Start a cluster at its first replica, and let the others join."""
    cluster = Cluster.of_size(size, seed, open_membership=True, max_failures=1)
    cluster.step("entry-0", [BootstrapCluster()])
    cluster.run_until(lambda: all_are_voters(cluster))
    return cluster


def all_are_voters(cluster: Cluster) -> bool:
    """Return whether every replica is a voter and has all committed entries."""
    leader = cluster.leader()
    if leader is None or not cluster.is_settled():
        return False
    voters = set(leader.replica.status().membership.voters)
    return voters == {node.disk.load().replica_id for node in cluster.nodes.values()}


def restart_empty(cluster: Cluster, instances: list[str]) -> None:
    """Restart some processes, each with an empty replica."""
    for instance in instances:
        cluster.wipe(instance)
    for instance in instances:
        cluster.restart(instance)


def run_with_message_faults(cluster: Cluster, random: Random) -> None:
    """Let time pass while messages are lost, duplicated and reordered."""
    for _ in range(random.randint(1, 40)):
        cluster.tick(0.05)
        for _ in range(len(cluster.network)):
            if not cluster.network:
                break
            position = random.randrange(min(4, len(cluster.network)))
            if random.random() < LOSS_CHANCE:
                cluster.drop(position)
            else:
                cluster.deliver(position, keep=random.random() < COPY_CHANCE)


@pytest.mark.parametrize("size", [3, 5, 7, 9])
@settings(PROPERTY, max_examples=20)
@given(seed=st.integers(0, 100_000))
def test_no_loss_of_fewer_than_half_of_them_loses_a_change(size, seed):
    """A change is lost although more than half of the replicas are still running."""
    random = Random(seed)
    cluster = started_cluster(size, seed)
    for _ in range(3):
        accepted = cluster.acknowledge()
        lost = random.sample(sorted(cluster.nodes), random.randint(1, (size - 1) // 2))
        restart_empty(cluster, lost)
        run_with_message_faults(cluster, random)
        cluster.run_until(lambda: all_are_voters(cluster))
        assert all(accepted in node.commands for node in cluster.nodes.values())
    cluster.settle()


@settings(PROPERTY, max_examples=20)
@given(seed=st.integers(0, 100_000))
def test_after_a_loss_of_more_than_half_none_leads_with_less_than_was_accepted(seed):
    """Emptied replicas elect a leader without the survivors, and undo changes."""
    random = Random(seed)
    cluster = started_cluster(7, seed)
    cluster.acknowledge()
    restart_empty(cluster, random.sample(sorted(cluster.nodes), random.randint(4, 6)))
    run_with_message_faults(cluster, random)
    cluster.run(100)
    assert cluster.leader() is None
