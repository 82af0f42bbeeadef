"""Answer operators and upstreams at the control address."""

import time

from result import Err, Ok

from cowslipshelf_core.control import PutRoutes, RoutesConflict, RoutesHeld
from cowslipshelf_core.dialect import (
    Dialect,
    PutConfiguration,
    ReadConfiguration,
    TakeHeartbeat,
    TakeLeaving,
)
from cowslipshelf_core.identifiers import UpstreamId
from cowslipshelf_daemon.internal.gateway.control_client import ControlClient
from cowslipshelf_daemon.internal.gateway.fleet_view import FleetView
from cowslipshelf_daemon.internal.gateway.gossip import Gossip
from cowslipshelf_daemon.internal.gateway.http_server import HttpRequest, Responder
from cowslipshelf_host.logs import part_logger

LOG = part_logger("control")

DONE = 200
BAD_REQUEST = 400
UNKNOWN = 404
CONFLICT = 409
UNAVAILABLE = 503
JSON = (b"content-type", b"application/json")


class ControlHandler:
    """Serve changes and reads of the configuration, and upstreams' heartbeats."""

    def __init__(
        self,
        view: FleetView,
        client: ControlClient,
        gossip: Gossip,
        dialect: Dialect,
    ) -> None:
        self.view = view
        self.client = client
        self.gossip = gossip
        self.dialect = dialect

    async def __call__(self, request: HttpRequest, responder: Responder) -> None:
        """Answer one call."""
        call = self.dialect.control_call(request.method, request.path)
        match call:
            case PutConfiguration():
                await self.put_configuration(request, responder)
            case ReadConfiguration():
                await self.read_configuration(responder)
            case TakeHeartbeat(upstream_id):
                await self.take_heartbeat(upstream_id, request, responder)
            case TakeLeaving(upstream_id):
                seen = self.view.registry.leave(upstream_id, time.monotonic())
                LOG.info("Upstream left.", upstream=upstream_id)
                self.gossip.tell_heartbeat(seen.heartbeat, urgent=True)
                await responder.whole(DONE, [JSON], b"{}")
            case None:
                await responder.whole(UNKNOWN, [])

    async def put_configuration(
        self, request: HttpRequest, responder: Responder
    ) -> None:
        """Have a configuration accepted by a quorum, or say why not."""
        match self.dialect.read_configuration(request.body):
            case Err(problem):
                LOG.warning("Configuration refused.", reason=problem)
                body = problem.encode("utf-8", "replace")
                await responder.whole(BAD_REQUEST, [], body)
                return
            case Ok(read):
                document = read.document
        outcome = await self.client.change(PutRoutes(document))
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
        await responder.whole(status, [JSON], body)

    async def read_configuration(self, responder: Responder) -> None:
        """Return what a quorum holds, or refuse where that is not certain."""
        document = await self.client.read(self.view.peers.replicas())
        if document is None:
            LOG.warning("Read not confirmed.", replicas=len(self.view.peers.replicas()))
            await responder.whole(UNAVAILABLE, [])
        elif not document.body:
            await responder.whole(UNKNOWN, [])
        else:
            await responder.whole(DONE, [JSON], document.body)

    async def take_heartbeat(
        self, upstream_id: UpstreamId, request: HttpRequest, responder: Responder
    ) -> None:
        """Take in a heartbeat and pass it on."""
        match self.dialect.read_heartbeat(upstream_id, request.body):
            case Err(problem):
                LOG.warning("Heartbeat refused.", peer=request.peer, reason=problem)
                await responder.whole(BAD_REQUEST, [], problem.encode())
            case Ok(heartbeat):
                news = self.view.take_heartbeat(heartbeat, 0.0)
                self.gossip.tell_heartbeat(heartbeat, urgent=news)
                await responder.whole(DONE, [JSON], b"{}")
