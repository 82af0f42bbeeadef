"""Answer operators and upstreams at the control address."""

import time

from result import Err, Ok, Result

from cowslipshelf_core.control import (
    PutRoutes,
    RouteRegister,
    RoutesConflict,
    RoutesHeld,
)
from cowslipshelf_core.dialect import (
    Dialect,
    PutConfiguration,
    ReadConfiguration,
    RecordHeartbeat,
    RemoveUpstream,
)
from cowslipshelf_core.gateway import (
    UpstreamHeartbeat,
    compress_configuration,
    decompress_configuration,
)
from cowslipshelf_core.identifiers import UpstreamName
from cowslipshelf_core.messages import RoutesDocument
from cowslipshelf_daemon.internal.gateway.control_client import ControlClient
from cowslipshelf_daemon.internal.gateway.fleet_view import FleetView
from cowslipshelf_daemon.internal.gateway.gossip import Gossip
from cowslipshelf_daemon.internal.gateway.http_server import HttpRequest, Responder
from cowslipshelf_host.logs import part_logger
from cowslipshelf_host.metrics import Metrics

LOG = part_logger("control")

DONE = 200
BAD_REQUEST = 400
UNKNOWN = 404
CONFLICT = 409
TOO_LARGE = 413
UNAVAILABLE = 503
JSON = (b"content-type", b"application/json")
MAX_COMPRESSED_BYTES = 3 * 1024 * 1024
"""Bound on a configuration as it travels: a message between gateways has 4 MiB. A
larger one was dropped on its way without a word, and its operator heard that no replica
answered. Some 150,000 routes of 21 bytes each, packed."""
MAX_LOGGED_PATH_CHARACTERS = 120
"""Characters of a refused call's path that are logged; strangers may send any."""


class ControlHandler:
    """Serve changes and reads of the configuration, and upstreams' heartbeats."""

    def __init__(
        self,
        view: FleetView,
        client: ControlClient,
        gossip: Gossip,
        dialect: Dialect,
        metrics: Metrics,
    ) -> None:
        self.view = view
        self.client = client
        self.gossip = gossip
        self.dialect = dialect
        self.metrics = metrics

    async def __call__(self, request: HttpRequest, responder: Responder) -> None:
        """Answer one call."""
        call = self.dialect.control_call(request.method, request.path)
        match call:
            case PutConfiguration():
                await self.put_configuration(request, responder)
            case ReadConfiguration():
                await self.read_configuration(responder)
            case RecordHeartbeat(name):
                await self.record_heartbeat(name, request, responder)
            case RemoveUpstream(name):
                await self.remove_upstream(name, request, responder)
            case None:
                await responder.respond(UNKNOWN, [])

    async def put_configuration(
        self, request: HttpRequest, responder: Responder
    ) -> None:
        """Have a configuration accepted by a quorum, or say why not."""
        match self.dialect.read_configuration(request.body):
            case Err(problem):
                LOG.warning("Configuration refused.", reason=problem)
                body = problem.encode("utf-8", "replace")
                await responder.respond(BAD_REQUEST, [], body)
                return
            case Ok(read):
                document = read.document
        outcome = self.known_outcome(document)
        if outcome is None:
            small = compressed_document(document)
            if len(small.body) > MAX_COMPRESSED_BYTES:
                await self.refuse_too_large(small, responder)
                return
            outcome = await self.client.change(PutRoutes(small))
        match outcome:
            case RoutesHeld():
                status = DONE
            case RoutesConflict():
                status = CONFLICT
            case _:
                status = UNAVAILABLE
        LOG.info(
            "Configuration answered.",
            version=document.version,
            digest=document.digest[:12],
            status=status,
            outcome=type(outcome).__name__,
            held=getattr(outcome, "version", None),
            detail=getattr(outcome, "detail", ""),
        )
        body = b"{}" if status == DONE else b""
        await responder.respond(status, [JSON], body)

    async def refuse_too_large(
        self, document: RoutesDocument, responder: Responder
    ) -> None:
        """Refuse a configuration that no message could carry."""
        problem = (
            f"packed, it takes {len(document.body)} bytes, "
            f"and {MAX_COMPRESSED_BYTES} at most may be sent to the replicas"
        )
        LOG.warning("Configuration refused.", version=document.version, reason=problem)
        await responder.respond(TOO_LARGE, [], problem.encode())

    def known_outcome(
        self, document: RoutesDocument
    ) -> RoutesHeld | RoutesConflict | None:
        """Return what becomes of a change whose version has been reached.

        What this gateway holds was committed, so no later word differs. Operators
        repeat a change whose answer was late, and each repeat would go through the
        log once more, before the changes that wait.
        """
        if document.version > self.view.document.version:
            return None
        return RouteRegister(self.view.document).put(PutRoutes(document))

    async def read_configuration(self, responder: Responder) -> None:
        """Return what a quorum holds, or refuse where that is not certain."""
        replicas = self.view.peers.replicas_to_ask(time.monotonic())
        document = await self.client.read(replicas, self.view.document)
        if document is None:
            LOG.warning("Read not confirmed.", replicas=len(replicas))
            await responder.respond(UNAVAILABLE, [])
        elif not document.body:
            await responder.respond(UNKNOWN, [])
        else:
            await self.send_configuration(document, responder)

    async def send_configuration(
        self, document: RoutesDocument, responder: Responder
    ) -> None:
        """Answer with a configuration as its operator wrote it."""
        match decompress_configuration(document.body):
            case Ok(body):
                await responder.respond(DONE, [JSON], body)
            case Err(problem):
                LOG.error(
                    "Configuration not understood.",
                    version=document.version,
                    reason=problem,
                )
                await responder.respond(UNAVAILABLE, [])

    async def record_heartbeat(
        self, name: UpstreamName, request: HttpRequest, responder: Responder
    ) -> None:
        """Take in a heartbeat and pass it on."""
        read = self.dialect.read_heartbeat(name, request.body).and_then(
            self.check_heartbeat
        )
        match read:
            case Err(problem):
                await self.refuse_message(
                    "Heartbeat refused.", problem, request, responder
                )
            case Ok(heartbeat):
                news = self.view.record_heartbeat(heartbeat, 0.0)
                self.gossip.forward_heartbeat(heartbeat, urgent=news)
                await responder.respond(DONE, [JSON], b"{}")

    def check_heartbeat(
        self, heartbeat: UpstreamHeartbeat
    ) -> Result[UpstreamHeartbeat, str]:
        """Pass on a heartbeat that may be its upstream's own, or say why it can't."""
        problem = self.view.heartbeat_problem(heartbeat)
        return Ok(heartbeat) if problem is None else Err(problem)

    async def remove_upstream(
        self, name: UpstreamName, request: HttpRequest, responder: Responder
    ) -> None:
        """Take an upstream out for good, and tell the others."""
        match self.dialect.read_leaving(request.body):
            case Err(problem):
                await self.refuse_message(
                    "Leaving refused.", problem, request, responder
                )
            case Ok(began_ms):
                seen = self.view.remove_upstream(name, began_ms)
                self.gossip.forward_heartbeat(seen.with_start_id, urgent=True)
                await responder.respond(DONE, [JSON], b"{}")

    async def refuse_message(
        self, event: str, problem: str, request: HttpRequest, responder: Responder
    ) -> None:
        """Answer word of an upstream that can't be believed; it changes nothing."""
        LOG.warning(
            event,
            peer=request.peer,
            path=request.path[:MAX_LOGGED_PATH_CHARACTERS],
            reason=problem,
        )
        self.metrics.count("cowslipshelf_refused_words_total")
        await responder.respond(BAD_REQUEST, [], problem.encode("utf-8", "replace"))


def compressed_document(document: RoutesDocument) -> RoutesDocument:
    """Return a configuration as it travels and is held."""
    return RoutesDocument(
        document.version, document.digest, compress_configuration(document.body)
    )
