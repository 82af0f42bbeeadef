"""Run a small fleet of real processes on this machine, for examples and tests.

It is not part of the system, whose processes never start one another.
"""

import json
import os
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any, NamedTuple

import urllib3

CLUSTER_KEY = "an-example-cluster-key-of-32-characters"
OPERATOR_KEY = "an-example-operator-key"
LOOPBACK = "127.0.0.1"
DATA_CENTRES = ("maadi", "nasr", "smart-village")
POLL_SECONDS = 0.05
TIMEOUT_SECONDS = 60.0
EXIT_TIMEOUT_SECONDS = 40.0
REFUSED_STATUSES = (400, 422)


class FleetError(Exception):
    """Report that the fleet did not reach an expected state."""


class Upstream(NamedTuple):
    """Describe one upstream of the fleet."""

    name: str
    service: str
    kind: str
    models: tuple[str, ...] = ()
    memory_tokens: int = 400_000
    checks_fencing: bool = True
    options: tuple[str, ...] = ()


class ReservedAddresses:
    """Reserve free ports until the processes that need them listen on them.

    The kernel may give a port that was found free to an outgoing connection, and the
    process that should listen there then fails to start. A socket that is bound with
    SO_REUSEADDR but never listens keeps the port, and still lets a listener bind it.
    """

    def __init__(self) -> None:
        self.sockets: list[socket.socket] = []

    def reserve(self) -> str:
        """Return an address with a reserved port, which only a listener can bind."""
        reserved = socket.socket()
        reserved.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        reserved.bind((LOOPBACK, 0))
        self.sockets.append(reserved)
        return f"{LOOPBACK}:{reserved.getsockname()[1]}"

    def release(self) -> None:
        """Release all ports."""
        for reserved in self.sockets:
            reserved.close()
        self.sockets.clear()


def wait_until(condition: Callable[[], Any], description: str) -> Any:
    """Poll until the condition returns a true value, and return that value."""
    limit = time.monotonic() + TIMEOUT_SECONDS
    while time.monotonic() < limit:
        found = condition()
        if found:
            return found
        time.sleep(POLL_SECONDS)
    raise FleetError(f"{description} did not happen within {TIMEOUT_SECONDS:.0f} s")


class LocalFleet:
    """Manage the processes, settings files and data folders of a small fleet."""

    def __init__(
        self, folder: Path, entries: int = 3, timings: dict[str, float] | None = None
    ) -> None:
        self.folder = folder
        self.timings = timings or {}
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.settings: dict[str, Path] = {}
        self.upstream_addresses: dict[str, str] = {}
        self.reserved = ReservedAddresses()
        free_address = self.reserved.reserve
        self.entry_names = tuple(f"entry-{index + 1}" for index in range(entries))
        self.mailboxes = {name: free_address() for name in self.entry_names}
        self.callers = {name: free_address() for name in self.entry_names}
        self.operators = {name: free_address() for name in self.entry_names}
        self.attempts: dict[str, str] = {}
        self.http = urllib3.PoolManager(retries=False, timeout=10.0)
        folder.mkdir(parents=True, exist_ok=True)

    def data_centre(self, index: int) -> str:
        """Return the data centre of an instance, assigned in turn."""
        return DATA_CENTRES[index % len(DATA_CENTRES)]

    def write_settings(self, name: str, document: dict[str, Any]) -> Path:
        """Write one instance's settings file."""
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(document, indent=2))
        self.settings[name] = path
        return path

    def common_settings(self, name: str, index: int, mailbox: str) -> dict[str, Any]:
        """Return the settings that all roles share."""
        return {
            "instance": name,
            "data_centre": self.data_centre(index),
            "data_centres": list(DATA_CENTRES),
            "cluster_key": CLUSTER_KEY,
            "mailbox_address": mailbox,
            "entries": [
                {
                    "instance": entry,
                    "data_centre": self.data_centre(position),
                    "mailbox_address": self.mailboxes[entry],
                    "replica": True,
                }
                for position, entry in enumerate(self.entry_names)
            ],
            "timings": self.timings,
        }

    def start_entry(self, name: str) -> None:
        """Start or restart one entry daemon with its data folder."""
        import hashlib

        index = self.entry_names.index(name)
        document = self.common_settings(name, index, self.mailboxes[name]) | {
            "role": "entry",
            "entry": {
                "callers_address": self.callers[name],
                "operators_address": self.operators[name],
                "data_folder": str(self.folder / f"{name}-data"),
                "operator_key_hashes": [
                    hashlib.sha256(OPERATOR_KEY.encode()).hexdigest()
                ],
            },
        }
        self.start_daemon(name, self.write_settings(name, document))

    def start_upstream(self, upstream: Upstream) -> None:
        """Start the stand-in of one upstream, and its sidecar."""
        self.start_standin(upstream)
        self.start_sidecar(upstream)

    def start_standin(self, upstream: Upstream) -> None:
        """Start or restart the stand-in of one upstream."""
        address = self.upstream_addresses.setdefault(
            upstream.name, self.reserved.reserve()
        )
        role = "engine" if upstream.kind == "model" else "plain"
        command = ["-m", "cowslipshelf_standins", role, "--address", address]
        if role == "engine":
            command += ["--memory-tokens", str(upstream.memory_tokens)]
        self.start_process(upstream.name, [*command, *upstream.options])
        self.wait_for_port(address)

    def start_sidecar(self, upstream: Upstream) -> None:
        """Start or restart the sidecar of one upstream."""
        name = f"{upstream.name}-sidecar"
        attempts = self.attempts.setdefault(name, self.reserved.reserve())
        index = len(self.attempts)
        document = self.common_settings(name, index, self.reserved.reserve()) | {
            "role": "sidecar",
            "sidecar": {
                "attempts_address": attempts,
                "upstream": {
                    "upstream_id": upstream.name,
                    "service": upstream.service,
                    "kind": upstream.kind,
                    "models": list(upstream.models),
                    "memory_tokens": upstream.memory_tokens
                    if upstream.kind == "model"
                    else 0,
                    "checks_fencing": upstream.checks_fencing,
                    "address": self.upstream_addresses[upstream.name],
                },
            },
        }
        self.start_daemon(name, self.write_settings(name, document))

    def start_daemon(self, name: str, settings: Path) -> None:
        """Start one daemon with its settings file."""
        arguments = ["-m", "cowslipshelf_daemon", "--settings", str(settings)]
        self.start_process(name, arguments)

    def start_process(self, name: str, arguments: Sequence[str]) -> None:
        """Start one Python process that logs into the fleet's folder."""
        environment = os.environ | {"PYTHONPATH": os.pathsep.join(sys.path)}
        with (self.folder / f"{name}.log").open("ab") as log:
            self.processes[name] = subprocess.Popen(
                [sys.executable, *arguments],
                stdout=log,
                stderr=log,
                env=environment,
            )

    def wait_for_port(self, address: str) -> None:
        """Wait until a process listens on an address."""
        host, port = address.split(":")

        def listening() -> bool:
            with socket.socket() as probe:
                probe.settimeout(1.0)
                return probe.connect_ex((host, int(port))) == 0

        wait_until(listening, f"a listener on {address}")

    def operator_call(
        self, name: str, method: str, path: str, document: Any = None
    ) -> tuple[int, Any]:
        """Send a request to the operators' interface of an entry."""
        response = self.http.request(
            method,
            f"http://{self.operators[name]}{path}",
            body=None if document is None else json.dumps(document).encode(),
            headers={"Authorization": f"Bearer {OPERATOR_KEY}"},
        )
        try:
            return response.status, json.loads(response.data)
        except ValueError:
            return response.status, response.data.decode(errors="replace")

    def is_ready(self, name: str) -> bool:
        """Return whether an entry reports itself ready."""
        try:
            return self.operator_call(name, "GET", "/readyz")[0] == 200
        except urllib3.exceptions.HTTPError:
            return False

    def wait_ready(self, names: Sequence[str] | None = None) -> None:
        """Wait until the named entries are ready; by default all of them."""
        for name in names or self.entry_names:
            wait_until(lambda name=name: self.check_ready(name), f"ready {name}")

    def check_ready(self, name: str) -> bool:
        """Return whether an entry is ready; raise `FleetError` if it has exited."""
        if not self.is_running(name):
            raise FleetError(f"{name} has ended; see {self.folder / name}.log")
        return self.is_ready(name)

    def is_running(self, name: str) -> bool:
        """Return whether a process was started and has not exited."""
        process = self.processes.get(name)
        return process is not None and process.poll() is None

    def change(
        self, change_id: str, change: dict[str, Any], based_on: int | None = None
    ) -> dict[str, Any]:
        """Plan and confirm a change, and try the entries in turn until one succeeds.

        Every resend must be identical, including the version it is based on.
        """
        if based_on is None:
            based_on = wait_until(self.newest_version, "a configuration")[0]
        document = {"change_id": change_id, "based_on": based_on, "change": change}
        return wait_until(lambda: self.try_change(document), f"change {change_id}")

    def newest_version(self) -> tuple[int] | None:
        """Return the newest configuration version of all ready entries, in a tuple.

        The tuple is true even for version 0, so that `wait_until` can return it.
        """
        versions = [
            self.operator_call(name, "GET", "/v1/state")[1]["configuration"]["version"]
            for name in self.entry_names
            if self.is_running(name) and self.is_ready(name)
        ]
        return (max(versions),) if versions else None

    def try_change(self, document: dict[str, Any]) -> dict[str, Any] | None:
        """Try each running entry once; resending a plan or confirm is safe."""
        for name in self.entry_names:
            if not self.is_running(name):
                continue
            try:
                answer = self.try_change_at(name, document)
            except urllib3.exceptions.HTTPError:
                continue
            if answer is not None:
                return answer
        return None

    def try_change_at(
        self, name: str, document: dict[str, Any]
    ) -> dict[str, Any] | None:
        """Plan and confirm a change once at one entry."""
        status, plan = self.operator_call(name, "POST", "/v1/plans", document)
        if status in REFUSED_STATUSES:
            raise FleetError(f"plan {document['change_id']} refused: {plan}")
        if status != 200:
            return None
        path = f"/v1/plans/{plan['plan']['plan_id']}/confirm"
        confirm = {"change_id": document["change_id"]}
        status, answer = self.operator_call(name, "POST", path, confirm)
        return answer if status == 200 else None

    def send_signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to one process."""
        self.processes[name].send_signal(number)

    def kill(self, name: str) -> None:
        """Kill one process and wait until it has exited."""
        self.processes[name].kill()
        self.processes[name].wait()

    def stop(self) -> dict[str, int]:
        """Shut all processes down, entries first, and return their exit codes."""
        codes = {}
        sidecars = [name for name in self.processes if name.endswith("-sidecar")]
        rest = [name for name in self.processes if name not in sidecars]
        entries = [name for name in rest if name in self.entry_names]
        upstreams = [name for name in rest if name not in self.entry_names]
        for group in (entries, sidecars, upstreams):
            codes |= self.stop_group(group)
        self.reserved.release()
        return codes

    def stop_group(self, names: Sequence[str]) -> dict[str, int]:
        """Terminate processes, and kill those that do not exit in time."""
        for name in names:
            if self.is_running(name):
                self.processes[name].send_signal(signal.SIGCONT)
                self.processes[name].terminate()
        return {name: self.wait_for_exit(name) for name in names}

    def wait_for_exit(self, name: str) -> int:
        """Wait for one process to exit, and kill it after the timeout."""
        process = self.processes[name]
        try:
            return process.wait(EXIT_TIMEOUT_SECONDS)
        except subprocess.TimeoutExpired:
            process.kill()
            return process.wait()

    def __enter__(self) -> "LocalFleet":
        """Return the fleet, which is stopped at the end of the block."""
        return self

    def __exit__(self, *_: object) -> None:
        """Stop every process."""
        self.stop()
