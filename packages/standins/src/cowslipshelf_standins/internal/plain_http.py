"""Serve a plain service that echoes and records its calls."""

from hashlib import sha256
from threading import Lock
from time import sleep
from typing import NamedTuple, Self

import msgspec

from cowslipshelf_standins.internal.faults import FaultInjector
from cowslipshelf_standins.internal.http_serving import StandInHandler, StandInServer

CALLS_PATH = "/_calls"


class PlainConfig(NamedTuple):
    """Configure a plain service."""

    delay_seconds: float = 0.0


class Call(msgspec.Struct, frozen=True):
    """Describe a call that the service ran."""

    method: str
    path: str
    body_digest: str
    body_bytes: int
    attempt_id: str
    idempotency_key: str


class PlainHandler(StandInHandler):
    """Run and echo any call."""

    server: "PlainServer"

    def respond(self, body: bytes) -> None:
        """Run a call and answer it, or list the calls that ran."""
        if self.path_only == CALLS_PATH:
            self.answer_json(200, self.server.calls_run())
            return
        call = Call(
            method=self.command,
            path=self.path,
            body_digest=sha256(body).hexdigest(),
            body_bytes=len(body),
            attempt_id=self.headers.get("X-Attempt-Id", ""),
            idempotency_key=self.headers.get("Idempotency-Key", ""),
        )
        self.server.run(call)
        sleep(
            self.server.config.delay_seconds * self.server.injector.faults.slow_factor
        )
        if self.server.injector.faults.drop_before_answer:
            raise ConnectionAbortedError("fault injection: drop_before_answer")
        self.answer_json(200, call)


class PlainServer(StandInServer):
    """Serve one plain service."""

    def __init__(self, listen_address: str, config: PlainConfig) -> None:
        super().__init__(listen_address, PlainHandler, FaultInjector())
        self.config = config
        self.lock = Lock()
        self.calls: list[Call] = []

    @classmethod
    def from_config(
        cls, config: PlainConfig, listen_address: str = "127.0.0.1:0"
    ) -> Self:
        """Create a plain service that listens but does not serve yet."""
        return cls(listen_address, config)

    def run(self, call: Call) -> None:
        """Run a call; its effect is its entry in `calls`."""
        with self.lock:
            self.calls.append(call)

    def calls_run(self) -> tuple[Call, ...]:
        """Return the calls in the order in which they ran."""
        with self.lock:
            return tuple(self.calls)
