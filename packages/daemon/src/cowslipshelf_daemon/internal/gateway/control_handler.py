"""Answer operators and upstreams on the control address."""

import time

from result import Err, Ok, Result

from cowslipshelf_core.control import (
    ControlOutcome,
    EvacuationOutdated,
    EvacuationRecorded,
    EvacuationRefused,
    PutRoutes,
    RouteRegister,
    RoutesConflict,
    RoutesHeld,
    SetEvacuation,
)
from cowslipshelf_core.dialect import (
    Dialect,
    EvacuateDataCentre,
    PutConfiguration,
    ReadConfiguration,
    ReadEvacuations,
    RecordHeartbeat,
    RemoveUpstream,
    WithdrawEvacuation,
)
from cowslipshelf_core.errors import Refusal
from cowslipshelf_core.gateway import (
    ReceivedHeartbeat,
    compress_configuration,
    decompress_configuration,
)
from cowslipshelf_core.identifiers import DataCentre, UpstreamName
from cowslipshelf_core.messages import RoutesDocument
from cowslipshelf_daemon.internal.gateway.control_client import ControlClient
from cowslipshelf_daemon.internal.gateway.fleet_view import FleetView
from cowslipshelf_daemon.internal.gateway.gossip import Gossip
from cowslipshelf_daemon.internal.gateway.http_exchange import HttpRequest, Responder
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
"""Largest compressed configuration: a message between gateways has at most 4 MiB.
Larger ones were dropped silently on the way, and the operator was told that no replica
answered. It holds some 150,000 routes of 21 bytes each, compressed."""
PARSED_FIELD_BYTES = 160
"""Memory of a field or an element of a JSON document when it is parsed."""
USUAL_PARSED_BYTES = 1024 * 1024
"""Memory of a parsed configuration that is not asked for."""
MAX_EVACUATION_SUBMISSIONS = 4
"""Times that an order about an evacuation is submitted: once more for each change that
this gateway has not heard of and that is committed meanwhile."""
RESUBMIT_SECONDS = 0.9
"""Time after its arrival in which an order may be submitted again. Operators send an
order to another gateway after a second; from then on it may be older than one that was
acknowledged elsewhere, and would undo that one."""
MAX_LOGGED_PATH_CHARACTERS = 120
"""Characters of a refused call's path that are logged; anybody may send any path."""


class ControlHandler:
    """Serve configuration changes and reads, evacuations, and upstream heartbeats."""

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
            case EvacuateDataCentre(name):
                await self.set_evacuation(name, True, responder)
            case WithdrawEvacuation(name):
                await self.set_evacuation(name, False, responder)
            case ReadEvacuations():
                await self.read_evacuations(responder)
            case None:
                await responder.respond(UNKNOWN, [])

    async def put_configuration(
        self, request: HttpRequest, responder: Responder
    ) -> None:
        """Submit a configuration to a quorum and answer with the outcome."""
        size = parsed_bytes(request.body)
        if size > USUAL_PARSED_BYTES and not responder.hold_at_once(size):
            await self.refuse_unparsed(size, responder)
            return
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
            compressed = compressed_document(document)
            if len(compressed.body) > MAX_COMPRESSED_BYTES:
                await self.refuse_too_large(compressed, responder)
                return
            outcome = await self.client.change(PutRoutes(compressed))
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

    async def refuse_unparsed(self, size: int, responder: Responder) -> None:
        """Refuse a configuration that would take too much memory to be parsed."""
        fits = size <= responder.longest_body
        problem = f"parsed, it takes some {size} bytes; "
        problem += "there is no room now" if fits else f"{responder.longest_body} fit"
        LOG.warning("Configuration refused.", reason=problem)
        status = UNAVAILABLE if fits else TOO_LARGE
        await responder.respond(status, [], problem.encode())

    async def refuse_too_large(
        self, document: RoutesDocument, responder: Responder
    ) -> None:
        """Refuse a configuration that exceeds the message size limit."""
        problem = (
            f"packed, it takes {len(document.body)} bytes, "
            f"and {MAX_COMPRESSED_BYTES} at most may be sent to the replicas"
        )
        LOG.warning("Configuration refused.", version=document.version, reason=problem)
        await responder.respond(TOO_LARGE, [], problem.encode())

    def known_outcome(
        self, document: RoutesDocument
    ) -> RoutesHeld | RoutesConflict | None:
        """Return the outcome of a change whose version is already in force, or None.

        The version that this gateway holds was committed, so the replicas would decide
        the same. Operators resend a change whose answer was late; each copy would pass
        through the log again, ahead of the changes that wait.
        """
        if document.version > self.view.document.version:
            return None
        return RouteRegister(self.view.document).put(PutRoutes(document))

    async def read_configuration(self, responder: Responder) -> None:
        """Answer with what a quorum holds, or refuse if no quorum confirms it."""
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
        """Answer with a configuration exactly as the operator wrote it."""
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

    async def set_evacuation(
        self, data_centre: DataCentre, evacuated: bool, responder: Responder
    ) -> None:
        """Submit an order about an evacuation and answer with the outcome.

        It goes through the log even if it asks for what is in force here, since this
        gateway may not know of a later order yet.
        """
        if not self.is_known(data_centre):
            problem = f"the settings name no data centre {data_centre}"
            LOG.warning("Evacuation refused.", reason=problem, evacuated=evacuated)
            await responder.respond(UNKNOWN, [], problem.encode())
            return
        outcome = await self.submit_evacuation(data_centre, evacuated)
        body = b""
        match outcome:
            case EvacuationRecorded():
                status, body = DONE, b"{}"
            case EvacuationRefused(reason=reason):
                status, body = CONFLICT, reason.encode()
            case _:
                status = UNAVAILABLE
        LOG.info(
            "Evacuation answered.",
            data_centre=data_centre,
            evacuated=evacuated,
            status=status,
            outcome=type(outcome).__name__,
            revision=getattr(outcome, "revision", None),
            detail=getattr(outcome, "detail", ""),
        )
        headers = [JSON] if status == DONE else []
        await responder.respond(status, headers, body)

    async def submit_evacuation(
        self, data_centre: DataCentre, evacuated: bool
    ) -> ControlOutcome | Refusal | None:
        """Commit an order, again if this gateway did not know the latest change.

        An operator that gave up has closed its connection, which ends this.
        """
        state = self.view.evacuations.state
        known = state.revision
        resubmit_until = time.monotonic() + RESUBMIT_SECONDS
        for _ in range(MAX_EVACUATION_SUBMISSIONS):
            command = SetEvacuation(data_centre, evacuated, known, state.data_centres)
            outcome = await self.client.change(command)
            if not isinstance(outcome, EvacuationOutdated):
                break
            if time.monotonic() > resubmit_until:
                break
            known = outcome.revision
        return outcome

    def is_known(self, data_centre: DataCentre) -> bool:
        """Return whether an order may name a data centre.

        One that was removed from the settings while evacuated can still be withdrawn.
        """
        named = self.view.settings.data_centres
        evacuated = self.view.evacuations.data_centres
        return not named or data_centre in named or data_centre in evacuated

    async def read_evacuations(self, responder: Responder) -> None:
        """Answer with the data centres that this gateway assumes to be evacuated."""
        data_centres = self.view.evacuations.state.data_centres
        body = self.dialect.evacuations_body(data_centres)
        await responder.respond(DONE, [JSON], body)

    async def record_heartbeat(
        self, name: UpstreamName, request: HttpRequest, responder: Responder
    ) -> None:
        """Record a heartbeat and forward it to the other gateways."""
        read = self.dialect.read_heartbeat(name, request.body).and_then(
            self.check_heartbeat
        )
        match read:
            case Err(problem):
                await self.refuse_message(
                    "Heartbeat refused.", problem, request, responder
                )
            case Ok((heartbeat, cold_left)):
                changed = self.view.record_heartbeat(heartbeat, 0.0, cold_left)
                self.gossip.forward_heartbeat(heartbeat, urgent=changed)
                await responder.respond(DONE, [JSON], b"{}")

    def check_heartbeat(
        self, received: ReceivedHeartbeat
    ) -> Result[ReceivedHeartbeat, str]:
        """Return a heartbeat, or why it can't come from the upstream itself."""
        problem = self.view.heartbeat_problem(received.heartbeat)
        return Ok(received) if problem is None else Err(problem)

    async def remove_upstream(
        self, name: UpstreamName, request: HttpRequest, responder: Responder
    ) -> None:
        """Remove an upstream that leaves, and tell the other gateways."""
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
        """Refuse an invalid message about an upstream; it changes nothing."""
        LOG.warning(
            event,
            peer=request.peer,
            path=request.path[:MAX_LOGGED_PATH_CHARACTERS],
            reason=problem,
        )
        self.metrics.count("cowslipshelf_refused_words_total")
        await responder.respond(BAD_REQUEST, [], problem.encode("utf-8", "replace"))


def parsed_bytes(body: bytes | bytearray) -> int:
    """Return about how much memory a JSON document takes when it is parsed."""
    return body.count(b",") * PARSED_FIELD_BYTES


def compressed_document(document: RoutesDocument) -> RoutesDocument:
    """Return a configuration compressed, as it is sent and stored."""
    return RoutesDocument(
        document.version, document.digest, compress_configuration(document.body)
    )
