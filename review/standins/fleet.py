"""Stand-ins for the platform, the operator, clients and runners of a small deployment.

Only the standard library is used. Every address is a loopback address: each gateway has
an address of its own in 127.0.0.0/8, since gateways know each other by their addresses
and share one set of ports.
"""

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
COMMAND = ["python3", "-S", "-m", "cowslipshelf_daemon", "gateway"]
"""The command of the role `gateway` in deploy/system.toml, without its last words."""
METRICS_PORT_NAME = "COWSLIPSHELF_METRICS_PORT"
HEARTBEAT_MS = 1200
ZONES = ("maadi", "nasr", "smart-village")
BOUNDS = {
    "seed_lag_s": 3,
    "reuse_after_s": 2,
    "stability_window_ms": 3000,
    "ack_ms": 4000,
    "catch_up_s": 4,
    "drain_ms": 2000,
    "grace_s": 8,
    "lost_slack_ms": 200,
    "config_apply_ms": 2000,
    "rollback_slack_ms": 250,
    "max_stretch_ms": 5000,
    "revoke_strict": False,
    "revoke_ms": 5000,
    "retry_budget_ratio": 0.2,
    "budget_window_s": 10,
    "retry_budget_slack": 106,
    "recover_s": 12,
    "pass_ms": 120,
    "retry_after_s": 0,
    "stall_ms": 1500,
    "hold_max_ms": 20000,
    "free_ms": 4000,
    "idle_max_ms": 9000,
}
"""The bounds of the site nilegate-ro."""
LIMITS = {
    "max_header_bytes": 16384,
    "max_body_bytes": 4194304,
    "header_timeout_ms": 3000,
    "idle_timeout_ms": 15000,
}
HELD, BROKEN, NOT_RUN = 0, 1, 2


class CannotRunError(Exception):
    """Report that the case could not be played."""


class Record:
    """Write what was sent, answered and run, with seconds since the start."""

    def __init__(self, path: Path) -> None:
        self.file = path.open("w", encoding="utf-8")
        self.began = time.monotonic()

    def write(self, text: str) -> None:
        """Write one line, here and to the record."""
        line = f"{time.monotonic() - self.began:8.3f} {text}"
        self.file.write(line + "\n")
        self.file.flush()
        print(line, flush=True)


class Answer:
    """Hold the answer to one call; status 0 stands for a broken connection."""

    def __init__(self, status: int, headers: dict[str, str], body: bytes) -> None:
        self.status = status
        self.headers = headers
        self.body = body


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """Read the first line and the headers of a message."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.rstrip("\r\n").split("\r\n")
    pairs = (line.partition(":") for line in lines)
    return first, {name.strip().lower(): value.strip() for name, _, value in pairs}


async def read_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> bytes:
    """Read the body that the headers announce."""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readline()
            if size == 0:
                return body
    return await reader.readexactly(int(headers.get("content-length", "0")))


async def call(
    address: str,
    method: str,
    path: str,
    headers: dict[str, str] | None = None,
    body: bytes = b"",
    seconds: float = 5.0,
) -> Answer:
    """Send one request on a connection of its own."""
    host, _, port = address.partition(":")
    writer = None
    try:
        async with asyncio.timeout(seconds):
            reader, writer = await asyncio.open_connection(host, int(port))
            lines = [f"{method} {path} HTTP/1.1"]
            fields = {"Host": address, **(headers or {})}
            if body or method != "GET":
                fields["Content-Length"] = str(len(body))
            lines += [f"{name}: {value}" for name, value in fields.items()]
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            await writer.drain()
            first, got = await read_head(reader)
            return Answer(int(first.split()[1]), got, await read_body(reader, got))
    except (OSError, EOFError, TimeoutError, ValueError) as error:
        return Answer(0, {}, f"{type(error).__name__}: {error}".encode())
    finally:
        if writer is not None:
            writer.transport.abort()


def free_ports(count: int, addresses: list[str]) -> list[int]:
    """Find ports that are free on all of the addresses."""
    found: list[int] = []
    for _ in range(1000):
        port = random.randint(20000, 32000)
        if port in found:
            continue
        try:
            for address in addresses:
                with socket.socket() as probe:
                    probe.bind((address, port))
        except OSError:
            continue
        found.append(port)
        if len(found) == count:
            return found
    raise CannotRunError("no free ports")


class Gateway:
    """Run one gateway process on a machine of its own, as the platform does."""

    def __init__(self, fleet: "Fleet", name: str, ip: str, zone: str) -> None:
        self.fleet = fleet
        self.name = name
        self.ip = ip
        self.zone = zone
        self.folder = fleet.folder / name
        self.process: subprocess.Popen[bytes] | None = None

    @property
    def front(self) -> str:
        """Return the address for clients."""
        return f"{self.ip}:{self.fleet.front_port}"

    @property
    def control(self) -> str:
        """Return the address for the operator and the runners."""
        return f"{self.ip}:{self.fleet.control_port}"

    @property
    def ready(self) -> str:
        """Return the address of the readiness check."""
        return f"{self.ip}:{self.fleet.ready_port}"

    def settings(self, first_start: bool) -> str:
        """Return the content of the settings file."""
        fleet = self.fleet
        quoted = json.dumps
        lines = [
            f"node = {quoted(self.name)}",
            'role = "gateway"',
            'machine_class = "front"',
            'serves = ["front","control"]',
            f"ip = {quoted(self.ip)}",
            f"zone = {quoted(self.zone)}",
            'region = "cairo"',
            f"peer_port_range = [{fleet.peer_port},{fleet.peer_port}]",
            f"seeds = {quoted(fleet.seeds)}",
            f"bootstrap = {str(first_start).lower()}",
            "counts_as_loss = true",
            f"data_dir = {quoted(str(self.folder / 'data'))}",
            'discovery = "registry"',
            'entry = "vip"',
            f"heartbeat_ms = {HEARTBEAT_MS}",
            'contracts = ["base","drain","config","cost","retry","recover",'
            '"engine","stream","tenants","spans"]',
            'config_mode = "highest"',
            "[zones]",
            *(f'{zone} = "cairo"' for zone in ZONES),
            "[listen]",
            f"front = {quoted(self.front)}",
            f"ready = {quoted(self.ready)}",
            f"control = {quoted(self.control)}",
            "[limits]",
            "cpu_share = 0.968",
            "cores = 2",
            f"memory_mb = {fleet.memory_mb}",
            "max_fds = 4100",
            "link_mbps = 1000.0",
            "disk_mb = 64",
            "[fault_tolerance]",
            "machines = 1",
            "zones = 0",
            "regions = 0",
            "[bounds]",
            *(f"{name} = {quoted(value)}" for name, value in BOUNDS.items()),
        ]
        return "\n".join(lines) + "\n"

    def start(self, first_start: bool = False) -> None:
        """Start the process with the command of the deploy file."""
        (self.folder / "data").mkdir(parents=True, exist_ok=True)
        settings = self.folder / "settings.toml"
        settings.write_text(self.settings(first_start), encoding="utf-8")
        kept = {n: os.environ[n] for n in ("PATH", "HOME", "LANG") if n in os.environ}
        environment = {
            **kept,
            "PYTHONPATH": str(ROOT / "target/deps"),
            "COWSLIPSHELF_CONFIG": str(settings),
            METRICS_PORT_NAME: str(self.fleet.metrics_port),
        }
        with (self.folder / "log.txt").open("ab") as log:
            self.process = subprocess.Popen(
                [*COMMAND, "cowslipshelf_adapter", self.front],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.fleet.record.write(f"platform: {self.name} at {self.ip} is started")

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        self.process.send_signal(number)
        self.fleet.record.write(f"platform: {self.name} gets {number.name}")

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        self.signal(signal.SIGKILL)
        self.process.wait()

    def lose_disk(self) -> None:
        """Remove the data folder of a process that does not run."""
        shutil.rmtree(self.folder / "data")
        self.fleet.record.write(f"platform: {self.name} has lost its disk")

    @property
    def runs(self) -> bool:
        """Return whether the process runs."""
        return self.process is not None and self.process.poll() is None


class Fleet:
    """Hold the gateways of one small deployment and act as its operator."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        net = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
        self.addresses = [f"{net}.{host}" for host in range(11, 31)]
        ports = free_ports(5, self.addresses)
        self.front_port, self.ready_port, self.control_port = ports[:3]
        self.peer_port, self.metrics_port = ports[3:]
        self.memory_mb = 300
        self.seeds: list[str] = []
        self.gateways: list[Gateway] = []

    def add(self, name: str, zone: str) -> Gateway:
        """Add a machine at the next address."""
        gateway = Gateway(self, name, self.addresses[len(self.gateways)], zone)
        self.gateways.append(gateway)
        return gateway

    def start_first(self, names_and_zones: list[tuple[str, str]]) -> list[Gateway]:
        """Start the whole system for the first time."""
        first = [self.add(name, zone) for name, zone in names_and_zones]
        self.seeds = [gateway.control for gateway in first[:3]]
        for gateway in first:
            gateway.start(first_start=True)
        return first

    async def put(self, configuration: dict, seconds: float) -> bool:
        """Send a configuration to the gateways in turn until one acknowledges it."""
        body = json.dumps(configuration).encode()
        ends = time.monotonic() + seconds
        pause = 0.05
        while time.monotonic() < ends:
            for gateway in [each for each in self.gateways if each.runs]:
                answer = await call(
                    gateway.control,
                    "PUT",
                    "/api/config",
                    {"Content-Type": "application/json"},
                    body,
                    min(4.0, max(0.1, ends - time.monotonic())),
                )
                self.record.write(
                    f"operator: PUT version {configuration['version']} to "
                    f"{gateway.name}: {answer.status or answer.body.decode()}"
                )
                if answer.status == 200:
                    return True
                if time.monotonic() >= ends:
                    break
                await asyncio.sleep(pause)
                pause = min(1.0, pause * 1.5)
        return False

    async def read(self, gateway: Gateway) -> int | None:
        """Read the configuration back at one gateway; return its version, if any."""
        answer = await call(gateway.control, "GET", "/api/config", seconds=2.0)
        version = json.loads(answer.body)["version"] if answer.status == 200 else None
        self.record.write(
            f"operator: GET at {gateway.name}: "
            f"{answer.status or answer.body.decode()}, version {version}"
        )
        return version

    async def wait_ready(self, gateway: Gateway, seconds: float) -> None:
        """Wait until a gateway says that it is ready."""
        ends = time.monotonic() + seconds
        while time.monotonic() < ends:
            answer = await call(gateway.ready, "GET", "/api/ready", seconds=1.0)
            if answer.status == 200:
                self.record.write(f"platform: {gateway.name} says that it is ready")
                return
            await asyncio.sleep(0.1)
        raise CannotRunError(f"{gateway.name} does not become ready")

    def stop(self) -> None:
        """End all gateways that still run, and remove the temporary folder."""
        for gateway in self.gateways:
            if gateway.runs:
                gateway.process.kill()
                gateway.process.wait()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


class Runner:
    """Serve requests as a sound runner does, and report to the gateways."""

    def __init__(self, fleet: Fleet, service: str, zone: str, slots: int = 8) -> None:
        self.fleet = fleet
        self.service = service
        self.zone = zone
        self.slots = slots
        self.name = f"i-{random.getrandbits(40):010x}"
        self.address = ""
        self.state = "ready"
        self.sequence = 0
        self.work_seconds = 0.02
        self.places = asyncio.Semaphore(slots)
        self.runs: list[dict[str, str]] = []
        """Headers of the requests that were run."""
        self.server: asyncio.Server | None = None
        self.reporting: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Listen, and begin to report."""
        ip = self.fleet.addresses[-1]
        self.server = await asyncio.start_server(self.serve, ip, 0)
        port = self.server.sockets[0].getsockname()[1]
        self.address = f"{ip}:{port}"
        self.reporting = asyncio.create_task(self.report())
        self.fleet.record.write(f"runner {self.name} of {self.service} is started")

    async def stop(self) -> None:
        """Stop to report and to listen."""
        self.reporting.cancel()
        self.server.close()

    async def report(self) -> None:
        """Send a heartbeat to a gateway about every `heartbeat_ms`."""
        while True:
            self.sequence += 1
            body = json.dumps(
                {
                    "service": self.service,
                    "address": self.address,
                    "zone": self.zone,
                    "version": "v1",
                    "slots": self.slots,
                    "state": self.state,
                    "cold_left_ms": 0,
                    "seq": self.sequence,
                }
            ).encode()
            running = [each for each in self.fleet.gateways if each.runs]
            random.shuffle(running)
            for gateway in running:
                answer = await call(
                    gateway.control,
                    "PUT",
                    f"/api/runners/{self.name}",
                    {"Content-Type": "application/json"},
                    body,
                    1.0,
                )
                if answer.status == 200:
                    break
            await asyncio.sleep(HEARTBEAT_MS / 1000)

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer the requests of one connection, one at a time."""
        try:
            while True:
                first, headers = await read_head(reader)
                await read_body(reader, headers)
                method, path, _ = first.split()
                writer.write(await self.answer(method, path, headers))
                await writer.drain()
        except (OSError, EOFError, ValueError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def answer(self, method: str, path: str, headers: dict[str, str]) -> bytes:
        """Run a request, or reject one that is meant for another runner."""
        attempt = headers.get("x-attempt-id", "")
        named = headers.get("x-expect-instance")
        common = [f"X-Attempt-Id: {attempt}", "Keep-Alive: timeout=5"]
        if path == "/healthz":
            return reply(200, [f"X-Runner-Id: {self.name}"], b"ok")
        if named is not None and named != self.name:
            return reply(421, [*common, "X-Not-Run: 1"], b"")
        async with self.places:
            self.runs.append({"method": method, "path": path, **headers})
            self.fleet.record.write(
                f"runner {self.name} runs {attempt}, tenant {headers.get('x-tenant')}"
            )
            await asyncio.sleep(self.work_seconds)
        return reply(200, [*common, f"X-Response-Stamp: {self.name}.{attempt}"], b"ok")


def reply(status: int, lines: list[str], body: bytes) -> bytes:
    """Return the bytes of an answer."""
    head = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}", *lines]
    return ("\r\n".join(head) + "\r\n\r\n").encode() + body


def run_case(folder: Path, play) -> None:
    """Play a case, with the disruption unless TROUBLE is 0, and exit by its result."""
    record = Record(folder / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    fleet = None
    try:
        fleet = Fleet(record)
        record.write(f"begin, {'with' if trouble else 'without'} the disruption")
        broken = asyncio.run(asyncio.wait_for(play(fleet, trouble), 110))
        record.write("the rule is broken" if broken else "the rule held")
        code = BROKEN if broken else HELD
    except Exception as error:
        record.write(f"the case could not run: {error!r}")
        code = NOT_RUN
    finally:
        if fleet is not None:
            fleet.stop()
    sys.exit(code)
