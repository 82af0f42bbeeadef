"""Check clusters with open membership, which have no fixed list of instances."""

from common.agreement_cluster import Cluster
from common.agreement_node import Node
from cowslipshelf_core.agreement import (
    BootstrapCluster,
    ProposalRefusal,
    ReplicasSeen,
    TickElapsed,
)
from cowslipshelf_core.identifiers import InstanceId

OPEN_MEMBERSHIP = {"open_membership": True, "max_failures": 1}


def started_cluster(size: int = 3) -> Cluster:
    """Start a cluster at its first replica, and let the others join."""
    cluster = Cluster.of_size(size, **OPEN_MEMBERSHIP)
    cluster.step("entry-0", [BootstrapCluster()])
    cluster.run_until(lambda: has_voters(cluster, cluster.nodes))
    return cluster


def has_voters(cluster: Cluster, instances) -> bool:
    """Return whether a leader has exactly these instances as voters."""
    leader = cluster.leader()
    if leader is None:
        return False
    voters = leader.replica.status().membership.voters
    return {voter.instance for voter in voters} == set(instances)


def test_the_others_join_the_one_that_founds():
    cluster = started_cluster()
    accepted = cluster.acknowledge()
    cluster.settle()
    assert all(accepted in node.commands for node in cluster.nodes.values())


def test_nobody_founds_unless_told_to():
    """Two partitioned halves start two clusters with different states.

    Replicas that know only some of the others must not assume that these are all.
    """
    cluster = Cluster.of_size(3, **OPEN_MEMBERSHIP)
    cluster.run(100)
    assert cluster.leader() is None


def test_no_command_is_accepted_while_the_founder_is_alone():
    """An acknowledged change is lost with the one disk that held it."""
    cluster = Cluster.of_size(3, **OPEN_MEMBERSHIP)
    cluster.step("entry-0", [BootstrapCluster()])
    for _ in range(100):
        cluster.nodes["entry-0"].clock += 0.05
        cluster.step("entry-0", [TickElapsed()])
    assert cluster.leader().instance == "entry-0"
    proposal = cluster.propose("entry-0")
    assert cluster.refused[proposal] is ProposalRefusal.NO_QUORUM


def test_a_new_instance_takes_the_place_of_one_that_is_gone_for_good():
    """All changes stop at the second loss, although the first was long replaced.

    A machine is removed, and another joins at a new address with an empty disk. The
    lost one must not count for quorums for ever.
    """
    cluster = started_cluster()
    accepted = cluster.acknowledge()
    cluster.crash("entry-2")
    joining = InstanceId("entry-9")
    cluster.nodes[joining] = Node(joining, cluster.new_disk(joining))
    cluster.restart(joining)
    known = ("entry-0", "entry-1", joining)
    cluster.step(joining, [ReplicasSeen(known)])
    cluster.run_until(lambda: has_voters(cluster, known))
    assert accepted in cluster.nodes[joining].commands


def test_a_voter_that_was_silent_for_long_comes_back():
    """A machine that was partitioned for long never joins its cluster again."""
    cluster = started_cluster(4)
    cluster.isolate("entry-3")
    cluster.run_until(lambda: has_voters(cluster, ("entry-0", "entry-1", "entry-2")))
    cluster.heal()
    cluster.run_until(lambda: has_voters(cluster, cluster.nodes))


def test_a_silent_voter_stays_where_there_are_no_more_than_needed():
    """The quorum of a cluster without spare voters shrinks while one is frozen."""
    cluster = started_cluster(3)
    cluster.isolate("entry-2")
    cluster.run(400)
    assert has_voters(cluster, cluster.nodes)


def test_a_replica_that_crashes_between_its_removal_and_its_return_joins_again():
    """A replica whose log ends with its own removal never asks to join again."""
    cluster = Cluster.of_size(4, **OPEN_MEMBERSHIP, max_entries_per_message=1)
    cluster.step("entry-0", [BootstrapCluster()])
    cluster.run_until(lambda: has_voters(cluster, cluster.nodes))
    cluster.run_until(cluster.is_settled)
    others = ("entry-0", "entry-1", "entry-2")
    cluster.isolate("entry-3")
    cluster.run_until(lambda: has_voters(cluster, others))
    cluster.heal()
    returning = cluster.nodes["entry-3"]

    def knows_its_removal() -> bool:
        membership = returning.replica.status().membership
        return {voter.instance for voter in membership.voters} == set(others)

    while not knows_its_removal():
        if cluster.network:
            cluster.deliver(0)
        else:
            cluster.tick(0.05)
    assert not returning.replica.status().membership.learners
    cluster.crash("entry-3")
    cluster.run_until(lambda: not cluster.leader().replica.status().membership.learners)
    cluster.restart("entry-3")
    cluster.run_until(lambda: has_voters(cluster, cluster.nodes))
