"""Check how lagging replicas catch up."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from common.agreement_cluster import DECODER, Cluster
from cowslipshelf_core.agreement import CommandProposed, InstallSnapshot, ReplicaConfig

MISSED_COMMANDS = 600
BURST_MESSAGES = 8


def propose_many(cluster: Cluster, count: int) -> None:
    for _ in range(count):
        cluster.propose(cluster.leader().instance)
        cluster.deliver_all()
        cluster.deliver_all()
    cluster.run(3)


@pytest.mark.parametrize("snapshot_after", [50, 10_000])
def test_a_restart_after_hundreds_of_changes_catches_up(snapshot_after):
    """A restarted process keeps an old configuration.

    It misses hundreds of changes. The leader may have dropped those entries, and then
    sends a snapshot in chunks and the entries after it.
    """
    cluster = Cluster.settled(
        snapshot_after_entries=snapshot_after,
        entries_kept=10,
        max_bytes_per_message=500,
    )
    away = cluster.followers()[0]
    cluster.crash(away)
    propose_many(cluster, MISSED_COMMANDS)
    cluster.restart(away)
    cluster.run_until(cluster.is_settled)
    cluster.check_outcomes()
    assert len(cluster.nodes[away].commands) == MISSED_COMMANDS


def test_doubled_messages_do_not_double_a_snapshot():
    """A lagging replica uses up the bandwidth of its leader.

    Every message arrives twice. If each answer led to the next chunk, the copies would
    multiply with each chunk of the snapshot.
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

    The leader retried just before the replica came back, and waits for the answer to
    entries or a chunk that were lost.
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
    """The memory of a daemon grows with every change until it is killed."""
    cluster = Cluster.settled(snapshot_after_entries=20, entries_kept=5)
    propose_many(cluster, 200)
    for node in cluster.nodes.values():
        assert len(node.replica.state.log.entries) <= 30
        assert len(node.disk.load().entries) <= 30


@pytest.mark.parametrize("snapshot_after", [50, 10_000])
def test_an_old_leader_drops_its_entries_in_a_few_messages(snapshot_after):
    """After a partition, the old leader takes minutes to catch up.

    It has hundreds of uncommitted entries, and hundreds of others were committed in
    their place. The new leader must find the last common entry by stepping back one
    term at a time, not one entry, or send its snapshot. None of the old entries may
    stay on the disk.
    """
    cluster = Cluster.settled(snapshot_after_entries=snapshot_after, entries_kept=0)
    old = cluster.leader().instance
    cluster.isolate(old)
    for _ in range(2 * MISSED_COMMANDS):
        cluster.propose(old)
    cluster.run_until(lambda: cluster.leader() is not None)
    propose_many(cluster, MISSED_COMMANDS)
    cluster.crash(cluster.leader().instance)
    cluster.heal()
    cluster.run_until(lambda: cluster.leader() is not None)
    cluster.run(8)
    assert len(cluster.nodes[old].commands) == MISSED_COMMANDS
    for entry in cluster.nodes[old].disk.load().entries:
        assert entry == cluster.committed[entry.index]


@given(lost=st.integers(0, BURST_MESSAGES - 1))
@settings(max_examples=BURST_MESSAGES, deadline=None, derandomize=True)
def test_a_lost_message_costs_few_others(lost):
    """One lost message makes the leader resend its window many times.

    Each message after the lost one is refused. Answering every refusal with the whole
    window would multiply the load during a network problem.
    """
    cluster = Cluster.settled(max_entries_per_message=1)
    target = cluster.followers()[0]
    for _ in range(BURST_MESSAGES):
        cluster.propose(cluster.leader().instance)
    positions = [i for i, m in enumerate(cluster.network) if m.recipient == target]
    cluster.drop(positions[lost])
    sent = BURST_MESSAGES
    while not cluster.is_settled():
        cluster.tick(0.02)
        cluster.deliver_all()
        messages = [DECODER.decode(m.data) for m in cluster.network]
        folder = cluster.nodes[target].disk.load().replica_id.folder
        mine = [m for m in messages if m.recipient_folder == folder]
        sent += sum(bool(getattr(m, "entries", ())) for m in mine)
    assert sent <= 2 * BURST_MESSAGES


def test_a_lost_message_is_noticed_by_the_next_heartbeat():
    """One replica answers reads and applies changes half a second late.

    The only message with a change is lost on the way to it, and no other follows.
    """
    cluster = Cluster.settled()
    target = cluster.followers()[0]
    proposal = cluster.propose(cluster.leader().instance)
    cluster.network = [m for m in cluster.network if m.recipient != target]
    cluster.run(6)
    assert cluster.nodes[target].commands == [proposal]


def test_a_heartbeat_is_small():
    """Heartbeats of idle replicas exceed the traffic budget of a daemon."""
    cluster = Cluster.settled()
    cluster.network.clear()
    cluster.run(2)
    cluster.tick(ReplicaConfig(()).heartbeat_seconds)
    sizes = [len(item.data) for item in cluster.network]
    assert sizes
    assert max(sizes) <= 100


def test_the_log_of_large_changes_stays_small():
    """A thousand large changes fill the disk and the memory of a small machine.

    The log was compacted by the number of its entries alone.
    """
    size, longest = 200, 2000
    cluster = Cluster.settled(max_log_bytes=longest)
    for number in range(100):
        leader = cluster.leader()
        command = bytes([number]) * size
        cluster.step(leader.instance, [CommandProposed(f"p-{number}", command, 0.0)])
        cluster.run(1)
    for node in cluster.nodes.values():
        held = sum(len(entry.payload) for entry in node.disk.load().entries)
        assert held <= longest + 10 * size
        assert held == node.replica.state.log.held_bytes
    cluster.settle()
