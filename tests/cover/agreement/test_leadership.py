"""Check elections, leadership transfer, and leaders without a quorum."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from common.agreement_cluster import Cluster
from cowslipshelf_core.agreement import CommandProposed, ProposalRefusal, Role


@pytest.mark.parametrize("size", [3, 5])
def test_an_isolated_leader_neither_commits_nor_confirms_and_says_so(size):
    """Operators see two leaders, and one of them accepts changes that are lost.

    A partitioned leader still receives proposals and reads, while the others elect a
    new leader and commit. The old one must not acknowledge anything, must refuse with
    `no_quorum` once its lease has expired, and must drop its entries when the
    partition heals.
    """
    cluster = Cluster.settled(size)
    old = cluster.leader().instance
    cluster.isolate(old)
    lost = cluster.propose(old)
    read = cluster.read(old)
    cluster.run_until(lambda: cluster.leader() is not None)
    cluster.run(20)
    assert cluster.nodes[old].replica.status().role is not Role.LEADER
    assert cluster.refused[lost] is ProposalRefusal.OUTCOME_UNKNOWN
    assert read in cluster.failed_reads
    assert cluster.refused[cluster.propose(old)] is ProposalRefusal.NO_QUORUM
    kept = cluster.propose(cluster.leader().instance)
    cluster.run_until(lambda: kept in cluster.acknowledged)
    cluster.settle()
    assert lost not in cluster.nodes[old].commands
    assert kept in cluster.nodes[old].commands


def test_a_leader_that_was_frozen_refuses_the_first_proposal_after_it_wakes():
    """A process that was frozen for a minute accepts a change.

    The others have elected a new leader meanwhile. The old one resumes with a proposal
    and a read in its queue, before any tick or message.
    """
    cluster = Cluster.settled()
    old = cluster.leader().instance
    cluster.jump(old, 60.0)
    assert cluster.refused[cluster.propose(old)] is ProposalRefusal.NO_QUORUM
    assert cluster.read(old) in cluster.failed_reads


@given(seed=st.integers(0, 10_000), rounds=st.integers(1, 200))
@settings(max_examples=15, deadline=None, derandomize=True)
def test_a_replica_that_comes_back_deposes_nobody(seed, rounds):
    """The end of every partition costs a second without a leader.

    A partitioned follower starts elections again and again. With a raised term, it
    would depose the leader that the others follow.
    """
    cluster = Cluster.settled(seed=seed)
    leader = cluster.leader().instance
    term = cluster.leader().replica.status().term
    cut_off = next(i for i in cluster.nodes if i != leader)
    cluster.isolate(cut_off)
    cluster.run(rounds)
    cluster.heal()
    cluster.run(40)
    status = cluster.nodes[cut_off].replica.status()
    assert (status.leader, status.term) == (leader, term)


@given(seed=st.integers(0, 10_000), waiting=st.integers(0, 5))
@settings(max_examples=15, deadline=None, derandomize=True)
def test_a_leader_that_shuts_down_hands_over_at_once(seed, waiting):
    """Each planned restart of the leader stops changes for an election timeout.

    The leader transfers leadership before it exits: accepted proposals are committed,
    and the successor leads without waiting for the timeout.
    """
    cluster = Cluster.settled(seed=seed)
    old = cluster.leader().instance
    accepted = [cluster.propose(old) for _ in range(waiting)]
    cluster.transfer(old)
    assert cluster.refused[cluster.propose(old)] is ProposalRefusal.TRANSFERRING
    for _ in range(10):
        cluster.deliver_all()
    cluster.run(3)
    successor = cluster.leader()
    assert successor.instance != old
    cluster.run(10)
    assert successor.commands == accepted


def test_a_replica_whose_term_is_ahead_finds_its_way_back():
    """One replica never catches up after a planned restart was cancelled.

    It was asked to take over and raised its term, but all its messages were lost. The
    old leader continues in the old term, which the replica no longer follows, and the
    others, which hear the leader, ignore its pre-votes.
    """
    cluster = Cluster.settled()
    leader = cluster.leader().instance
    cluster.transfer(leader)
    cluster.deliver_all()
    cluster.network.clear()
    terms = {n.replica.status().term for n in cluster.nodes.values()}
    assert len(terms) == 2
    cluster.run(40)
    cluster.propose(cluster.leader().instance)
    cluster.run_until(cluster.is_settled)


def test_a_replica_with_a_failed_disk_gives_no_vote_and_says_why():
    """A replica gives a vote that its disk can't store, and forgets it on restart.

    The disk of a follower fails, then the leader is lost. The third replica must not
    become leader with the vote of the failed one.
    """
    cluster = Cluster.settled()
    leader = cluster.leader().instance
    failed = min(i for i in cluster.nodes if i != leader)
    cluster.fail_disk(failed)
    cluster.crash(leader)
    cluster.run(100)
    assert cluster.nodes[failed].replica.status().failure == "no space left"
    assert cluster.leader() is None
    refused = cluster.refused[cluster.propose(failed)]
    assert refused is ProposalRefusal.DISK_FAILED
    cluster.settle()


def test_every_replica_answers_reads_that_see_what_was_acknowledged():
    """A follower answers a starting process with an old configuration.

    The follower is asked right after a change was acknowledged, and does not know yet
    that it is committed. It may answer only at the read index of a leader that a quorum
    has confirmed after the request. A partitioned follower must not answer.
    """
    cluster = Cluster.settled()
    follower = cluster.followers()[0]
    cluster.acknowledge()
    read = cluster.read(follower)
    cluster.run(4)
    assert cluster.confirmed_reads[read] == cluster.nodes[follower].applied_index
    cluster.isolate(follower)
    failed = cluster.read(follower)
    cluster.run(20)
    assert failed in cluster.failed_reads


def test_clocks_that_jump_back_delay_no_election():
    """After clocks were set back by an hour, a lost leader is replaced an hour late.

    Timers that were set before the jump end far in the future.
    """
    cluster = Cluster.settled()
    for instance in cluster.nodes:
        cluster.jump(instance, -3600.0)
    cluster.run(1)
    cluster.crash(cluster.leader().instance)
    cluster.run_until(lambda: cluster.leader() is not None)


@given(seed=st.integers(0, 10_000))
@settings(max_examples=15, deadline=None, derandomize=True)
def test_the_time_of_entries_never_falls(seed):
    """A deadline that had passed is open again after a change of leader.

    The clock of the next leader is behind. The cluster compares the timestamps of
    entries whenever one is applied.
    """
    cluster = Cluster.settled(seed=seed)
    first = cluster.leader().instance
    cluster.jump(first, 1000.0)
    cluster.run_until(lambda: cluster.leader() is not None)
    cluster.propose(cluster.leader().instance)
    cluster.run(20)
    cluster.crash(first)
    cluster.run_until(lambda: cluster.leader() is not None)
    late = cluster.propose(cluster.leader().instance)
    cluster.run_until(lambda: late in cluster.acknowledged)


def test_a_proposal_that_is_repeated_enters_the_log_once_and_is_answered():
    """A large change is replicated several times and delays the changes after it.

    The commit takes longer than a second, so the proposer sends the change again. The
    leader has it already, and must answer once it is committed.
    """
    cluster = Cluster.settled(3)
    leader = cluster.leader()
    before = leader.replica.status().last_index
    proposal_id = cluster.propose(leader.instance)
    again = CommandProposed(proposal_id, proposal_id.encode(), leader.clock)
    cluster.step(leader.instance, [again, again])
    cluster.step(leader.instance, [again])
    assert leader.replica.status().last_index == before + 1
    cluster.settle()
    assert proposal_id in cluster.acknowledged
    assert leader.commands.count(proposal_id) == 1
