"""Serve a weight store with a rate limit."""

from threading import Lock
from time import monotonic
from typing import NamedTuple, Self

import msgspec

from cowslipshelf_standins.internal.faults import FaultInjector
from cowslipshelf_standins.internal.http_serving import (
    BadRequestError,
    StandInHandler,
    StandInServer,
)


class WeightStoreConfig(NamedTuple):
    """Configure the size of weights and the number of loads per window."""

    weight_bytes: int = 65_536
    loads_per_window: int = 4
    window_seconds: float = 1.0


class Served(msgspec.Struct, frozen=True):
    """Count the loads that were served and refused."""

    loads: int = 0
    bytes: int = 0
    limited: int = 0


class WeightStoreHandler(StandInHandler):
    """Handle `GET /weights/{model}/{version}` and `GET /_served`."""

    server: "WeightStoreServer"

    def respond(self, body: bytes) -> None:  # noqa: ARG002
        """Answer a request for weights or for the counters."""
        match (self.command, self.path_only.strip("/").split("/")):
            case ("GET", ["_served"]):
                self.answer_json(200, self.server.served)
            case ("GET", ["weights", _, _]):
                self.send_weights()
            case _:
                raise BadRequestError(404, "not_found", f"no path {self.path}")

    def send_weights(self) -> None:
        """Send weights, or refuse the load without a grant or above the rate limit."""
        if not self.headers.get("X-Load-Grant"):
            raise BadRequestError(403, "no_grant", "a load needs a grant")
        wait = self.server.try_load()
        if wait > 0:
            raise BadRequestError(429, "rate_limited", "too many loads", wait)
        size = self.server.config.weight_bytes
        kind = (("Content-Type", "application/octet-stream"),)
        self.answer_bytes(200, bytes(size), kind)


class WeightStoreServer(StandInServer):
    """Serve one weight store."""

    def __init__(self, listen_address: str, config: WeightStoreConfig) -> None:
        super().__init__(listen_address, WeightStoreHandler, FaultInjector())
        self.config = config
        self.lock = Lock()
        self.load_times: list[float] = []
        self.served = Served()

    @classmethod
    def from_config(
        cls, config: WeightStoreConfig, listen_address: str = "127.0.0.1:0"
    ) -> Self:
        """Create a weight store that listens but does not serve yet."""
        return cls(listen_address, config)

    def try_load(self) -> float:
        """Count a load and return 0, or return the seconds to wait."""
        with self.lock:
            now = monotonic()
            oldest = now - self.config.window_seconds
            self.load_times = [at for at in self.load_times if at > oldest]
            served = self.served
            if len(self.load_times) >= self.config.loads_per_window:
                self.served = Served(served.loads, served.bytes, served.limited + 1)
                return self.load_times[0] - oldest
            self.load_times.append(now)
            size = served.bytes + self.config.weight_bytes
            self.served = Served(served.loads + 1, size, served.limited)
            return 0.0
