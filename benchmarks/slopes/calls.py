"""Measure what a call costs each process, with and without an idempotency key."""

import time
from concurrent.futures import ThreadPoolExecutor
from threading import Thread

import urllib3

from common.daemon_fleet import available, leader
from local_fleet import LocalFleet, Upstream, wait_until
from slopes.daemons import running_fleet
from slopes.fitting import Experiment, Reading
from slopes.processes import (
    MEBIBYTE,
    PERCENT,
    pid_of,
    read_mailbox_counts,
    read_usage,
    usage_between,
)

RATES = (5, 20, 60)
WINDOW_SECONDS = 4.0
SETTLE_SECONDS = 1.0
ENTRIES = 3
CALLERS = 32
MIN_SUCCESS_SHARE = 0.9
CALLER_KEY = "a-measured-customer-key"
PLAIN = Upstream("gate-1", "gate-app", "plain")
GATE_SIDECAR = "gate-1-sidecar"
MILLISECONDS = 1e3
CHANGE = {
    "put_services": [{"name": "gate-app", "kind": "plain"}],
    "put_customers": [
        {"name": "gate", "key": CALLER_KEY, "services": ["gate-app"]},
    ],
}


class PacedCalls:
    """Send calls at a constant rate, independent of how long answers take."""

    def __init__(self, address: str, per_second: int, keys: str) -> None:
        self.address = address
        self.per_second = per_second
        self.keys = keys
        self.http = urllib3.PoolManager(maxsize=CALLERS, retries=False, timeout=20.0)
        self.seconds: list[float] = []
        self.failed: list[int] = []
        self.stopping = False
        self.thread = Thread(target=self.run, daemon=True)

    def run(self) -> None:
        """Send calls until stopped, then wait for the answers."""
        with ThreadPoolExecutor(CALLERS) as pool:
            number = 0
            due = time.monotonic()
            while not self.stopping:
                pool.submit(self.call, number)
                number += 1
                due += 1.0 / self.per_second
                time.sleep(max(0.0, due - time.monotonic()))

    def call(self, number: int) -> None:
        """Send one call and record the time to its complete answer."""
        headers = {"Authorization": f"Bearer {CALLER_KEY}"}
        if self.keys:
            headers["Idempotency-Key"] = f"{self.keys}-{number}"
        began = time.monotonic()
        response = self.http.request(
            "POST",
            f"http://{self.address}/services/gate-app/weigh",
            body=b'{"lorry": 1}',
            headers=headers,
        )
        self.seconds.append(time.monotonic() - began)
        if response.status != 200:
            self.failed.append(response.status)

    def stop(self) -> None:
        """Stop sending; raise if too many calls failed."""
        self.stopping = True
        self.thread.join()
        succeeded = len(self.seconds) - len(self.failed)
        if succeeded < MIN_SUCCESS_SHARE * len(self.seconds):
            raise RuntimeError(f"{len(self.failed)} calls failed: {self.failed[:3]}")


def measure_plain_calls(per_second: int, repeats: int) -> list[list[Reading]]:
    """Measure calls without an idempotency key."""
    return measure_calls(per_second, repeats, claimed=False)


def measure_claimed_calls(per_second: int, repeats: int) -> list[list[Reading]]:
    """Measure calls with an idempotency key, which run at most once."""
    return measure_calls(per_second, repeats, claimed=True)


def measure_calls(per_second: int, repeats: int, claimed: bool) -> list[list[Reading]]:
    """Send calls to a follower and measure all processes involved."""
    with running_fleet(ENTRIES) as fleet:
        fleet.start_upstream(PLAIN)
        fleet.change("gate", CHANGE)
        for name in fleet.entry_names:
            wait_until(
                lambda name=name: len(available(fleet, name)) == 2, "announcements"
            )
        leader_name = leader(fleet)
        contacted, other = [name for name in fleet.entry_names if name != leader_name]
        roles = {
            "entry": contacted,
            "leader": leader_name,
            "follower": other,
            "sidecar": GATE_SIDECAR,
        }
        rounds = []
        for number in range(repeats):
            keys = f"round-{number}" if claimed else ""
            calls = PacedCalls(fleet.callers[contacted], per_second, keys)
            rounds.append(read_calls(fleet, roles, calls))
    return rounds


def read_calls(
    fleet: LocalFleet, roles: dict[str, str], calls: PacedCalls
) -> list[Reading]:
    """Measure the processes of all roles while calls are sent."""
    calls.thread.start()
    time.sleep(SETTLE_SECONDS)
    sent_before = read_mailbox_counts(fleet, roles["leader"])
    before = {role: read_usage(pid_of(fleet, name)) for role, name in roles.items()}
    time.sleep(WINDOW_SECONDS)
    after = {role: read_usage(pid_of(fleet, name)) for role, name in roles.items()}
    sent_after = read_mailbox_counts(fleet, roles["leader"])
    calls.stop()
    readings = []
    for role in roles:
        used = usage_between(before[role], after[role])
        share = used.processor_seconds / used.seconds * PERCENT
        memory = used.resident_bytes / MEBIBYTE
        readings.append(Reading(f"{role}: processor", "% of a core", share))
        readings.append(Reading(f"{role}: memory", "MiB", memory))
    sent_rate = (sent_after.sent_bytes - sent_before.sent_bytes) / WINDOW_SECONDS
    readings.append(Reading("leader: sent", "B/s", sent_rate))
    ordered = sorted(calls.seconds)
    for name, share in (("p50", 0.5), ("p95", 0.95)):
        value = ordered[int(share * len(ordered))] * MILLISECONDS
        readings.append(Reading(f"whole answer {name}", "ms", value))
    return readings


EXPERIMENTS = (
    Experiment("plain calls", "call a second", RATES, measure_plain_calls),
    Experiment("claimed calls", "call a second", RATES, measure_claimed_calls),
)
