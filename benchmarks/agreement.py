"""Measure consensus replicas: commits, catch-up, fail-over and idle cost.

Three replicas run as threads of one process, each with its own data folder, and pass
encoded messages through queues. The results include the decisions, the codec and the
disk, but no network. Run it with the packages' `src` folders and `tests` on the Python
path; the result goes to standard output as JSON.
"""

import argparse
import json
import statistics
import sys
import tempfile
import threading
import time
from pathlib import Path
from queue import Empty, SimpleQueue
from random import Random

import msgspec

from common.agreement_cluster import Cluster
from cowslipshelf_core.agreement import (
    AgreementMessage,
    CommandProposed,
    Committed,
    InstallState,
    PeerMessageArrived,
    Persist,
    Replica,
    ReplicaConfig,
    SaveSnapshot,
    SendTo,
    SnapshotTaken,
    SnapshotWanted,
    TickElapsed,
)
from cowslipshelf_core.identifiers import InstanceId
from cowslipshelf_host.storage import ReplicaStorage, ReplicaStorageConfig

INSTANCES = tuple(InstanceId(f"entry-{n}") for n in range(3))
OUTSTANDING = (1, 8, 64)
COMMAND = b"c" * 200
TICK_SECONDS = 0.02
MISSED_ENTRIES = 5000
FAIL_OVER_SEEDS = 200
FAIL_OVER_TICK_SECONDS = 0.01
IDLE_HEARTBEATS = 20_000
WAIT_TIMEOUT_SECONDS = 60.0

ENCODER = msgspec.msgpack.Encoder()
DECODER = msgspec.msgpack.Decoder(AgreementMessage)


class ReplicaThread:
    """Run one replica in a thread, as the daemon's actor does."""

    def __init__(self, instance: InstanceId, folder: Path, peers: dict) -> None:
        self.instance = instance
        self.folder = folder
        self.peers = peers
        self.inbox = SimpleQueue()
        self.on_commit = None
        self.stopping = threading.Event()
        self.applied = 0
        self.syncs = 0
        self.thread = None
        self.replica = None

    def start(self) -> None:
        """Load the data folder and start the thread."""
        self.inbox = SimpleQueue()
        self.stopping.clear()
        config = ReplicaStorageConfig(self.folder, self.instance)
        self.storage = ReplicaStorage.from_config(config).unwrap()
        stored = self.storage.load().unwrap()
        config = ReplicaConfig(replica_instances=INSTANCES, lease_seconds=2.0)
        config = config._replace(election_seconds=1.0)
        self.applied = stored.snapshot.index if stored.snapshot else 0
        self.replica = Replica.from_config(config, stored)
        self.thread = threading.Thread(target=self.run, daemon=True)
        self.thread.start()

    def stop(self) -> None:
        """Stop the thread and close the data folder."""
        self.stopping.set()
        self.thread.join()
        self.storage.close()

    def run(self) -> None:
        """Handle batches of events until stopped."""
        random = Random(self.instance)
        next_tick = 0.0
        while not self.stopping.is_set():
            events = self.drain(next_tick - time.monotonic())
            now = time.monotonic()
            if now >= next_tick:
                events.append(TickElapsed())
                next_tick = now + TICK_SECONDS
            self.handle(events, now, random)

    def drain(self, wait: float) -> list:
        """Wait for an event, then return all that are queued."""
        events = []
        try:
            events.append(self.inbox.get(timeout=max(wait, 0.0001)))
            while True:
                events.append(self.inbox.get_nowait())
        except Empty:
            return [self.decode_event(event) for event in events]

    def decode_event(self, event):
        """Decode an event if it is a message from another replica."""
        if isinstance(event, tuple):
            return PeerMessageArrived(event[0], DECODER.decode(event[1]))
        return event

    def handle(self, events: list, now: float, random: Random) -> None:
        """Handle events, persist and sync, then perform the other effects."""
        effects = self.replica.handle_batch(events, now, random)
        durable = [e for e in effects if isinstance(e, Persist | SaveSnapshot)]
        before_sync = [e for e in effects if isinstance(e, SendTo) and e.before_sync]
        for effect in before_sync:
            self.perform(effect, now, random)
        if durable:
            self.storage.write(durable)
            self.storage.sync()
            self.syncs += 1
        for effect in effects:
            if not isinstance(effect, SendTo) or not effect.before_sync:
                self.perform(effect, now, random)

    def perform(self, effect, now: float, random: Random) -> None:
        """Perform one effect."""
        match effect:
            case SendTo(instance, message):
                data = ENCODER.encode(message)
                self.peers[instance].inbox.put((self.instance, data))
            case Committed(index, entry):
                self.applied = index
                if self.on_commit is not None and entry.proposal_id:
                    self.on_commit(entry.proposal_id)
            case InstallState(_, index):
                self.applied = index
            case SnapshotWanted(index):
                self.handle([SnapshotTaken(index, b"s" * 1000)], now, random)


class ReplicaTrio:
    """Run three replicas with data folders in one folder."""

    def __init__(self, folder: Path) -> None:
        self.replicas = {}
        for instance in INSTANCES:
            replica = ReplicaThread(instance, folder / instance, self.replicas)
            self.replicas[instance] = replica
        for replica in self.replicas.values():
            replica.start()

    def leader(self) -> ReplicaThread:
        """Wait for a leader that has committed an entry of its term."""
        while True:
            for replica in self.replicas.values():
                status = replica.replica.status()
                committed_all = status.commit_index == status.last_index > 0
                if status.role == "leader" and committed_all:
                    return replica
            time.sleep(0.01)

    def stop(self) -> None:
        """Stop all replicas."""
        for replica in self.replicas.values():
            replica.stop()


def measure_commits(trio: ReplicaTrio, outstanding: int, seconds: float) -> dict:
    """Keep a number of proposals outstanding and count the commits."""
    leader = trio.leader()
    started = {}
    latencies = []

    def propose() -> None:
        proposal_id = f"{outstanding}-{len(started)}"
        started[proposal_id] = time.perf_counter()
        leader.inbox.put(CommandProposed(proposal_id, COMMAND, time.time()))

    def committed(proposal_id: str) -> None:
        if proposal_id in started:
            latencies.append(time.perf_counter() - started[proposal_id])
            propose()

    leader.on_commit = committed
    syncs = leader.syncs
    begin = time.perf_counter()
    for _ in range(outstanding):
        propose()
    time.sleep(seconds)
    leader.on_commit = None
    took = time.perf_counter() - begin
    count = len(latencies)
    latencies.sort()
    return {
        "outstanding": outstanding,
        "commits_per_second": round(count / took, 1),
        "latency_ms_p50": round(latencies[count // 2] * 1e3, 2),
        "latency_ms_p99": round(latencies[count * 99 // 100] * 1e3, 2),
        "commits_per_leader_sync": round(count / max(1, leader.syncs - syncs), 2),
    }


def measure_catch_up(trio: ReplicaTrio) -> dict:
    """Stop a follower, commit entries, and time its restart and catch-up."""
    leader = trio.leader()
    stopped = next(r for r in trio.replicas.values() if r is not leader)
    stopped.stop()
    target = leader.replica.status().last_index + MISSED_ENTRIES
    for number in range(MISSED_ENTRIES):
        leader.inbox.put(CommandProposed(f"missed-{number}", COMMAND, time.time()))
        if number % 500 == 0:
            time.sleep(0.05)
    wait_until(lambda: leader.applied >= target)
    begin = time.perf_counter()
    stopped.start()
    loaded = time.perf_counter()
    wait_until(lambda: stopped.applied >= target)
    took = time.perf_counter() - begin
    return {
        "entries": MISSED_ENTRIES,
        "load_seconds": round(loaded - begin, 3),
        "seconds_per_1000_entries": round(took * 1000 / MISSED_ENTRIES, 4),
    }


def wait_until(condition) -> None:
    """Poll a condition; exit if it is not met in time."""
    end = time.monotonic() + WAIT_TIMEOUT_SECONDS
    while not condition():
        if time.monotonic() > end:
            sys.exit("a measured condition was never reached")
        time.sleep(0.002)


def measure_fail_over() -> dict:
    """Crash the leaders of simulated clusters, and measure the fail-over.

    Each message takes one tick.
    """
    times = []
    for seed in range(FAIL_OVER_SEEDS):
        cluster = Cluster.of_size(3, seed)
        cluster.run_until(cluster.is_settled)
        cluster.run(Random(seed).randrange(20), FAIL_OVER_TICK_SECONDS)
        cluster.crash(cluster.leader().instance)
        ticks = 0
        while True:
            cluster.run(1, FAIL_OVER_TICK_SECONDS)
            ticks += 1
            leader = cluster.leader()
            if leader and leader.replica.status().commit_index in cluster.committed:
                status = leader.replica.status()
                if status.commit_index == status.last_index:
                    break
        times.append(ticks * FAIL_OVER_TICK_SECONDS)
    times.sort()
    return {
        "runs": FAIL_OVER_SEEDS,
        "simulated_seconds_median": round(statistics.median(times), 3),
        "simulated_seconds_p99": round(times[len(times) * 99 // 100], 3),
        "simulated_seconds_worst": round(times[-1], 3),
    }


def measure_idle() -> dict:
    """Measure the size of a heartbeat and its answer, and the follower's time."""
    cluster = Cluster.of_size(3)
    cluster.run_until(cluster.is_settled)
    leader = cluster.leader()
    follower = next(n for n in cluster.nodes.values() if n is not leader)
    cluster.run(5)
    cluster.network.clear()
    cluster.tick(ReplicaConfig(INSTANCES).heartbeat_seconds)
    heartbeat = next(m for m in cluster.network if m.recipient == follower.instance)
    cluster.deliver(cluster.network.index(heartbeat))
    answer = next(m for m in cluster.network if m.sender == follower.instance)
    message = PeerMessageArrived(leader.instance, DECODER.decode(heartbeat.data))
    begin = time.process_time()
    for _ in range(IDLE_HEARTBEATS):
        follower.replica.handle_batch(
            [TickElapsed(), message], follower.clock, cluster.random
        )
    took = time.process_time() - begin
    return {
        "heartbeat_bytes": len(heartbeat.data),
        "answer_bytes": len(answer.data),
        "follower_microseconds_per_heartbeat": round(took * 1e6 / IDLE_HEARTBEATS, 2),
    }


def main() -> None:
    """Run all measurements and print the result."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=4.0)
    parser.add_argument("--folder", type=Path, help="on the disk to be measured")
    arguments = parser.parse_args()
    with tempfile.TemporaryDirectory(dir=arguments.folder) as name:
        trio = ReplicaTrio(Path(name))
        commits = [measure_commits(trio, n, arguments.seconds) for n in OUTSTANDING]
        catch_up = measure_catch_up(trio)
        trio.stop()
    result = {
        "command": "benchmarks/agreement.py",
        "seconds": arguments.seconds,
        "commits": commits,
        "catch_up": catch_up,
        "fail_over": measure_fail_over(),
        "idle": measure_idle(),
    }
    print(json.dumps(result, indent=2))


if __name__ == "__main__":
    main()
