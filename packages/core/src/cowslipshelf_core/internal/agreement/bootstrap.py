"""Start a cluster from empty data folders, or join an existing one."""

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
    """Return whether this data folder belongs to no cluster yet.

    The replica that starts a cluster may crash after the cluster identity is written
    and before the first entry is synced. It still counts as empty: no other replica
    knows of that cluster, and it would otherwise wait for ever.
    """
    if state.hard_state.cluster == state.replica_id.folder:
        return state.log.last_index == 0
    return not state.hard_state.cluster


def request_join_when_due(state: ReplicaState) -> None:
    """Send a join request to every known replica, once per retry interval."""
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
    """Return whether this replica is new, rather than removed by operators.

    A new replica may have received entries or not when the leader that added it was
    lost before the change was committed; it has to ask again. A replica whose
    instance is not in the last membership that it knows was removed by operators, or,
    in an open cluster, by a leader that took it for lost.
    """
    if state.config.open_membership:
        return True
    instances = {replica.instance for replica in state.membership.replicas}
    return not instances or state.replica_id.instance in instances


def on_join_asked(state: ReplicaState, sender: InstanceId, message: JoinAsked) -> None:
    """Add the sender if this replica leads, or answer that it is empty too."""
    joining = ReplicaId(sender, message.sender_folder)
    if message.cluster not in ("", state.hard_state.cluster):
        return
    if state.leadership is not None:
        admit_learner(state, joining)
    elif is_empty(state):
        answer = JoinAnswered(state.replica_id.folder, joining.folder)
        state.effects.append(SendTo(sender, answer))


def on_join_answered(
    state: ReplicaState, sender: InstanceId, message: JoinAnswered
) -> None:
    """Record that another replica is empty too, if the answer is for this folder.

    An answer to the previous folder of a wiped disk may be outdated: the others may
    have started a cluster since, and counting it would start a second one.
    """
    if not is_empty(state) or message.recipient_folder != state.replica_id.folder:
        return
    if state.config.open_membership:
        # The replicas that answered may not be all. Only the one that receives
        # BootstrapCluster starts the cluster.
        return
    state.empty_peers[sender] = ReplicaId(sender, message.sender_folder)
    bootstrap_if_all_empty(state)


def bootstrap_if_all_empty(state: ReplicaState) -> None:
    """Start the cluster if this is the first instance by name and all are empty.

    Every configured replica must have answered that it is empty: a wiped replica
    finds others that are not, and waits to be added by them instead.
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
    """Start the cluster with this replica as the only voter; others join later."""
    if is_empty(state):
        start_cluster(state, (state.replica_id,))


def request_rejoin_when_due(state: ReplicaState) -> None:
    """Send join requests as a voter without a leader, with open membership.

    The leader may have removed this voter while it was silent. The others then ignore
    its campaigns, and it does not learn of the removal. The leader adds it again, or
    ignores the request of a replica that is still a member.
    """
    if state.config.open_membership and not follows_active_leader(state):
        request_join_when_due(state)


def start_cluster(state: ReplicaState, voters: tuple[ReplicaId, ...]) -> None:
    """Append the first entry of a new cluster, and schedule an election at once."""
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
