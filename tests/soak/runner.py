"""Run gateways, upstreams behind faulty links, callers and an operator."""

import json
import random
import re
import signal
import threading
import time
import uuid
from collections.abc import Callable
from contextlib import ExitStack
from enum import StrEnum
from http.client import HTTPConnection, HTTPException
from pathlib import Path

from common.connection_load import Load, run
from common.gateway_fleet import (
    HOST,
    KEY,
    Fleet,
    GatewayProcess,
    document,
    route,
    running_fleet,
)
from common.scripted_upstream import FRAMINGS, Exchange, ScriptedUpstream, call
from soak.faulty_link import FaultyLink, LinkMode
from soak.limits import UpstreamLimit
from soak.recorder import CallRecorder, CallResult, Kind, events_after

CALLERS = 6
UPSTREAMS = 3
HEARTBEAT_SECONDS = 0.5
APPLY_SECONDS = 2.0
"""Seconds after its acknowledgement within which a change must be in force."""
RECOVER_SECONDS = 12.0
FIRST_REQUESTS_PER_SECOND = 5
REQUESTS_PER_SECOND = (None, None, 2, 5, 20)
"""Limits that upstreams name."""
LATE_SECONDS = 1.0
"""Time after a disturbance of a link in which it delivers what it held."""
FAULT_PAUSE_SECONDS = (0.2, 1.5)
FAULT_SECONDS = (0.3, 3.0)
DEAF_SECONDS = 4.0
"""Longer than data may stay unacknowledged before the kernel drops a connection."""
LARGE_BODY = bytes(3_000_000)
"""More than the kernel buffers for a link that reads nothing."""
LARGE_SHARE = 0.02
BURST_PER_SECOND = 500
BURST_REQUEST = (
    f"POST /{Kind.SAFE}/x HTTP/1.1\r\nHost: {HOST}\r\nAuthorization: Token {KEY}\r\n"
    "X-Attempt-Id: burst\r\nX-Deadline-Ms: 1000\r\nContent-Length: 0\r\n"
    "Connection: close\r\n\r\n"
).encode()
EVENT_PAUSE_SECONDS = 0.03
BROKEN_SHARE = 0.1
"""Share of the streams that end inside an event, framed as complete."""
ROUTES = tuple(
    route(f"/{kind}/", **changes)
    for kind, changes in (
        (Kind.SAFE, {}),
        (Kind.ONCE, {"kind": "non_idempotent"}),
        (Kind.STREAM, {"kind": "stream", "resumable": True}),
    )
)


MAX_LOST_IN_MEMORY = 3
"""Gateways that a fleet of seven without disks may lose at once."""


SPARES = 8
"""Gateways that may take the place of others."""
NEEDED_VOTERS = 3
CATCH_UP_SECONDS = 4.0
"""Time for which a lost gateway still counts after its successor has started."""


class FleetKind(StrEnum):
    """Say where the gateways store their configuration."""

    DISKS = "disks"
    SLOW_DISKS = "slow-disks"
    MEMORY = "memory"

    @property
    def arguments(self) -> dict[str, float]:
        """Return the arguments of `running_fleet` for this kind."""
        match self:
            case FleetKind.DISKS:
                return {"spares": SPARES}
            case FleetKind.SLOW_DISKS:
                return {"max_sync_seconds": 0.2, "spares": SPARES}
            case FleetKind.MEMORY:
                return {"size": 7, "in_memory": 3}


class SoakRunner:
    """Run the fleet, upstreams, callers and faults of one seed."""

    def __init__(
        self, fleet: Fleet, seed: int, kind: FleetKind = FleetKind.DISKS
    ) -> None:
        self.fleet = fleet
        self.kind = kind
        self.random = random.Random(seed)
        self.recorder = CallRecorder()
        self.stopping = threading.Event()
        self.restored = threading.Event()
        self.upstreams: list[ScriptedUpstream] = []
        self.links: list[FaultyLink] = []
        self.limits: list[UpstreamLimit] = []
        self.acknowledged: list[tuple[float, int]] = []
        self.sent: dict[int, dict] = {}
        self.faults: list[str] = []
        for number in range(UPSTREAMS):
            self.add_upstream(number)
        self.limits[0].change(FIRST_REQUESTS_PER_SECOND)

    def add_upstream(self, number: int) -> None:
        """Start an upstream behind its own faulty link."""
        upstream = ScriptedUpstream(f"u-{number}", "plain", self.serve)
        link = FaultyLink(upstream.address, number)
        upstream.address = link.address
        self.upstreams.append(upstream)
        self.links.append(link)
        self.limits.append(UpstreamLimit())

    # Upstreams.

    def serve(self, exchange: Exchange) -> None:
        """Answer with the attempt's id, or with a stream of numbered events."""
        headers = exchange.request.headers
        attempt_id = headers["x-attempt-id"]
        if headers["x-expect-instance"] != exchange.upstream.upstream_id:
            exchange.answer(421, X_Not_Run="1")
            return
        limit = self.limits[self.upstreams.index(exchange.upstream)].headers()
        self.recorder.record_run(attempt_id)
        if not exchange.request.target.startswith(f"/{Kind.STREAM}/"):
            time.sleep(EVENT_PAUSE_SECONDS)
            exchange.answer(200, attempt_id.encode(), **limit)
            return
        body = events_after(int(headers.get("last-event-id", 0)))
        if body and random.random() < BROKEN_SHARE:
            body = break_off(body)
        exchange.answer_stream(
            body,
            random.choice(FRAMINGS),
            pause_seconds=EVENT_PAUSE_SECONDS,
            **limit,
        )

    def send_heartbeats(self) -> None:
        """Send every upstream's heartbeats, each to any gateway that answers."""
        while not self.stopping.is_set():
            for upstream in self.upstreams:
                gateways = random.sample(self.fleet.gateways, len(self.fleet.gateways))
                any(
                    upstream.send_heartbeat(gateway.control) == 200
                    for gateway in gateways
                )
            time.sleep(HEARTBEAT_SECONDS)

    # Callers and the operator.

    def send_requests(self, seed: int) -> None:
        """Send one request after another, and reuse connections after whole answers."""
        rng = random.Random(seed)
        connection = None
        while not self.stopping.is_set():
            gateway = rng.choice(self.fleet.gateways)
            if connection is None:
                speak = rng.choice((HTTPConnection, HTTPConnection, OldHttpConnection))
                connection = speak(gateway.host, gateway.ports.callers, timeout=12)
            result = send_request(connection, rng.choice(list(Kind)))
            self.recorder.record_result(result)
            if not result.whole or result.status != 200:
                connection.close()
                connection = None
            time.sleep(rng.uniform(0, 0.05))

    def submit_changes(self) -> None:
        """Submit one version after another, each until it is acknowledged."""
        version = 1
        while not self.stopping.is_set():
            version += self.random.randint(1, 3)
            self.sent[version] = document(version, *ROUTES)
            while not self.stopping.is_set():
                gateway = self.random.choice(self.fleet.gateways)
                status, _ = call(
                    gateway.control, "PUT", "/api/config", self.sent[version]
                )
                if status == 200:
                    self.acknowledged.append((time.monotonic(), version))
                    break
                if status in (400, 409):
                    self.recorder.record_violation(
                        f"version {version} refused: {status}"
                    )
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
            self.recorder.record_violation(text)
        if held != self.sent.get(held["version"], held):
            self.recorder.record_violation(f"version {held['version']} was changed")
        return True

    # Faults.

    def inject_faults(self) -> None:
        """Inject one random fault after another until the run stops."""
        kill, kill_all = self.kill, self.kill_all
        if self.kind is FleetKind.MEMORY:
            kill = kill_all = self.kill_some
        kinds: list[Callable[[], None]] = [
            kill,
            self.pause,
            self.restart_gracefully,
            self.disturb_link,
            self.disturb_link,
            self.deafen_link,
            kill_all,
            self.restart_upstream,
            self.change_limit,
            self.change_limit,
            self.open_many_connections,
            self.replace,
        ]
        while not self.stopping.is_set():
            fault = self.random.choice(kinds)
            self.faults.append(fault.__name__)
            fault()
            time.sleep(self.random.uniform(*FAULT_PAUSE_SECONDS))

    def kill(self) -> None:
        """Kill and restart a gateway, sometimes with an empty disk.

        The disk is only lost while the others count three voters, so that a quorum
        keeps the configuration.
        """
        gateway = self.random.choice(self.fleet.gateways)
        gateway.kill()
        if self.random.random() < 0.3 and self.all_voted():
            gateway.wipe()
        time.sleep(self.random.uniform(0, 0.5))
        gateway.start(first=False)

    def kill_some(self) -> None:
        """Kill up to `MAX_LOST_IN_MEMORY` gateways, if all replicas are voters."""
        count = self.random.randint(1, MAX_LOST_IN_MEMORY)
        killed = self.random.sample(self.fleet.gateways, count)
        self.forget_limits()
        pause = self.random.uniform(0, 0.5)
        if not self.all_vote_in_memory():
            return
        for gateway in killed:
            gateway.kill()
        time.sleep(pause)
        for gateway in killed:
            gateway.start(first=False)

    def all_vote_in_memory(self) -> bool:
        """Return whether each gateway's replica counts all gateways as voters."""
        gateways = self.fleet.gateways
        return all(gateway.voters() == len(gateways) for gateway in gateways)

    def all_voted(self) -> bool:
        """Return whether all gateways but one run and count three synced voters."""
        running = [g for g in self.fleet.gateways if g.process.poll() is None]
        return len(running) == len(self.fleet.gateways) - 1 and all(
            gateway.voters() == NEEDED_VOTERS for gateway in running
        )

    def replace(self) -> None:
        """Replace a gateway for good, as planned or after its loss."""
        gateways, spares = self.fleet
        if not spares or not all(g.voters() == NEEDED_VOTERS for g in gateways):
            return
        place = self.random.randrange(len(gateways))
        replaced, successor = gateways[place], spares.pop()
        planned = self.random.random() < 0.5
        if not planned:
            replaced.kill()
        time.sleep(self.random.uniform(*FAULT_SECONDS))
        hosts = [each.host for each in gateways if each is not replaced]
        for each in (*gateways, successor):
            each.seeds = [*hosts, successor.host]
        successor.start(first=False)
        if planned:
            time.sleep(self.random.uniform(*FAULT_SECONDS))
            replaced.ask_to_end()
            replaced.process.wait()
        gateways[place] = successor
        if not planned:
            time.sleep(CATCH_UP_SECONDS)

    def kill_all(self) -> None:
        """Kill every gateway at the same moment."""
        self.forget_limits()
        for gateway in self.fleet.gateways:
            gateway.kill()
        for gateway in self.fleet.gateways:
            gateway.start(first=False)
        time.sleep(2.0)

    def pause(self) -> None:
        """Pause a gateway's process for a random time."""
        gateway = self.random.choice(self.fleet.gateways)
        gateway.process.send_signal(signal.SIGSTOP)
        time.sleep(self.random.uniform(*FAULT_SECONDS))
        gateway.process.send_signal(signal.SIGCONT)

    def restart_gracefully(self) -> None:
        """Shut a gateway down gracefully, and start it again."""
        gateway = self.random.choice(self.fleet.gateways)
        if self.kind is FleetKind.MEMORY and not self.all_vote_in_memory():
            return
        gateway.ask_to_end()
        gateway.process.wait()
        gateway.start(first=False)

    def disturb_link(self) -> None:
        """Put a link into a random mode for a random time."""
        link = self.random.choice(self.links)
        seconds = self.random.uniform(*FAULT_SECONDS)
        self.limits[self.links.index(link)].disturb_link(seconds + LATE_SECONDS)
        link.mode = self.random.choice(list(LinkMode))
        time.sleep(seconds)
        link.mode = LinkMode.PASSES

    def deafen_link(self) -> None:
        """Let a link read nothing until the kernel gives up what waits for it."""
        link = self.random.choice(self.links)
        self.limits[self.links.index(link)].disturb_link(DEAF_SECONDS + LATE_SECONDS)
        link.mode = LinkMode.SILENT
        time.sleep(DEAF_SECONDS)
        link.mode = LinkMode.PASSES

    def restart_upstream(self) -> None:
        """Restart an upstream under a new start id, known from its next heartbeat."""
        upstream = self.random.choice(self.upstreams)
        upstream.upstream_id = f"{upstream.upstream_id.split('.')[0]}.{uuid.uuid4()}"
        upstream.sequence = 0
        self.limits[self.upstreams.index(upstream)].forget()

    def open_many_connections(self) -> None:
        """Let most new connections go to one gateway for a while."""
        gateway = self.random.choice(self.fleet.gateways)
        seconds = self.random.uniform(*FAULT_SECONDS)
        run(Load(gateway.callers, BURST_REQUEST, BURST_PER_SECOND, seconds=seconds))

    def change_limit(self) -> None:
        """Let an upstream name another limit, or none."""
        limit = self.random.choice(self.limits)
        limit.change(self.random.choice(REQUESTS_PER_SECOND))

    def forget_limits(self) -> None:
        """Begin to judge all limits anew, since no gateway may know them."""
        for limit in self.limits:
            limit.forget()

    # The complete run.

    def run(self, seconds: float) -> list[str]:
        """Run with faults for some seconds, then repair links and check recovery."""
        self.fleet.accept(document(1, *ROUTES))
        self.sent[1] = document(1, *ROUTES)
        tasks: list[tuple[Callable, tuple]] = [
            (self.send_heartbeats, ()),
            (self.submit_changes, ()),
        ]
        tasks += [(self.send_requests, (number,)) for number in range(CALLERS)]
        threads = [threading.Thread(target=task, args=args) for task, args in tasks]
        injector = threading.Thread(target=self.inject_faults)
        for thread in (*threads, injector):
            thread.start()
        time.sleep(seconds)
        self.stopping.set()
        for thread in (*threads, injector):
            thread.join()
        self.check_limits()
        self.check_recovery()
        return self.recorder.all_violations()

    def check_limits(self) -> None:
        """Check that no upstream got more than the limits that it named allow."""
        for upstream, limit in zip(self.upstreams, self.limits, strict=True):
            limit.forget()
            if limit.most > 1.0:
                text = f"{upstream.upstream_id} got {limit.most:.2f} of what it allowed"
                self.recorder.record_violation(text)

    def check_recovery(self) -> None:
        """Check that the fleet recovers and still holds what it acknowledged."""
        for link in self.links:
            link.mode = LinkMode.PASSES
        time.sleep(APPLY_SECONDS)
        for gateway in self.fleet.gateways:
            end = time.monotonic() + RECOVER_SECONDS
            while not self.read_back(gateway):
                if time.monotonic() > end:
                    text = f"{gateway.host} gives no configuration after the faults"
                    self.recorder.record_violation(text)
                    break
                time.sleep(0.1)

    def stop(self) -> None:
        """Stop all links and upstreams."""
        for each in (*self.links, *self.upstreams):
            each.stop()


class OldHttpConnection(HTTPConnection):
    """Speak HTTP/1.0, in which the end of a connection may complete an answer."""

    _http_vsn = 10
    _http_vsn_str = "HTTP/1.0"


def break_off(body: bytes) -> bytes:
    """Return the beginning of some events, up to a byte inside one of them."""
    ends = [match.end() for match in re.finditer(rb"\n\n", body)]
    return body[
        : random.choice([end for end in range(1, len(body)) if end not in ends])
    ]


def send_request(connection: HTTPConnection, kind: Kind) -> CallResult:
    """Send one request with a new attempt id."""
    attempt_id = uuid.uuid4().hex
    headers = {
        "Host": HOST,
        "Authorization": f"Token {KEY}",
        "X-Attempt-Id": attempt_id,
        "X-Deadline-Ms": "5000",
    }
    status, received, whole = 0, b"", False
    try:
        body = LARGE_BODY if random.random() < LARGE_SHARE else b""
        connection.request("POST", f"/{kind}/x", body, headers)
        answer = connection.getresponse()
        status = answer.status
        received = answer.read()
        whole = True
    except (OSError, HTTPException):
        pass
    return CallResult(attempt_id, kind, status, received, whole)


def run_seed(
    seed: int, seconds: float, folder: Path, kind: FleetKind = FleetKind.DISKS
) -> list[str]:
    """Run one seed, and return the violated guarantees."""
    with ExitStack() as stack:
        fleet = stack.enter_context(running_fleet(folder, **kind.arguments))
        world = SoakRunner(fleet, seed, kind)
        stack.callback(world.stop)
        return world.run(seconds)
