"""Run the fleet to compare choices on: shared engines, and entries for each choice."""

import sys
from pathlib import Path

from local_fleet import LocalFleet, Upstream, wait_until

COWSLIPSHELF = "cowslipshelf"
CHOICES = (COWSLIPSHELF, "round-robin", "least-outstanding")
ENTRIES_PER_CHOICE = 2
ENGINES = 9
MODEL = "ledger-1"
SERVICE = "scribe"
MEMORY_TOKENS = 480_000
PREFILL_SECONDS_PER_TOKEN = 25e-6
PREFILL_SECONDS_PER_TOKEN_SQUARED = 3e-11
STEP_SECONDS = 0.005
BATCH_SLOW_DOWN = 0.06
CHUNK_TOKENS = 2_048
TIME_SCALE = 0.5
"""Real seconds per second of an engine, so that all runs take only minutes."""
CUSTOMER_SHARES = (25.0, 25.0, 25.0) + (25.0 / 7,) * 7
CUSTOMERS = tuple(f"customer-{number}" for number in range(10))
LAUNCHER = Path(__file__).with_name("real_path_entry.py")

ENGINE_OPTIONS = (
    "--prefill-seconds-per-token",
    str(PREFILL_SECONDS_PER_TOKEN),
    "--prefill-seconds-per-token-squared",
    str(PREFILL_SECONDS_PER_TOKEN_SQUARED),
    "--decode-seconds-per-token",
    str(STEP_SECONDS),
    "--batch-slow-down",
    str(BATCH_SLOW_DOWN),
    "--prefill-chunk-tokens",
    str(CHUNK_TOKENS),
    "--time-scale",
    str(TIME_SCALE),
)


def customer_key(customer: str) -> str:
    """Return the key of a customer."""
    return f"key-of-{customer}"


class ComparisonFleet(LocalFleet):
    """Run one set of engines, and separate entries for each choice."""

    def __init__(self, folder: Path, engines: int = ENGINES) -> None:
        super().__init__(folder, entries=ENTRIES_PER_CHOICE * len(CHOICES))
        self.upstreams = tuple(
            Upstream(
                f"scribe-{number}",
                SERVICE,
                "model",
                (MODEL,),
                MEMORY_TOKENS,
                options=ENGINE_OPTIONS,
            )
            for number in range(1, engines + 1)
        )

    def choice_of(self, entry: str) -> str:
        """Return the choice that an entry uses."""
        return CHOICES[self.entry_names.index(entry) // ENTRIES_PER_CHOICE]

    def callers_of(self, choice: str) -> tuple[str, ...]:
        """Return the callers' addresses of the entries with a choice."""
        return tuple(
            self.callers[name]
            for name in self.entry_names
            if self.choice_of(name) == choice
        )

    def start_daemon(self, name: str, settings: Path) -> None:
        """Start a daemon; the launcher starts an entry with a baseline choice."""
        if name not in self.entry_names or self.choice_of(name) == COWSLIPSHELF:
            super().start_daemon(name, settings)
            return
        arguments = ["--choice", self.choice_of(name), "--settings", str(settings)]
        self.start_process(name, [str(LAUNCHER), *arguments])

    def start_all(self) -> None:
        """Start all processes, and wait until all have the configuration."""
        for name in self.entry_names:
            self.start_entry(name)
        for upstream in self.upstreams:
            self.start_upstream(upstream)
        self.wait_ready()
        self.change("first", first_change())
        self.wait_in_force()

    def wait_in_force(self) -> None:
        """Wait until every entry sees the version in force at every sidecar."""
        for name in self.entry_names:
            wait_until(lambda name=name: self.in_force_at(name), f"version at {name}")

    def in_force_at(self, name: str) -> bool:
        """Return whether an entry sees its version in force at every sidecar."""
        status, state = self.operator_call(name, "GET", "/v1/state")
        if status != 200 or not state["configuration"]["version"]:
            return False
        available = [each for each in state["upstreams"] if each["available"]]
        version = state["configuration"]["version"]
        current = [
            each
            for each in state["instances"]
            if each["role"] == "sidecar" and each["configuration_version"] == version
        ]
        return len(available) == len(current) == len(self.upstreams)

    def wait_idle(self) -> None:
        """Wait until no upstream runs a request."""
        wait_until(self.is_idle, "idle engines")

    def is_idle(self) -> bool:
        """Return whether the last load reports show no running request."""
        _, state = self.operator_call(self.entry_names[0], "GET", "/v1/state")
        return not any(each["running"] for each in state["upstreams"])

    def kill_engines(self, count: int) -> None:
        """Kill the first engines, but not their sidecars."""
        for upstream in self.upstreams[:count]:
            self.kill(upstream.name)

    def restart_engines(self) -> None:
        """Restart the killed engines."""
        for upstream in self.upstreams:
            if not self.is_running(upstream.name):
                self.start_standin(upstream)


def first_change() -> dict[str, object]:
    """Return the change that sets up the model, service and customers."""
    return {
        "put_models": [{"name": MODEL, "version": "1"}],
        "put_services": [{"name": SERVICE, "kind": "model", "models": [MODEL]}],
        "put_customers": [
            {"name": name, "key": customer_key(name), "services": [SERVICE]}
            for name in CUSTOMERS
        ],
    }


def make_python_paths_absolute() -> None:
    """Make import paths absolute, for processes with another working folder."""
    sys.path[:] = [str(Path(path).resolve()) for path in sys.path]
