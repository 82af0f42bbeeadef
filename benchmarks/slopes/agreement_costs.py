"""Measure commits that sync to disk, and heartbeats between replicas."""

import tempfile
from pathlib import Path
from time import process_time

from agreement import ReplicaTrio, measure_commits, measure_idle

from slopes.decision_costs import MICROSECONDS
from slopes.fitting import Experiment, Reading

SECONDS = 1.5
OUTSTANDING = (1, 8, 64, 256)
MILLISECONDS = 1e3


def measure_commit_rate(outstanding: int, repeats: int) -> list[list[Reading]]:
    """Keep a number of proposals outstanding at the leader of three replicas."""
    with tempfile.TemporaryDirectory() as name:
        trio = ReplicaTrio(Path(name))
        rounds = [read_commits(trio, outstanding) for _ in range(repeats)]
        trio.stop()
    return rounds


def read_commits(trio: ReplicaTrio, outstanding: int) -> list[Reading]:
    """Measure once; the processor time covers all three replicas."""
    began = process_time()
    figures = measure_commits(trio, outstanding, SECONDS)
    spent = process_time() - began
    rate = figures["commits_per_second"]
    return [
        Reading("commits", "1/s", rate),
        Reading("latency p50", "ms", figures["latency_ms_p50"]),
        Reading("latency p99", "ms", figures["latency_ms_p99"]),
        Reading("commits in one sync", "", figures["commits_per_leader_sync"]),
        Reading("three replicas", "us each", spent / SECONDS / rate * MICROSECONDS),
    ]


def measure_heartbeat(_: int, repeats: int) -> list[list[Reading]]:
    """Measure a heartbeat's size and the follower's time to handle it."""
    rounds = []
    for _ in range(repeats):
        figures = measure_idle()
        cost = figures["follower_microseconds_per_heartbeat"]
        rounds.append(
            [
                Reading("heartbeat", "B", figures["heartbeat_bytes"]),
                Reading("answer", "B", figures["answer_bytes"]),
                Reading("follower's decision", "us", cost),
            ]
        )
    return rounds


EXPERIMENTS = (
    Experiment("commits", "proposal under way", OUTSTANDING, measure_commit_rate),
    Experiment("replica heartbeat", "replica", (3,), measure_heartbeat),
)
