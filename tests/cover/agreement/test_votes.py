"""Check single votes and commits, message by message."""

from random import Random

from common.agreement_cluster import Cluster
from cowslipshelf_core.agreement import (
    AppendEntries,
    CommandProposed,
    Committed,
    EntriesAppended,
    Entry,
    EntryKind,
    HardState,
    Membership,
    PeerMessageArrived,
    Persist,
    Replica,
    ReplicaConfig,
    ReplicaId,
    SendTo,
    StoredState,
    TickElapsed,
    VoteAnswered,
    VoteAsked,
)
from cowslipshelf_core.internal.agreement.records import encode_membership

FIRST, SECOND, THIRD = (ReplicaId(f"entry-{n}", f"folder-{n}") for n in range(3))
CLUSTER = "cluster-1"
FOUNDING = Entry(
    index=1,
    term=1,
    at=0.0,
    kind=EntryKind.MEMBERSHIP,
    payload=encode_membership(Membership((FIRST, SECOND, THIRD))),
)
CONFIG = ReplicaConfig((FIRST.instance, SECOND.instance, THIRD.instance))
RANDOM = Random(0)


def stored(term: int, *entries: Entry) -> StoredState:
    hard_state = HardState(term, None, CLUSTER)
    return StoredState(FIRST, hard_state, None, (FOUNDING, *entries))


def deliver(replica: Replica, sender: ReplicaId, kind: type, term: int, **fields):
    message = kind(
        sender_folder=sender.folder,
        recipient_folder=FIRST.folder,
        cluster=CLUSTER,
        term=term,
        **fields,
    )
    event = PeerMessageArrived(sender.instance, message)
    return replica.handle(event, 100.0, RANDOM)


def ask_vote(replica: Replica, candidate: ReplicaId):
    fields = {"last_index": 1, "last_term": 1, "pre_vote": False}
    effects = deliver(replica, candidate, VoteAsked, 2, **fields)
    answers = [e.message for e in effects if isinstance(e, SendTo)]
    saved = [e.hard_state for e in effects if isinstance(e, Persist) and e.hard_state]
    return answers[-1].granted, saved


def test_a_vote_outlives_a_restart():
    """Two leaders have the same term, and commit two values at one index.

    A replica votes for one candidate, restarts, and is asked by another in the same
    term. It must have synced its vote before it answered.
    """
    granted, saved = ask_vote(Replica.from_config(CONFIG, stored(1)), SECOND)
    assert granted
    restarted = stored(1)._replace(hard_state=saved[-1])
    granted, _ = ask_vote(Replica.from_config(CONFIG, restarted), THIRD)
    assert not granted
    granted, _ = ask_vote(Replica.from_config(CONFIG, restarted), SECOND)
    assert granted


def elected(entry: Entry) -> Replica:
    """Return a leader of term 4, with an older entry and its own no-op."""
    replica = Replica.from_config(CONFIG, stored(3, entry))
    replica.handle(TickElapsed(), 98.0, RANDOM)
    replica.handle(TickElapsed(), 100.0, RANDOM)
    for pre_vote in (True, False):
        fields = {"granted": True, "pre_vote": pre_vote}
        deliver(replica, SECOND, VoteAnswered, 4, **fields)
    return replica


def test_a_new_leader_changes_no_membership_before_its_first_commit():
    """Two leaders commit with quorums that share no replica.

    A leader has a membership change in its log that may not be committed, and makes
    the next change after it. Another leader does so without the first change.
    """
    learner = ReplicaId("entry-3", "folder-3")
    joining = encode_membership(Membership((FIRST, SECOND, THIRD), (learner,)))
    replica = elected(Entry(2, 2, 0.0, EntryKind.MEMBERSHIP, joining))
    fields = {"match_index": 3, "read_round": 0}
    deliver(replica, learner, EntriesAppended, 4, **fields)
    assert replica.status().membership.learners == (learner,)
    deliver(replica, SECOND, EntriesAppended, 4, **fields)
    assert replica.status().membership.voters[-1] == learner


def test_an_entry_of_an_older_term_is_not_committed_by_counting():
    """An acknowledged change is overwritten by a later leader.

    A quorum has an entry of an older term. Another replica with a later term in its
    log could still be elected and overwrite it, until an entry of the leader's own
    term is on a quorum too.
    """
    replica = elected(Entry(2, 2, 0.0, EntryKind.COMMAND, b"old", "old"))
    counted = deliver(replica, SECOND, EntriesAppended, 4, match_index=2, read_round=0)
    assert not [e for e in counted if isinstance(e, Committed)]
    own = deliver(replica, SECOND, EntriesAppended, 4, match_index=3, read_round=0)
    assert [e.index for e in own if isinstance(e, Committed)] == [1, 2, 3]


def test_a_membership_that_was_cut_off_the_log_is_out_of_force():
    """A replica counts votes by a membership that was never committed.

    A change was appended under a leader that was lost, and the next leader truncates
    it. The previous membership must be current again.
    """
    joining = encode_membership(Membership((FIRST, SECOND)))
    change = Entry(2, 2, 0.0, EntryKind.MEMBERSHIP, joining)
    replica = Replica.from_config(CONFIG, stored(2, change))
    assert replica.status().membership.voters == (FIRST, SECOND)
    deliver(
        replica,
        THIRD,
        AppendEntries,
        3,
        previous_index=1,
        previous_term=1,
        commit_index=0,
        read_round=0,
        entries=(Entry(2, 3, 0.0, EntryKind.NO_OP),),
    )
    assert replica.status().membership.voters == (FIRST, SECOND, THIRD)


def test_a_leader_by_itself_tells_nothing_that_its_crash_could_take_back():
    """A learner has applied a change that the leader lost in a crash.

    A single voter commits what it appends at once, and sends entries during its sync.
    What it sends before the sync must neither use a term that is not synced yet nor
    report an entry as committed that is not.
    """
    joining = encode_membership(Membership((FIRST,), (SECOND,)))
    alone = FOUNDING._replace(payload=joining)
    start = StoredState(FIRST, HardState(1, None, CLUSTER), None, (alone,))
    replica = Replica.from_config(CONFIG, start)
    replica.handle(TickElapsed(), 0.0, RANDOM)
    began = replica.handle(TickElapsed(), 3.0, RANDOM)
    assert [e for e in began if isinstance(e, SendTo)]
    assert not [e for e in began if isinstance(e, SendTo) and e.before_sync]
    probed = EntriesAppended(SECOND.folder, FIRST.folder, CLUSTER, 2, 2, 0)
    arrived = PeerMessageArrived(SECOND.instance, probed)
    proposed = CommandProposed("p", b"", 0.0)
    effects = replica.handle_batch([arrived, proposed], 3.1, RANDOM)
    assert [e.index for e in effects if isinstance(e, Committed)] == [3]
    early = [e.message for e in effects if isinstance(e, SendTo) and e.before_sync]
    assert [m.entries[-1].index for m in early if m.entries] == [3]
    assert max(m.commit_index for m in early) == 2


def test_a_replica_that_cannot_hear_the_leader_deposes_nobody():
    """The leader changes every second although most replicas are healthy.

    Messages from the leader to one follower are lost, and those in the other direction
    arrive. The follower starts elections again and again. The third replica hears the
    leader and must not vote for the follower.
    """
    cluster = Cluster.of_size(3)
    cluster.run_until(cluster.is_settled)
    leader = cluster.leader().instance
    term = cluster.leader().replica.status().term
    deaf = min(instance for instance in cluster.nodes if instance != leader)
    for _ in range(100):
        cluster.tick(0.05)
        cluster.network = [
            item
            for item in cluster.network
            if (item.sender, item.recipient) != (leader, deaf)
        ]
        cluster.deliver_all()
    status = cluster.nodes[leader].replica.status()
    assert (status.leader, status.term) == (leader, term)
