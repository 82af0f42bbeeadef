"""Run one attempt of a request on one upstream."""

import asyncio
import time
from collections.abc import Iterator
from contextlib import contextmanager
from functools import partial
from http import HTTPStatus

from cowslipshelf_core.dialect import (
    AnswerFacts,
    Dialect,
    ForwardFacts,
    Headers,
    LimitUnreadable,
    OutgoingRequest,
)
from cowslipshelf_core.gateway import (
    Permit,
    RouteKind,
    UpstreamStart,
)
from cowslipshelf_core.identifiers import UpstreamId
from cowslipshelf_daemon.internal.gateway.attempt_observations import (
    AttemptObservations,
)
from cowslipshelf_daemon.internal.gateway.attempt_outcomes import (
    Answered,
    AttemptOutcome,
    AttemptTask,
    Broken,
    FailedThere,
    NotReached,
    NotReserved,
    NotRun,
    OpenAttempt,
    StreamPace,
)
from cowslipshelf_daemon.internal.gateway.boot_time import boot_seconds
from cowslipshelf_daemon.internal.gateway.engine_memory import (
    EngineMemory,
    ReservedMemory,
)
from cowslipshelf_daemon.internal.gateway.event_stream import (
    EventSplitter,
)
from cowslipshelf_daemon.internal.gateway.fleet_view import FleetView
from cowslipshelf_daemon.internal.gateway.http_exchange import HttpRequest
from cowslipshelf_daemon.internal.gateway.link_watch import LinkWatch
from cowslipshelf_daemon.internal.gateway.placement import Placement
from cowslipshelf_daemon.internal.gateway.slowness_watch import SlownessWatch
from cowslipshelf_daemon.internal.gateway.unix_time import unix_milliseconds
from cowslipshelf_daemon.internal.gateway.upstream_connection import (
    MAX_BUFFERED_BYTES,
    BodyFraming,
    UpstreamConnection,
    UpstreamHead,
    UpstreamLostError,
)
from cowslipshelf_daemon.internal.gateway.upstream_pool import UpstreamPool
from cowslipshelf_host.logs import part_logger

LOG = part_logger("attempt")

SERVER_ERROR = 500


class AttemptRunner:
    """Run attempts, each on one connection, and forward or classify the answer."""

    def __init__(self, view: FleetView, pool: UpstreamPool, dialect: Dialect) -> None:
        self.view = view
        self.memory = EngineMemory(view, pool, dialect)
        self.pool = pool
        self.dialect = dialect
        self.observations = AttemptObservations(view)
        self.unused_permits: set[Permit] = set()
        """Permits of attempts that were not sent yet."""
        self.open_attempts: set[OpenAttempt] = set()
        """Open attempts of requests that may be retried, with their connections."""

    def drop_replaced_start(self, former: UpstreamStart, later: UpstreamStart) -> None:
        """Drop the open attempts on a start of an upstream that a later one replaced.

        The former process is gone and will send nothing more, but a silent connection
        shows that only after seconds. Attempts opened after the later start reached
        that one, whichever start was believed then. Only attempts that may be retried
        are dropped, since clocks differ by seconds at times. After the first event,
        helpers that hold no memory for the answer are done.
        """
        self.pool.forget(former.upstream_id)
        for attempt in list(self.open_attempts):
            has_first_event = (
                attempt.work_id is not None
                and self.view.engines.has_first_token(attempt.work_id)
            )
            if not attempt.needs_replaced_start(former, later, has_first_event):
                continue
            LOG.info(
                "Attempt dropped.",
                request=attempt.request,
                upstream=former.upstream_id,
                reason=f"{later.upstream_id} began there",
            )
            attempt.replaced = former.upstream_id
            attempt.connection.drop(f"{later.upstream_id} began there", True)

    async def run(self, task: AttemptTask, placement: Placement) -> AttemptOutcome:
        """Run one attempt and record what it shows about the upstream."""
        began = time.monotonic()
        upstream = placement.upstream
        self.view.request_started(upstream.upstream_id)
        self.view.cold.reserve(placement.upstream_ids)
        permit = self.view.limits.take(upstream.upstream_id, boot_seconds())
        if permit is not None:
            self.unused_permits.add(permit)
            placement = placement._replace(permit=permit)
        if placement.work is not None:
            self.view.begin_work(placement.work)
        try:
            outcome = await self.reserve_and_send(task, placement)
        except asyncio.CancelledError:
            self.observations.record_silence(task, placement, began)
            raise
        finally:
            self.view.request_ended(upstream.upstream_id)
            self.view.cold.release(placement.upstream_ids)
            if permit in self.unused_permits:
                self.unused_permits.remove(permit)
                self.view.limits.put_back(permit)
            if placement.work is not None:
                self.view.end_work(placement.work.attempt_id)
        if isinstance(outcome, Answered):
            self.view.answer_times.answered_routes.add(task.route.name)
        self.observations.record_outcome(placement, outcome, time.monotonic() - began)
        return outcome

    async def reserve_and_send(
        self, task: AttemptTask, placement: Placement
    ) -> AttemptOutcome:
        """Reserve engine memory if needed, then run the exchange."""
        tickets, upstream = placement.tickets, placement.upstream
        async with self.memory.reserved(tickets, upstream) as memory:
            if not memory.granted:
                return not_reserved(memory)
            return await self.connect_and_exchange(task, placement, memory)

    async def connect_and_exchange(
        self, task: AttemptTask, placement: Placement, memory: ReservedMemory
    ) -> AttemptOutcome:
        """Acquire a connection, use it, and return it to the pool if reusable."""
        upstream = placement.upstream
        # The upstream may close a pooled connection just as the request is sent, and
        # then it is unknown whether the request ran.
        fresh = not task.route.repeatable
        try:
            connection = await self.pool.acquire(
                upstream.upstream_id, upstream.address, fresh
            )
        except UpstreamLostError as error:
            return NotReached(str(error))
        # Reserving memory and connecting take up to seconds, in which an evacuation may
        # become known.
        helpers = (part.upstream_id for part in placement.helper_parts)
        evacuated = self.view.evacuated_among(upstream, helpers)
        if evacuated is not None:
            connection.abort()
            return NotReached(f"{evacuated} is evacuated", withheld=True)
        now = boot_seconds()
        if not self.view.limits.may_send(upstream.upstream_id, placement.permit, now):
            connection.abort()
            return NotReached("the upstream's limit leaves no room", withheld=True)
        kept = False
        memory.on_expiry = connection.drop
        try:
            connection.max_silence_seconds = (
                placement.silence_limits.first_event_seconds
            )
            if placement.work is not None:
                connection.excused_seconds = partial(
                    self.excused_seconds, task, placement, time.monotonic()
                )
            with self.tracked_as_open(task, placement, connection) as attempt:
                outcome = await self.exchange(task, placement, connection)
            kept = isinstance(outcome, Answered | NotRun | FailedThere)
            return outcome
        except UpstreamLostError as error:
            return Broken(
                error.step, str(error), error.upstream_exited, attempt.replaced
            )
        finally:
            if kept:
                self.pool.release(upstream.upstream_id, connection)
            else:
                connection.abort()

    @contextmanager
    def tracked_as_open(
        self, task: AttemptTask, placement: Placement, connection: UpstreamConnection
    ) -> Iterator[OpenAttempt]:
        """Track an attempt as open during the context, if it may be retried."""
        holding = (ticket.upstream_id for ticket in placement.tickets)
        attempt = OpenAttempt(
            task.facts.attempt_id,
            frozenset(placement.upstream_ids),
            frozenset((placement.upstream.upstream_id, *holding)),
            connection,
            unix_milliseconds(),
            None if placement.work is None else placement.work.attempt_id,
        )
        if task.route.repeatable:
            self.open_attempts.add(attempt)
        try:
            yield attempt
        finally:
            self.open_attempts.discard(attempt)

    def excused_seconds(
        self, task: AttemptTask, placement: Placement, sent_at: float
    ) -> float:
        """Return how much longer engines may stay silent because they prefill."""
        now, engines = time.monotonic(), self.view.engines
        attempt_id = placement.work.attempt_id
        wait = placement.silence_limits.first_event_wait
        if wait is None or engines.has_first_token(attempt_id):
            seconds = engines.excused_seconds(attempt_id, now)
        else:
            due_seconds = engines.prefill_due_seconds(attempt_id, now)
            seconds = wait.left_seconds(now - sent_at, due_seconds)
        LOG.info(
            "Silence excused." if seconds else "Silence not excused.",
            request=task.facts.attempt_id,
            upstream=placement.upstream.upstream_id,
            seconds=round(seconds, 3),
        )
        return seconds

    async def exchange(
        self,
        task: AttemptTask,
        placement: Placement,
        connection: UpstreamConnection,
    ) -> AttemptOutcome:
        """Send the request, wait for the head, then forward or classify the answer."""
        began = time.monotonic()
        self.view.cold.record_sent(placement.upstream_ids, began)
        self.unused_permits.discard(placement.permit)
        connection.send(self.outgoing_request(task, placement))
        head = await connection.head()
        facts = self.dialect.answer_facts(head.status, head.headers)
        if facts.keep_alive_seconds is not None:
            connection.keep_alive_seconds = facts.keep_alive_seconds
        if facts.not_run:
            if (
                facts.attempt_id == task.facts.attempt_id
                and head.status != HTTPStatus.MISDIRECTED_REQUEST
            ):
                self.record_limit(task, placement, facts)
            await connection.whole_body()
            return NotRun(head.status, self.upstream_at_fault(placement, facts))
        if facts.attempt_id != task.facts.attempt_id:
            # This is the late answer to an earlier request on the connection.
            raise connection.lost("match answer", f"answers {facts.attempt_id}")
        self.record_limit(task, placement, facts)
        if task.route.kind is RouteKind.STREAM and head.status < 300:
            return await self.forward_stream(task, placement, connection, head, began)
        body = await connection.whole_body(head.length, task.responder.hold)
        if head.holds_events(by_default=False):
            check_end(connection, head, EventSplitter(bytearray(body)))
        if head.status >= SERVER_ERROR:
            return FailedThere(head, body)
        await self.deliver(task, head, body)
        return Answered(head.status, framing=head.framing)

    def record_limit(
        self, task: AttemptTask, placement: Placement, facts: AnswerFacts
    ) -> None:
        """Record the limit that an answer of the upstream itself names."""
        upstream_id = placement.upstream.upstream_id
        match facts.limit:
            case LimitUnreadable(text):
                LOG.warning(
                    "Limit not readable.",
                    request=task.facts.attempt_id,
                    upstream=upstream_id,
                    text=text,
                    in_force=self.view.limits.rate_of(upstream_id),
                )
            case limit:
                self.view.limits.record_answer(
                    upstream_id, limit, placement.permit, boot_seconds()
                )

    def upstream_at_fault(
        self, placement: Placement, facts: AnswerFacts
    ) -> UpstreamId | None:
        """Return the upstream that an answer names as the reason, if it is known.

        Those of the placement come first, in any phase: one that began to leave or was
        evacuated meanwhile is no longer among the usable ones.
        """
        if facts.at_fault is None:
            return None
        for upstream_id in placement.upstream_ids:
            known = self.view.registry.known.get(upstream_id)
            if known is not None and known.heartbeat.address == facts.at_fault:
                return upstream_id
        named = self.view.upstreams_at(placement.upstream.service, facts.at_fault)
        return named[0] if named else None

    def outgoing_request(
        self, task: AttemptTask, placement: Placement
    ) -> OutgoingRequest:
        """Build the request that is sent to the upstream."""
        facts = ForwardFacts(
            placement.upstream.upstream_id,
            task.customer,
            task.deadline - time.monotonic(),
            task.delivery.last_event_id,
            placement.priority,
            placement.helpers,
        )
        request = task.request
        headers = self.dialect.forwarded_headers(request.headers, facts)
        return OutgoingRequest(
            request.method,
            request.target,
            with_content_length(headers, request),
            request.body,
        )

    async def deliver(self, task: AttemptTask, head: UpstreamHead, body: bytes) -> None:
        """Send an upstream's whole answer to the caller."""
        headers = self.dialect.answer_headers(head.headers)
        await task.responder.respond(head.status, headers, body)

    async def forward_stream(
        self,
        task: AttemptTask,
        placement: Placement,
        connection: UpstreamConnection,
        head: UpstreamHead,
        began: float,
    ) -> AttemptOutcome:
        """Forward events as they arrive; only the first attempt's head is sent."""
        splitter = EventSplitter()
        pace = StreamPace(began)
        slowness_watch = SlownessWatch.of(self.view, placement)
        link_watch = LinkWatch.of(self.view, placement)
        async for data in connection.body():
            batch = splitter.feed(data)
            if len(splitter.buffer) > MAX_BUFFERED_BYTES:
                raise connection.lost("read answer", "an event is too long to be held")
            if batch is None:
                continue
            if placement.work is not None and pace.first is None:
                self.view.first_token(placement.work.attempt_id)
            now = time.monotonic()
            pace.record_event(now)
            slowness_watch.record_events(pace, batch.data, now)
            connection.max_silence_seconds = (
                placement.silence_limits.between_events_seconds
            )
            self.begin_stream(task, head)
            if batch.last_id is not None:
                task.delivery.last_event_id = batch.last_id
            await task.responder.write(batch.data)
            taken_at = time.monotonic()
            slowness_watch.record_taken(taken_at)
            link_watch.record_event(pace.last_at, taken_at)
        if head.holds_events(by_default=True):
            check_end(connection, head, splitter)
        self.begin_stream(task, head)
        await task.responder.write(splitter.take_rest())
        await task.responder.end()
        return Answered(head.status, pace, head.framing)

    def begin_stream(self, task: AttemptTask, head: UpstreamHead) -> None:
        """Send the head of a streamed answer, unless it was sent before.

        Without a length, since a resumed stream may have another one.
        """
        if not task.responder.begun:
            headers = [
                pair
                for pair in self.dialect.answer_headers(head.headers)
                if pair[0] != b"content-length"
            ]
            task.responder.begin(head.status, headers)


def check_end(
    connection: UpstreamConnection, head: UpstreamHead, splitter: EventSplitter
) -> None:
    """Raise `UpstreamLostError` if a stream has ended inside an event.

    Whatever frames the answer may complete it although the upstream broke off.
    """
    if splitter.is_inside_event():
        raise connection.lost(
            "read answer",
            f"ended inside an event, {len(splitter.buffer)} bytes after the last "
            f"whole one, framed by {head.framing}",
            upstream_exited=head.framing is BodyFraming.CONNECTION,
        )


def not_reserved(memory: ReservedMemory) -> NotReserved:
    """Tell the engines that gave no answer from those that had no memory."""
    missing = [answer for answer in memory.answers if not answer.granted]
    return NotReserved(
        frozenset(answer.upstream_id for answer in missing if answer.silent),
        frozenset(answer.upstream_id for answer in missing if not answer.silent),
    )


def with_content_length(headers: Headers, request: HttpRequest) -> Headers:
    """Set the content length of the body, however the caller framed it."""
    kept = [pair for pair in headers if pair[0] != b"content-length"]
    if request.body or any(name == b"content-length" for name, _ in headers):
        kept.append((b"content-length", str(len(request.body)).encode()))
    return kept
