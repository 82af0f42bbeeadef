"""Run a small fleet of real processes, and call it as callers and operators do."""

import json
import threading
from collections.abc import Iterator
from typing import Any

import urllib3

from local_fleet import LocalFleet, Upstream, wait_until

CUSTOMER_KEY = "a-test-customer-key"
MODEL = "ledger-1"
DONE = "data: [DONE]"
TIMINGS = {
    "announce_seconds": 0.2,
    "lease_seconds": 1.5,
    "heartbeat_seconds": 0.25,
    "silence_seconds": 1.0,
    "election_seconds": 0.3,
    "owner_lease_seconds": 3.0,
}
SLOW_DECODE = ("--decode-seconds-per-token", "0.05")
ENGINES = (
    Upstream("scribe-1", "scribe", "model", (MODEL,), options=SLOW_DECODE),
    Upstream("scribe-2", "scribe", "model", (MODEL,), options=SLOW_DECODE),
)
PLAIN = Upstream("notices-1", "notices", "plain")
CHANGE = {
    "put_models": [{"name": MODEL, "version": "1"}],
    "put_services": [
        {"name": "scribe", "kind": "model", "models": [MODEL]},
        {"name": "notices", "kind": "plain", "idempotent": False},
    ],
    "put_customers": [
        {"name": "desk", "key": CUSTOMER_KEY, "services": ["scribe", "notices"]}
    ],
}


def start_fleet(fleet: LocalFleet, upstreams: tuple[Upstream, ...]) -> None:
    """Start all processes, apply the first change and wait for the upstreams."""
    for name in fleet.entry_names:
        fleet.start_entry(name)
    for upstream in upstreams:
        fleet.start_upstream(upstream)
    fleet.wait_ready()
    fleet.change("first", CHANGE)
    for name in fleet.entry_names:
        wait_until(
            lambda name=name: len(available(fleet, name)) == len(upstreams),
            f"announcements at {name}",
        )


def put_weight(weight: int) -> dict[str, Any]:
    """Return a change that sets the weight of one customer, and nothing else."""
    customer = {"name": "mill", "services": ["scribe"], "key_hash": "0" * 64}
    return {"put_customers": [customer | {"weight": weight}]}


def state(fleet: LocalFleet, name: str) -> dict[str, Any]:
    """Read the fleet's state from an entry."""
    return fleet.operator_call(name, "GET", "/v1/state")[1]


def version(fleet: LocalFleet, name: str) -> int:
    """Read the version of the configuration in force at an entry."""
    return state(fleet, name)["configuration"]["version"]


def available(fleet: LocalFleet, name: str) -> list[str]:
    """List the upstreams available to an entry; empty if it can't tell yet."""
    upstreams = state(fleet, name).get("upstreams", ())
    return [one["upstream_id"] for one in upstreams if one["available"]]


def leader(fleet: LocalFleet) -> str:
    """Wait until a running entry reports a leader that is running too; name it."""

    def find() -> str | None:
        for name in fleet.entry_names:
            if not fleet.is_running(name):
                continue
            for one in state(fleet, name)["instances"]:
                if one["leads"] and fleet.is_running(one["instance"]):
                    return one["instance"]
        return None

    return wait_until(find, "a leader")


class StreamedCall:
    """Request one streamed completion, and read it on a thread."""

    def __init__(self, fleet: LocalFleet, entry: str, prompt: str, tokens: int) -> None:
        body = {"model": MODEL, "prompt": prompt, "max_tokens": tokens, "stream": True}
        self.response = fleet.http.request(
            "POST",
            f"http://{fleet.callers[entry]}/v1/completions",
            body=json.dumps(body).encode(),
            headers={"Authorization": f"Bearer {CUSTOMER_KEY}"},
            preload_content=False,
            timeout=urllib3.Timeout(connect=5.0, read=60.0),
        )
        self.lines: list[str] = []
        self.failure = ""
        self.thread = threading.Thread(target=self.read, daemon=True)
        self.thread.start()

    def read(self) -> None:
        """Read events until the end of the stream."""
        pending = b""
        try:
            for piece in self.response.stream(1024):
                *events, pending = (pending + piece).split(b"\n\n")
                self.lines += [event.decode() for event in events]
        except urllib3.exceptions.HTTPError as error:
            self.failure = str(error)

    def wait_for_tokens(self, minimum: int) -> None:
        """Wait until so many events have arrived."""
        wait_until(lambda: len(self.lines) >= minimum, f"{minimum} events")

    def text(self) -> str:
        """Wait for the end, check that the stream is complete, and return its text."""
        self.thread.join(60.0)
        assert self.lines, (self.response.status, self.failure)
        assert self.lines[-1] == DONE, (self.lines[-2:], self.failure)
        return "".join(event_texts(self.lines[:-1]))


def event_texts(lines: list[str]) -> Iterator[str]:
    """Yield the text of each event."""
    for line in lines:
        for choice in json.loads(line.removeprefix("data: "))["choices"]:
            yield choice["text"]


def send_notice(fleet: LocalFleet, entry: str, key: str, body: bytes = b"{}") -> Any:
    """Send a call that must run at most once; return its status and document."""
    response = fleet.http.request(
        "POST",
        f"http://{fleet.callers[entry]}/services/notices/letters",
        body=body,
        headers={"Authorization": f"Bearer {CUSTOMER_KEY}", "Idempotency-Key": key},
        timeout=urllib3.Timeout(connect=5.0, read=60.0),
    )
    return response.status, json.loads(response.data)


def count_runs(fleet: LocalFleet, upstream: str, key: str) -> int:
    """Count how often a plain service ran the call with an idempotency key."""
    address = fleet.upstream_addresses[upstream]
    response = fleet.http.request("GET", f"http://{address}/_calls")
    return sum(call["idempotency_key"] == key for call in json.loads(response.data))


def set_faults(fleet: LocalFleet, upstream: str, **faults: Any) -> None:
    """Set the simulated faults of a stand-in upstream."""
    address = fleet.upstream_addresses[upstream]
    response = fleet.http.request(
        "POST", f"http://{address}/_faults", body=json.dumps(faults).encode()
    )
    assert response.status == 200, response.data
