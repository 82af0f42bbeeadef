"""Run long random histories of a cluster, one per seed."""

from collections.abc import Callable
from random import Random

from common.agreement_cluster import Cluster
from common.agreement_machine import AgreementMachine
from common.agreement_node import Crash, CrashPoint, MemoryDisk

STEPS = 300
CRASH_CHANCE = 0.02
COPY_CHANCE = 0.1
LATE_CHANCE = 0.4
LEADER_CHANCE = 0.8


def crash(random: Random) -> Crash | None:
    if random.random() > CRASH_CHANCE:
        return None
    return Crash(random.choice(list(CrashPoint)), random.randrange(4))


def anywhere(random: Random) -> int:
    return random.randrange(10_000)


def at_leader(random: Random) -> bool:
    return random.random() < LEADER_CHANCE


def at_times(random: Random) -> bool:
    return random.random() < LEADER_CHANCE / 2


ACTIONS = {
    "let_time_pass": (20, lambda r: [r.choice([0.02, 0.1, 0.3])]),
    "let_messages_through": (8, lambda r: [r.randrange(1, 6)]),
    "propose": (15, lambda r: [anywhere(r), at_leader(r), 0, crash(r)]),
    "read": (5, lambda r: [anywhere(r), at_leader(r)]),
    "crash": (1, lambda r: [anywhere(r), at_times(r)]),
    "restart_all": (2, lambda _: []),
    "isolate": (1, lambda r: [anywhere(r), at_times(r)]),
    "heal": (1, lambda _: []),
    "jump": (1, lambda r: [anywhere(r), r.choice([-5, 5, 0.4, -0.4])]),
    "transfer": (0.5, lambda r: [anywhere(r)]),
    "fail_disk": (0.5, lambda r: [anywhere(r)]),
    "wipe": (1, lambda r: [anywhere(r), at_times(r)]),
    "change_membership": (1, lambda r: [anywhere(r), r.random() < 0.5]),
    "exchange": (45, None),
}
WORK = {
    "let_time_pass",
    "let_messages_through",
    "propose",
    "read",
    "restart_all",
    "heal",
    "exchange",
}


class RandomWalk:
    """Apply random actions to a cluster, mostly useful work and some faults."""

    def __init__(self, seed: int, make_disk: Callable = MemoryDisk) -> None:
        self.random = Random(seed)
        choice = self.random.choice
        self.loss = choice([0.0, 0.02, 0.2])
        self.faults = choice([0.2, 1.0])
        self.machine = AgreementMachine()
        self.machine.start(
            size=choice([3, 3, 5]),
            seed=seed,
            snapshot_after=choice([3, 8, 1000]),
            kept=choice([0, 2]),
            entries=choice([1, 3]),
            size_bytes=choice([16, 1000]),
            bootstrapped=choice([True, True, False]),
            make_disk=make_disk,
        )

    def run(self) -> Cluster:
        """Run all steps, end all faults, and check the cluster."""
        weights = [
            weight if action in WORK else weight * self.faults
            for action, (weight, _) in ACTIONS.items()
        ]
        for action in self.random.choices(list(ACTIONS), weights, k=STEPS):
            if action == "exchange":
                self.exchange()
            else:
                getattr(self.machine, action)(*ACTIONS[action][1](self.random))
        self.machine.teardown()
        return self.machine.cluster

    def exchange(self) -> None:
        """Deliver some messages, mostly in order, and lose or duplicate a few."""
        network = self.machine.cluster.network
        for _ in range(self.random.randrange(1, 8)):
            late = self.random.random() < LATE_CHANCE
            position = anywhere(self.random) if late else 0
            if network and self.random.random() < self.loss:
                self.machine.lose_messages(position, 1)
            else:
                copied = self.random.random() < COPY_CHANCE
                self.machine.deliver(position, copied, crash(self.random))
