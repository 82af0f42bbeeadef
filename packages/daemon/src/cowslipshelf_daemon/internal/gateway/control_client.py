"""Submit changes to the replicas and read what a quorum holds, on the event loop."""

import asyncio
import time
import uuid

from pykka import ActorRef

from cowslipshelf_core.agreement import CommandSubmitted
from cowslipshelf_core.control import (
    ControlCommand,
    ControlOutcome,
    encode_command,
)
from cowslipshelf_core.errors import Refusal
from cowslipshelf_core.identifiers import (
    NO_CONFIGURATION,
    ConfigurationVersion,
    InstanceId,
)
from cowslipshelf_core.messages import FetchRoutes, RoutesDocument, RoutesSnapshot
from cowslipshelf_daemon.internal.control_state_client import CommandRequest
from cowslipshelf_daemon.internal.gateway.loop_inbox import LoopReply
from cowslipshelf_daemon.internal.messenger import Messenger
from cowslipshelf_host.logs import part_logger

LOG = part_logger("control_client")

CHANGE_TIMEOUT_SECONDS = 3.0
"""Timeout of a change: two elections, so that it survives the loss of one leader."""
READ_TIMEOUT_SECONDS = 0.9
"""Timeout of a read; operators try another gateway after a second."""
REPLICA_TIMEOUT_SECONDS = 0.3
"""Timeout after which the next replica is queried."""


class ControlClient:
    """Send changes and reads to the replicas."""

    def __init__(self, proposal_client: ActorRef, messenger: Messenger) -> None:
        self.proposal_client = proposal_client
        self.messenger = messenger
        self.pending_reads: dict[str, asyncio.Future[RoutesDocument]] = {}

    async def change(self, command: ControlCommand) -> ControlOutcome | Refusal | None:
        """Commit a command; return None if no answer arrives in time."""
        loop = asyncio.get_running_loop()
        reply = LoopReply(loop)
        deadline = time.monotonic() + CHANGE_TIMEOUT_SECONDS
        submit = CommandSubmitted(uuid.uuid4().hex, encode_command(command), deadline)
        self.proposal_client.tell(CommandRequest(submit, reply))
        try:
            async with asyncio.timeout(CHANGE_TIMEOUT_SECONDS + 0.5):
                return await reply.future
        except TimeoutError:
            return None

    async def read(
        self, replicas: tuple[InstanceId, ...], held: RoutesDocument
    ) -> RoutesDocument | None:
        """Return what a quorum holds, or None if no quorum confirms it in time.

        The replicas are queried in the given order. If a quorum holds the same document
        as this gateway, only its digest is transferred.
        """
        ends = time.monotonic() + READ_TIMEOUT_SECONDS
        answer = await self.ask_replicas(replicas, held.version, ends)
        if answer is None or answer.body or answer.version == NO_CONFIGURATION:
            return answer
        if (answer.version, answer.digest) == (held.version, held.digest):
            return held
        return await self.ask_replicas(replicas, NO_CONFIGURATION, ends)

    async def ask_replicas(
        self,
        replicas: tuple[InstanceId, ...],
        have: ConfigurationVersion,
        ends: float,
    ) -> RoutesDocument | None:
        """Query the replicas in turn until an answer is confirmed by a quorum."""
        query_id = uuid.uuid4().hex
        future: asyncio.Future[RoutesDocument] = (
            asyncio.get_running_loop().create_future()
        )
        self.pending_reads[query_id] = future
        began = time.monotonic()
        try:
            turn = 0
            replica = None
            while replicas and time.monotonic() < ends:
                replica = replicas[turn % len(replicas)]
                turn += 1
                self.messenger.send_to_instance(replica, FetchRoutes(have, query_id))
                done, _ = await asyncio.wait({future}, timeout=REPLICA_TIMEOUT_SECONDS)
                if done:
                    return future.result()
            return None
        finally:
            del self.pending_reads[query_id]
            LOG.info(
                "Read ended.",
                have=have,
                confirmed=future.done(),
                asked=turn,
                last_replica=replica,
                seconds=round(time.monotonic() - began, 3),
            )

    def record_answer(self, snapshot: RoutesSnapshot) -> None:
        """Resolve a pending read by a replica's answer, if a quorum confirmed it."""
        future = self.pending_reads.get(snapshot.query_id)
        if snapshot.confirmed_by_quorum and future is not None and not future.done():
            future.set_result(snapshot.document)
