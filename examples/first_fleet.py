"""Run a fleet, confirm a plan, stream answers, and send one keyed request twice.

Exits with 0 only if all answers were complete, the keyed request ran once and all
daemons shut down gracefully.
"""

import json
import shutil
import sys
import threading
import time
from pathlib import Path
from typing import NamedTuple

import urllib3

from local_fleet import LocalFleet, Upstream, wait_until

FOLDER = Path(__file__).resolve().parent.parent / "run"
CUSTOMER_KEY = "an-example-customer-key"
MODEL = "ledger-1"
BYTES_PER_TOKEN = 4
SHORT_TOKENS = 1_000
LONG_TOKENS = 200_000
OUTPUT_TOKENS = 32
DONE = b"data: [DONE]"

UPSTREAMS = (
    Upstream("scribe-1", "scribe", "model", (MODEL,)),
    Upstream("scribe-2", "scribe", "model", (MODEL,)),
    Upstream("scribe-3", "scribe", "model", (MODEL,)),
    Upstream("notices-1", "notices", "plain"),
    Upstream("notices-2", "notices", "plain"),
)

FIRST_CHANGE = {
    "put_models": [{"name": MODEL, "version": "1"}],
    "put_services": [
        {"name": "scribe", "kind": "model", "models": [MODEL]},
        {"name": "notices", "kind": "plain", "idempotent": False},
    ],
    "put_customers": [
        {
            "name": "front-desk",
            "key": CUSTOMER_KEY,
            "services": ["scribe", "notices"],
        }
    ],
}


class Answer(NamedTuple):
    """Hold the result of one streamed request."""

    label: str
    status: int
    first_seconds: float
    seconds: float
    whole: bool


def stream(fleet: LocalFleet, label: str, tokens: int, answers: list[Answer]) -> None:
    """Send one streamed completion, and measure the time to its first token."""
    body = {
        "model": MODEL,
        "prompt": "x" * (tokens * BYTES_PER_TOKEN),
        "max_tokens": OUTPUT_TOKENS,
        "stream": True,
    }
    started = time.monotonic()
    response = fleet.http.request(
        "POST",
        f"http://{fleet.callers[fleet.entry_names[0]]}/v1/completions",
        body=json.dumps(body).encode(),
        headers={"Authorization": f"Bearer {CUSTOMER_KEY}"},
        preload_content=False,
        timeout=urllib3.Timeout(connect=2.0, read=60.0),
    )
    chunks = response.stream()
    first = next(chunks, b"")
    first_seconds = time.monotonic() - started
    text = first + b"".join(chunks)
    whole = response.status == 200 and text.rstrip().endswith(DONE)
    if not whole:
        print(f"{label}: {text[-400:]!r}")
    seconds = time.monotonic() - started
    answers.append(Answer(label, response.status, first_seconds, seconds, whole))


def send_notice_twice(fleet: LocalFleet) -> bool:
    """Send a request through two entries under one key; return whether it ran once."""
    bodies = []
    for name in fleet.entry_names[:2]:
        response = fleet.http.request(
            "POST",
            f"http://{fleet.callers[name]}/services/notices/letters",
            body=b'{"subscriber": 17, "arrived": "court letter"}',
            headers={
                "Authorization": f"Bearer {CUSTOMER_KEY}",
                "Idempotency-Key": "notice-17",
            },
        )
        print(f"notice through {name}: {response.status} {response.data[:100]!r}")
        bodies.append((response.status, response.data))
    runs = sum(count_runs(fleet, upstream.name) for upstream in UPSTREAMS[3:])
    print(f"the notice ran {runs} time(s)")
    return runs == 1 and bodies[0] == bodies[1] and bodies[0][0] == 200


def count_runs(fleet: LocalFleet, name: str) -> int:
    """Return how many calls a plain stand-in has run."""
    address = fleet.upstream_addresses[name]
    response = fleet.http.request("GET", f"http://{address}/_calls")
    return len(json.loads(response.data))


def show_audit(fleet: LocalFleet) -> None:
    """Print the audit trail."""
    _, audit = fleet.operator_call(fleet.entry_names[0], "GET", "/v1/audit")
    for record in audit["records"]:
        print(
            f"audit {record['index']}: {record['operator']} {record['action']} "
            f"{record['change_id']}: {record['detail']}"
        )


def all_available(fleet: LocalFleet) -> bool:
    """Return whether all upstreams are available at the first entry."""
    _, state = fleet.operator_call(fleet.entry_names[0], "GET", "/v1/state")
    available = [one for one in state["upstreams"] if one["available"]]
    return len(available) == len(UPSTREAMS)


def run(fleet: LocalFleet) -> bool:
    """Run the example; return whether all answers were complete and correct."""
    for name in fleet.entry_names:
        fleet.start_entry(name)
    for upstream in UPSTREAMS:
        fleet.start_upstream(upstream)
    fleet.wait_ready()
    change = fleet.change("first-change", FIRST_CHANGE)
    print(f"in force: version {change['configuration_version']}")
    wait_until(lambda: all_available(fleet), "announcements of all upstreams")
    answers: list[Answer] = []
    threads = [
        threading.Thread(target=stream, args=(fleet, label, tokens, answers))
        for label, tokens in (("long", LONG_TOKENS), ("short", SHORT_TOKENS))
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    for answer in answers:
        print(
            f"{answer.label}: status {answer.status}, first token after "
            f"{answer.first_seconds:.3f} s, all after {answer.seconds:.3f} s, "
            f"whole: {answer.whole}"
        )
    once = send_notice_twice(fleet)
    show_audit(fleet)
    return once and len(answers) == 2 and all(answer.whole for answer in answers)


def main() -> int:
    """Run the example in a new folder, and return the exit code."""
    shutil.rmtree(FOLDER, ignore_errors=True)
    fleet = LocalFleet(FOLDER)
    try:
        whole = run(fleet)
    finally:
        codes = fleet.stop()
    daemons = {name: codes[name] for name in fleet.settings}
    print(f"exit codes: {daemons}")
    return 0 if whole and not any(daemons.values()) else 1


if __name__ == "__main__":
    sys.exit(main())
