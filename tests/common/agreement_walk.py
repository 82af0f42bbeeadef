"""Walk through long random histories of a cluster, a seed for each."""

from random import Random

from common.agreement_cluster import Cluster, Crash, CrashPoint
from cowslipshelf_core.agreement import AddReplica, RemoveReplica

STEPS = 300
CRASH_CHANCE = 0.02
COPY_CHANCE = 0.1
LEADER_CHANCE = 0.8
WEIGHTS = {
    "deliver": 45,
    "tick": 20,
    "run": 5,
    "propose": 15,
    "read": 5,
    "crash": 1,
    "restart": 2,
    "isolate": 1,
    "heal": 1,
    "jump": 1,
    "transfer": 0.5,
    "fail_disk": 0.5,
    "wipe": 1,
    "change": 1,
}


class Walk:
    """Choose what happens to a cluster, mostly useful work, sometimes a fault."""

    def __init__(self, seed: int) -> None:
        self.random = Random(seed)
        choice = self.random.choice
        self.loss = choice([0.0, 0.05, 0.3])
        self.cluster = Cluster.of_size(
            choice([3, 3, 5]),
            seed,
            snapshot_after_entries=choice([3, 8, 1000]),
            entries_kept=choice([0, 2]),
            most_entries_per_message=choice([1, 3]),
            most_bytes_per_message=choice([16, 1000]),
            most_messages_in_flight=choice([1, 3]),
        )

    def run(self) -> Cluster:
        """Take the steps, then repair everything and check the whole."""
        kinds = list(WEIGHTS)
        weights = list(WEIGHTS.values())
        for kind in self.random.choices(kinds, weights, k=STEPS):
            self.step(kind)
        self.cluster.settle()
        return self.cluster

    def crash(self) -> Crash | None:
        if self.random.random() > CRASH_CHANCE:
            return None
        return Crash(self.random.choice(list(CrashPoint)), self.random.randrange(4))

    def instance(self, leader_chance: float) -> str:
        leader = self.cluster.leader()
        if leader is not None and self.random.random() < leader_chance:
            return leader.instance
        return self.random.choice(list(self.cluster.nodes))

    def deliver(self) -> None:
        cluster = self.cluster
        for _ in range(min(self.random.randrange(1, 8), len(cluster.network))):
            late = self.random.random() < 0.4
            position = self.random.randrange(len(cluster.network)) if late else 0
            if self.random.random() < self.loss:
                cluster.drop(position)
            else:
                copied = self.random.random() < COPY_CHANCE
                cluster.deliver(position, copied, self.crash())
            if not cluster.network:
                return

    def step(self, kind: str) -> None:
        cluster = self.cluster
        target = self.instance(LEADER_CHANCE / 2)
        match kind:
            case "deliver":
                self.deliver()
            case "tick":
                cluster.tick(self.random.choice([0.02, 0.1, 0.3]))
            case "run":
                cluster.run(self.random.randrange(1, 6))
            case "propose":
                cluster.propose(self.instance(LEADER_CHANCE), self.crash())
            case "read":
                cluster.read(self.instance(LEADER_CHANCE))
            case "crash":
                cluster.crash(target)
            case "restart":
                for node in cluster.nodes.values():
                    if not node.running:
                        cluster.restart(node.instance)
            case "isolate" if len(cluster.isolated) < len(cluster.nodes) // 2:
                cluster.isolate(target)
            case "heal":
                cluster.heal()
            case "jump":
                cluster.jump(target, self.random.choice([-5, 5, 0.4, -0.4]))
            case "transfer":
                cluster.transfer(target)
            case "fail_disk":
                cluster.fail_disk(target)
            case "wipe" if cluster.is_whole():
                cluster.wipe(target)
            case "change" if cluster.is_whole() and cluster.leader():
                replica = cluster.nodes[target].disk.load().replica_id
                kind = self.random.choice([AddReplica, RemoveReplica])
                cluster.change(cluster.leader().instance, kind(replica))
