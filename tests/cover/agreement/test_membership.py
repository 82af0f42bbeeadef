"""Check how replicas are added, removed, wiped and lost."""

import pytest

from common.agreement_cluster import DECODER, Cluster, Crash, CrashPoint
from cowslipshelf_core.agreement import (
    AddReplica,
    JoinAnswered,
    PeerMessageArrived,
    ProposalRefusal,
    RemoveReplica,
    force_members,
)


def test_a_wiped_disk_never_votes_under_its_old_name():
    """An accepted change is lost after a disk was replaced.

    The change is on the leader and one follower; the other follower is partitioned.
    The first follower's disk is wiped and the leader is lost. The wiped replica must
    not vote for the third one, which misses the change.
    """
    cluster = Cluster.settled()
    leader = cluster.leader().instance
    wiped, behind = cluster.followers()
    cluster.isolate(behind)
    accepted = cluster.acknowledge()
    cluster.wipe(wiped)
    cluster.restart(wiped)
    cluster.crash(leader)
    cluster.heal()
    cluster.run(100)
    assert cluster.leader() is None
    cluster.settle()
    assert accepted in cluster.nodes[behind].commands


@pytest.mark.parametrize("size", [3, 5])
def test_a_second_loss_right_after_a_repair_is_survived(size):
    """Changes are refused permanently although only one disk was lost at a time.

    A wiped replica joins again. As soon as it is a voter, the next one is wiped, until
    every replica, including the leader, has been.
    """
    cluster = Cluster.settled(size)
    for lost in sorted(cluster.nodes):
        accepted = cluster.acknowledge()
        cluster.wipe(lost)
        cluster.restart(lost)
        cluster.run_until(cluster.is_settled)
        assert accepted in cluster.nodes[lost].commands
    cluster.settle()


def test_a_second_change_waits_until_the_first_is_whole():
    """Two membership changes at once leave a quorum that has none of the entries.

    A wiped replica joins as a learner and gets no entries, and a removal is proposed
    meanwhile. The removal is refused with the reason, and accepted once the learner is
    a voter.
    """
    cluster = Cluster.settled(5)
    leader = cluster.leader().instance
    joining, leaving, *_ = cluster.followers()
    cluster.wipe(joining)
    cluster.change(leader, AddReplica(cluster.replica_of(joining)))
    cluster.run(5)
    removal = RemoveReplica(cluster.replica_of(leaving))
    refused = cluster.change(leader, removal)
    assert cluster.refused[refused] is ProposalRefusal.MEMBERSHIP_BUSY
    cluster.restart(joining)
    cluster.run_until(cluster.is_settled)
    accepted = cluster.change(cluster.leader().instance, removal)
    assert accepted not in cluster.refused
    cluster.run_until(cluster.is_settled)
    members = cluster.leader().replica.status().membership.replicas
    assert cluster.replica_of(leaving) not in members


def test_a_healthy_replica_is_not_removed_while_another_is_down():
    """Removing one of three replicas stops all changes.

    One replica is partitioned when the operator removes another. The removal would
    make the quorum unreachable, and is refused with the reason.
    """
    cluster = Cluster.settled()
    down, healthy = cluster.followers()
    cluster.isolate(down)
    cluster.run(15)
    removal = RemoveReplica(cluster.replica_of(healthy))
    refused = cluster.change(cluster.leader().instance, removal)
    assert cluster.refused[refused] is ProposalRefusal.MEMBERSHIP_BUSY
    cluster.acknowledge()


def test_a_learner_gets_its_vote_only_when_it_holds_everything():
    """After one more loss, accepted changes are on too few disks.

    A wiped replica hears the leader, but the entries that it misses are lost on the
    way. It must not become a voter before it has them.
    """
    cluster = Cluster.settled()
    wiped = cluster.followers()[0]
    cluster.wipe(wiped)
    cluster.restart(wiped)
    for _ in range(100):
        cluster.tick(0.05)
        cluster.network = [
            item
            for item in cluster.network
            if item.recipient != wiped
            or not getattr(DECODER.decode(item.data), "entries", ())
        ]
        cluster.deliver_all()
    members = cluster.leader().replica.status().membership
    assert members.learners == (cluster.replica_of(wiped),)
    cluster.settle()


def test_a_late_answer_to_a_wiped_disk_founds_no_second_cluster():
    """Two clusters exist side by side, each with a leader.

    When the cluster was started, every replica answered the first one that it was
    empty. The first one's disk is wiped, and delayed copies of those answers arrive
    and would make it start a second cluster.
    """
    cluster = Cluster.settled()
    first, *others = sorted(cluster.nodes)
    old_folder = cluster.replica_of(first).folder
    cluster.wipe(first)
    cluster.restart(first)
    for other in others:
        folder = cluster.replica_of(other).folder
        late = JoinAnswered(folder, old_folder)
        cluster.step(first, [PeerMessageArrived(other, late)])
    assert cluster.nodes[first].replica.status().last_index == 0
    cluster.settle()


def test_a_founder_that_crashed_before_its_sync_founds_again():
    """A new cluster never gets a leader.

    The first replica wrote the identity of the new cluster, and crashed before its
    first entry was synced. Found by a random walk.
    """
    cluster = Cluster.of_size(3)
    first = sorted(cluster.nodes)[0]
    cluster.tick(0.1)
    while cluster.nodes[first].running:
        positions = [m.recipient == first for m in cluster.network]
        position = positions.index(True) if any(positions) else 0
        answers = cluster.nodes[first].replica.state.empty_peers
        last_answer = any(positions) and len(answers) == 1
        crash = Crash(CrashPoint.BEFORE_SYNC) if last_answer else None
        cluster.deliver(position, crash=crash)
    cluster.settle()


def test_a_voter_that_alone_holds_its_removal_leads_the_others_on():
    """Changes are refused permanently after one replica was removed.

    The leader of two replicas removes itself, and crashes before the other has the
    entry. The other needs its vote but has the shorter log. So the removed replica
    must stand for election, though it is no voter by its own log. Found by a random
    walk.
    """
    cluster = Cluster.settled()
    first_removed = cluster.followers()[0]
    removal = RemoveReplica(cluster.replica_of(first_removed))
    cluster.change(cluster.leader().instance, removal)
    cluster.run_until(cluster.is_settled)
    leader = cluster.leader().instance
    cluster.change(leader, RemoveReplica(cluster.replica_of(leader)))
    cluster.crash(leader)
    cluster.network.clear()
    cluster.restart(leader)
    cluster.run_until(cluster.is_settled)
    status = cluster.leader().replica.status()
    assert [voter.instance for voter in status.membership.voters] == [
        instance
        for instance in sorted(cluster.nodes)
        if instance not in (first_removed, leader)
    ]


def test_a_newcomer_that_was_forgotten_asks_again():
    """A wiped replica never joins the cluster again.

    The leader adds the wiped replica, and is lost before another has the change. The
    replica has joined the cluster by a message without entries, and the next leader
    drops the change. Found by a random walk.
    """
    cluster = Cluster.settled(5)
    leader = cluster.leader().instance
    wiped = cluster.followers()[0]
    cluster.wipe(wiped)
    cluster.restart(wiped)
    joining = cluster.nodes[wiped].replica.state
    while not joining.hard_state.cluster:
        cluster.tick(0.02)
        cluster.network = [
            item for item in cluster.network if item.recipient in (leader, wiped)
        ]
        cluster.deliver_all()
    assert joining.log.last_index == 0
    cluster.crash(leader)
    cluster.network.clear()
    cluster.run_until(lambda: cluster.leader() is not None)
    cluster.settle()


def test_operators_go_on_from_one_replica_after_the_loss_of_a_quorum():
    """Two of three disks are lost, and every change is refused.

    The operator makes the last replica the only member of a new cluster, which
    continues from its log. An old replica that is still alive is refused, and joins
    again once it is wiped.
    """
    cluster = Cluster.settled()
    accepted = cluster.acknowledge()
    cluster.run_until(cluster.is_settled)
    kept, stale, lost = sorted(cluster.nodes)
    for instance in cluster.nodes:
        cluster.crash(instance)
    disk = cluster.nodes[kept].disk
    forced = force_members(disk.load(), "cluster-2", "operator-1", 50.0)
    assert "lost" in forced.warning
    disk.write([forced.persist])
    disk.sync()
    cluster.network.clear()
    cluster.restart(kept)
    cluster.restart(stale)
    cluster.run_until(lambda: cluster.leader() is not None)
    after = cluster.acknowledge()
    old = cluster.replica_of(stale)
    cluster.change(kept, AddReplica(old))
    cluster.run(40)
    assert cluster.leader().instance == kept
    assert old not in cluster.leader().replica.status().membership.voters
    assert after not in cluster.nodes[stale].commands
    for others, instance in enumerate((stale, lost), start=1):
        cluster.wipe(instance)
        cluster.restart(instance)
        leading = cluster.leader().replica
        cluster.run_until(lambda n=others, r=leading: len(r.status().follower_lag) == n)
        cluster.run_until(cluster.is_settled)
    members = cluster.leader().replica.status().membership.voters
    assert {member.instance for member in members} == set(cluster.nodes)
    assert cluster.nodes[lost].commands == [accepted, after]
    audited = {entry.proposal_id for entry in cluster.committed.values()}
    assert "forced-members:operator-1" in audited
