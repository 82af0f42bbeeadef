"""Check reads that a follower forwards to its leader for confirmation."""

from collections.abc import Callable

from common.agreement_cluster import DECODER, Cluster, InFlight
from cowslipshelf_core.agreement import AppendEntries, TickElapsed

TICK_SECONDS = 0.05


def run_filtered(
    cluster: Cluster,
    passes: Callable[[InFlight], bool],
    frozen: frozenset = frozenset(),
) -> None:
    """Advance the clocks that aren't frozen, and deliver only matching messages."""
    for node in cluster.nodes.values():
        if node.instance not in frozen:
            node.clock += TICK_SECONDS
            cluster.step(node.instance, [TickElapsed()])
    cluster.network = [item for item in cluster.network if passes(item)]
    cluster.deliver_all()


def test_a_follower_waits_until_it_has_applied_what_was_acknowledged():
    """A follower answers a starting process with an old configuration.

    The leader's answer overtakes the entries, so the follower knows the read index
    but has not applied the entries up to it.
    """
    cluster = Cluster.settled()
    follower = cluster.followers()[0]

    def passes(item: InFlight) -> bool:
        entries = isinstance(DECODER.decode(item.data), AppendEntries)
        return item.recipient != follower or not entries

    proposal = cluster.propose(cluster.leader().instance)
    while proposal not in cluster.acknowledged:
        run_filtered(cluster, passes)
    read = cluster.read(follower)
    for _ in range(5):
        run_filtered(cluster, passes)
    answered = cluster.nodes[follower].replica.state.forwarded_reads[read]
    assert answered.index is not None
    assert read not in cluster.confirmed_reads
    cluster.run(4)
    assert cluster.confirmed_reads[read] == cluster.nodes[follower].applied_index


def test_a_deposed_leader_confirms_no_read_for_its_follower():
    """A read misses a change that was acknowledged before it.

    A partition leaves the leader with one follower. Its clock stands still, so its
    lease does not expire, and the others have elected a new leader.
    """
    cluster = Cluster.settled(5)
    side = frozenset({cluster.leader().instance, cluster.followers()[0]})
    follower = cluster.followers()[0]

    def passes(item: InFlight) -> bool:
        return len({item.sender, item.recipient} & side) != 1

    while cluster.leader().instance in side:
        run_filtered(cluster, passes, side)
    proposal = cluster.propose(cluster.leader().instance)
    while proposal not in cluster.acknowledged:
        run_filtered(cluster, passes, side)
    read = cluster.read(follower)
    for _ in range(20):
        run_filtered(cluster, passes, side)
    assert read not in cluster.confirmed_reads
    cluster.settle()
