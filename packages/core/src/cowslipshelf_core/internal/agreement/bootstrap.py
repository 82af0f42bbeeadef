"""Found a cluster from empty data folders, or ask to join the one there is."""

from cowslipshelf_core.identifiers import InstanceId
from cowslipshelf_core.internal.agreement.effects import Persist, SendTo
from cowslipshelf_core.internal.agreement.elections import follows_active_leader
from cowslipshelf_core.internal.agreement.membership import admit_learner
from cowslipshelf_core.internal.agreement.messages import JoinAnswered, JoinAsked
from cowslipshelf_core.internal.agreement.records import (
    Entry,
    EntryKind,
    Membership,
    ReplicaId,
    encode_membership,
)
from cowslipshelf_core.internal.agreement.state import ReplicaState

INITIAL_TERM = 1


def is_empty(state: ReplicaState) -> bool:
    """Tell whether this data folder belongs to no cluster yet.

    A founder whose process ended before its first entry was synced has noted the
    cluster, but nobody has heard of it; taken as founded, it would wait for ever.
    """
    if state.hard_state.cluster == state.replica_id.folder:
        return state.log.last_index == 0
    return not state.hard_state.cluster


def request_join_when_due(state: ReplicaState) -> None:
    """Ask every replica of the settings, from time to time, to be taken in."""
    waiting = state.join_due is not None and state.now < state.join_due
    if waiting or not may_request_join(state):
        return
    state.join_due = state.now + state.config.join_retry_seconds
    own = state.replica_id
    cluster = "" if is_empty(state) else state.hard_state.cluster
    asked = JoinAsked(own.folder, cluster)
    for instance in state.replica_instances:
        if instance != own.instance:
            state.effects.append(SendTo(instance, asked))
    if is_empty(state) and not state.config.open_membership:
        bootstrap_if_all_empty(state)


def may_request_join(state: ReplicaState) -> bool:
    """Tell whether this replica is a newcomer rather than one that was removed.

    A newcomer may have been forgotten, with or without some entries, when the
    leader that took it in was lost before the change was committed; it asks again.
    One whose instance is in no membership that it knows was removed by operators.
    """
    instances = {replica.instance for replica in state.membership.replicas}
    return not instances or state.replica_id.instance in instances


def on_join_asked(state: ReplicaState, sender: InstanceId, message: JoinAsked) -> None:
    """Take an empty replica in as the leader, or tell it that this one is empty."""
    newcomer = ReplicaId(sender, message.sender_folder)
    if message.cluster not in ("", state.hard_state.cluster):
        return
    if state.leadership is not None:
        admit_learner(state, newcomer)
    elif is_empty(state):
        answer = JoinAnswered(state.replica_id.folder, newcomer.folder)
        state.effects.append(SendTo(sender, answer))


def on_join_answered(
    state: ReplicaState, sender: InstanceId, message: JoinAnswered
) -> None:
    """Note that another replica is empty too; the answer must be to this folder.

    An answer to the folder that a wiped disk had before may be old: the others
    have since founded a cluster, and counting it would found a second one.
    """
    if not is_empty(state) or message.recipient_folder != state.replica_id.folder:
        return
    if state.config.open_membership:
        # Those that answered need not be all: the one that is told to founds.
        return
    state.empty_peers[sender] = ReplicaId(sender, message.sender_folder)
    bootstrap_if_all_empty(state)


def bootstrap_if_all_empty(state: ReplicaState) -> None:
    """Found the cluster, at the first instance by name only.

    Every replica of the settings must have said that it is empty: one that was
    wiped finds others that are not, and waits for them instead.
    """
    own = state.replica_id
    instances = sorted(state.replica_instances)
    others = [instance for instance in instances if instance != own.instance]
    if not instances or instances[0] != own.instance:
        return
    if any(instance not in state.empty_peers for instance in others):
        return
    start_cluster(state, (own, *(state.empty_peers[instance] for instance in others)))


def bootstrap_alone(state: ReplicaState) -> None:
    """Found the cluster with one voter; those that ask are taken in after it."""
    if is_empty(state):
        start_cluster(state, (state.replica_id,))


def request_rejoin_when_due(state: ReplicaState) -> None:
    """Ask to be taken in again, where the others may have removed this voter.

    With open membership a voter that was silent for long gives way to a new one. If
    it returns all the same, the others never answer its campaigns, and it knows of
    no removal; the leader takes it in again or ignores a voter that it still has.
    """
    if state.config.open_membership and not follows_active_leader(state):
        request_join_when_due(state)


def start_cluster(state: ReplicaState, voters: tuple[ReplicaId, ...]) -> None:
    """Write the first entry of a new cluster's log, and stand for election."""
    own = state.replica_id
    entry = Entry(
        index=1,
        term=INITIAL_TERM,
        at=0.0,
        kind=EntryKind.MEMBERSHIP,
        payload=encode_membership(Membership(voters)),
    )
    state.save_hard_state(term=INITIAL_TERM, voted_for=own, cluster=own.folder)
    state.log.append((entry,))
    state.effects.append(Persist(entries=(entry,)))
    state.election_due = state.now
