"""Serve an engine stand-in over HTTP."""

from functools import cache
from typing import Self
from urllib.parse import parse_qs
from uuid import uuid4

import msgspec

from cowslipshelf_standins.internal.attempts import Attempt, AttemptState
from cowslipshelf_standins.internal.configuration import EngineConfig
from cowslipshelf_standins.internal.engine import Engine
from cowslipshelf_standins.internal.engine_documents import (
    Cancelled,
    ModelEntry,
    ModelList,
    StartOptions,
)
from cowslipshelf_standins.internal.engine_loop import EngineLoop
from cowslipshelf_standins.internal.event_stream import whole_answer
from cowslipshelf_standins.internal.event_writer import EventWriter, StreamCutError
from cowslipshelf_standins.internal.faults import FaultInjector
from cowslipshelf_standins.internal.http_serving import (
    BadRequestError,
    StandInHandler,
    StandInServer,
)
from cowslipshelf_standins.internal.kv_parts import KvExport, KvImport
from cowslipshelf_standins.internal.orders import OrderAnswer, OrderBody
from cowslipshelf_standins.internal.prompts import prompt_from_body

EVENT_STREAM_HEADERS = (
    ("Content-Type", "text/event-stream"),
    ("Cache-Control", "no-store"),
)


class EngineHandler(StandInHandler):
    """Handle the requests to an engine."""

    server: "EngineServer"

    @property
    def engine(self) -> Engine:
        """Return the engine that this connection belongs to."""
        return self.server.engine

    def respond(self, body: bytes) -> None:
        """Route a request by its method and path."""
        engine = self.engine
        match (self.command, self.path_only.strip("/").split("/")):
            case ("POST", ["v1", "completions"]):
                self.start(body, chat=False)
            case ("POST", ["v1", "chat", "completions"]):
                self.start(body, chat=True)
            case ("GET", ["v1", "attempts", attempt_id, "events"]):
                self.resume(attempt_id)
            case ("DELETE", ["v1", "attempts", attempt_id]):
                self.cancel(attempt_id)
            case ("GET", ["v1", "inventory"]):
                self.answer_json(200, engine.inventory())
            case ("GET", ["v1", "load"]):
                self.answer_json(200, engine.read_load())
            case ("GET", ["v1", "cache", "events"]):
                self.answer_json(200, engine.cache_events(self.query_number("after")))
            case ("POST", ["v1", "orders"]):
                self.run_order(msgspec.json.decode(body, type=OrderBody))
            case ("GET", ["v1", "orders"]):
                self.answer_json(200, engine.orders.state())
            case ("POST", ["v1", "kv", "export"]):
                wanted = msgspec.json.decode(body, type=KvExport)
                self.answer_json(200, engine.export_kv(wanted, uuid4().hex))
            case ("POST", ["v1", "kv", "import"]):
                parts = msgspec.json.decode(body, type=KvImport).parts
                self.answer_json(200, engine.kv_parts.add(parts))
            case ("GET", ["v1", "models"]):
                names = tuple(ModelEntry(name) for name in engine.orders.models)
                self.answer_json(200, ModelList(names))
            case _:
                raise BadRequestError(404, "not_found", f"no path {self.path}")

    def query_number(self, name: str) -> int:
        """Return a number from the query; 0 if it is missing."""
        return int(parse_qs(self.query).get(name, ["0"])[0])

    def start(self, body: bytes, chat: bool) -> None:
        """Start an attempt; stream its events or send the complete answer."""
        prompt = prompt_from_body(body, chat)
        attempt = self.engine.submit(prompt, self.start_options())
        if prompt.stream:
            self.stream(attempt, 0)
        else:
            self.answer_whole(attempt)

    def start_options(self) -> StartOptions:
        """Parse the headers of a request that starts an attempt."""
        headers = self.headers
        attempt_id = headers.get("X-Attempt-Id") or uuid4().hex
        start, _, end = headers.get("X-Token-Range", "0-").partition("-")
        handles = headers.get("X-Kv-Handles", "")
        resume_from = int(headers.get("X-Resume-From", "0"))
        return StartOptions(
            attempt_id=attempt_id,
            completion_id="cmpl-" + headers.get("X-Request-Id", attempt_id),
            priority=int(headers.get("X-Priority", "0")),
            resume_from=resume_from,
            range_start=int(start),
            range_end=int(end) if end else None,
            kv_handles=tuple(h.strip() for h in handles.split(",") if h.strip()),
        )

    def resume(self, attempt_id: str) -> None:
        """Stream an attempt's events after `Last-Event-ID`."""
        attempt = self.engine.attempts.get(attempt_id)
        if attempt is None:
            raise BadRequestError(404, "unknown_attempt", f"no attempt {attempt_id}")
        after = int(self.headers.get("Last-Event-ID", "0"))
        last = len(attempt.event_ends) + (attempt.state is AttemptState.FINISHED)
        if not 0 <= after <= last:
            raise BadRequestError(400, "bad_request", "Last-Event-ID is ahead")
        self.stream(attempt, after)

    def cancel(self, attempt_id: str) -> None:
        """Cancel an attempt; under the fault `lose_cancel` only answer so."""
        if self.server.injector.faults.lose_cancel:
            self.answer_json(200, Cancelled(True))
            return
        known = self.engine.cancel(attempt_id)
        self.answer_json(200 if known else 404, Cancelled(known))

    def run_order(self, order: OrderBody) -> None:
        """Run an order, or refuse it for an old fencing number."""
        accepted = self.engine.run_order(order)
        newest = self.engine.orders.newest_fencing
        self.answer_json(200 if accepted else 409, OrderAnswer(accepted, newest))

    def answer_whole(self, attempt: Attempt) -> None:
        """Send the complete answer once the attempt has finished."""
        attempt.ended_event.wait()
        if attempt.state is AttemptState.CANCELLED:
            raise StreamCutError("the attempt was cancelled")
        self.answer_bytes(
            200, whole_answer(attempt), (("Content-Type", "application/json"),)
        )

    def stream(self, attempt: Attempt, after: int) -> None:
        """Stream events after a sequence number; cut the stream on a cancel."""
        self.begin_stream(EVENT_STREAM_HEADERS)
        writer = EventWriter(self.connection, attempt, after, self.server.injector)
        attempt.readers.append(writer)
        try:
            writer.run(self.engine.config.keep_alive_seconds)
        finally:
            attempt.readers.remove(writer)


class EngineServer(StandInServer):
    """Serve one engine stand-in."""

    def __init__(
        self, listen_address: str, config: EngineConfig, loop: EngineLoop
    ) -> None:
        super().__init__(listen_address, EngineHandler, FaultInjector())
        self.engine = Engine(config, self.injector, loop)

    @classmethod
    def from_config(
        cls, config: EngineConfig, listen_address: str = "127.0.0.1:0"
    ) -> Self:
        """Create an engine that listens but does not serve yet."""
        return cls(listen_address, config, process_loop())

    def stop(self) -> None:
        """Stop serving and stop the engine."""
        super().stop()
        self.engine.stop()


@cache
def process_loop() -> EngineLoop:
    """Return the loop shared by all engines of this process."""
    loop = EngineLoop()
    loop.start()
    return loop
