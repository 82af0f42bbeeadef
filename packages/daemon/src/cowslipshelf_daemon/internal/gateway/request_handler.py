"""Answer callers: match the route, try upstreams, and report what happened."""

import asyncio
import math
import time
from http import HTTPStatus

from cowslipshelf_core.dialect import CallerFacts, Dialect
from cowslipshelf_core.gateway import (
    HeldBack,
    choose_service,
    request_digest,
)
from cowslipshelf_core.identifiers import ServiceName
from cowslipshelf_daemon.internal.gateway.admission import (
    MAX_WAIT_SHARE,
    NOT_RUN,
    STARTUP_WAIT_SECONDS,
    Denied,
    admit,
)
from cowslipshelf_daemon.internal.gateway.attempt import AttemptRunner
from cowslipshelf_daemon.internal.gateway.attempt_outcomes import (
    Answered,
    AttemptOutcome,
    AttemptTask,
    Broken,
    DeliveryProgress,
    FailedThere,
)
from cowslipshelf_daemon.internal.gateway.fleet_view import FleetView
from cowslipshelf_daemon.internal.gateway.http_exchange import (
    AnswerCutError,
    HttpRequest,
    Responder,
)
from cowslipshelf_daemon.internal.gateway.permit_waits import wait_for_permit
from cowslipshelf_daemon.internal.gateway.placement import (
    NoPlacement,
    Placement,
    no_room,
    place,
)
from cowslipshelf_daemon.internal.gateway.request_progress import (
    RequestProgress,
    may_try_another,
)
from cowslipshelf_daemon.internal.gateway.silence_limits import silence_limits
from cowslipshelf_daemon.internal.suspect_requests import (
    MAX_LOGGED_PARTS,
    RequestIdentity,
    SuspectRequests,
)
from cowslipshelf_host.logs import part_logger
from cowslipshelf_host.metrics import Metrics

LOG = part_logger("request")

BAD_ANSWER = 502
OUT_OF_TIME = 504
MIN_LEFT_SECONDS = 0.02
"""Time left below which no upstream is tried: one round trip takes as long."""
OUTAGE_RETRY_SECONDS = 0.5
"""Minimum retry-after if a data centre is doubtful and others have upstreams. By then
all gateways have the reports of the losses, which are batched for 20 ms and relayed
once, also if a packet is lost on the way."""


class RequestHandler:
    """Handle the requests of callers."""

    def __init__(
        self,
        view: FleetView,
        runner: AttemptRunner,
        dialect: Dialect,
        metrics: Metrics,
        suspects: SuspectRequests,
    ) -> None:
        self.view = view
        self.runner = runner
        self.suspects = suspects
        self.dialect = dialect
        self.metrics = metrics

    async def __call__(self, request: HttpRequest, responder: Responder) -> None:
        """Answer one request; it is cancelled if the caller disconnects."""
        began = time.monotonic()
        facts = self.dialect.caller_facts(request.headers)
        try:
            status = await self.answer(request, facts, responder, began)
        except asyncio.CancelledError:
            self.log_end(facts, "caller left", began)
            raise
        except AnswerCutError:
            self.log_end(facts, "cut", began)
            raise
        self.log_end(facts, str(status), began)

    def log_end(self, facts: CallerFacts, outcome: str, began: float) -> None:
        """Count and log the end of a request."""
        seconds = time.monotonic() - began
        self.metrics.count("cowslipshelf_requests_total", outcome=outcome)
        self.metrics.record_seconds("cowslipshelf_request_seconds", seconds)
        LOG.info(
            "Request ended.",
            request=facts.attempt_id,
            outcome=outcome,
            seconds=round(seconds, 4),
            version=self.view.document.version,
        )

    async def answer(
        self,
        request: HttpRequest,
        facts: CallerFacts,
        responder: Responder,
        began: float,
    ) -> int:
        """Match the route and the customer, then serve; return the status."""
        admitted = await admit(self.view, request, facts)
        if isinstance(admitted, Denied):
            return await self.refuse(
                responder, facts, admitted.status, admitted.retry_after_seconds
            )
        route, customer = admitted
        left = route.timeout_seconds
        if facts.deadline_seconds is not None:
            left = min(left, facts.deadline_seconds)
        name = customer.name if customer else None
        task = AttemptTask(
            request,
            facts,
            route,
            name,
            responder,
            DeliveryProgress(facts.last_event_id),
            began + left,
            RequestIdentity(
                facts.attempt_id,
                request_digest(
                    name, request.method, request.host, request.target, request.body
                ),
                name,
                facts.shared_parts,
            ),
        )
        return await self.serve(task)

    async def serve(self, task: AttemptTask) -> int:
        """Try upstreams until one answers or the deadline passes; return the status."""
        progress = RequestProgress()
        service = choose_service(task.route, self.view.random)
        ranks = self.view.table.ranks
        progress.rank = ranks.rank_of(task.route, service, task.customer)
        self.view.retry_budget.count_request(service, time.monotonic())
        left = task.deadline - time.monotonic()
        try:
            async with asyncio.timeout(max(0.0, left)):
                outcome = await self.try_upstreams(task, service, progress)
        except TimeoutError:
            LOG.info("Out of time.", request=task.facts.attempt_id, sent=progress.sent)
            progress.last_reason = "out of time"
            status = OUT_OF_TIME if progress.may_have_run else NOT_RUN
            return await self.give_up(task, progress, status)
        if isinstance(outcome, Answered):
            return outcome.status
        return await self.fail(task, progress)

    async def try_upstreams(
        self, task: AttemptTask, service: ServiceName, progress: RequestProgress
    ) -> Answered | None:
        """Try upstreams in turn; return None once no other may be tried."""
        while True:
            left = task.deadline - time.monotonic()
            if left < MIN_LEFT_SECONDS:
                progress.last_reason = "out of time"
                return None
            verdict = self.suspects.verdict(task.identity)
            if isinstance(verdict, HeldBack):
                count = len(verdict.upstreams)
                progress.last_reason = f"{count} upstreams ended under this request"
                progress.retry_after_seconds = verdict.retry_after_seconds
                progress.lacks_capacity = False
                return None
            placement = place(
                self.view,
                task.route,
                service,
                task.facts,
                left,
                frozenset(progress.excluded),
                progress.rank,
            )
            if isinstance(placement, NoPlacement) and await self.wait_for_upstream(
                service, left, progress
            ):
                continue
            if isinstance(placement, NoPlacement) and placement.limited:
                choice = await wait_for_permit(
                    self.view, service, placement.limited, left, progress
                )
                if choice.blocked != placement.limited:
                    continue
                placement = no_room(self.view, choice)
            if isinstance(placement, NoPlacement):
                self.record_no_placement(task, placement, progress)
                return None
            if progress.sent and not self.may_retry(service):
                progress.last_reason = "no repeats are left in the budget"
                return None
            with self.suspects.trial(task.identity, verdict):
                outcome = await self.attempt(task, placement, progress)
            if isinstance(outcome, Answered):
                return outcome
            if not may_try_another(task, outcome, progress):
                return None

    async def wait_for_upstream(
        self, service: ServiceName, left: float, progress: RequestProgress
    ) -> bool:
        """Wait, once per request, until an upstream of the service is known.

        An evacuated one ends the wait too, since the refusal is then certain.
        """
        view = self.view
        if service not in view.table.services:
            return False
        if progress.waited or view.upstreams_of(service):
            return False
        progress.waited = True
        seconds = min(STARTUP_WAIT_SECONDS, left * MAX_WAIT_SHARE)
        return await view.wait_until(
            lambda: bool(view.upstreams_of(service)) or view.is_evacuated(service),
            seconds,
        )

    def may_retry(self, service: ServiceName) -> bool:
        """Take one retry from the budget shared by all gateways, if any is left."""
        now = time.monotonic()
        return self.view.retry_budget.allow_retry(
            service, self.view.sending_gateways, now
        )

    async def attempt(
        self, task: AttemptTask, placement: Placement, progress: RequestProgress
    ) -> AttemptOutcome:
        """Run one attempt and record its outcome."""
        began = time.monotonic()
        upstream_id = placement.upstream.upstream_id
        progress.sent += 1
        self.log_attempt_begin(task, placement, progress)
        self.count_engine_attempt(placement)
        # Until the outcome is known, the upstream may be running the request: an answer
        # to a timeout in between must not say that nothing ran.
        ran_before, progress.may_have_run = progress.may_have_run, True
        may_retry = task.route.repeatable and progress.sent < task.route.max_attempts
        limits = silence_limits(
            task.route,
            placement.upstream.service,
            placement,
            self.view.answer_times,
            may_retry,
        )
        outcome = await self.runner.run(task, placement._replace(silence_limits=limits))
        progress.record(outcome, upstream_id, ran_before)
        if not isinstance(outcome, Answered):
            self.exclude_doubtful(placement, progress)
        self.log_attempt_end(task, placement, outcome, began)
        self.record_for_quarantine(task, placement, outcome, began)
        return outcome

    def exclude_doubtful(self, placement: Placement, progress: RequestProgress) -> None:
        """Exclude the upstreams of a failed choice that an outage makes doubtful.

        Only one of them may have shown its loss. If there is no upstream elsewhere they
        remain a last choice. If the request is refused, the caller is to come back when
        the other gateways know of the outage, or with no upstream elsewhere at the end
        of the doubt.
        """
        now, outages = time.monotonic(), self.view.outages
        doubtful = {
            each for each in placement.upstream_ids if outages.is_doubtful(each, now)
        }
        if not doubtful:
            return
        known = self.view.upstreams_of(placement.upstream.service)
        doubts = [outages.doubt_seconds(each.upstream_id, now) for each in known]
        shortest_doubt = min(doubts, default=0.0)
        if not shortest_doubt:
            progress.excluded |= doubtful
        progress.met_outage = True
        progress.retry_after_seconds = max(
            progress.retry_after_seconds, OUTAGE_RETRY_SECONDS, shortest_doubt
        )

    def record_for_quarantine(
        self,
        task: AttemptTask,
        placement: Placement,
        outcome: AttemptOutcome,
        began: float,
    ) -> None:
        """Record whether an upstream exited under the request, or answered it."""
        match outcome:
            case Broken(upstream_exited=True, replaced=replaced):
                upstream_id = replaced or placement.upstream.upstream_id
                self.suspects.record_exit(task.identity, upstream_id, began)
            case Answered(status):
                succeeded = status < HTTPStatus.MULTIPLE_CHOICES
                self.suspects.record_answer(task.identity, succeeded)
            case FailedThere():
                self.suspects.record_answer(task.identity, succeeded=False)

    def count_engine_attempt(self, placement: Placement) -> None:
        """Count an attempt on an engine by whether its events cross data centres."""
        if placement.work is not None:
            near = placement.upstream.data_centre == self.view.settings.data_centre
            self.metrics.count(
                "cowslipshelf_engine_attempts_total", place="near" if near else "far"
            )

    def log_attempt_begin(
        self, task: AttemptTask, placement: Placement, progress: RequestProgress
    ) -> None:
        """Log the chosen upstream and what the choice was based on."""
        LOG.info(
            "Attempt begins.",
            request=task.facts.attempt_id,
            digest=task.identity.digest,
            parts=task.facts.shared_parts[:MAX_LOGGED_PARTS],
            customer=task.customer,
            route=task.route.name,
            objective=round(task.route.objective_seconds, 4),
            pause_allowed=task.route.pause_seconds,
            upstream=placement.upstream.upstream_id,
            address=placement.upstream.address,
            limit=self.view.limits.rate_of(placement.upstream.upstream_id),
            heartbeat_age=round(self.view.heartbeat_age(placement.upstream), 3),
            version=self.view.document.version,
            left=round(task.deadline - time.monotonic(), 3),
            tokens=task.facts.prompt.prompt_tokens if task.facts.prompt else None,
            predicted=round(placement.first_token_seconds or 0.0, 4),
            cost=round(placement.cost, 3),
            candidates=placement.candidates,
            rank=progress.rank.steps if progress.rank.in_force else None,
            helpers=[part.upstream_id for part in placement.helper_parts],
            sent=progress.sent,
        )

    def log_attempt_end(
        self,
        task: AttemptTask,
        placement: Placement,
        outcome: AttemptOutcome,
        began: float,
    ) -> None:
        """Log the outcome of an attempt."""
        pace = getattr(outcome, "pace", None)
        LOG.info(
            "Attempt ended.",
            request=task.facts.attempt_id,
            upstream=placement.upstream.upstream_id,
            outcome=type(outcome).__name__,
            detail=getattr(outcome, "detail", ""),
            status=getattr(outcome, "status", None),
            framing=getattr(outcome, "framing", None),
            seconds=round(time.monotonic() - began, 4),
            first=round(pace.first, 4) if pace and pace.first else None,
            pause=round(pace.longest_pause, 4) if pace else None,
        )

    def record_no_placement(
        self, task: AttemptTask, placement: NoPlacement, progress: RequestProgress
    ) -> None:
        """Record and log why no upstream was chosen."""
        progress.last_reason = placement.reason
        progress.lacks_capacity = placement.lacks_capacity
        progress.retry_after_seconds = max(
            progress.retry_after_seconds, placement.retry_after_seconds
        )
        if placement.limited:
            self.metrics.count("cowslipshelf_limit_refusals_total")
        if placement.cold:
            self.metrics.count("cowslipshelf_cold_refusals_total")
        LOG.info(
            "No upstream.",
            request=task.facts.attempt_id,
            route=task.route.name,
            reason=placement.reason,
            retry_after=round(placement.retry_after_seconds, 3),
            tried=len(progress.excluded),
        )

    async def fail(self, task: AttemptTask, progress: RequestProgress) -> int:
        """Send the caller the last failure of an upstream, or a refusal."""
        failure = progress.last_failure
        if failure is not None and not task.responder.begun:
            await self.runner.deliver(task, failure.head, failure.body)
            return failure.head.status
        status = BAD_ANSWER if progress.may_have_run else NOT_RUN
        return await self.give_up(task, progress, status)

    async def give_up(
        self, task: AttemptTask, progress: RequestProgress, status: int
    ) -> int:
        """Refuse a request, or cut its answer if that was begun."""
        if task.responder.begun:
            LOG.info(
                "Answer cut.",
                request=task.facts.attempt_id,
                reason=progress.last_reason,
                last_event=task.delivery.last_event_id,
                sent=progress.sent,
            )
            raise AnswerCutError(progress.last_reason)
        pause = self.retry_after_of(progress) if status == NOT_RUN else None
        LOG.info(
            "Request refused.",
            request=task.facts.attempt_id,
            status=status,
            reason=progress.last_reason,
            sent=progress.sent,
            may_have_run=progress.may_have_run,
            rank=progress.rank.steps if progress.rank.in_force else None,
            retry_after=pause,
        )
        return await self.refuse(task.responder, task.facts, status, pause)

    def retry_after_of(self, progress: RequestProgress) -> float | None:
        """Return the retry-after of a refused request; count it by its rank, if any."""
        seconds, rank = progress.retry_after_seconds, progress.rank
        if seconds is None:
            return None
        if not progress.lacks_capacity or not rank.in_force:
            return math.ceil(seconds * 10) / 10
        self.metrics.count("cowslipshelf_rank_refusals_total", steps=str(rank.steps))
        # In hundredths, since a fifth of the shortest retry-after is 0.04 s.
        return round(rank.retry_after_seconds(seconds, self.view.random), 2)

    async def refuse(
        self,
        responder: Responder,
        facts: CallerFacts,
        status: int,
        retry_after_seconds: float | None = None,
    ) -> int:
        """Send a refusal from the gateway itself; return its status."""
        headers = self.dialect.refusal_headers(facts.attempt_id)
        if retry_after_seconds is not None:
            headers.append((b"retry-after", f"{retry_after_seconds:g}".encode()))
        await responder.respond(status, headers)
        return status
