"""Let Hypothesis choose events and faults for a cluster of replicas."""

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, rule

from common.agreement_cluster import Cluster
from common.agreement_node import Crash, CrashPoint, MemoryDisk
from cowslipshelf_core.agreement import AddReplica, RemoveReplica

POSITIONS = st.integers(0, 10_000)
CRASHES = st.none() | st.builds(
    Crash, st.sampled_from(CrashPoint), st.integers(min_value=0, max_value=3)
)


class AgreementMachine(RuleBasedStateMachine):
    """Apply commands and faults to a cluster, which checks itself at each step."""

    cluster: Cluster

    @initialize(
        size=st.sampled_from([3, 5]),
        seed=st.integers(0, 1000),
        snapshot_after=st.sampled_from([3, 1000]),
        kept=st.integers(0, 2),
        entries=st.integers(1, 3),
        size_bytes=st.sampled_from([8, 1000]),
        bootstrapped=st.booleans(),
        make_disk=st.just(MemoryDisk),
    )
    def start(
        self,
        size,
        seed,
        snapshot_after,
        kept,
        entries,
        size_bytes,
        bootstrapped,
        make_disk,
    ):
        self.cluster = Cluster.of_size(
            size,
            seed,
            snapshot_after_entries=snapshot_after,
            entries_kept=kept,
            max_entries_per_message=entries,
            max_bytes_per_message=size_bytes,
            max_messages_in_flight=2,
            make_disk=make_disk,
        )
        if bootstrapped:
            self.cluster.run_until(self.cluster.is_settled)

    def instance(self, position):
        return sorted(self.cluster.nodes)[position % len(self.cluster.nodes)]

    def target(self, position, prefer_leader):
        leader = self.cluster.leader()
        chosen = prefer_leader and leader is not None
        return leader.instance if chosen else self.instance(position)

    @rule(seconds=st.sampled_from([0.02, 0.1, 0.3]))
    def let_time_pass(self, seconds):
        self.cluster.tick(seconds)

    @rule(rounds=st.integers(1, 8))
    def let_messages_through(self, rounds):
        self.cluster.run(rounds)

    @rule(position=POSITIONS, keep=st.booleans(), crash=CRASHES)
    def deliver(self, position, keep, crash):
        if self.cluster.network:
            position %= len(self.cluster.network)
            self.cluster.deliver(position, keep, crash)

    @rule(first=POSITIONS, count=st.integers(1, 6))
    def lose_messages(self, first, count):
        for _ in range(min(count, len(self.cluster.network))):
            self.cluster.drop(first % len(self.cluster.network))

    @rule(
        position=POSITIONS,
        prefer_leader=st.booleans(),
        count=st.integers(0, 3),
        crash=CRASHES,
    )
    def propose(self, position, prefer_leader, count, crash):
        target = self.target(position, prefer_leader)
        for _ in range(count):
            self.cluster.propose(target)
        self.cluster.propose(target, crash)

    @rule(position=POSITIONS, prefer_leader=st.booleans())
    def read(self, position, prefer_leader):
        self.cluster.read(self.target(position, prefer_leader))

    @rule(position=POSITIONS, prefer_leader=st.booleans())
    def crash(self, position, prefer_leader):
        self.cluster.crash(self.target(position, prefer_leader))

    @rule()
    def restart_all(self):
        for node in self.cluster.nodes.values():
            if not node.running:
                self.cluster.restart(node.instance)

    @rule(position=POSITIONS)
    def fail_disk(self, position):
        self.cluster.fail_disk(self.instance(position))

    @rule(position=POSITIONS, prefer_leader=st.booleans())
    def isolate(self, position, prefer_leader):
        if len(self.cluster.isolated) < len(self.cluster.nodes) // 2:
            self.cluster.isolate(self.target(position, prefer_leader))

    @rule()
    def heal(self):
        self.cluster.heal()

    @rule(position=POSITIONS, seconds=st.sampled_from([-5.0, -0.4, 0.4, 5.0]))
    def jump(self, position, seconds):
        self.cluster.jump(self.instance(position), seconds)

    @rule(position=POSITIONS)
    def transfer(self, position):
        self.cluster.transfer(self.instance(position))

    @rule(position=POSITIONS, prefer_leader=st.booleans())
    def wipe(self, position, prefer_leader):
        if self.cluster.is_fully_replicated():
            self.cluster.wipe(self.target(position, prefer_leader))

    @rule(position=POSITIONS, add=st.booleans())
    def change_membership(self, position, add):
        leader = self.cluster.leader()
        if leader is not None and self.cluster.is_fully_replicated():
            replica = self.cluster.replica_of(self.instance(position))
            change = AddReplica(replica) if add else RemoveReplica(replica)
            self.cluster.change(leader.instance, change)

    def teardown(self):
        if hasattr(self, "cluster"):
            self.cluster.settle()
