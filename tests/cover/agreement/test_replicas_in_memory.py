"""Check what replicas keep that end with their processes."""

from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from common.agreement_cluster import Cluster
from common.routing import PROPERTY
from cowslipshelf_core.agreement import BootstrapCluster

LOSS = 0.1
COPIES = 0.1


def founded(size: int, seed: int) -> Cluster:
    """Found a cluster at its first replica, and let the others join."""
    cluster = Cluster.of_size(size, seed, open_membership=True, max_failures=1)
    cluster.step("entry-0", [BootstrapCluster()])
    cluster.run_until(lambda: all_vote(cluster))
    return cluster


def all_vote(cluster: Cluster) -> bool:
    """Tell whether every replica has its vote and holds what is committed."""
    leader = cluster.leader()
    if leader is None or not cluster.is_settled():
        return False
    voters = set(leader.replica.status().membership.voters)
    return voters == {node.disk.load().replica_id for node in cluster.nodes.values()}


def end_processes(cluster: Cluster, instances: list[str]) -> None:
    """End some processes, and with each what its replica held; start them again."""
    for instance in instances:
        cluster.wipe(instance)
    for instance in instances:
        cluster.restart(instance)


def disturb(cluster: Cluster, random: Random) -> None:
    """Let time pass while messages get lost, are doubled and overtake each other."""
    for _ in range(random.randint(1, 40)):
        cluster.tick(0.05)
        for _ in range(len(cluster.network)):
            if not cluster.network:
                break
            position = random.randrange(min(4, len(cluster.network)))
            if random.random() < LOSS:
                cluster.drop(position)
            else:
                cluster.deliver(position, keep=random.random() < COPIES)


@pytest.mark.parametrize("size", [3, 5, 7, 9])
@settings(PROPERTY, max_examples=20)
@given(seed=st.integers(0, 100_000))
def test_no_loss_of_fewer_than_half_of_them_loses_a_change(size, seed):
    """A change is gone although more than half of those that held it are there."""
    random = Random(seed)
    cluster = founded(size, seed)
    for _ in range(3):
        accepted = cluster.acknowledge()
        lost = random.sample(sorted(cluster.nodes), random.randint(1, (size - 1) // 2))
        end_processes(cluster, lost)
        disturb(cluster, random)
        cluster.run_until(lambda: all_vote(cluster))
        assert all(accepted in node.commands for node in cluster.nodes.values())
    cluster.settle()


@settings(PROPERTY, max_examples=20)
@given(seed=st.integers(0, 100_000))
def test_after_a_loss_of_more_than_half_none_leads_with_less_than_was_accepted(seed):
    """A second history begins beside the survivors, and undoes what callers saw."""
    random = Random(seed)
    cluster = founded(7, seed)
    cluster.acknowledge()
    end_processes(cluster, random.sample(sorted(cluster.nodes), random.randint(4, 6)))
    disturb(cluster, random)
    cluster.run(100)
    assert cluster.leader() is None
