"""Run gateways as separate processes, with stand-ins for all that speaks to them.

The gateways are started with the command of the deploy file. Runners, clients, the
operator and the platform live in the process of the case. All addresses are loopback
addresses that no other case draws at the same time, and all ports are free ones.
"""

import asyncio
import contextlib
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from dataclasses import dataclass, field
from pathlib import Path
from typing import NamedTuple

REPOSITORY = Path(__file__).resolve().parents[2]
BROKEN, HELD, NOT_RUN = 1, 0, 2
"""Exit codes of a case: the rule was broken, it held, the case couldn't run."""
ZONE = "zone-a"
HEARTBEAT_SECONDS = 1.2
KEY = "n2ctnfzs989anu6wsjnb"
TENANT = "hule930"
HOST = "ficu95.example"
PORT_NAMES = ("front", "ready", "control", "peers", "metrics")


def has_trouble() -> bool:
    """Return whether the case is to play its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Write what was sent, answered and run, with the seconds since the start."""

    def __init__(self, path: Path) -> None:
        self.file = path.open("w", encoding="utf-8")
        self.began = time.monotonic()

    def write(self, what: str, **fields: object) -> None:
        """Write one line."""
        shown = " ".join(f"{name}={value}" for name, value in fields.items())
        seconds = time.monotonic() - self.began
        print(f"{seconds:8.3f} {what} {shown}".rstrip(), file=self.file, flush=True)


class Answer(NamedTuple):
    """Hold the answer to a request; the status is 0 if none came."""

    status: int
    headers: dict[str, str] = {}
    body: bytes = b""
    complete: bool = False
    error: str = ""


def loopback_hosts(count: int) -> list[str]:
    """Return addresses that no other process of a case uses."""
    high, low = divmod(os.getpid() % 32_000, 250)
    return [f"127.{100 + high}.{low + 1}.{11 + number}" for number in range(count)]


def free_ports(hosts: list[str]) -> dict[str, int]:
    """Return one free port for each use, the same at every address."""
    while True:
        held: list[socket.socket] = []
        try:
            ports = {}
            for name in PORT_NAMES:
                held.append(socket.create_server((hosts[0], 0)))
                ports[name] = held[-1].getsockname()[1]
                held += [
                    socket.create_server((each, ports[name])) for each in hosts[1:]
                ]
            return ports
        except OSError:
            continue
        finally:
            for each in held:
                each.close()


@dataclass
class Gateway:
    """Run one gateway process."""

    folder: Path
    host: str
    ports: dict[str, int]
    seeds: list[str]
    record: Record
    has_disk: bool = True
    process: subprocess.Popen | None = None

    def address(self, use: str) -> tuple[str, int]:
        """Return the address for a use."""
        return self.host, self.ports[use]

    def write_settings(self, bootstrap: bool) -> Path:
        """Write the settings file in the layout of the platform's pages."""
        self.folder.mkdir(parents=True, exist_ok=True)
        seeds = ", ".join(f'"{seed}:{self.ports["control"]}"' for seed in self.seeds)
        disk = f'data_dir = "{self.folder}/data"\n' if self.has_disk else ""
        path = self.folder / "settings.toml"
        path.write_text(
            f'node = "front-{self.host}"\nrole = "gateway"\n'
            'machine_class = "front"\nserves = ["front", "control"]\n'
            f'ip = "{self.host}"\nzone = "{ZONE}"\nregion = "region-a"\n'
            f"peer_port_range = [{self.ports['peers']}, {self.ports['peers']}]\n"
            f"seeds = [{seeds}]\nbootstrap = {str(bootstrap).lower()}\n"
            f"counts_as_loss = {str(self.has_disk).lower()}\n{disk}"
            'discovery = "registry"\nentry = "vip"\n'
            f"heartbeat_ms = {int(HEARTBEAT_SECONDS * 1000)}\n"
            'contracts = ["base", "drain", "config", "cost", "retry", "recover", '
            '"engine", "stream", "tenants", "spans"]\n'
            'config_mode = "highest"\n'
            f'[zones]\n{ZONE} = "region-a"\n'
            f'[listen]\nfront = "{self.host}:{self.ports["front"]}"\n'
            f'ready = "{self.host}:{self.ports["ready"]}"\n'
            f'control = "{self.host}:{self.ports["control"]}"\n'
            "[limits]\ncpu_share = 0.968\ncores = 2\nmemory_mb = 300\n"
            "max_fds = 4100\nlink_mbps = 1000.0\ndisk_mb = 64\n"
            "[fault_tolerance]\nmachines = 1\nzones = 0\nregions = 0\n"
            "[bounds]\nseed_lag_s = 3\nreuse_after_s = 2\n"
            "stability_window_ms = 3000\nack_ms = 4000\ncatch_up_s = 4\n"
            "drain_ms = 2000\ngrace_s = 8\nlost_slack_ms = 200\n"
            "config_apply_ms = 2000\nrollback_slack_ms = 250\n"
            "max_stretch_ms = 5000\nrevoke_strict = false\nrevoke_ms = 5000\n"
            "retry_budget_ratio = 0.2\nbudget_window_s = 10\n"
            "retry_budget_slack = 106\nrecover_s = 12\npass_ms = 120\n"
            "retry_after_s = 0\nstall_ms = 1500\nhold_max_ms = 20000\n"
            "free_ms = 4000\nidle_max_ms = 9000\n",
            encoding="utf-8",
        )
        return path

    def start(self, bootstrap: bool) -> None:
        """Start the process with the command of the deploy file."""
        settings = self.write_settings(bootstrap)
        front = f"{self.host}:{self.ports['front']}"
        command = ["python3", "-S", "-m", "cowslipshelf_daemon", "gateway"]
        command += ["cowslipshelf_adapter", front]
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ
        }
        environment |= {
            "LANG": "C.UTF-8",
            "PYTHONPATH": str(REPOSITORY / "target" / "deps"),
            "COWSLIPSHELF_CONFIG": str(settings),
            "COWSLIPSHELF_METRICS_PORT": str(self.ports["metrics"]),
        }
        with (self.folder / "log").open("ab") as log:
            self.process = subprocess.Popen(
                command,
                cwd=REPOSITORY,
                env=environment,
                stdout=log,
                stderr=subprocess.STDOUT,
                start_new_session=True,
            )
        self.record.write("gateway started", node=self.host, bootstrap=bootstrap)

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        self.process.send_signal(number)
        self.record.write("gateway signalled", node=self.host, signal=number.name)

    def end(self) -> None:
        """Kill the process, if it still runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()

    async def ended(self, seconds: float) -> int | None:
        """Wait until the process has ended; return its code, or None."""
        until = time.monotonic() + seconds
        while self.process.poll() is None and time.monotonic() < until:
            await asyncio.sleep(0.02)
        code = self.process.poll()
        self.record.write("gateway ended", node=self.host, code=code)
        return code

    async def is_ready(self) -> bool:
        """Return whether the readiness probe succeeds."""
        answer = await call(self.address("ready"), "GET", "/api/ready")
        return answer.status == HTTP_OK


HTTP_OK = 200


async def read_answer(reader: asyncio.StreamReader) -> Answer:
    """Read one answer; one that breaks off is returned as not complete."""
    status, headers, body = 0, {}, b""
    try:
        status = int((await reader.readline()).split()[1])
        while line := (await reader.readline()).strip():
            name, _, value = line.decode("latin-1").partition(":")
            headers[name.strip().lower()] = value.strip()
        if headers.get("transfer-encoding") == "chunked":
            while size := int((await reader.readline()).strip(), 16):
                body += await reader.readexactly(size)
                await reader.readline()
            await reader.readline()
        else:
            body = await reader.readexactly(int(headers.get("content-length", "0")))
    except (OSError, ValueError, IndexError, asyncio.IncompleteReadError) as error:
        return Answer(status, headers, body, False, type(error).__name__)
    return Answer(status, headers, body, True)


def request_bytes(
    method: str, path: str, headers: dict[str, str], body: bytes, host: str = HOST
) -> bytes:
    """Return the bytes of a request."""
    lines = [f"{method} {path} HTTP/1.1", f"Host: {host}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if body or method in ("POST", "PUT"):
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


async def call(
    address: tuple[str, int],
    method: str,
    path: str,
    document: object = None,
    seconds: float = 1.0,
) -> Answer:
    """Make one call on a connection of its own, as operators and runners do."""
    body = b"" if document is None else json.dumps(document).encode()
    headers = {"Content-Type": "application/json"} if body else {}
    writer = None
    try:
        async with asyncio.timeout(seconds):
            reader, writer = await asyncio.open_connection(*address)
            writer.write(request_bytes(method, path, headers, body, address[0]))
            return await read_answer(reader)
    except (OSError, TimeoutError) as error:
        return Answer(0, error=type(error).__name__)
    finally:
        if writer is not None:
            writer.close()


@dataclass
class Fleet:
    """Run some gateways, and end them whatever happens."""

    record: Record
    gateways: list[Gateway]
    folder: Path

    @classmethod
    def of(cls, record: Record, count: int, spares: int = 0, disks: int = 3) -> "Fleet":
        """Create a fleet whose first gateways have disks; all seeds have one."""
        folder = Path(tempfile.mkdtemp(prefix="cowslipshelf-case-"))
        hosts = loopback_hosts(count + spares)
        ports = free_ports(hosts)
        seeds = hosts[:3]
        gateways = [
            Gateway(folder / host, host, ports, seeds, record, number < disks)
            for number, host in enumerate(hosts)
        ]
        for spare in gateways[count:]:
            spare.has_disk = True
        return cls(record, gateways, folder)

    def end(self) -> None:
        """End all gateways and remove their files, except where logs are kept."""
        for gateway in self.gateways:
            gateway.end()
        kept = os.environ.get("KEEP_LOGS")
        if kept:
            for gateway in self.gateways:
                log = gateway.folder / "log"
                if log.exists():
                    shutil.copy(log, Path(kept) / f"{gateway.host}.log")
        shutil.rmtree(self.folder, ignore_errors=True)

    async def put(self, document: dict, gateways: list[Gateway], seconds: float) -> int:
        """Send a configuration as the operator does, until a clear answer or the end.

        It moves on to another daemon after a failure, a 5xx or a second.
        """
        until = time.monotonic() + seconds
        pause, turn = 0.05, 0
        while time.monotonic() < until:
            gateway = gateways[turn % len(gateways)]
            turn += 1
            answer = await call(
                gateway.address("control"), "PUT", "/api/config", document
            )
            self.record.write(
                "operator PUT /api/config",
                version=document["version"],
                node=gateway.host,
                status=answer.status or answer.error,
            )
            if answer.status == HTTP_OK or 400 <= answer.status < 500:
                return answer.status
            await asyncio.sleep(pause)
            pause = min(1.0, 2 * pause)
        return 0

    async def wait_ready(self, gateways: list[Gateway], seconds: float) -> bool:
        """Wait until the gateways are ready; return whether they are."""
        until = time.monotonic() + seconds
        for gateway in gateways:
            while not await gateway.is_ready():
                if time.monotonic() > until:
                    return False
                await asyncio.sleep(0.05)
        return True


@dataclass
class Run:
    """Hold one run of a request at a runner."""

    attempt_id: str
    path: str
    began: float
    ended: float | None = None
    broken_off: bool = False


@dataclass
class Runner:
    """Stand in for a sound runner: it answers after a time, and sends heartbeats."""

    record: Record
    service: str
    name: str
    host: str
    slots: int = 6
    work_seconds: float = 0.02
    runs: list[Run] = field(default_factory=list)
    sequence: int = 0
    server: asyncio.Server | None = None
    state: str = "ready"

    async def start(self) -> None:
        """Listen on a free port."""
        self.server = await asyncio.start_server(self.serve, self.host, 0)

    @property
    def address(self) -> str:
        """Return the address in heartbeats."""
        host, port = self.server.sockets[0].getsockname()
        return f"{host}:{port}"

    def heartbeat(self) -> dict:
        """Return the next heartbeat."""
        self.sequence += 1
        return {
            "service": self.service,
            "address": self.address,
            "zone": ZONE,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "cold_left_ms": 0,
            "stage": "both",
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "seq": self.sequence,
        }

    async def beat(self, gateways: list[Gateway]) -> None:
        """Send heartbeats for ever, to the next gateway where one fails."""
        turn = 0
        while True:
            heartbeat = self.heartbeat()
            for _ in gateways:
                address = gateways[turn % len(gateways)].address("control")
                path = f"/api/runners/{self.name}"
                answer = await call(address, "PUT", path, heartbeat)
                if 200 <= answer.status < 300:
                    break
                turn += 1
            await asyncio.sleep(HEARTBEAT_SECONDS)

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve the requests of one connection, one at a time."""
        ends = (OSError, asyncio.IncompleteReadError, asyncio.CancelledError)
        with contextlib.suppress(*ends):
            while await self.serve_one(reader, writer):
                pass
        writer.close()

    async def serve_one(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Serve one request; return whether the connection goes on."""
        line = (await reader.readline()).decode("latin-1").split()
        if len(line) != 3:
            return False
        headers = {}
        while text := (await reader.readline()).strip():
            name, _, value = text.decode("latin-1").partition(":")
            headers[name.lower()] = value.strip()
        length = int(headers.get("content-length", "0"))
        await reader.readexactly(length)
        attempt_id = headers.get("x-attempt-id", "")
        expected = headers.get("x-expect-instance")
        if expected not in (None, self.name):
            self.record.write("runner refuses", runner=self.name, id=attempt_id)
            await self.respond(writer, 421, {"X-Not-Run": "1"}, attempt_id, b"")
            return True
        await self.run(line[0], line[1], headers, attempt_id, writer)
        return True

    async def run(
        self,
        method: str,
        path: str,
        headers: dict[str, str],
        attempt_id: str,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Run one request, and drop it if its connection closes."""
        run = Run(attempt_id, path, time.monotonic())
        self.runs.append(run)
        self.record.write(
            "runner runs",
            runner=self.name,
            id=attempt_id,
            call=f"{method} {path}",
            deadline_ms=headers.get("x-deadline-ms"),
        )
        await asyncio.sleep(self.work_seconds)
        run.ended = time.monotonic()
        run.broken_off = writer.transport.is_closing()
        self.record.write(
            "runner has run",
            runner=self.name,
            id=attempt_id,
            connection="closed" if run.broken_off else "open",
        )
        await self.respond(writer, HTTP_OK, {}, attempt_id, b"x" * 800)

    async def respond(
        self,
        writer: asyncio.StreamWriter,
        status: int,
        headers: dict[str, str],
        attempt_id: str,
        body: bytes,
    ) -> None:
        """Send a whole answer."""
        lines = [
            f"HTTP/1.1 {status} -",
            f"X-Attempt-Id: {attempt_id}",
            f"X-Response-Stamp: {self.name}.{len(self.runs)}",
            "X-Runner-Load: 0,0,6",
            f"Content-Length: {len(body)}",
            *(f"{name}: {value}" for name, value in headers.items()),
        ]
        writer.write("\r\n".join([*lines, "", ""]).encode("latin-1") + body)
        await writer.drain()


@dataclass
class StreamRunner(Runner):
    """Stand in for a sound model runner, which answers with a stream of events."""

    events: int = 10
    pause_seconds: float = 0.05

    async def run(
        self,
        method: str,
        path: str,
        headers: dict[str, str],
        attempt_id: str,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Send the events after the last one that the request names."""
        if path == "/api/report":
            await self.respond(writer, HTTP_OK, {}, attempt_id, b"{}")
            return
        run = Run(attempt_id, path, time.monotonic())
        self.runs.append(run)
        last = headers.get("last-event-id", "0")
        self.record.write(
            "runner runs",
            runner=self.name,
            id=attempt_id,
            call=f"{method} {path}",
            last_event=last,
        )
        lines = [
            "HTTP/1.1 200 OK",
            f"X-Attempt-Id: {attempt_id}",
            f"X-Response-Stamp: {self.name}.{len(self.runs)}",
            "Content-Type: text/event-stream",
            "Transfer-Encoding: chunked",
        ]
        writer.write("\r\n".join([*lines, "", ""]).encode("latin-1"))
        for number in range(int(last) + 1, self.events + 1):
            await asyncio.sleep(self.pause_seconds)
            event = f"id: {number}\ndata: piece {number}\n\n".encode()
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        run.ended = time.monotonic()
        self.record.write("runner has run", runner=self.name, id=attempt_id)


def route(name: str, path: str, service: str, kind: str, **more: object) -> dict:
    """Return a route of a configuration."""
    document = {
        "name": name,
        "host": HOST,
        "path_prefix": path,
        "kind": kind,
        "timeout_ms": 3000,
        "slo_ms": 400,
        "priority": 1,
        "service": service,
        "attempts": 1,
        "public": False,
        "sticky": False,
        "resumable": False,
    }
    return document | more


def configuration(version: int, routes: list[dict], services: list[dict]) -> dict:
    """Return a configuration as an operator sends it."""
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [{"name": TENANT, "api_keys": [KEY], "priority": 1}],
    }


def plain_service(name: str) -> dict:
    """Return a service without engines."""
    return {
        "name": name,
        "health_path": "/healthz",
        "max_conns": 110,
        "protocol": "h1",
        "tls": False,
    }


def engine_service(name: str) -> dict:
    """Return a service of model runners, with the figures of the pages' example."""
    engine = {
        "slots": 8,
        "kv_tokens": 405000,
        "kv_token_bytes": 163840,
        "link_mbps": 400000.0,
        "stride": 34,
        "models": [{"name": "m"}],
        "step_ms": 1.31,
        "per_seq_ms": 0.001834,
        "context_per_k": 0.00213,
        "read_per_s": 154000.0,
        "pairs_per_m": 0.162,
        "chunk": 2048,
        "report_lag_ms": 200.0,
        "loads_per_s": 0.0,
        "loads_at_once": 8,
        "delays": [],
        "usual": {"prompt": 11301, "answer": 1266},
        "hop_ms": 0.1,
    }
    return plain_service(name) | {"max_conns": 294, "engine": engine}


def caller_headers(attempt_id: str, deadline_ms: int) -> dict[str, str]:
    """Return the headers of a client's request."""
    return {
        "X-Attempt-Id": attempt_id,
        "X-Deadline-Ms": str(deadline_ms),
        "Authorization": f"Token {KEY}",
    }


def play(name: str, case) -> None:
    """Play a case, and exit with what it found; `case` takes a record."""
    record = Record(Path(name).resolve().parent / "record.txt")
    try:
        code = asyncio.run(case(record))
    except Exception as error:
        record.write("case failed", error=repr(error))
        print(f"The case could not run: {error!r}", file=sys.stderr)
        code = NOT_RUN
    record.write("exit", code=code)
    sys.exit(code)
