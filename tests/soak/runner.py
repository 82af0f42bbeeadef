"""Run gateways, upstreams behind faulty links, callers and an operator together."""

import json
import random
import signal
import threading
import time
import uuid
from collections.abc import Callable
from contextlib import ExitStack
from enum import StrEnum
from http.client import HTTPConnection, HTTPException
from pathlib import Path

from common.gateway_fleet import (
    HOST,
    KEY,
    Fleet,
    GatewayProcess,
    document,
    route,
    running_fleet,
)
from common.scripted_upstream import Exchange, ScriptedUpstream, call
from soak.faulty_link import FaultyLink, LinkMode
from soak.recorder import CallRecorder, CallResult, Kind, event, events_after

CALLERS = 6
UPSTREAMS = 3
HEARTBEAT_SECONDS = 0.5
APPLY_SECONDS = 2.0
"""Time after its acknowledgement in which a change must be in force."""
RECOVER_SECONDS = 12.0
FAULT_PAUSE_SECONDS = (0.2, 1.5)
FAULT_SECONDS = (0.3, 3.0)
EVENT_PAUSE_SECONDS = 0.03
ROUTES = tuple(
    route(f"/{kind}/", **changes)
    for kind, changes in (
        (Kind.SAFE, {}),
        (Kind.ONCE, {"kind": "non_idempotent"}),
        (Kind.STREAM, {"kind": "stream", "resumable": True}),
    )
)


MOST_LOST_IN_MEMORY = 3
"""Gateways that seven without disks may lose at once."""


class FleetKind(StrEnum):
    """Say on what the gateways keep their configuration."""

    DISKS = "disks"
    SLOW_DISKS = "slow-disks"
    MEMORY = "memory"

    @property
    def arguments(self) -> dict[str, float]:
        """Return how such a fleet is run."""
        match self:
            case FleetKind.DISKS:
                return {}
            case FleetKind.SLOW_DISKS:
                return {"max_sync_seconds": 0.2}
            case FleetKind.MEMORY:
                return {"size": 7, "in_memory": 3}


class SoakRunner:
    """Own everything that runs for one seed."""

    def __init__(
        self, fleet: Fleet, seed: int, kind: FleetKind = FleetKind.DISKS
    ) -> None:
        self.fleet = fleet
        self.kind = kind
        self.random = random.Random(seed)
        self.witness = CallRecorder()
        self.ending = threading.Event()
        self.restored = threading.Event()
        self.upstreams: list[ScriptedUpstream] = []
        self.links: list[FaultyLink] = []
        self.acknowledged: list[tuple[float, int]] = []
        self.sent: dict[int, dict] = {}
        self.faults: list[str] = []
        for number in range(UPSTREAMS):
            self.add_upstream(number)

    def add_upstream(self, number: int) -> None:
        """Start an upstream behind a link of its own."""
        upstream = ScriptedUpstream(f"u-{number}", "plain", self.serve)
        link = FaultyLink(upstream.address, number)
        upstream.address = link.address
        self.upstreams.append(upstream)
        self.links.append(link)

    # What upstreams do.

    def serve(self, exchange: Exchange) -> None:
        """Answer with the attempt's own id, or with numbered events."""
        headers = exchange.request.headers
        attempt_id = headers["x-attempt-id"]
        if headers["x-expect-instance"] != exchange.upstream.upstream_id:
            exchange.answer(421, X_Not_Run="1")
            return
        self.witness.ran(attempt_id)
        if not exchange.request.target.startswith(f"/{Kind.STREAM}/"):
            time.sleep(EVENT_PAUSE_SECONDS)
            exchange.answer(200, attempt_id.encode())
            return
        exchange.begin_stream()
        last = int(headers.get("last-event-id", 0))
        for number in range(last + 1, len(events_after(0).split(b"\n\n"))):
            exchange.chunk(event(number))
            time.sleep(EVENT_PAUSE_SECONDS)
        exchange.end_stream()

    def beat(self) -> None:
        """Send every upstream's heartbeats, each to any gateway that answers."""
        while not self.ending.is_set():
            for upstream in self.upstreams:
                gateways = random.sample(self.fleet.gateways, len(self.fleet.gateways))
                any(
                    upstream.send_heartbeat(gateway.control) == 200
                    for gateway in gateways
                )
            time.sleep(HEARTBEAT_SECONDS)

    # What callers and the operator do.

    def call_on(self, seed: int) -> None:
        """Make one request after the other, on kept connections where they last."""
        own = random.Random(seed)
        connection = None
        while not self.ending.is_set():
            gateway = own.choice(self.fleet.gateways)
            if connection is None:
                connection = HTTPConnection(
                    gateway.host, gateway.ports.callers, timeout=12
                )
            told = ask_once(connection, own.choice(list(Kind)))
            self.witness.tell(told)
            if not told.whole or told.status != 200:
                connection.close()
                connection = None
            time.sleep(own.uniform(0, 0.05))

    def operate(self) -> None:
        """Send one version after the other, again until it is acknowledged."""
        version = 1
        while not self.ending.is_set():
            version += self.random.randint(1, 3)
            self.sent[version] = document(version, *ROUTES)
            while not self.ending.is_set():
                gateway = self.random.choice(self.fleet.gateways)
                status, _ = call(
                    gateway.control, "PUT", "/api/config", self.sent[version]
                )
                if status == 200:
                    self.acknowledged.append((time.monotonic(), version))
                    break
                if status in (400, 409):
                    self.witness.break_promise(f"version {version} refused: {status}")
                    break
                time.sleep(0.1)
            self.read_back(self.random.choice(self.fleet.gateways))
            time.sleep(0.3)

    def read_back(self, gateway: GatewayProcess) -> bool:
        """Read the configuration from a gateway; return whether it answered."""
        began = time.monotonic()
        status, body = call(gateway.control, "GET", "/api/config")
        if status != 200:
            return False
        held = json.loads(body)
        due = [v for at, v in self.acknowledged if at <= began - APPLY_SECONDS]
        if due and held["version"] < max(due):
            text = f"{gateway.host} read back {held['version']} after {max(due)}"
            self.witness.break_promise(text)
        if held != self.sent.get(held["version"], held):
            self.witness.break_promise(f"version {held['version']} was changed")
        return True

    # What goes wrong.

    def do_harm(self) -> None:
        """Let one fault follow the other; some overlap."""
        kill, kill_all = self.kill, self.kill_all
        if self.kind is FleetKind.MEMORY:
            kill = kill_all = self.kill_some
        kinds: list[Callable[[], None]] = [
            kill,
            self.pause,
            self.restart_gracefully,
            self.disturb_link,
            self.disturb_link,
            kill_all,
            self.restart_upstream,
        ]
        while not self.ending.is_set():
            harm = self.random.choice(kinds)
            self.faults.append(harm.__name__)
            harm()
            time.sleep(self.random.uniform(*FAULT_PAUSE_SECONDS))

    def kill(self) -> None:
        """Kill a gateway; sometimes its disk is lost, if the others are well."""
        gateway = self.random.choice(self.fleet.gateways)
        gateway.kill()
        if self.random.random() < 0.3 and self.all_voted():
            gateway.wipe()
        time.sleep(self.random.uniform(0, 0.5))
        gateway.start(first=False)

    def kill_some(self) -> None:
        """Kill as many gateways without disks as may be lost, if all are well."""
        count = self.random.randint(1, MOST_LOST_IN_MEMORY)
        killed = self.random.sample(self.fleet.gateways, count)
        pause = self.random.uniform(0, 0.5)
        if not self.all_vote_in_memory():
            return
        for gateway in killed:
            gateway.kill()
        time.sleep(pause)
        for gateway in killed:
            gateway.start(first=False)

    def all_vote_in_memory(self) -> bool:
        """Tell whether every gateway's replica counts all of them as voters."""
        gateways = self.fleet.gateways
        return all(gateway.voters() == len(gateways) for gateway in gateways)

    def all_voted(self) -> bool:
        """Tell whether each gateway that runs counts three voters and all is synced."""
        running = [g for g in self.fleet.gateways if g.process.poll() is None]
        return len(running) == len(self.fleet.gateways) - 1 and all(
            gateway.voters() == 3 for gateway in running
        )

    def kill_all(self) -> None:
        """Kill every gateway at the same moment."""
        for gateway in self.fleet.gateways:
            gateway.kill()
        for gateway in self.fleet.gateways:
            gateway.start(first=False)
        time.sleep(2.0)

    def pause(self) -> None:
        """Stop a gateway's process for a while."""
        gateway = self.random.choice(self.fleet.gateways)
        gateway.process.send_signal(signal.SIGSTOP)
        time.sleep(self.random.uniform(*FAULT_SECONDS))
        gateway.process.send_signal(signal.SIGCONT)

    def restart_gracefully(self) -> None:
        """Ask a gateway to end, and start it again."""
        gateway = self.random.choice(self.fleet.gateways)
        if self.kind is FleetKind.MEMORY and not self.all_vote_in_memory():
            return
        gateway.ask_to_end()
        gateway.process.wait()
        gateway.start(first=False)

    def disturb_link(self) -> None:
        """Let a link misbehave for a while."""
        link = self.random.choice(self.links)
        link.mode = self.random.choice(list(LinkMode))
        time.sleep(self.random.uniform(*FAULT_SECONDS))
        link.mode = LinkMode.PASSES

    def restart_upstream(self) -> None:
        """Give an upstream a new start at its address, whose heartbeats come late."""
        upstream = self.random.choice(self.upstreams)
        upstream.upstream_id = f"{upstream.upstream_id.split('.')[0]}.{uuid.uuid4()}"
        upstream.sequence = 0

    # The whole.

    def run(self, seconds: float) -> list[str]:
        """Run for a time, then repair everything and look at what is left."""
        self.fleet.accept(document(1, *ROUTES))
        self.sent[1] = document(1, *ROUTES)
        works: list[tuple[Callable, tuple]] = [(self.beat, ()), (self.operate, ())]
        works += [(self.call_on, (number,)) for number in range(CALLERS)]
        threads = [threading.Thread(target=work, args=args) for work, args in works]
        harm = threading.Thread(target=self.do_harm)
        for thread in (*threads, harm):
            thread.start()
        time.sleep(seconds)
        self.ending.set()
        for thread in (*threads, harm):
            thread.join()
        self.check_recovery()
        return self.witness.verdict()

    def check_recovery(self) -> None:
        """Check that the fleet heals by itself and holds what it accepted."""
        for link in self.links:
            link.mode = LinkMode.PASSES
        time.sleep(APPLY_SECONDS)
        for gateway in self.fleet.gateways:
            end = time.monotonic() + RECOVER_SECONDS
            while not self.read_back(gateway):
                if time.monotonic() > end:
                    text = f"{gateway.host} gives no configuration after the faults"
                    self.witness.break_promise(text)
                    break
                time.sleep(0.1)

    def stop(self) -> None:
        """Close what listens."""
        for each in (*self.links, *self.upstreams):
            each.stop()


def ask_once(connection: HTTPConnection, kind: Kind) -> CallResult:
    """Make one request with an id of its own."""
    attempt_id = uuid.uuid4().hex
    headers = {
        "Host": HOST,
        "Authorization": f"Token {KEY}",
        "X-Attempt-Id": attempt_id,
        "X-Deadline-Ms": "5000",
    }
    status, body, whole = 0, b"", False
    try:
        connection.request("POST", f"/{kind}/x", b"", headers)
        answer = connection.getresponse()
        status = answer.status
        body = answer.read()
        whole = True
    except (OSError, HTTPException):
        pass
    return CallResult(attempt_id, kind, status, body, whole)


def run_seed(
    seed: int, seconds: float, folder: Path, kind: FleetKind = FleetKind.DISKS
) -> list[str]:
    """Run one seed; return the promises that were broken."""
    with ExitStack() as stack:
        fleet = stack.enter_context(running_fleet(folder, **kind.arguments))
        world = SoakRunner(fleet, seed, kind)
        stack.callback(world.stop)
        return world.run(seconds)
