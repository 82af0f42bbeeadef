"""Check how replicas that are behind come up with the rest."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from common.agreement_cluster import DECODER, Cluster
from cowslipshelf_core.agreement import InstallSnapshot, ReplicaConfig

MISSED = 600
BURST = 8


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
    cluster = Cluster.settled(
        snapshot_after_entries=snapshot_after,
        entries_kept=10,
        max_bytes_per_message=500,
    )
    away = cluster.followers()[0]
    cluster.crash(away)
    propose_many(cluster, MISSED)
    cluster.restart(away)
    cluster.run_until(cluster.is_settled)
    cluster.check_whole()
    assert len(cluster.nodes[away].commands) == MISSED


def test_doubled_messages_do_not_double_a_snapshot():
    """A replica that catches up takes the whole bandwidth of its leader.

    Every message arrives twice; were each answer followed by the next chunk, the
    copies would multiply with each chunk of the snapshot.
    """
    cluster = Cluster.settled(
        snapshot_after_entries=50, entries_kept=0, max_bytes_per_message=100
    )
    away = cluster.followers()[0]
    cluster.crash(away)
    propose_many(cluster, 100)
    cluster.restart(away)
    chunks = set()
    sent = 0
    while cluster.nodes[away].applied_index < 100:
        cluster.tick(0.02)
        cluster.network += cluster.network
        cluster.deliver_all()
        for item in cluster.network:
            message = DECODER.decode(item.data)
            if isinstance(message, InstallSnapshot):
                chunks.add((message.snapshot_index, message.offset))
                sent += 1
    assert len(chunks) > 5
    assert sent <= 2 * len(chunks)


@pytest.mark.parametrize("snapshot_after", [20, 10_000])
@pytest.mark.parametrize("away_rounds", range(20, 30))
def test_a_restarted_replica_is_served_at_once(snapshot_after, away_rounds):
    """Each planned restart leaves a replica behind for half a second.

    The leader has retried just before the replica came back, and has entries or a
    chunk under way that it takes for unanswered rather than lost.
    """
    cluster = Cluster.settled(snapshot_after_entries=snapshot_after, entries_kept=0)
    away = cluster.followers()[0]
    cluster.crash(away)
    propose_many(cluster, 50)
    cluster.run(away_rounds)
    cluster.restart(away)
    cluster.run(7)
    assert len(cluster.nodes[away].commands) == 50


def test_the_log_in_memory_is_bounded_by_snapshots():
    """A daemon's memory grows with every change until it is killed."""
    cluster = Cluster.settled(snapshot_after_entries=20, entries_kept=5)
    propose_many(cluster, 200)
    for node in cluster.nodes.values():
        assert len(node.replica.state.log.entries) <= 30
        assert len(node.disk.load().entries) <= 30


@pytest.mark.parametrize("snapshot_after", [50, 10_000])
def test_an_old_leader_drops_its_entries_in_a_few_messages(snapshot_after):
    """After a partition, the old leader takes minutes to follow again.

    It has taken hundreds of proposals that can't be committed, and hundreds of
    others were committed in their place. A leader elected after those must find
    the common entry by going back a term at a time, not an entry, or send its
    snapshot; nothing of the old entries may stay on the disk.
    """
    cluster = Cluster.settled(snapshot_after_entries=snapshot_after, entries_kept=0)
    old = cluster.leader().instance
    cluster.isolate(old)
    for _ in range(2 * MISSED):
        cluster.propose(old)
    cluster.run_until(lambda: cluster.leader() is not None)
    propose_many(cluster, MISSED)
    cluster.crash(cluster.leader().instance)
    cluster.heal()
    cluster.run_until(lambda: cluster.leader() is not None)
    cluster.run(8)
    assert len(cluster.nodes[old].commands) == MISSED
    for entry in cluster.nodes[old].disk.load().entries:
        assert entry == cluster.committed[entry.index]


@given(lost=st.integers(0, BURST - 1))
@settings(max_examples=BURST, deadline=None, derandomize=True)
def test_a_lost_message_costs_few_others(lost):
    """One lost packet makes the leader resend its window many times over.

    Messages behind the lost one are refused, each of them; answering every
    refusal with the whole window would multiply the load when it hurts most.
    """
    cluster = Cluster.settled(max_entries_per_message=1)
    target = cluster.followers()[0]
    for _ in range(BURST):
        cluster.propose(cluster.leader().instance)
    positions = [i for i, m in enumerate(cluster.network) if m.recipient == target]
    cluster.drop(positions[lost])
    sent = BURST
    while not cluster.is_settled():
        cluster.tick(0.02)
        cluster.deliver_all()
        messages = [DECODER.decode(m.data) for m in cluster.network]
        folder = cluster.nodes[target].disk.load().replica_id.folder
        mine = [m for m in messages if m.recipient_folder == folder]
        sent += sum(bool(getattr(m, "entries", ())) for m in mine)
    assert sent <= 2 * BURST


def test_a_lost_message_is_noticed_by_the_next_heartbeat():
    """One replica answers reads and applies changes half a second late.

    The only message with a change gets lost on the way to it; no other follows.
    """
    cluster = Cluster.settled()
    target = cluster.followers()[0]
    proposal = cluster.propose(cluster.leader().instance)
    cluster.network = [m for m in cluster.network if m.recipient != target]
    cluster.run(6)
    assert cluster.nodes[target].commands == [proposal]


def test_a_heartbeat_is_small():
    """Control traffic of idle replicas eats the budget of a daemon."""
    cluster = Cluster.settled()
    cluster.network.clear()
    cluster.run(2)
    cluster.tick(ReplicaConfig(()).heartbeat_seconds)
    sizes = [len(item.data) for item in cluster.network]
    assert sizes
    assert max(sizes) <= 100
