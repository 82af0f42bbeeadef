"""Check how replicas that are behind come up with the rest."""

import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st

from common.agreement_cluster import DECODER, Cluster
from cowslipshelf_core.agreement import ReplicaConfig

MISSED = 600


def settled_cluster(**settings) -> Cluster:
    cluster = Cluster.of_size(3, **settings)
    cluster.run_until(cluster.is_settled)
    return cluster


def follower(cluster: Cluster) -> str:
    return min(i for i in cluster.nodes if i != cluster.leader().instance)


def propose_many(cluster: Cluster, count: int) -> None:
    for _ in range(count):
        cluster.propose(cluster.leader().instance)
        cluster.deliver_all()
        cluster.deliver_all()
    cluster.run(3)


@pytest.mark.parametrize("snapshot_after", [50, 10_000])
def test_a_restart_after_hundreds_of_changes_catches_up(snapshot_after):
    """A process that was away is left with an old configuration.

    Hundreds of changes pass it by; the leader may have dropped the entries that
    it misses, and sends a snapshot in chunks and the tail after it.
    """
    cluster = settled_cluster(
        snapshot_after_entries=snapshot_after,
        entries_kept=10,
        most_bytes_per_message=500,
    )
    away = follower(cluster)
    cluster.crash(away)
    propose_many(cluster, MISSED)
    cluster.restart(away)
    cluster.run_until(cluster.is_settled)
    cluster.check_whole()
    assert len(cluster.nodes[away].commands) == MISSED


def test_the_log_in_memory_is_bounded_by_snapshots():
    """A daemon's memory grows with every change until it is killed."""
    cluster = settled_cluster(snapshot_after_entries=20, entries_kept=5)
    propose_many(cluster, 200)
    for node in cluster.nodes.values():
        assert len(node.replica.state.log.entries) <= 30
        assert len(node.disk.load().entries) <= 30


def test_an_old_leader_drops_its_entries_in_a_few_messages():
    """After a partition, the old leader takes minutes to follow again.

    It has taken hundreds of proposals that can't be committed. The new leader
    must find the common entry by going back a term at a time, not an entry.
    """
    cluster = settled_cluster()
    old = cluster.leader().instance
    cluster.isolate(old)
    for _ in range(MISSED):
        cluster.propose(old)
    cluster.run_until(lambda: cluster.leader() is not None)
    propose_many(cluster, 5)
    cluster.heal()
    cluster.run(6)
    assert cluster.is_settled()


@given(lost=st.sets(st.integers(0, 40), max_size=10))
@example(lost={0})
@settings(max_examples=25, deadline=None, derandomize=True)
def test_a_lost_message_costs_few_others(lost):
    """One lost packet makes the leader resend its window many times over.

    Messages behind the lost one are refused, each of them; answering every
    refusal with the whole window would multiply the load when it hurts most.
    """
    cluster = settled_cluster(most_entries_per_message=1)
    target = follower(cluster)
    leader = cluster.leader().instance
    sent = 0
    for number in range(60):
        cluster.propose(leader)
        for position, item in reversed(list(enumerate(cluster.network))):
            if item.recipient == target:
                sent += bool(DECODER.decode(item.data).entries)
                if number in lost:
                    cluster.drop(position)
        cluster.deliver_all()
        cluster.deliver_all()
    cluster.run_until(cluster.is_settled)
    assert sent <= 60 + 30 * max(1, len(lost))


def test_a_heartbeat_is_small():
    """Control traffic of idle replicas eats the budget of a daemon."""
    cluster = settled_cluster()
    cluster.network.clear()
    cluster.run(2)
    cluster.tick(ReplicaConfig(()).heartbeat_seconds)
    sizes = [len(item.data) for item in cluster.network]
    assert sizes
    assert max(sizes) <= 100
