"""Run requests through a gateway whose attempts have given outcomes."""

import asyncio

from common.gateway_samples import GATEWAY_SETTINGS, configuration, heartbeat, route
from cowslipshelf_adapter.wire import MachinesDialect
from cowslipshelf_core.messages import RoutesDocument
from cowslipshelf_daemon.internal.gateway.attempt_outcomes import AttemptOutcome
from cowslipshelf_daemon.internal.gateway.fleet_view import FleetView
from cowslipshelf_daemon.internal.gateway.http_server import HttpRequest
from cowslipshelf_daemon.internal.gateway.placement import Placement
from cowslipshelf_daemon.internal.gateway.request_handler import RequestHandler
from cowslipshelf_daemon.internal.suspect_requests import SuspectRequests
from cowslipshelf_host.metrics import Metrics

BODY = b"fatal"


class FakeRunner:
    """Return the given outcomes in order, whichever upstream is chosen."""

    def __init__(self, *outcomes: AttemptOutcome) -> None:
        self.outcomes = list(outcomes)
        self.placements: list[Placement] = []

    @property
    def sent(self) -> int:
        return len(self.placements)

    async def run(self, task, placement) -> AttemptOutcome:
        self.placements.append(placement)
        return self.outcomes.pop(0)


class RecordedAnswer:
    """Record an answer of the gateway itself."""

    begun = False
    status: int | None = None
    headers: dict[bytes, bytes] = {}
    body = b""

    async def respond(self, status, headers, body=b"") -> None:
        self.status, self.headers, self.body = status, dict(headers), body


class GatewayWithFakeRunner:
    """Run a request handler whose attempts have the given outcomes."""

    def __init__(self, *outcomes: AttemptOutcome, **changes) -> None:
        self.view = FleetView.from_settings(GATEWAY_SETTINGS)
        self.told: list[str] = []
        usual = {"max_attempts": 3}
        routes = configuration(route(**(usual | changes)))
        self.view.apply_configuration(RoutesDocument(1, "", b""), routes)
        for number in range(8):
            address = f"10.0.0.{number + 1}:80"
            self.view.record_heartbeat(heartbeat(f"u-{number}", address=address), 0.0)
        self.runner = FakeRunner(*outcomes)
        metrics = Metrics()
        self.suspects = SuspectRequests(
            "10.0.0.1", metrics, self.told.append, lambda: None
        )
        self.handler = RequestHandler(
            self.view, self.runner, MachinesDialect(), metrics, self.suspects
        )

    def ask(self, body: bytes = BODY, *headers: tuple[bytes, bytes]) -> RecordedAnswer:
        answer = RecordedAnswer()
        headers = [(b"x-attempt-id", b"a"), (b"x-deadline-ms", b"3000"), *headers]
        request = HttpRequest("POST", "/x", headers, body, "host.example", "caller")
        asyncio.run(self.handler(request, answer))
        return answer
