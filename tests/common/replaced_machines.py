"""Run an open cluster on machines that are cut off, restarted, wiped and replaced."""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import NamedTuple, Self

from common.agreement_cluster import Cluster
from common.agreement_node import Node
from cowslipshelf_core.agreement import BootstrapCluster, ReplicasSeen
from cowslipshelf_core.identifiers import InstanceId

TICK_SECONDS = 0.1
GOSSIP_SECONDS = 0.5
SILENCE_SECONDS = 3.0
CATCH_UP_SECONDS = 4.0
"""Time for which a machine still counts as lost after it is back, or is new."""
RECOVERY_SECONDS = 12.0
JOIN_SECONDS = 6.0
LEAVING_SECONDS = 1.0
"""Time between the announcement of a planned end and the end."""


class Cut(NamedTuple):
    """Cut a machine off from all others for some seconds."""

    target: int
    seconds: float


class Pause(NamedTuple):
    """Let a process stand still for some seconds."""

    target: int
    seconds: float


class Restart(NamedTuple):
    """End a process, with or without a signal before, and start it again."""

    target: int
    seconds: float
    planned: bool


class Wipe(NamedTuple):
    """Lose a machine's disk, and start it with an empty one."""

    target: int
    seconds: float


class Replace(NamedTuple):
    """Remove a machine for good; a planned successor starts before it ends."""

    target: int
    seconds: float
    planned: bool


class Split(NamedTuple):
    """Split the machines into two halves, whatever else is lost."""

    seconds: float


class KillAll(NamedTuple):
    """End all processes at the same moment, whatever else is lost."""

    seconds: float


Fault = Cut | Pause | Restart | Wipe | Replace | Split | KillAll


@dataclass
class Machines:
    """Apply faults to a cluster, and never lose more machines than it tolerates."""

    cluster: Cluster
    tolerance: int
    now: float = 0.0
    heard: dict[tuple[InstanceId, InstanceId], float] = field(default_factory=dict)
    """When the first instance last heard that the second one is alive."""
    seen: dict[InstanceId, ReplicasSeen] = field(default_factory=dict)
    leaving: set[InstanceId] = field(default_factory=set)
    running: list[InstanceId] = field(default_factory=list)
    """Machines that are not removed for good, by their age."""
    lost_until: list[float] = field(default_factory=list)
    suspended_until: float = 0.0
    """When the last split or end of all processes is over."""
    due: list[tuple[float, Callable[[], None]]] = field(default_factory=list)

    @classmethod
    def started(cls, size: int, tolerance: int, seed: int) -> Self:
        """Start a cluster at its first machine, and let the others join."""
        cluster = Cluster.of_size(
            size,
            seed,
            open_membership=True,
            max_failures=tolerance,
            heartbeat_seconds=0.25,
            election_seconds=1.0,
            lease_seconds=1.0,
        )
        machines = cls(cluster, tolerance, running=list(cluster.nodes))
        cluster.step(machines.running[0], [BootstrapCluster()])
        machines.advance(JOIN_SECONDS)
        assert machines.voters() == set(machines.running)
        return machines

    def voters(self) -> set[InstanceId]:
        """Return the instances that vote, as the leader knows them."""
        leader = self.cluster.leader()
        if leader is None:
            return set()
        status = leader.replica.status()
        return {voter.instance for voter in status.membership.voters}

    def learners(self) -> set[InstanceId]:
        """Return the instances that don't vote yet, as the leader knows them."""
        leader = self.cluster.leader()
        if leader is None:
            return set()
        status = leader.replica.status()
        return {learner.instance for learner in status.membership.learners}

    def advance(self, seconds: float) -> None:
        """Let time pass, with gossip among the machines that reach each other."""
        for _ in range(round(seconds / TICK_SECONDS)):
            self.now += TICK_SECONDS
            for step in [each for each in self.due if each[0] <= self.now]:
                self.due.remove(step)
                step[1]()
            if self.now % GOSSIP_SECONDS < TICK_SECONDS:
                self.gossip()
            self.cluster.run(1, TICK_SECONDS)

    def gossip(self) -> None:
        """Let each machine hear the others, and tell its replica."""
        reached = [
            instance for instance in self.cluster.nodes if self.is_sound(instance)
        ]
        split = self.cluster.split
        for observer in reached:
            for peer in reached:
                if (observer in split) == (peer in split):
                    self.heard[observer, peer] = self.now
        for observer in self.cluster.nodes:
            if self.runs(observer) and observer not in self.cluster.paused:
                self.tell(observer)

    def tell(self, observer: InstanceId) -> None:
        """Tell a replica which others its machine has heard, and when."""
        times = {peer: at for (one, peer), at in self.heard.items() if one == observer}
        holders = {peer for peer in times if peer not in self.leaving}
        silent = {peer for peer in holders if self.now - times[peer] > SILENCE_SECONDS}
        seen = ReplicasSeen(
            tuple(sorted(holders | {observer} - self.leaving)),
            frozenset(silent - {observer}),
            frozenset(times.keys() & self.leaving - {observer}),
        )
        if self.seen.get(observer) != seen:
            self.seen[observer] = seen
            self.cluster.step(observer, [seen])

    def lose(self, seconds: float) -> None:
        """Wait until one more machine may be lost, and count it for some seconds."""
        while sum(until > self.now for until in self.lost_until) >= self.tolerance:
            self.advance(TICK_SECONDS)
        back = max(self.now + seconds, self.suspended_until)
        self.lost_until.append(back + CATCH_UP_SECONDS)

    def suspend(self, seconds: float) -> None:
        """Count lost machines for longer, since none can catch up meanwhile."""
        self.suspended_until = max(self.suspended_until, self.now + seconds)
        caught_up = self.suspended_until + CATCH_UP_SECONDS
        self.lost_until = [
            max(until, caught_up) for until in self.lost_until if until > self.now
        ]

    def later(self, seconds: float, step: Callable[[], None]) -> None:
        """Call a function without arguments after some seconds."""
        self.due.append((self.now + seconds, step))

    def apply(self, fault: Fault) -> None:
        """Apply one fault, as soon as one more machine may be lost."""
        match fault:
            case Cut(target, seconds):
                self.lose(seconds)
                cut = self.choose(target)
                self.cluster.isolate(cut)
                self.later(seconds, lambda: self.cluster.isolated.discard(cut))
            case Pause(target, seconds):
                self.lose(seconds)
                paused = self.choose(target)
                self.cluster.paused.add(paused)
                self.later(seconds, lambda: self.cluster.paused.discard(paused))
            case Restart(target, seconds, planned):
                self.lose(seconds)
                ended = self.choose(target)
                self.end(ended, planned)
                self.later(seconds, lambda: self.start(ended))
            case Wipe(target, seconds):
                self.lose(seconds)
                wiped = self.choose(target)
                self.cluster.wipe(wiped)
                self.later(seconds, lambda: self.start(wiped))
            case Replace(target, seconds, planned=True):
                self.add()
                begins = max(self.now + seconds, self.suspended_until)
                self.advance(begins + CATCH_UP_SECONDS - self.now)
                replaced = self.choose(target)
                self.running.remove(replaced)
                self.end(replaced, planned=True)
            case Replace(target, seconds):
                self.lose(seconds)
                replaced = self.choose(target)
                self.running.remove(replaced)
                self.end(replaced, planned=False)
                self.later(seconds, self.add)
            case Split(seconds):
                self.suspend(seconds)
                self.cluster.split = set(self.running[::2])
                self.later(seconds, self.cluster.split.clear)
            case KillAll(seconds):
                self.suspend(seconds)
                killed = [each for each in self.running if self.runs(each)]
                for instance in killed:
                    self.cluster.crash(instance)
                self.later(seconds, lambda: [self.start(each) for each in killed])

    def runs(self, instance: InstanceId) -> bool:
        """Return whether a machine's process runs."""
        return self.cluster.nodes[instance].running

    def choose(self, target: int) -> InstanceId:
        """Return the leader for zero, else a machine that runs, by its age."""
        while not (sound := [each for each in self.running if self.is_sound(each)]):
            self.advance(TICK_SECONDS)
        leader = self.cluster.leader()
        if target == 0 and leader is not None and leader.instance in sound:
            return leader.instance
        return sound[target % len(sound)]

    def is_sound(self, instance: InstanceId) -> bool:
        """Return whether a machine runs, and is neither cut off nor paused."""
        hindered = self.cluster.isolated | self.cluster.paused
        return self.runs(instance) and instance not in hindered

    def end(self, instance: InstanceId, planned: bool) -> None:
        """End a process; a planned end is announced shortly before."""
        if planned:
            self.leaving.add(instance)
            self.cluster.transfer(instance)
            self.advance(LEAVING_SECONDS)
        self.cluster.crash(instance)

    def start(self, instance: InstanceId) -> None:
        """Start a process, which knows no other machine yet."""
        self.leaving.discard(instance)
        self.seen.pop(instance, None)
        for pair in [pair for pair in self.heard if pair[0] == instance]:
            del self.heard[pair]
        self.cluster.restart(instance)

    def add(self) -> None:
        """Start a new machine with an empty disk."""
        added = InstanceId(f"entry-{len(self.cluster.nodes)}")
        nodes = self.cluster.nodes
        clock = next(iter(nodes.values())).clock
        nodes[added] = Node(added, self.cluster.new_disk(added), clock=clock)
        self.running.append(added)
        self.start(added)

    def check_recovered(self) -> None:
        """Check that all machines vote, no other does, and nothing is lost."""
        while self.due:
            self.advance(TICK_SECONDS)
        self.advance(RECOVERY_SECONDS)
        assert self.voters() == set(self.running)
        self.cluster.acknowledge()
        self.advance(1.0)
        self.cluster.check_outcomes()
