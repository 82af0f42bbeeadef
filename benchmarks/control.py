"""Measure time, memory and snapshot size of the control state, as JSON.

Run it with the packages on the path: `python benchmarks/control.py`.
"""

import argparse
import gc
import hashlib
import json
import resource
import time
from collections.abc import Callable
from typing import NamedTuple

import msgspec

from cowslipshelf_core.configuration import Customer, Model, Service
from cowslipshelf_core.control import (
    Change,
    ConfirmPlan,
    ControlState,
    RecordPlan,
    WantedState,
    decode_command,
    encode_command,
)
from cowslipshelf_core.messages import ClaimAsked, ClaimFinished, Message, StoredAnswer

START = 1_800_000_000.0
DEADLINE_SECONDS = 120.0
ANSWER_BYTES = 200
CUSTOMERS = 1_900
MODELS = 4
CHANGES = 2_000
KIBIBYTE = 1024


class ClaimCosts(NamedTuple):
    """Hold the costs of a number of claims."""

    claims: int
    applied_per_second: float
    """Commands, two per claim, including decoding."""
    memory_bytes_per_claim: float
    snapshot_bytes_per_claim: float
    snapshot_encode_seconds: float
    snapshot_decode_seconds: float
    longest_apply_seconds: float


class ChangeCosts(NamedTuple):
    """Hold the costs of changes at a number of customers."""

    customers: int
    changes: int
    changes_per_second: float
    """Changes of one customer's weight, planned and confirmed, including decoding."""
    configuration_bytes_per_customer: float
    first_plan_bytes_per_customer: float
    """Snapshot bytes left by the plan that added all customers."""
    snapshot_bytes_per_change: float
    memory_bytes_per_change: float


def resident_bytes() -> int:
    """Return the resident memory of this process, after a garbage collection."""
    gc.collect()
    with open("/proc/self/statm", encoding="ascii") as status:
        pages = int(status.read().split()[1])
    return pages * resource.getpagesize()


def measure_seconds(work: Callable[[], object]) -> float:
    """Return the seconds that a function takes."""
    begin = time.perf_counter()
    work()
    return time.perf_counter() - begin


def claim_commands(number: int) -> tuple[Message, Message]:
    """Build the commands that claim and finish one request."""
    digest = hashlib.sha256(str(number).encode()).hexdigest()
    request, attempt = f"request-{digest[:26]}", f"attempt-{digest[26:52]}"
    customer, key = f"customer-{number % CUSTOMERS:04}", f"payment-line-{number:09}"
    asked = ClaimAsked(
        customer,
        key,
        request,
        attempt,
        f"coruche-hall-gate-{number % 50:03}",
        digest[:16],
        f"coruche-hall-entry-{number % 4}",
        digest,
        DEADLINE_SECONDS,
    )
    answer = StoredAnswer(
        200,
        (("content-type", "application/json"),),
        digest.encode() * (ANSWER_BYTES // len(digest)),
        whole=True,
    )
    return asked, ClaimFinished(customer, key, request, attempt, answer, None)


def measure_claims(count: int) -> ClaimCosts:
    """Claim and finish a number of keys within one retention period."""
    state = ControlState()
    before = resident_bytes()
    elapsed = 0.0
    longest = 0.0
    for number in range(count):
        for command in claim_commands(number):
            data = encode_command(command)
            index = state.applied_index + 1
            at = START + number / count
            begin = time.perf_counter()
            state.apply(decode_command(data), index, at)
            took = time.perf_counter() - begin
            elapsed += took
            longest = max(longest, took)
    memory = resident_bytes() - before
    snapshot = state.to_snapshot()
    return ClaimCosts(
        claims=count,
        applied_per_second=round(2 * count / elapsed),
        memory_bytes_per_claim=round(memory / count),
        snapshot_bytes_per_claim=round(len(snapshot) / count),
        snapshot_encode_seconds=round(measure_seconds(state.to_snapshot), 4),
        snapshot_decode_seconds=round(
            measure_seconds(lambda: ControlState.from_snapshot(snapshot)), 4
        ),
        longest_apply_seconds=round(longest, 5),
    )


def customer(number: int, weight: int) -> Customer:
    """Build one customer."""
    digest = hashlib.sha256(f"customer {number}".encode()).hexdigest()
    return Customer(f"customer-{number:04}", digest, ("assist-llm",), weight)


def measure_changes(customers: int, changes: int) -> ChangeCosts:
    """Change one of many customers at a time."""
    state = ControlState()
    models = tuple(Model(f"model-{number}", "1") for number in range(MODELS))
    services = (Service("assist-llm", "model", tuple(model.name for model in models)),)
    all_customers = tuple(customer(number, 1) for number in range(customers))
    apply_change(state, WantedState(all_customers, services, models), "first")
    base_bytes = len(state.to_snapshot())
    configuration_bytes = len(msgspec.msgpack.encode(state.configuration))
    before = resident_bytes()

    def change_all() -> None:
        for number in range(changes):
            changed = customer(number % customers, 2 + number // customers)
            apply_change(state, Change(put_customers=(changed,)), f"change-{number}")

    elapsed = measure_seconds(change_all)
    memory = resident_bytes() - before
    snapshot_growth = len(state.to_snapshot()) - base_bytes
    return ChangeCosts(
        customers=customers,
        changes=changes,
        changes_per_second=round(changes / elapsed),
        configuration_bytes_per_customer=round(configuration_bytes / customers),
        first_plan_bytes_per_customer=round(
            (base_bytes - configuration_bytes) / customers
        ),
        snapshot_bytes_per_change=round(snapshot_growth / changes),
        memory_bytes_per_change=round(memory / changes),
    )


def apply_change(
    state: ControlState, change: Change | WantedState, change_id: str
) -> None:
    """Plan and confirm a change, with commands encoded as in the log."""
    version = state.configuration.version
    command = RecordPlan(change_id, "rita", version, change)
    plan = state.apply(
        decode_command(encode_command(command)), state.applied_index + 1, START
    ).plan
    confirm = ConfirmPlan(plan.plan_id, "rita", change_id)
    state.apply(decode_command(encode_command(confirm)), state.applied_index + 1, START)


def main() -> None:
    """Print the result."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--claims", type=int, nargs="+", default=[10_000, 50_000])
    parser.add_argument("--customers", type=int, nargs="+", default=[10, CUSTOMERS])
    parser.add_argument("--changes", type=int, default=CHANGES)
    arguments = parser.parse_args()
    result = {
        "changes": [
            measure_changes(count, arguments.changes)._asdict()
            for count in arguments.customers
        ],
        "claims": [measure_claims(count)._asdict() for count in arguments.claims],
        "most_resident_bytes": KIBIBYTE
        * resource.getrusage(resource.RUSAGE_SELF).ru_maxrss,
    }
    print(json.dumps(result, indent=2))


if __name__ == "__main__":
    main()
