"""Run the fleet that choices are compared on: one set of engines, entries by choice."""

import sys
from pathlib import Path

from local_fleet import LocalFleet, Upstream, wait_until

OURS = "cowslipshelf"
CHOICES = (OURS, "round-robin", "least-outstanding")
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
"""Real seconds for one of the engine's, so that a run of all takes minutes."""
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
    """Return the key of a customer of this measurement."""
    return f"key-of-{customer}"


class ComparedFleet(LocalFleet):
    """Own one set of engines and, for each choice, entries that it goes through."""

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
        """Return the choice that an entry makes."""
        return CHOICES[self.entry_names.index(entry) // ENTRIES_PER_CHOICE]

    def callers_of(self, choice: str) -> tuple[str, ...]:
        """Return where callers reach the entries of a choice."""
        return tuple(
            self.callers[name]
            for name in self.entry_names
            if self.choice_of(name) == choice
        )

    def start_daemon(self, name: str, settings: Path) -> None:
        """Start a sidecar, an entry, or an entry with another choice."""
        if name not in self.entry_names or self.choice_of(name) == OURS:
            super().start_daemon(name, settings)
            return
        arguments = ["--choice", self.choice_of(name), "--settings", str(settings)]
        self.start_process(name, [str(LAUNCHER), *arguments])

    def start_all(self) -> None:
        """Start everything, and wait until every process has the configuration."""
        for name in self.entry_names:
            self.start_entry(name)
        for upstream in self.upstreams:
            self.start_upstream(upstream)
        self.wait_ready()
        self.change("first", first_change())
        self.wait_in_force()

    def wait_in_force(self) -> None:
        """Wait until every entry hears every sidecar with the version in force."""
        for name in self.entry_names:
            wait_until(lambda name=name: self.in_force_at(name), f"version at {name}")

    def in_force_at(self, name: str) -> bool:
        """Tell whether an entry sees the first version in force everywhere."""
        status, state = self.operator_call(name, "GET", "/v1/state")
        if status != 200 or not state["configuration"]["version"]:
            return False
        heard = [each for each in state["upstreams"] if each["available"]]
        version = state["configuration"]["version"]
        current = [
            each
            for each in state["instances"]
            if each["role"] == "sidecar" and each["configuration_version"] == version
        ]
        return len(heard) == len(current) == len(self.upstreams)

    def wait_idle(self) -> None:
        """Wait until no upstream runs anything."""
        wait_until(self.is_idle, "idle engines")

    def is_idle(self) -> bool:
        """Tell whether the last reports show nothing running."""
        _, state = self.operator_call(self.entry_names[0], "GET", "/v1/state")
        return not any(each["running"] for each in state["upstreams"])

    def lose_engines(self, count: int) -> None:
        """Kill the first engines, whose sidecars live on."""
        for upstream in self.upstreams[:count]:
            self.kill(upstream.name)

    def bring_back_engines(self) -> None:
        """Start again what was killed."""
        for upstream in self.upstreams:
            if not self.is_running(upstream.name):
                self.start_standin(upstream)


def first_change() -> dict[str, object]:
    """Return the one change of this measurement."""
    return {
        "put_models": [{"name": MODEL, "version": "1"}],
        "put_services": [{"name": SERVICE, "kind": "model", "models": [MODEL]}],
        "put_customers": [
            {"name": name, "key": customer_key(name), "services": [SERVICE]}
            for name in CUSTOMERS
        ],
    }


def python_paths_are_absolute() -> None:
    """Make the import paths hold in processes that start elsewhere."""
    sys.path[:] = [str(Path(path).resolve()) for path in sys.path]
